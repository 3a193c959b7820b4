package standins

import (
	"encoding/json"
	"errors"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Limits of the site affph-gate-grown.
const (
	drainMS   = 4000 * time.Millisecond
	touchMS   = 5000 * time.Millisecond
	powerLoss = 7000 * time.Millisecond
)

// playGossip: half of the open connections of a core machine go silent, and it loses power
// right after it has acknowledged that an endpoint is draining.
func playGossip(w *world, trouble bool) (bool, error) {
	w.proxied, w.perZone = true, 2
	dst := netip.AddrPortFrom(w.ip(200), 8080)
	_, ends, err := newUnevenFleet(w, []int{4, 2, 2, 1}, []service{newService("permits")}, newRoute("check", dst, "permits"))
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
	a := w.cores[0]
	front, e := w.fedByOthers(a, ends[:4])
	if front == nil {
		return false, errors.New("no front outside the zone uses an endpoint of the zone")
	}
	feeds := w.feedsOf(front)
	w.rec.log("%s gets its feeds from %s and %s, and uses endpoint %s", front.name, feeds[0].name, feeds[1].name, e.id)
	last := 0 // the core machine that keeps its connections with a
	if trouble {
		w.rec.log("the open connections between %s and %s, %s go silent", a.name, feeds[0].name, feeds[1].name)
	}
	for i, other := range w.cores {
		switch {
		case other == a:
		case other != feeds[0] && other != feeds[1]:
			last = i
		case trouble:
			w.links[i].silence(a.name)
			w.links[0].silence(other.name)
		}
	}
	e.setNext(last)
	time.Sleep(300 * time.Millisecond)
	acked, ok := e.drain(0)
	if !ok {
		return false, errors.New("no node acknowledged that the endpoint is draining")
	}
	lost := time.Now()
	if trouble {
		a.kill()
	}
	time.Sleep(time.Until(lost.Add(powerLoss)))
	if trouble {
		if err := a.start(); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Second)
	close(stop)
	answered, other := wait()
	w.rec.log("%d requests were answered, %d not", answered, other)
	late := 0
	_, ran := e.seen()
	for _, r := range ran {
		since := r.opening.at.Sub(lost)
		if after := r.opening.at.Sub(acked); after > drainMS && since > touchMS && since < powerLoss {
			if late++; late <= 10 {
				w.rec.log("DRAIN: request %s reached %s at %s by %s, %.1f s after the acknowledgement", r.id, e.id, w.rec.at(r.opening.at), r.via, after.Seconds())
			}
		}
	}
	w.rec.log("%d requests reached the draining endpoint later than drain_ms, by machines in touch", late)
	return late > 0, nil
}

// feedsOf returns the core machines from which a front says that it gets its feeds.
func (w *world) feedsOf(front *machine) (feeds []*machine) {
	text, err := os.ReadFile(filepath.Join(front.dir, "log"))
	if err != nil {
		return nil
	}
	open := make(map[string]bool)
	for _, line := range strings.Split(string(text), "\n") {
		var l struct {
			Message    string `json:"@message"`
			Controller string `json:"controller"`
		}
		if json.Unmarshal([]byte(line), &l) != nil {
			continue
		}
		switch l.Message {
		case "feed open":
			open[l.Controller] = true
		case "feed lost":
			delete(open, l.Controller)
		}
	}
	for _, c := range w.cores {
		if open[netip.AddrPortFrom(c.link, linkPort).String()] {
			feeds = append(feeds, c)
		}
	}
	return feeds
}

// fedByOthers returns a front that gets its two feeds from other core machines than a, and
// the endpoint among some that it uses most.
func (w *world) fedByOthers(a *machine, ends []*endpoint) (front *machine, most *endpoint) {
	n := 0
	for _, f := range w.fronts {
		if feeds := w.feedsOf(f); len(feeds) != 2 || feeds[0] == a || feeds[1] == a {
			continue
		}
		for _, e := range ends {
			opens, _ := e.seen()
			got := 0
			for _, o := range opens {
				if o.via == f.name {
					got++
				}
			}
			if got > n {
				front, most, n = f, e, got
			}
		}
	}
	return front, most
}
