package affinity

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"heatherport/internal/load/share"
	"heatherport/internal/result"
	"heatherport/internal/version/directory"
	"heatherport/internal/version/routing"
)

var (
	permitsAddr = netip.MustParseAddrPort("198.51.100.1:8443")
	sheetsAddr  = netip.MustParseAddrPort("198.51.100.1:9443")
	callerAddr  = netip.MustParseAddrPort("203.0.113.7:40001")
)

// testLifetime exceeds the duration of all tests.
const testLifetime = time.Hour

// fixture is a set of upstreams that a test changes.
type fixture struct {
	upstreams []Upstream
	routes    *routing.Table
	lastStart int64 // start time of the newest upstream
	balancers []share.Balancer
}

func newFixture(permits, sheets int) *fixture {
	route := func(address netip.AddrPort, service string) routing.Route {
		return routing.Route{Name: service, Address: address, Targets: []routing.Target{{Service: service, Weight: 1}}, Timeout: time.Second}
	}
	table, err := routing.New(1, time.Minute, []string{"permits", "sheets"}, []routing.Route{route(permitsAddr, "permits"), route(sheetsAddr, "sheets")})
	if err != nil {
		panic(err)
	}
	f := &fixture{routes: table}
	for range permits {
		f.add("permits")
	}
	for range sheets {
		f.add("sheets")
	}
	return f
}

func (f *fixture) add(service string) *Upstream {
	f.lastStart++
	r := directory.Record{
		ID: fmt.Sprintf("i-%x", f.lastStart), Handle: uint64(f.lastStart), Service: service, State: directory.Serving, Slots: 2, StartMillis: f.lastStart,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(f.lastStart)}), 8080),
	}
	f.upstreams = append(f.upstreams, Upstream{Record: r, Cookie: r.Tag()})
	return &f.upstreams[len(f.upstreams)-1]
}

func (f *fixture) view() *View {
	v := &View{Routes: f.routes, Current: true, Balancers: f.balancers}
	return v.Index(append([]Upstream(nil), f.upstreams...))
}

func newEngine(seed uint64) *Engine {
	return New(Config{Capacity: 1000, Lifetime: testLifetime, Rand: rand.New(rand.NewPCG(seed, 0))})
}

func opening(copies uint32) *Packet {
	return &Packet{Caller: callerAddr, Service: permitsAddr, Opening: true, Sequence: 77, Copies: copies}
}

func data(cookie uint32) *Packet {
	return &Packet{Caller: callerAddr, Service: permitsAddr, Cookie: cookie, Sequence: 78, Length: 10}
}

func TestOpeningGoesToAnUpstreamOfTheService(t *testing.T) {
	f := newFixture(3, 3)
	e := newEngine(1)
	for port := range uint16(200) {
		p := opening(0)
		p.Caller = netip.AddrPortFrom(callerAddr.Addr(), 1000+port)
		got := e.Decide(0, f.view(), p)
		must.NotNil(t, got.Upstream)
		must.Eq(t, "permits", got.Upstream.Service)
	}
	must.Eq(t, 200, e.Len())
}

func TestOpeningsAreSpread(t *testing.T) {
	f := newFixture(4, 0)
	e := newEngine(1)
	counts := map[string]int{}
	for port := range uint16(400) {
		p := opening(0)
		p.Caller = netip.AddrPortFrom(callerAddr.Addr(), 1000+port)
		counts[e.Decide(0, f.view(), p).Upstream.ID]++
	}
	for id, n := range counts {
		must.Eq(t, 100, n, must.Sprint(id))
	}
}

func TestMissingRouteIsRefusedOnlyWhenCertain(t *testing.T) {
	f := newFixture(1, 1)
	p := opening(0)
	p.Service = netip.MustParseAddrPort("198.51.100.9:1")
	got := newEngine(1).Decide(0, f.view(), p)
	must.Eq(t, Verdict{Code: result.RefusedNoRoute, Refuse: true}, got)
	v := f.view()
	v.Current = false
	must.False(t, newEngine(1).Decide(0, v, p).Refuse)
	// Another balancer may have forwarded the first opening packet.
	p.Copies = 1
	must.False(t, newEngine(1).Decide(0, f.view(), p).Refuse)
}

