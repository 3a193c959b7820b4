package main

import (
	"errors"
	"net/netip"
	"os"
	"strconv"
	"time"
)

// Limits of the site affph-gate.
const (
	drainMS = 3000 * time.Millisecond
	touchMS = 4000 * time.Millisecond
)

// playGossip: half of the open connections of a core machine go silent, and it loses power
// right after it has acknowledged that an endpoint is draining.
func playGossip(w *world, trouble bool) (bool, error) {
	w.proxied, w.perZone = true, 2
	dst := netip.AddrPortFrom(w.ip(200), 8080)
	_, ends, err := newFleet(w, 2, []service{newService("permits")}, newRoute("check", dst, "permits"))
	if err != nil {
		return false, err
	}
	c, err := w.newClient(w.ip(70))
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	wait := traffic(w, c, dst, 5*time.Millisecond, stop)
	time.Sleep(4 * time.Second)
	e, a := ends[0], w.cores[0]
	if trouble {
		w.rec.log("the open connections between %s and %s, %s go silent", a.name, w.cores[2].name, w.cores[3].name)
		for _, other := range []int{2, 3} {
			w.links[other].silence(a.name)
			w.links[0].silence(w.cores[other].name)
		}
	}
	time.Sleep(300 * time.Millisecond)
	acked, ok := e.drain(0)
	if !ok {
		return false, errors.New("no node acknowledged that the endpoint is draining")
	}
	if trouble {
		time.Sleep(2 * time.Millisecond)
		a.kill()
	}
	if s, err := strconv.ParseFloat(os.Getenv("BACK_S"), 64); err == nil {
		time.Sleep(time.Duration(s * float64(time.Second)))
		if err := a.start(); err != nil {
			return false, err
		}
	}
	calm := time.Now().Add(touchMS)
	time.Sleep(time.Until(calm.Add(8 * time.Second)))
	close(stop)
	answered, other := wait()
	w.rec.log("%d requests were answered, %d not", answered, other)
	late := 0
	_, ran := e.seen()
	for _, r := range ran {
		if after := r.opening.at.Sub(acked); after > drainMS && r.opening.at.After(calm) {
			if late++; late <= 10 {
				w.rec.log("DRAIN: request %s reached %s at %s by %s, %.1f s after the acknowledgement", r.id, e.id, w.rec.at(r.opening.at), r.via, after.Seconds())
			}
		}
	}
	w.rec.log("%d requests reached the draining endpoint later than drain_ms, by machines in touch", late)
	return late > 0, nil
}
