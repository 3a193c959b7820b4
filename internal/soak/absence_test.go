package soak

import (
	"net/netip"
	"syscall"
	"testing"
	"time"
)

const (
	// shortLifetime is the lifetime of a connection in these tests, which bounds how long a
	// silent upstream is known. absence outlasts it.
	shortLifetime = 6 * time.Second
	absence       = 9 * time.Second
	// absenceRecovery is the time from the end of an absence until all is as before: some
	// heartbeats, and new links.
	absenceRecovery = 3 * time.Second
)

// absences are what is absent for longer than any belief is kept. Each returns what ends it.
var absences = map[string]func(h *harness) (end func()){
	"nothing":                        func(*harness) func() { return func() {} },
	"one controller is cut off":      func(h *harness) func() { return h.isolate(h.controllers[1]) },
	"half of the controllers are":    func(h *harness) func() { return h.isolate(h.controllers[1], h.controllers[3]) },
	"one controller is paused":       func(h *harness) func() { return h.pauseAll(h.controllers[2]) },
	"half of the controllers paused": func(h *harness) func() { return h.pauseAll(h.controllers[0], h.controllers[3]) },
	"all controllers are paused":     func(h *harness) func() { return h.pauseAll(h.controllers...) },
	"a balancer is paused":           func(h *harness) func() { return h.pauseAll(h.balancers[0]) },
	"a controller is down": func(h *harness) func() {
		h.controllers[1].kill()
		return h.controllers[1].start
	},
	"all controllers are down": func(h *harness) func() {
		for _, c := range h.controllers {
			c.kill()
		}
		return func() {
			for _, c := range h.controllers {
				c.start()
			}
		}
	},
	"a failure domain stands still": func(h *harness) func() {
		resume := h.pauseAll(h.controllers[0], h.controllers[3], h.balancers[0])
		speak := h.silence(func(u *upstream) bool { return u.domain == domains[0] })
		return func() {
			resume()
			speak()
		}
	},
	"an upstream is silent": func(h *harness) func() {
		silent := h.liveUpstreams("one")[0]
		return h.silence(func(u *upstream) bool { return u == silent })
	},
	"all upstreams are silent": func(h *harness) func() { return h.silence(func(*upstream) bool { return true }) },
	"a service is not listed": func(h *harness) func() {
		h.eventually(recoveryTimeout, "the service is taken out", func() bool { return h.operator.putContent(1, h.operator.withoutServiceOne) })
		return func() {
			h.eventually(recoveryTimeout, "the service is put back", func() bool { return h.operator.put(1) })
		}
	},
}

func (h *harness) isolate(controllers ...*process) (end func()) {
	for _, c := range controllers {
		c.isolate(true)
	}
	return func() {
		for _, c := range controllers {
			c.isolate(false)
			c.proxy.reset()
		}
	}
}

func (h *harness) pauseAll(processes ...*process) (end func()) {
	for _, p := range processes {
		p.signal(syscall.SIGSTOP)
	}
	return func() {
		for _, p := range processes {
			p.signal(syscall.SIGCONT)
		}
	}
}

func (h *harness) silence(which func(u *upstream) bool) (end func()) {
	var silent []*upstream
	for _, u := range h.allUpstreams() {
		if which(u) {
			u.silent.Store(true)
			silent = append(silent, u)
		}
	}
	return func() {
		for _, u := range silent {
			u.silent.Store(false)
		}
	}
}

// Guards against an absence that becomes final: whatever was cut off, paused, down or silent
// for longer than beliefs are kept, all upstreams that live are used again within seconds, and
// no open connection is reset. An upstream that withdrew meanwhile is not.
func TestLongAbsences(t *testing.T) {
	slots := make(chan struct{}, max(*parallelRuns, 4))
	next := *firstSeed + 700_000
	for name, begin := range absences {
		seed := next
		next++
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			playAbsence(t, seed, begin)
		})
	}
}

func playAbsence(t *testing.T, seed uint64, begin func(h *harness) (end func())) {
	h := newHarness(t, seed)
	h.lifetime = shortLifetime
	defer h.shutdown()
	if !h.startAll() {
		return
	}
	h.eventually(recoveryTimeout, "all upstreams are used", func() bool { return h.usesAllUpstreams() })

	end := begin(h)
	time.Sleep(absence / 2)
	gone := h.liveUpstreams("two")[0]
	h.running.Go(gone.drain)
	time.Sleep(absence / 2)
	end()
	h.recordFault()
	time.Sleep(absenceRecovery)
	h.eventually(probeInterval, "balancers are ready again", h.allReady)
	// A few connections stay open meanwhile; more would take the slots of all upstreams.
	for range 3 {
		h.running.Go(func() {
			if !h.caller.connect(netip.AddrPortFrom(h.host, routeOne), 4, shortLifetime/6) {
				h.reportViolation("a connection was not served after the absence")
			}
		})
	}
	if !h.usesAllUpstreams() {
		h.reportViolation("not all upstreams that live are used after the absence")
	}
	time.Sleep(shortLifetime / 2)
}

// usesAllUpstreams opens connections and reports whether all were served and each live upstream
// got one.
func (h *harness) usesAllUpstreams() bool {
	before := make(map[*upstream]int)
	live := append(h.liveUpstreams("one"), h.liveUpstreams("two")...)
	for _, u := range live {
		before[u] = u.connections()
	}
	served := true
	for i := range 60 {
		port := []uint16{routeOne, routeTwo}[i%2]
		served = h.caller.connect(netip.AddrPortFrom(h.host, port), 1, 0) && served
		time.Sleep(openInterval)
	}
	for _, u := range live {
		if u.connections() == before[u] {
			h.t.Logf("upstream %s of service %s in %s got no connection", u.id, u.service, u.domain)
			served = false
		}
	}
	return served
}

// connections returns the number of connections that the upstream has taken.
func (u *upstream) connections() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.flows)
}
