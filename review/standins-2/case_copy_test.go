package standins

import (
	"errors"
	"net/netip"
	"time"
)

const downgradeSlackMS = 250 * time.Millisecond

// fullFor is how long the endpoints of the service are full: less than the time in which a
// client repeats an opening packet.
const fullFor = 500 * time.Millisecond

// playCopy: a configuration drops a route while clients repeat their opening packets to it,
// since all endpoints of its service are full for a moment.
func playCopy(w *world, trouble bool) (bool, error) {
	old, kept, added := netip.AddrPortFrom(w.ip(200), 8080), netip.AddrPortFrom(w.ip(200), 8443), netip.AddrPortFrom(w.ip(201), 8443)
	services := []service{newService("permits"), newService("allocations")}
	op, ends, err := newFleet(w, 2, services, newRoute("old", old, "permits"), newRoute("kept", kept, "allocations"))
	if err != nil {
		return false, err
	}
	var sheets []*endpoint
	for i, zone := range zones {
		e, err := w.startEndpoint("i-51aa000"+itoa(uint16(i)), "allocations", zone, netip.AddrPortFrom(w.ip(byte(140+i)), 8080), 0, 5*time.Millisecond)
		if err != nil {
			return false, err
		}
		sheets = append(sheets, e)
	}
	time.Sleep(2 * time.Second)
	c, err := w.newClient(w.ip(70))
	if err != nil {
		return false, err
	}
	front := w.fronts[0]
	via := func() *machine { return front }
	for range 20 {
		<-c.open(old, via).done
		<-c.open(kept, via).done
	}
	full := time.Now()
	w.rec.log("all endpoints of permits are full for %v", fullFor)
	for _, e := range ends {
		e.setFull(true)
	}
	var olds, news []*clientFlow
	for range 6 {
		olds = append(olds, c.open(old, via))
		time.Sleep(10 * time.Millisecond)
	}
	next := newConfiguration(7, services, newRoute("kept", kept, "allocations"), newRoute("added", added, "allocations"))
	if !trouble {
		next.Routes = append(next.Routes, newRoute("old", old, "permits"))
	}
	status, _, acked := op.call(0, "PUT", "/api/config", next.encode())
	if status != 200 {
		return false, errors.New("the configuration was not accepted")
	}
	time.AfterFunc(time.Until(full.Add(fullFor)), func() {
		w.rec.log("the endpoints of permits have room again")
		for _, e := range ends {
			e.setFull(false)
		}
	})
	for range 40 {
		news = append(news, c.open(added, via))
		time.Sleep(5 * time.Millisecond)
	}
	later := c.open(old, via) // a new flow shows that the route is gone
	for _, f := range append(append(news, olds...), later) {
		<-f.done
		w.rec.log("flow %v to %v, first opening packet at %s: %s", f.src, f.dst, w.rec.at(f.sent), f.result)
	}
	var seen time.Time
	for _, e := range sheets {
		_, ran := e.seen()
		for _, r := range ran {
			if r.dst == added && r.via == front.name && (seen.IsZero() || r.at.Before(seen)) {
				seen = r.at
			}
		}
	}
	if seen.IsZero() {
		return false, errors.New("no request ran on the added route")
	}
	w.rec.log("version 7 was acknowledged at %s; an endpoint saw its effect by %s at %s", w.rec.at(acked), front.name, w.rec.at(seen))
	bad := 0
	for _, e := range ends {
		_, ran := e.seen()
		for _, r := range ran {
			for _, f := range olds {
				if f.src != r.client {
					continue
				}
				sent := f.sent.Add([]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}[min(r.copies, 2)])
				late := sent.Sub(seen)
				w.rec.log("endpoint %s ran request %s on route old at %s, by %s; the opening packet that it took (copy %d) was sent at %s, %.0f ms after the effect of version 7 was seen", e.id, r.id, w.rec.at(r.at), r.via, r.copies, w.rec.at(sent), late.Seconds()*1000)
				if trouble && r.via == front.name && late > downgradeSlackMS {
					bad++
				}
			}
		}
	}
	w.rec.log("%d requests were run on a dropped route by a front whose newer version had been seen for more than %v", bad, downgradeSlackMS)
	return bad > 0, nil
}
