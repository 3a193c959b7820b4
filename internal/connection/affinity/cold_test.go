package affinity

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"heatherport/internal/load/share"
	"heatherport/internal/result"
)

// coldLimit is the limit of the services in these tests, in connections a second.
const coldLimit = 5

func TestEvacuatedUpstreamKeepsItsConnections(t *testing.T) {
	f := newFixture(2, 0)
	e := newEngine(1)
	first := e.Decide(0, f.view(), opening(0)).Upstream
	for i := range f.upstreams {
		f.upstreams[i].Evacuated = f.upstreams[i].ID == first.ID
	}
	must.Eq(t, first.ID, e.Decide(1, f.view(), data(first.Cookie)).Upstream.ID)
	for port := range uint16(50) {
		p := opening(0)
		p.Caller = netip.AddrPortFrom(callerAddr.Addr(), 1000+port)
		must.NotEq(t, first.ID, e.Decide(1, f.view(), p).Upstream.ID)
	}
}

func TestCopyNeverGoesToAnEvacuatedUpstream(t *testing.T) {
	f := newFixture(1, 0)
	e := newEngine(1)
	must.NotNil(t, e.Decide(0, f.view(), opening(0)).Upstream)
	f.upstreams[0].Evacuated = true
	must.Nil(t, e.Decide(200*time.Millisecond, f.view(), opening(1)).Upstream)
}

// Each cause of a refusal has its own code, so that operators know what to change.
func TestRefusalsOfExcludedUpstreams(t *testing.T) {
	for _, c := range []struct {
		change func(u *Upstream)
		want   result.Code
	}{
		{func(u *Upstream) { u.Evacuated = true }, result.RefusedEvacuated},
		{func(u *Upstream) { u.Region = "south" }, result.RefusedRegion},
		{func(u *Upstream) { u.Region = "" }, result.RefusedRegion},
		{func(u *Upstream) { u.Region, u.ColdUntil = "north", time.Second }, result.RefusedCold},
	} {
		f := newFixture(3, 0)
		f.routes.Route(permitsAddr).Regions = []string{"north"}
		for i := range f.upstreams {
			c.change(&f.upstreams[i])
		}
		must.Eq(t, Verdict{Code: c.want, Refuse: true}, newEngine(1).Decide(0, f.view(), opening(0)))
	}
}

func TestRouteStaysInItsRegions(t *testing.T) {
	f := newFixture(4, 0)
	f.routes.Route(permitsAddr).Regions = []string{"north"}
	f.upstreams[2].Region = "north"
	f.upstreams[3].Region = "south"
	e := newEngine(1)
	for port := range uint16(20) {
		p := opening(0)
		p.Caller = netip.AddrPortFrom(callerAddr.Addr(), 1000+port)
		must.Eq(t, f.upstreams[2].ID, e.Decide(0, f.view(), p).Upstream.ID)
	}
}

// A domain returns cold as a whole while all other upstreams are loaded. No upstream
// may get more than its limit in any second, from all balancers together, whatever
// their views are; those whose slow start is owned must not stay idle.
func TestSlowStartLimitOverAllBalancers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slowStart = 3 * time.Second
		f := newFixture(6, 0)
		balancers := rapid.IntRange(1, 8).Draw(t, "balancers")
		engines := make([]*Engine, balancers)
		views := make([]*View, balancers)
		cold := 3
		// The first and the last announcement of an upstream may have reached two
		// controllers that chose different owners. A balancer may hold either record.
		var owners [3][2]int
		for i := range cold {
			owners[i] = [2]int{rapid.IntRange(0, balancers-1).Draw(t, "owner"), rapid.IntRange(0, balancers-1).Draw(t, "second owner")}
		}
		for b := range engines {
			engines[b] = newEngine(uint64(b))
			for i := range cold {
				u := &f.upstreams[i]
				u.ColdUntil, u.ColdRate = slowStart, coldLimit/2
				u.Owned = owners[i][rapid.IntRange(0, 1).Draw(t, "record")] == b
			}
			views[b] = f.view()
		}
		taken := map[string][]time.Duration{}
		for i := range 600 {
			now := time.Duration(i) * 5 * time.Millisecond
			b := rapid.IntRange(0, balancers-1).Draw(t, "balancer")
			p := opening(0)
			p.Caller = netip.AddrPortFrom(callerAddr.Addr(), 1000+uint16(i))
			if u := engines[b].Decide(now, views[b], p).Upstream; u != nil && now < u.ColdUntil {
				taken[u.ID] = append(taken[u.ID], now)
			}
		}
		for id, times := range taken {
			for i := range times {
				if i+coldLimit < len(times) {
					must.Greater(t, time.Second, times[i+coldLimit]-times[i], must.Sprint(id))
				}
			}
		}
	})
}

