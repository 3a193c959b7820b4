//go:build review

package standins

import (
	"sync"
	"sync/atomic"
	"time"
)

// cutOffController plays the case in which a machine of the core is silently cut off from
// all others for a minute, and joined again.
func cutOffController(w *world) error {
	const cutTime = 64 * time.Second
	services := []string{"rounds-api"}
	clients, err := w.startDeployment(3, services, []route{{"r-1", "safe", portOne, services[0]}}, 8)
	if err != nil {
		return err
	}
	var joined atomic.Pointer[time.Time]
	var late, served atomic.Int64
	t := startTraffic(clients, w.routeOne(), 100*time.Millisecond, func(f *flow, id string, o outcome) {
		if at := joined.Load(); at != nil && time.Since(*at) > contactTime {
			late.Add(1)
			if o == answered {
				served.Add(1)
			}
		}
	})
	w.calmFrom.Store(time.Now().Add(time.Hour).UnixNano())
	if w.trouble {
		w.cut.Store(w.controllers[1])
		w.note("%s is cut off", w.controllers[1].name)
	}
	time.Sleep(cutTime - 10*time.Second)
	var stopped atomic.Bool
	var running sync.WaitGroup
	var flows, resets atomic.Int64
	for _, c := range clients {
		running.Go(func() {
			for !stopped.Load() {
				running.Go(func() {
					flows.Add(1)
					if !w.keepFlow(c, 3, 6*time.Second, 8*time.Second) {
						resets.Add(1)
					}
				})
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(10 * time.Second)
	w.cut.Store(nil)
	now := time.Now()
	joined.Store(&now)
	w.calmFrom.Store(now.Add(contactTime).UnixNano())
	w.note("%s is joined again", w.controllers[1].name)
	time.Sleep(14 * time.Second)
	t.stop()
	stopped.Store(true)
	running.Wait()
	for _, e := range w.endpoints {
		w.note("endpoint %s lives; its last heartbeat was answered with %d", e.name(), e.lastStatus())
	}
	w.note("%d flows with pauses, %d reset by another than their endpoint; of %d requests that ended later than %s after the machine was joined, %d were answered", flows.Load(), resets.Load(), late.Load(), contactTime, served.Load())
	return nil
}
