package standins

import (
	"net/netip"
	"time"
)

// The slow start of the service, and the limit of FAILBACK with cold_excess 1.5 and
// cold_slack 5.
const (
	coldStartS = 4.0
	coldPerS   = 2.0
	coldLimit  = coldPerS*1.5 + 5
	// downFor is how long the endpoint is down, nodeCut how long the front is cut off.
	downFor = 1500 * time.Millisecond
	nodeCut = 5500 * time.Millisecond
)

// playCold: an endpoint crashes and is back under its id, cold, while a front of its zone
// is cut off from the core.
func playCold(w *world, trouble bool) (bool, error) {
	w.cold, w.proxied, w.perZone = true, true, 2
	dst := netip.AddrPortFrom(w.ip(200), 8080)
	permits := newService("permits")
	start, rate := coldStartS, coldPerS
	permits.ColdStart, permits.ColdPerS = &start, &rate
	_, ends, err := newFleet(w, 2, []service{permits}, newRoute("check", dst, "permits"))
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
	e := ends[2]
	front := w.mainFront(e)
	if trouble {
		w.rec.log("%s is cut off from all core machines for %v", front.name, nodeCut)
		for _, l := range w.links {
			l.cutOff(front.name)
		}
		time.AfterFunc(nodeCut, func() {
			w.rec.log("%s reaches the core machines again", front.name)
			for _, l := range w.links {
				l.cutOff("")
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	e.waitIdle()
	e.crash()
	time.Sleep(downFor)
	again, err := w.startEndpoint(e.id, e.service, e.zone, e.addr, time.Duration(coldStartS*float64(time.Second)), e.work)
	if err != nil {
		return false, err
	}
	time.Sleep(again.cold)
	w.rec.log("endpoint %s is warm", again.id)
	time.Sleep(2 * time.Second)
	close(stop)
	answered, other := wait()
	w.rec.log("%d requests were answered, %d not", answered, other)
	return w.coldBroken(again), nil
}

// coldBroken reports whether an endpoint got more requests in a second of its slow start than
// the limit.
func (w *world) coldBroken(again *endpoint) bool {
	_, ran := again.seen()
	most, from := 0, again.born
	for i, r := range ran {
		if r.at.Sub(again.born) > again.cold {
			break
		}
		w.rec.log("request %s reached %s at %s by %s, %.2f s after its start", r.id, again.id, w.rec.at(r.at), r.via, r.at.Sub(again.born).Seconds())
		n := 0
		for _, o := range ran[i:] {
			if o.at.Sub(r.at) < time.Second && o.at.Sub(again.born) <= again.cold {
				n++
			}
		}
		if n > most {
			most, from = n, r.at
		}
	}
	w.rec.log("the cold endpoint got %d requests in the second from %s; the limit is %.0f", most, w.rec.at(from), coldLimit)
	return float64(most) > coldLimit
}

// mainFront returns the front by which an endpoint got most of its flows.
func (w *world) mainFront(e *endpoint) (most *machine) {
	opens, _ := e.seen()
	count := make(map[string]int)
	for _, o := range opens {
		count[o.via]++
	}
	for _, f := range w.fronts {
		if most == nil || count[f.name] > count[most.name] {
			most = f
		}
	}
	w.rec.log("endpoint %s got %d of its %d flows by %s", e.id, count[most.name], len(opens), most.name)
	return most
}