func TestOpeningWithoutUpstreamIsRefused(t *testing.T) {
	f := newFixture(0, 1)
	got := newEngine(1).Decide(0, f.view(), opening(0))
	must.Eq(t, Verdict{Code: result.RefusedNoUpstream, Refuse: true}, got)
}

func TestLeavingUpstreamKeepsItsConnections(t *testing.T) {
	f := newFixture(2, 0)
	e := newEngine(1)
	first := e.Decide(0, f.view(), opening(0)).Upstream
	for i := range f.upstreams {
		if f.upstreams[i].ID == first.ID {
			f.upstreams[i].State = directory.Leaving
		}
	}
	must.Eq(t, first.ID, e.Decide(0, f.view(), data(first.Cookie)).Upstream.ID)
	for port := range uint16(50) {
		p := opening(0)
		p.Caller = netip.AddrPortFrom(callerAddr.Addr(), 1000+port)
		must.NotEq(t, first.ID, e.Decide(0, f.view(), p).Upstream.ID)
	}
}

func TestAnyBalancerForwardsByCookie(t *testing.T) {
	f := newFixture(5, 5)
	first := newEngine(1).Decide(0, f.view(), opening(0)).Upstream
	must.Eq(t, first.ID, newEngine(2).Decide(0, f.view(), data(first.Cookie)).Upstream.ID)
}

func TestUnknownCookieIsDroppedWithoutReset(t *testing.T) {
	f := newFixture(2, 0)
	got := newEngine(1).Decide(0, f.view(), data(12345))
	must.Eq(t, Verdict{Code: result.DropUnknownTag}, got)
	must.Eq(t, Verdict{Code: result.DropNoCookie}, newEngine(1).Decide(0, f.view(), data(0)))
}

func TestCopyGoesToAnotherUpstream(t *testing.T) {
	f := newFixture(3, 0)
	e := newEngine(1)
	first := e.Decide(0, f.view(), opening(0)).Upstream
	second := e.Decide(200*time.Millisecond, f.view(), opening(1)).Upstream
	third := e.Decide(600*time.Millisecond, f.view(), opening(2)).Upstream
	must.NotEq(t, first.ID, second.ID)
	must.NotEq(t, first.ID, third.ID)
	must.NotEq(t, second.ID, third.ID)
}

func TestCopyGoesToSameUpstreamIfItIsTheOnlyOne(t *testing.T) {
	f := newFixture(1, 0)
	e := newEngine(1)
	first := e.Decide(0, f.view(), opening(0)).Upstream
	must.Eq(t, first.ID, e.Decide(200*time.Millisecond, f.view(), opening(1)).Upstream.ID)
}

func TestUnresponsiveUpstreamIsAvoidedUntilTimeout(t *testing.T) {
	f := newFixture(3, 0)
	e := newEngine(1)
	unresponsive := e.Decide(0, f.view(), opening(0)).Upstream
	second := e.Decide(200*time.Millisecond, f.view(), opening(1)).Upstream
	e.Decide(201*time.Millisecond, f.view(), data(second.Cookie))
	others := func(now time.Duration) bool {
		for port := range uint16(30) {
			p := opening(0)
			p.Caller = netip.AddrPortFrom(callerAddr.Addr(), 1000+port+uint16(now/time.Millisecond))
			if e.Decide(now, f.view(), p).Upstream.ID == unresponsive.ID {
				return false
			}
		}
		return true
	}
	must.True(t, others(300*time.Millisecond))
	must.False(t, others(201*time.Millisecond+suspicionTimeout))
}

func TestConnectionStaysAtUpstreamAcknowledgedFirst(t *testing.T) {
	for _, late := range []bool{false, true} {
		f := newFixture(3, 0)
		e := newEngine(1)
		first := e.Decide(0, f.view(), opening(0)).Upstream
		second := e.Decide(200*time.Millisecond, f.view(), opening(1)).Upstream
		opened, other := first, second
		if late {
			opened, other = second, first
		}
		must.Eq(t, opened.ID, e.Decide(201*time.Millisecond, f.view(), data(opened.Cookie)).Upstream.ID)
		// The other answer reaches the caller, which repeats its cookie.
		must.Eq(t, opened.ID, e.Decide(202*time.Millisecond, f.view(), data(other.Cookie)).Upstream.ID)
		// A delayed copy must not open the connection at another upstream.
		must.Eq(t, opened.ID, e.Decide(203*time.Millisecond, f.view(), opening(2)).Upstream.ID)
	}
}

