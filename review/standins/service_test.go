//go:build review

package standins

import (
	"fmt"
	"sync/atomic"
	"time"
)

// serviceReturns plays the case in which a configuration takes a service and its route out,
// and a later one puts both back. The endpoints of the service live and report all the while.
func serviceReturns(w *world) error {
	// outTime is longer than a flow may live (bounds.flow_ttl_s is 60).
	const outTime = 66 * time.Second
	services := []string{"rounds-api", "sheet-press"}
	routes := []route{{"r-1", "safe", portOne, services[0]}, {"r-2", "download", portTwo, services[1]}}
	clients, err := w.startDeployment(3, services, routes, 4)
	if err != nil {
		return err
	}
	var returned atomic.Pointer[time.Time]
	check := func(f *flow, id string, o outcome) {
		at := returned.Load()
		if at == nil || f.opened.Sub(*at) <= applyTime || o == answered {
			return
		}
		if o == resetBySystem {
			w.breakRule("CONFIG: request %s, sent %s after version 13 was acknowledged, is refused by the system though the route is there", id, f.opened.Sub(*at))
		}
	}
	one := startTraffic(clients, w.routeOne(), 100*time.Millisecond, check)
	two := startTraffic(clients, w.routeTwo(), 200*time.Millisecond, check)
	time.Sleep(2 * time.Second)
	left := services
	if w.trouble {
		left = services[1:] // the service goes with its route
	}
	if _, ok := w.putConfiguration(8, w.configuration(8, left, routes[1:]), 10*time.Second); !ok {
		return fmt.Errorf("version 8 was not acknowledged")
	}
	time.Sleep(outTime)
	at, ok := w.putConfiguration(13, w.configuration(13, services, routes), 10*time.Second)
	if !ok {
		return fmt.Errorf("version 13 was not acknowledged")
	}
	returned.Store(&at)
	before := one.answered_.Load()
	time.Sleep(15 * time.Second)
	one.stop()
	two.stop()
	for _, e := range w.endpoints[:4] {
		w.note("endpoint %s of %s lives; its last heartbeat was answered with %d", e.name(), e.service, e.lastStatus())
	}
	w.note("route 1: %d requests, %d answered, %d of them after version 13; route 2: %d, %d answered", one.attempted.Load(), one.answered_.Load(), one.answered_.Load()-before, two.attempted.Load(), two.answered_.Load())
	return nil
}
