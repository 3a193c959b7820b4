//go:build review

package standins

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// rollingRestart plays the case in which clients keep flows open for several requests while
// the balancers are stopped and started in turn. The network loses a datagram now and then.
func rollingRestart(w *world) error {
	const (
		loss     = 0.005
		requests = 5
		interval = 35 * time.Millisecond // between two flows of a client
		rollGap  = 1200 * time.Millisecond
	)
	services := []string{"rounds-api"}
	clients, err := w.startDeployment(3, services, []route{{"r-1", "safe", portOne, services[0]}}, 12)
	if err != nil {
		return err
	}
	w.lossRate = loss
	var stopped atomic.Bool
	var running sync.WaitGroup
	var flows, resets atomic.Int64
	for _, c := range clients {
		running.Go(func() {
			for !stopped.Load() {
				running.Go(func() {
					flows.Add(1)
					if !w.keepFlow(c, requests, 1500*time.Millisecond, 3500*time.Millisecond) {
						resets.Add(1)
					}
				})
				time.Sleep(interval)
			}
		})
	}
	time.Sleep(contactTime)
	if w.trouble {
		for _, b := range w.balancers {
			w.note("%s is stopped", b.name)
			b.end()
			time.Sleep(restartDelay)
			if err := b.start(); err != nil {
				return err
			}
			time.Sleep(rollGap)
		}
	} else {
		time.Sleep(40 * time.Second)
	}
	time.Sleep(contactTime)
	stopped.Store(true)
	running.Wait()
	w.note("%d flows, %d reset by another endpoint or by the system", flows.Load(), resets.Load())
	return nil
}

// keepFlow sends requests on a flow, with pauses between them. It reports false if the flow
// was reset by another than its endpoint.
func (w *world) keepFlow(c *client, requests int, least, most time.Duration) bool {
	f := c.newFlow(w.routeOne())
	defer f.forget()
	if f.open() != answered {
		return true // it never opened
	}
	for i := range requests {
		if i > 0 {
			if o := f.pause(least + rand.N(most-least)); o != answered {
				return w.checkReset(f, o)
			}
		}
		if o := f.request(newRequestID(), 5*time.Second); o != answered {
			return w.checkReset(f, o)
		}
		if f.isClosed {
			break
		}
	}
	f.finish()
	return true
}

// checkReset checks that a reset of a flow came from its endpoint.
func (w *world) checkReset(f *flow, o outcome) bool {
	w.mu.Lock()
	by := w.resets[f.from]
	w.mu.Unlock()
	switch {
	case f.server == "" || !w.lives(f.server):
		return true // the endpoint is not known, or gone
	case (o == resetBySystem || o == resetByEndpoint) && time.Now().UnixNano() < w.calmFrom.Load():
		w.note("flow %s at %s: %s, during a disruption or soon after", f.from, f.server, o)
	case o == resetBySystem:
		w.breakRule("FLOW: the flow %s, open at %s, is reset by the system", f.from, f.server)
		return false
	case o == resetByEndpoint && by != f.server:
		w.breakRule("FLOW: the flow %s, open at %s, is reset by %s", f.from, f.server, by)
		return false
	case o == noAnswer:
		w.note("flow %s at %s: no answer", f.from, f.server)
	}
	return true
}

// lives reports whether an incarnation of an endpoint lives.
func (w *world) lives(name string) bool {
	w.mu.Lock()
	endpoints := slices.Clone(w.endpoints)
	w.mu.Unlock()
	return slices.ContainsFunc(endpoints, func(e *endpoint) bool { return e.name() == name && !e.isEnded() })
}
