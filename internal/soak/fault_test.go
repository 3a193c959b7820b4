package soak

import (
	"os"
	"syscall"
	"time"
)

// fault is one disturbance; it returns when it is over.
type fault struct {
	name string
	run  func(w *world)
	// disk says that a controller's disk is lost; no other controller may be
	// disturbed at the same time.
	disk bool
}

// span draws how long a fault lasts.
func (w *world) span() time.Duration { return time.Duration(200+w.intN(2500)) * time.Millisecond }

func draw[T any](w *world, from []T) T { return from[w.intN(len(from))] }

// intN draws from the source of the schedule.
func (w *world) intN(n int) int {
	w.draws.Lock()
	defer w.draws.Unlock()
	return w.rand.IntN(n)
}

var faults = []fault{
	{name: "kill a balancer", run: func(w *world) { w.with(w.balancers, w.restart) }},
	{name: "kill a controller", run: func(w *world) { w.with(w.controllers, w.restart) }},
	{name: "kill all controllers", run: func(w *world) {
		for _, c := range w.controllers {
			c.busy.Lock()
			defer c.busy.Unlock()
			c.kill()
		}
		time.Sleep(w.span() / 4)
		for _, c := range w.controllers {
			c.start()
		}
	}},
	{name: "pause a balancer", run: func(w *world) { w.with(w.balancers, w.pause) }},
	{name: "pause a controller", run: func(w *world) { w.with(w.controllers, w.pause) }},
	{name: "stop a balancer", run: func(w *world) { w.with(w.balancers, func(p *process) { p.stop(); p.start() }) }},
	{name: "stop a controller", run: func(w *world) { w.with(w.controllers, func(p *process) { p.stop(); p.start() }) }},
	{name: "reload all", run: func(w *world) {
		for _, p := range append(w.controllers, w.balancers...) {
			p.signal(syscall.SIGHUP)
		}
	}},
	{name: "disturb a link", run: func(w *world) {
		p := draw(w, w.controllers).proxy
		p.set(mode(1 + w.intN(int(modes)-1)))
		time.Sleep(w.span())
		p.set(pass)
	}},
	{name: "reset links", run: func(w *world) { draw(w, w.controllers).proxy.reset() }},
	{name: "tear a log", run: func(w *world) {
		w.with(w.controllers, func(c *process) {
			c.kill()
			c.tear()
			c.start()
		})
	}},
	{name: "lose a disk", disk: true, run: func(w *world) {
		w.with(w.controllers, func(c *process) {
			c.kill()
			if err := os.RemoveAll(c.dataDir()); err != nil {
				w.t.Error(err)
			}
			time.Sleep(w.span() / 2)
			c.start()
		})
	}},
	{name: "lose packets", run: func(w *world) {
		w.lossy.Store(true)
		time.Sleep(w.span())
		w.lossy.Store(false)
	}},
	{name: "let an upstream hang", run: func(w *world) {
		if u := w.spare(draw(w, []string{"one", "two"})); u != nil {
			u.hangs.Store(true)
			time.Sleep(2 * w.span())
			u.hangs.Store(false)
		}
	}},
	{name: "crash an upstream", run: func(w *world) {
		if u := w.spare("one"); u != nil {
			u.crash()
			w.newUpstream("one")
		}
	}},
	{name: "release an upstream", run: func(w *world) {
		if u := w.spare("one"); u != nil {
			w.newUpstream("one")
			u.leave()
		}
	}},
	{name: "use an address again", run: func(w *world) {
		if u := w.spare("one"); u != nil {
			u.crash()
			time.Sleep(w.span() / 4)
			id := w.nextNumber()
			w.startUpstream(hexID(id), id, "two", u.address)
			w.newUpstream("one")
		}
	}},
	{name: "restart an upstream under its name", run: func(w *world) {
		if u := w.spare("two"); u != nil {
			u.crash()
			time.Sleep(w.span() / 4)
			w.startUpstream(u.id, u.handle, u.service, u.address)
		}
	}},
}

// spare returns an upstream that others can stand in for, or nil.
func (w *world) spare(service string) *upstream {
	alive := w.alive(service)
	if len(alive) < 3 {
		return nil
	}
	return alive[w.intN(len(alive))]
}

// with draws a process for a fault, which has it alone.
func (w *world) with(from []*process, run func(p *process)) {
	p := draw(w, from)
	p.busy.Lock()
	defer p.busy.Unlock()
	run(p)
}

func (w *world) restart(p *process) {
	p.kill()
	time.Sleep(w.span())
	p.start()
}

func (w *world) pause(p *process) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(w.span())
	p.signal(syscall.SIGCONT)
}
