package standins

import (
	"net/netip"
	"time"
)

const (
	// coreDown is how long all processes of the core are gone.
	coreDown = 900 * time.Millisecond
	// crashBefore is the time from the crash of the endpoint to the end of the core.
	crashBefore = 1800 * time.Millisecond
)

// playReborn: an endpoint that had crashed is back under its id, cold, while all processes
// of the core have been killed and are not back yet.
func playReborn(w *world, trouble bool) (bool, error) {
	w.cold, w.perZone = true, 2
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
	e.waitIdle()
	e.crash()
	time.Sleep(crashBefore)
	if trouble {
		for _, m := range w.cores {
			m.kill()
		}
		time.AfterFunc(coreDown, func() {
			for _, m := range w.cores {
				if err := m.start(); err != nil {
					w.rec.log("%s does not start: %v", m.name, err)
				}
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
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