func TestOwnedSlowStartIsUsedUnderLoad(t *testing.T) {
	f := newFixture(2, 0)
	f.upstreams[0].ColdUntil, f.upstreams[0].ColdRate, f.upstreams[0].Owned = 3*time.Second, coldLimit/2, true
	e := newEngine(1)
	placed := 0
	for i := range 100 {
		p := opening(0)
		p.Caller = netip.AddrPortFrom(callerAddr.Addr(), 1000+uint16(i))
		if e.Decide(time.Duration(i)*20*time.Millisecond, f.view(), p).Upstream.ID == f.upstreams[0].ID {
			placed++
		}
	}
	must.Eq(t, 4, placed) // two in each window of 1.2 s
}

func TestUnopenedConnectionsAreCounted(t *testing.T) {
	f := newFixture(3, 0)
	e := newEngine(1)
	var last *Upstream
	for i := range 4 {
		p := opening(0)
		p.Caller = netip.AddrPortFrom(callerAddr.Addr(), 1000+uint16(i))
		last = e.Decide(time.Duration(i)*time.Millisecond, f.view(), p).Upstream
	}
	count, age := e.Unopened(10 * time.Millisecond)
	must.Eq(t, 4, count)
	must.Eq(t, 10*time.Millisecond, age)
	p := data(last.Cookie)
	p.Caller = netip.AddrPortFrom(callerAddr.Addr(), 1003)
	e.Decide(11*time.Millisecond, f.view(), p)
	count, _ = e.Unopened(12 * time.Millisecond)
	must.Eq(t, 0, count)
}

// The owner of a slow start stands still and goes on with its old view, while another
// balancer became the owner. Both have callers waiting. One packet may have been placed
// just before the pause and sent after it.
func TestPausedOwnerStaysWithinTheSlowStartLimit(t *testing.T) {
	f := newFixture(2, 0)
	f.upstreams[0].ColdUntil, f.upstreams[0].ColdRate, f.upstreams[0].Owned = time.Minute, coldLimit/2, true
	f.upstreams[1].Evacuated = true
	engines := []*Engine{newEngine(1), newEngine(2)}
	var taken []time.Duration
	port := uint16(1000)
	for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
		for i, e := range engines {
			isPaused := i == 0 && now > time.Second && now < 4*time.Second
			isOwner := i == 0 || now > 2*time.Second
			if isPaused || !isOwner {
				continue
			}
			p := opening(0)
			port++
			p.Caller = netip.AddrPortFrom(callerAddr.Addr(), port)
			if e.Decide(now, f.view(), p).Upstream != nil {
				taken = append(taken, now)
			}
		}
	}
	must.Greater(t, 16, len(taken))
	for i := range taken {
		if i+coldLimit-1 < len(taken) {
			must.Greater(t, time.Second, taken[i+coldLimit-1]-taken[i])
		}
	}
}

// The domains that are left may be full. Their overload must not send connections to
// the evacuated one: they wait, and are then refused.
func TestFullDomainsDoNotOpenAnEvacuatedOne(t *testing.T) {
	f := newFixture(2, 0)
	f.upstreams[0].Evacuated = true
	view := f.view()
	view.Balancers = []share.Balancer{{Name: "b1"}}
	e := New(Config{Name: "b1", Capacity: 1000, Lifetime: testLifetime, Rand: rand.New(rand.NewPCG(1, 0))})
	const begin, attempts = 5 * time.Second, 20
	placed, waiting := 0, 0
	for i := range attempts {
		p := opening(0)
		p.Caller = netip.AddrPortFrom(callerAddr.Addr(), 1000+uint16(i))
		p.Repeat = 200 * time.Millisecond
		switch v := e.Decide(begin, view, p); {
		case v.Upstream != nil:
			must.Eq(t, f.upstreams[1].ID, v.Upstream.ID)
			placed++
		case v.Wait:
			waiting++
		default:
			must.Eq(t, result.RefusedOverloaded, v.Code)
		}
	}
	must.Positive(t, placed)
	must.Less(t, attempts, placed)
	refused := 0
	e.Release(begin+maxWait+1, view, func(_ *Packet, v Verdict) {
		must.Nil(t, v.Upstream)
		must.Eq(t, result.RefusedOverloaded, v.Code)
		refused++
	})
	must.Eq(t, waiting, refused)
}
