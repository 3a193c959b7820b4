package standins

import (
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// Limits of the site affph-gate-now-grown.
const (
	evacuateMS   = 5000 * time.Millisecond
	contactMS    = 5000 * time.Millisecond
	skewBoundMS  = 15000 * time.Millisecond
	cutLength    = 5500 * time.Millisecond
	evacuateZone = "ibadan"
)

// newFleet starts the system with a configuration and endpoints of one service in each zone.
func newFleet(w *world, perZone int, services []service, routes ...route) (op *caller, ends []*endpoint, err error) {
	return newUnevenFleet(w, []int{perZone, perZone, perZone, perZone}, services, routes...)
}

// newUnevenFleet starts the system with some endpoints in each zone.
func newUnevenFleet(w *world, perZone []int, services []service, routes ...route) (op *caller, ends []*endpoint, err error) {
	w.deploy()
	if err := w.start(); err != nil {
		return nil, nil, err
	}
	op = newCaller(w, "operator")
	if status, _, _ := op.call(0, "PUT", "/api/config", newConfiguration(3, services, routes...).encode()); status != 200 {
		return nil, nil, errors.New("the first configuration was not accepted")
	}
	n := 0
	for i, zone := range zones {
		for range perZone[i] {
			n++
			e, err := w.startEndpoint(fmt.Sprintf("i-%08x", 0x7f3a9100+n), services[0].Name, zone, netip.AddrPortFrom(w.ip(byte(100+n)), 8080), 0, 20*time.Millisecond)
			if err != nil {
				return nil, nil, err
			}
			ends = append(ends, e)
		}
	}
	if !w.waitReady(20 * time.Second) {
		return nil, nil, errors.New("the fronts did not become ready")
	}
	time.Sleep(6 * time.Second) // the machines are in touch, and starts are over
	return op, ends, nil
}

// traffic keeps opening flows through all fronts in turn until stop is closed.
func traffic(w *world, c *client, dst netip.AddrPort, every time.Duration, stop chan struct{}) (wait func() (answered, other int)) {
	var running sync.WaitGroup
	var mu sync.Mutex
	answered, other := 0, 0
	running.Go(func() {
		for i := 0; ; i++ {
			front := w.fronts[i%len(w.fronts)]
			f := c.open(dst, func() *machine { return front })
			running.Go(func() {
				<-f.done
				mu.Lock()
				defer mu.Unlock()
				if f.result == "answered" {
					answered++
				} else {
					other++
				}
			})
			select {
			case <-stop:
				return
			case <-time.After(every):
			}
		}
	})
	return func() (int, int) {
		running.Wait()
		return answered, other
	}
}

// playEvacuation: an order of the operator that a cut held up on its way arrives after a
// later order was acknowledged.
func playEvacuation(w *world, trouble bool) (bool, error) {
	w.cold = true
	dst := netip.AddrPortFrom(w.ip(200), 8080)
	op, ends, err := newFleet(w, 2, []service{newService("permits")}, newRoute("check", dst, "permits"))
	if err != nil {
		return false, err
	}
	// The operator reaches the first core machine over a link that can be cut.
	link, err := newProxy(netip.AddrPortFrom(w.ip(60), controlPort), netip.AddrPortFrom(w.cores[0].ip, controlPort).String())
	if err != nil {
		return false, err
	}
	direct := op.addr
	op.addr = func(i int) string {
		if i == 0 {
			return link.listener.Addr().String()
		}
		return direct(i)
	}
	c, err := w.newClient(w.ip(70))
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	wait := traffic(w, c, dst, 10*time.Millisecond, stop)
	order := func(first int, method string) (time.Time, error) {
		status, _, at := op.call(first, method, "/api/evacuations/"+evacuateZone, nil)
		if status != 200 {
			return at, fmt.Errorf("%s was answered %d", method, status)
		}
		return at, nil
	}
	time.Sleep(time.Second)
	if _, err := order(0, "POST"); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	healed := time.Now()
	if trouble {
		w.rec.log("the link between the operator and %s is cut for %v", w.cores[0].name, cutLength)
		link.cut()
		healed = healed.Add(cutLength)
		time.AfterFunc(cutLength, func() {
			w.rec.log("the link is whole again")
			link.heal()
		})
	}
	if _, err := order(0, "DELETE"); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	acked, err := order(1, "POST")
	if err != nil {
		return false, err
	}
	w.rec.log("the evacuation of %s is acknowledged, and the operator gives no further order", evacuateZone)
	// Later than the bound, also stretched by an unstable core, and with all machines in touch.
	from := acked.Add(evacuateMS + skewBoundMS)
	if calm := healed.Add(contactMS + evacuateMS); calm.After(from) {
		from = calm
	}
	time.Sleep(time.Until(from.Add(8 * time.Second)))
	close(stop)
	answered, other := wait()
	w.rec.log("%d requests were answered, %d not", answered, other)
	late := 0
	for _, e := range ends {
		opens, _ := e.seen()
		for _, o := range opens {
			if e.zone != evacuateZone || !o.at.After(from) {
				continue
			}
			if late++; late <= 10 {
				w.rec.log("EVAC: endpoint %s in %s took a flow at %s by %s, %.1f s after the evacuation was acknowledged", e.id, e.zone, w.rec.at(o.at), o.via, o.at.Sub(acked).Seconds())
			}
		}
	}
	w.rec.log("%d requests reached %s later than allowed", late, evacuateZone)
	return late > 0, nil
}
