//go:build review

package standins

import (
	"fmt"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"
)

// foreignHeartbeat plays case 1. Another writer sends heartbeats whose id has bytes that
// can't be read. Then the configuration moves a route to another service.
func foreignHeartbeat(w *world) error {
	services := []string{"rounds-api", "sheet-press"}
	before := []route{{"r-1", "safe", portOne, services[0]}}
	after := []route{{"r-1", "safe", portOne, services[1]}}
	clients, err := w.startDeployment(3, services, before, 4)
	if err != nil {
		return err
	}
	var ackedAt atomic.Pointer[time.Time]
	t := startTraffic(clients, w.routeOne(), 100*time.Millisecond, func(*flow, string, outcome) {})
	for _, e := range w.endpoints {
		e.ran = func(e *endpoint, from netip.AddrPort, id string) {
			w.note("endpoint %s of %s runs %s", e.id, e.service, id)
			acked := ackedAt.Load()
			if acked == nil || e.service == services[1] {
				return
			}
			if since := t.openedAt(id).Sub(*acked); since > applyTime {
				w.breakRule("CONFIG: request %s, sent %s after version 8 was acknowledged, is run by %s, the service of version 3", id, since, e.service)
			}
		}
	}
	time.Sleep(5 * time.Second)
	if w.trouble {
		w.foreignBeats(5)
	} else {
		time.Sleep(5 * heartbeat)
	}
	time.Sleep(contactTime)
	if at, ok := w.putConfiguration(8, w.configuration(8, services, after), 15*time.Second); ok {
		ackedAt.Store(&at)
	} else {
		w.note("version 8 was not acknowledged within 15 s")
	}
	time.Sleep(10 * time.Second)
	// A restart shows what a balancer without state gets from the controllers.
	b := w.balancers[0]
	b.end()
	if err := b.start(); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	w.note("%s, started 6 s ago, is in rotation: %t", b.name, w.router.inRotation(b))
	t.stop()
	w.note("%d requests, %d answered", t.attempted.Load(), t.answered_.Load())
	return nil
}

// foreignBeats sends heartbeats of another writer, each to the next node. The identifier
// begins with two bytes that are not text.
func (w *world) foreignBeats(n int) {
	address := netip.AddrPortFrom(w.host(120), endpointPort)
	for i := range n {
		body := fmt.Sprintf(`{"service":"rounds-api","address":%q,"zone":%q,"version":"v1","slots":2,"state":"ready","cold_left_ms":0,"seq":%d,"born":%d}`,
			address, zones[0], i+1, w.begun.UnixMilli())
		c := w.controllers[i%len(w.controllers)]
		status, _ := w.call(c.api(), http.MethodPut, "/api/instances/%ff%fe-7f3a91c2", []byte(body))
		w.note("another writer sends a heartbeat to %s: %d", c.name, status)
		time.Sleep(heartbeat)
	}
}
