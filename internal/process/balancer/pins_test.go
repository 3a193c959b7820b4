package balancer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"heatherport/internal/connection/affinity"
	"heatherport/internal/load/share"
	"heatherport/internal/process/controller"
	"heatherport/internal/version/directory"
	"heatherport/internal/version/routing"
)

// ambiguousConnection returns an update with two upstreams, and the packets of a connection
// whose opening packet and its copy went to one after the other.
func ambiguousConnection(t *testing.T) (update controller.FeedUpdate, opening, again, data affinity.Packet) {
	update = fullUpdate(t, 1, true)
	one, two := upstreamRecord(false), upstreamRecord(false)
	two.ID, two.Address = "i-2", netip.MustParseAddrPort("192.0.2.2:80")
	update.Upstreams = []directory.Record{one, two}
	opening = affinity.Packet{Caller: netip.MustParseAddrPort("203.0.113.7:40001"), Service: netip.MustParseAddrPort("198.51.100.1:8443"), Opening: true, Sequence: 77}
	again, data = opening, opening
	again.Copies, again.Waited = 1, 200*time.Millisecond
	data.Opening, data.Sequence, data.Length = false, 78, 10
	return update, opening, again, data
}

// Guards against a balancer that keeps to itself which upstream holds a connection: it is
// told to the controllers that feed it, and again to those that feed it later.
func TestAmbiguousConnectionIsReported(t *testing.T) {
	fakes := startFakes(t, 2)
	b := startBalancer(t, fakes...)
	update, opening, again, data := ambiguousConnection(t)
	fakes[0].feed(update)
	eventually(t, "both upstreams", func() bool { return b.view.Load().Upstream(update.Upstreams[1].Tag()) != nil })
	b.forwarder.mu.Lock()
	engine := b.forwarder.engine
	pin := affinity.Pin{Caller: opening.Caller, Service: opening.Service, Sequence: data.Sequence}
	view := testView(update.Upstreams)
	now := b.now()
	engine.Decide(now, view, &opening)
	engine.Decide(now+200*time.Millisecond, view, &again)
	data.Cookie = update.Upstreams[1].Tag()
	verdict := engine.Decide(now+201*time.Millisecond, view, &data)
	b.forwarder.mu.Unlock()
	must.NotNil(t, verdict.Upstream)
	fakes[1].feed(update)
	for _, f := range fakes {
		select {
		case m := <-f.pins:
			must.Len(t, 1, m.Pins)
			must.Eq(t, pin.Caller, m.Pins[0].Caller)
			must.Eq(t, pin.Sequence, m.Pins[0].Sequence)
			must.Eq(t, verdict.Upstream.Cookie, m.Pins[0].Cookie)
		case <-time.After(waitTimeout):
			t.Fatal("no pin in time")
		}
	}
}

// The pins of a large fleet take no more of a link than those of a small one.
func TestPinsOfAFleetAreBounded(t *testing.T) {
	for _, balancers := range []int{1, 8, 70, 6600} {
		b := &Balancer{balancers: make([]share.Balancer, balancers)}
		perSecond := float64(balancers) * pinsPerReport / b.pinInterval().Seconds()
		must.LessEq(t, 50, perSecond)
		must.GreaterEq(t, minPinInterval, b.pinInterval())
	}
}

// Guards against a balancer that forwards a connection by a cookie which the balancer that
// saw it open has overruled.
func TestFedPinsAreUsed(t *testing.T) {
	fakes := startFakes(t, 1)
	b := startBalancer(t, fakes...)
	update, opening, _, data := ambiguousConnection(t)
	holder, other := update.Upstreams[0], update.Upstreams[1]
	update.Pins = []controller.Pin{{Caller: opening.Caller, Service: opening.Service, Cookie: holder.Tag(), Sequence: data.Sequence}}
	fakes[0].feed(update)
	eventually(t, "both upstreams", func() bool { return b.view.Load().Upstream(other.Tag()) != nil })
	data.Cookie = other.Tag()
	b.forwarder.mu.Lock()
	defer b.forwarder.mu.Unlock()
	verdict := b.forwarder.engine.Decide(b.now(), testView(update.Upstreams), &data)
	must.Eq(t, holder.ID, verdict.Upstream.ID)
	must.True(t, verdict.Pinned)
}

// testView returns a view of upstreams with a route to their service.
func testView(records []directory.Record) *affinity.View {
	table, err := routing.New(1, 0, []string{"permits"}, []routing.Route{{
		Name: "r", Address: netip.MustParseAddrPort("198.51.100.1:8443"), Timeout: time.Second, Targets: []routing.Target{{Service: "permits", Weight: 1}},
	}})
	if err != nil {
		panic(err)
	}
	var upstreams []affinity.Upstream
	for _, r := range records {
		upstreams = append(upstreams, affinity.Upstream{Record: r, Cookie: r.Tag()})
	}
	return (&affinity.View{Routes: table, Current: true}).Index(upstreams)
}
