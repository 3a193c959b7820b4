package soak

import (
	"os"
	"syscall"
	"time"
)

// fault is a kind of injected fault. run returns when the fault is over.
type fault struct {
	name string
	run  func(h *harness)
	// losesDisk marks the loss of a controller's disk. No other controller may be
	// affected by a fault at the same time.
	losesDisk bool
}

// faultLen returns a random duration of a fault.
func (h *harness) faultLen() time.Duration { return time.Duration(200+h.intN(2500)) * time.Millisecond }

func randomElement[T any](h *harness, from []T) T { return from[h.intN(len(from))] }

// intN returns a random number below n from the generator of the fault schedule.
func (h *harness) intN(n int) int {
	h.randMu.Lock()
	defer h.randMu.Unlock()
	return h.rand.IntN(n)
}

var faults = []fault{
	{name: "kill a balancer", run: func(h *harness) { h.withProcess(h.balancers, h.restart) }},
	{name: "kill a controller", run: func(h *harness) { h.withProcess(h.controllers, h.restart) }},
	{name: "kill all controllers", run: func(h *harness) {
		for _, c := range h.controllers {
			c.faultMu.Lock()
			defer c.faultMu.Unlock()
			c.kill()
		}
		time.Sleep(h.faultLen() / 4)
		for _, c := range h.controllers {
			c.start()
		}
	}},
	{name: "pause a balancer", run: func(h *harness) { h.withProcess(h.balancers, h.pause) }},
	{name: "pause a controller", run: func(h *harness) { h.withProcess(h.controllers, h.pause) }},
	{name: "stop a balancer", run: func(h *harness) { h.withProcess(h.balancers, func(p *process) { p.stop(); p.start() }) }},
	{name: "stop a controller", run: func(h *harness) { h.withProcess(h.controllers, func(p *process) { p.stop(); p.start() }) }},
	{name: "reload all", run: func(h *harness) {
		for _, p := range append(h.controllers, h.balancers...) {
			p.signal(syscall.SIGHUP)
		}
	}},
	{name: "disturb a link", run: func(h *harness) {
		p := randomElement(h, h.controllers).proxy
		p.setMode(mode(1 + h.intN(int(numModes)-1)))
		time.Sleep(h.faultLen())
		p.setMode(modePass)
	}},
	{name: "reset links", run: func(h *harness) { randomElement(h, h.controllers).proxy.reset() }},
	{name: "tear a log", run: func(h *harness) {
		h.withProcess(h.controllers, func(c *process) {
			c.kill()
			c.appendTornRecord()
			c.start()
		})
	}},
	{name: "lose a disk", losesDisk: true, run: func(h *harness) {
		h.withProcess(h.controllers, func(c *process) {
			c.kill()
			if err := os.RemoveAll(c.dataDir()); err != nil {
				h.t.Error(err)
			}
			time.Sleep(h.faultLen() / 2)
			c.start()
		})
	}},
	{name: "lose packets", run: func(h *harness) {
		h.losePackets.Store(true)
		time.Sleep(h.faultLen())
		h.losePackets.Store(false)
	}},
	{name: "hang an upstream", run: func(h *harness) {
		if u := h.spareUpstream(randomElement(h, []string{"one", "two"})); u != nil {
			u.hung.Store(true)
			time.Sleep(2 * h.faultLen())
			u.hung.Store(false)
		}
	}},
	{name: "crash an upstream", run: func(h *harness) {
		if u := h.spareUpstream("one"); u != nil {
			u.crash()
			h.newUpstream("one", coldStart)
		}
	}},
	{name: "drain an upstream", run: func(h *harness) {
		if u := h.spareUpstream("one"); u != nil {
			h.newUpstream("one", coldStart)
			u.drain()
		}
	}},
	{name: "reuse an address", run: func(h *harness) {
		if u := h.spareUpstream("one"); u != nil && u.crash() {
			time.Sleep(h.faultLen() / 4)
			id := h.newUpstreamNumber()
			h.startUpstream(hexID(id), id, "two", u.domain, u.address, coldStart)
			h.newUpstream("one", coldStart)
		}
	}},
	{name: "restart an upstream with the same ID", run: func(h *harness) {
		if u := h.spareUpstream("two"); u != nil && u.crash() {
			time.Sleep(h.faultLen() / 4)
			h.startUpstream(u.id, u.handle, u.service, u.domain, u.address, coldStart)
		}
	}},
	{name: "return a domain cold", run: func(h *harness) { h.returnCold(randomElement(h, domains), h.faultLen()/2) }},
	{name: "join and leave under a burst", run: func(h *harness) {
		h.withProcess(h.extras, func(p *process) {
			h.burst.Store(true)
			p.start()
			time.Sleep(2 * h.faultLen())
			h.burst.Store(false)
			if h.intN(2) == 0 {
				p.kill()
			} else {
				p.stop()
			}
		})
	}},
}

// spareUpstream returns a random live upstream of a service, or nil when the
// service has fewer than three.
func (h *harness) spareUpstream(service string) *upstream {
	alive := h.liveUpstreams(service)
	if len(alive) < 3 {
		return nil
	}
	return alive[h.intN(len(alive))]
}

// withProcess runs a fault on a random process and keeps other faults that use
// withProcess off that process meanwhile.
func (h *harness) withProcess(from []*process, run func(p *process)) {
	p := randomElement(h, from)
	p.faultMu.Lock()
	defer p.faultMu.Unlock()
	p.recordFault()
	defer p.recordFault()
	run(p)
}

func (h *harness) restart(p *process) {
	p.kill()
	time.Sleep(h.faultLen())
	p.start()
}

func (h *harness) pause(p *process) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(h.faultLen())
	p.signal(syscall.SIGCONT)
}