func TestConnectionsOfAnEndedUpstreamAreReset(t *testing.T) {
	f := newFixture(2, 0)
	e := newEngine(1)
	u := e.Decide(0, f.view(), opening(0)).Upstream
	for i := range f.upstreams {
		if f.upstreams[i].ID == u.ID {
			f.upstreams[i].State = directory.Gone
		}
	}
	must.NotNil(t, e.Decide(1, f.view(), data(u.Cookie)).Upstream)
	for i := range f.upstreams {
		f.upstreams[i].Ended = f.upstreams[i].ID == u.ID
	}
	got := e.Decide(2, f.view(), data(u.Cookie))
	must.Eq(t, Verdict{Code: result.DropUpstreamGone, Refuse: true}, got)
	p := data(u.Cookie)
	p.Reset = true
	must.False(t, e.Decide(3, f.view(), p).Refuse)
}

func TestCookieOfAnotherServiceIsDropped(t *testing.T) {
	f := newFixture(1, 1)
	v := f.view()
	v.RetiredTargets = (*routing.RetiredTargets)(nil).Retire(0, time.Minute, nil)
	p := data(f.upstreams[1].Cookie)
	must.Eq(t, result.DropServiceMismatch, newEngine(1).Decide(0, v, p).Code)
	// An earlier routing table sent connections to this service.
	table, err := routing.New(1, 0, []string{"sheets"}, []routing.Route{{Name: "r", Address: permitsAddr, Targets: []routing.Target{{Service: "sheets", Weight: 1}}, Timeout: 1}})
	must.NoError(t, err)
	v.RetiredTargets = v.RetiredTargets.Retire(0, time.Minute, table)
	must.NotNil(t, newEngine(1).Decide(0, v, p).Upstream)
	v.RetiredTargets = v.RetiredTargets.Retire(2*time.Minute, time.Minute, nil)
	must.Nil(t, newEngine(1).Decide(0, v, p).Upstream)
}

func TestUpstreamWithDuplicateTagIsIgnored(t *testing.T) {
	f := newFixture(2, 0)
	f.upstreams[1].Cookie = f.upstreams[0].Cookie
	v := f.view()
	must.Eq(t, f.upstreams[0].ID, v.Upstream(f.upstreams[0].Cookie).ID)
	must.Len(t, 1, v.byService["permits"])
}

func TestIdleConnectionsStopCounting(t *testing.T) {
	f := newFixture(1, 0)
	e := newEngine(1)
	u := e.Decide(0, f.view(), opening(0)).Upstream
	must.Eq(t, 1, e.upstreamState(u.Cookie).open)
	e.Tick(loadTimeout+1, f.view())
	must.Eq(t, 0, e.upstreamState(u.Cookie).open)
	e.Decide(loadTimeout+2, f.view(), data(u.Cookie))
	must.Eq(t, 1, e.upstreamState(u.Cookie).open)
	end := data(u.Cookie)
	end.Ending = true
	e.Decide(loadTimeout+3, f.view(), end)
	must.Eq(t, 0, e.upstreamState(u.Cookie).open)
	e.Tick(loadTimeout+entryTimeout+4, f.view())
	must.Eq(t, 0, e.Len())
	must.MapEmpty(t, e.upstreams)
}

func TestFullTableStillForwards(t *testing.T) {
	f := newFixture(2, 0)
	e := New(Config{Lifetime: testLifetime, Rand: rand.New(rand.NewPCG(1, 0))})
	u := e.Decide(0, f.view(), opening(0)).Upstream
	must.NotNil(t, u)
	must.Eq(t, 0, e.Len())
	must.Eq(t, u.ID, e.Decide(0, f.view(), data(u.Cookie)).Upstream.ID)
}

func TestLapsedUpstreamIsChosenLast(t *testing.T) {
	f := newFixture(2, 0)
	f.upstreams[0].Lapsed = true
	e := newEngine(1)
	for port := range uint16(20) {
		p := opening(0)
		p.Caller = netip.AddrPortFrom(callerAddr.Addr(), 1000+port)
		must.Eq(t, f.upstreams[1].ID, e.Decide(0, f.view(), p).Upstream.ID)
	}
	f.upstreams[1].State = directory.Leaving
	must.Eq(t, f.upstreams[0].ID, e.Decide(0, f.view(), opening(0)).Upstream.ID)
}
