package balancer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"heatherport/internal/process/controller"
	"heatherport/internal/version/directory"
	"heatherport/internal/version/routing"
)

// A controller that stood still or was cut off feeds evacuations that are no longer in
// force.
func TestOlderEvacuationsAreIgnored(t *testing.T) {
	var e evacuations
	must.True(t, e.apply(1, &controller.Evacuations{Index: 5, Domains: []string{"akure"}}))
	must.False(t, e.apply(2, &controller.Evacuations{Index: 3}))
	must.False(t, e.apply(2, &controller.Evacuations{Index: 5}))
	must.False(t, e.apply(2, nil))
	must.True(t, e.isActive("akure"))
	must.True(t, e.apply(3, &controller.Evacuations{Index: 8, Ended: map[string]uint64{"akure": 8}}))
	must.False(t, e.isActive("akure"))
}

// Upstreams that started again during an evacuation may not have said so when it ends.
func TestUpstreamsAreColdAfterAnEvacuation(t *testing.T) {
	const slowStart = 2 * time.Second
	var e evacuations
	e.apply(time.Second, &controller.Evacuations{Index: 5, Domains: []string{"akure"}})
	must.Zero(t, e.coldUntil("akure", slowStart))
	e.apply(3*time.Second, &controller.Evacuations{Index: 8, Ended: map[string]uint64{"akure": 8}})
	must.Eq(t, 5*time.Second, e.coldUntil("akure", slowStart))
	must.Zero(t, e.coldUntil("ibadan", slowStart))
	// The end of another evacuation says nothing new of this domain, a second one of the
	// domain does, also to a balancer that missed its start.
	e.apply(9*time.Second, &controller.Evacuations{Index: 10, Ended: map[string]uint64{"akure": 8, "ibadan": 10}})
	must.Eq(t, 5*time.Second, e.coldUntil("akure", slowStart))
	e.apply(12*time.Second, &controller.Evacuations{Index: 20, Ended: map[string]uint64{"akure": 20, "ibadan": 10}})
	must.Eq(t, 14*time.Second, e.coldUntil("akure", slowStart))
	// Controllers leave an end out at different times, so that it may come again.
	e.apply(20*time.Second, &controller.Evacuations{Index: 21, Domains: []string{"ibadan"}})
	e.apply(21*time.Second, &controller.Evacuations{Index: 22, Ended: map[string]uint64{"akure": 20, "ibadan": 22}})
	must.Eq(t, 14*time.Second, e.coldUntil("akure", slowStart))
}

func TestEvacuatedDomainGetsNoConnections(t *testing.T) {
	fakes := startFakes(t, 2)
	b := startBalancer(t, fakes...)
	update := fullUpdate(t, 1, true)
	update.Routes.SlowStarts = map[string]routing.SlowStart{"permits": {Duration: 2 * time.Second}}
	update.Upstreams = []directory.Record{
		{ID: "i-1", Service: "permits", Address: netip.MustParseAddrPort("192.0.2.1:80"), Domain: "akure", State: directory.Serving, Slots: 2, StartMillis: 1, Seq: 1},
		{ID: "i-2", Service: "permits", Address: netip.MustParseAddrPort("192.0.2.2:80"), Domain: "ibadan", State: directory.Serving, Slots: 2, StartMillis: 1, Seq: 1, SlowStart: time.Minute, Owner: b.name},
	}
	update.Evacuations = &controller.Evacuations{Index: 3, Domains: []string{"akure"}}
	fakes[0].feed(update)
	state := func(id string) (evacuated, owned bool) {
		view := b.view.Load()
		for _, r := range update.Upstreams {
			if u := view.Upstream(r.Tag()); u != nil && r.ID == id {
				return u.Evacuated, u.Owned
			}
		}
		return false, false
	}
	eventually(t, "evacuated", func() bool { evacuated, _ := state("i-1"); return evacuated })
	evacuated, owned := state("i-2")
	must.False(t, evacuated)
	must.True(t, owned)
}

// The owner of a slow start takes half of the limit, for the case of two owners.
func TestSlowStartShare(t *testing.T) {
	for limit, want := range map[float64]int{0: 0, 0.9: 0, 1: 1, 5: 2, 20: 10} {
		must.Eq(t, want, slowStartShare(limit), must.Sprint(limit))
	}
}
