package affinity

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"heatherport/internal/load/outlier"
	"heatherport/internal/load/share"
	"heatherport/internal/result"
	"heatherport/internal/version/directory"
)

var urgentAddr = netip.AddrPortFrom(permitsAddr.Addr(), 8080)

// sharing drives the engine of one of several balancers.
type sharing struct {
	t *testing.T
	*fixture
	*Engine
	now      time.Duration
	port     uint16
	released map[uint16]Verdict // of packets that waited, by port of the caller
	order    []uint16           // ports of released packets
}

// newSharing returns the first of some balancers, in failure domain a, before
// upstreams of two slots whose domains alternate between a and b.
func newSharing(t *testing.T, balancers, upstreams int) *sharing {
	s := &sharing{t: t, fixture: newFixture(upstreams, 0), now: 10 * time.Second, port: 1000, released: map[uint16]Verdict{}}
	for i := range s.fixture.upstreams {
		s.fixture.upstreams[i].Domain = domainNames[i%2]
	}
	for i := range balancers {
		s.balancers = append(s.balancers, share.Balancer{Name: fmt.Sprintf("b%02d", i), Domain: domainNames[i%2]})
	}
	s.Engine = New(Config{Name: "b00", Domain: "a", Capacity: 1000, Lifetime: testLifetime, Rand: rand.New(rand.NewPCG(1, 0))})
	urgent := *s.routes.Route(permitsAddr)
	urgent.Name, urgent.Address, urgent.Priority = "urgent", urgentAddr, 1
	s.routes.Route(permitsAddr).Priority = 2
	delta := s.routes.Diff(nil)
	delta.Set = append(delta.Set, urgent)
	var err error
	s.routes, err = s.routes.Apply(delta)
	must.NoError(t, err)
	return s
}

var domainNames = []string{"a", "b"}

func (s *sharing) decide(p Packet) Verdict {
	return s.Decide(s.now, s.view(), &p)
}

// openTo sends an opening packet from a new port.
func (s *sharing) openTo(address netip.AddrPort, copies uint32) Verdict {
	s.port++
	p := Packet{Opening: true, Sequence: 1, Copies: copies, Repeat: 200 * time.Millisecond}
	p.Caller, p.Service = netip.AddrPortFrom(callerAddr.Addr(), s.port), address
	if copies > 0 {
		p.Waited, p.Repeat = 200*time.Millisecond, 400*time.Millisecond
	}
	return s.decide(p)
}

// knowTimes sets the usual service time.
func (s *sharing) knowTimes() { s.pools["permits"].times.usual.lowest = averageAnswer }

func (s *sharing) open() Verdict { return s.openTo(permitsAddr, 0) }

// fill opens connections until one has to wait, and returns the placed ones.
func (s *sharing) fill() (placed []Verdict) {
	for {
		v := s.open()
		if v.Upstream == nil {
			must.True(s.t, v.Queued)
			return placed
		}
		placed = append(placed, v)
	}
}

// end ends the connection from a port.
func (s *sharing) end(port uint16, cookie uint32) {
	s.decide(Packet{Caller: netip.AddrPortFrom(callerAddr.Addr(), port), Service: permitsAddr, Cookie: cookie, Ending: true})
}

func (s *sharing) release() {
	s.Release(s.now, s.view(), func(p *Packet, v Verdict) {
		s.released[p.Caller.Port()] = v
		s.order = append(s.order, p.Caller.Port())
	})
}

// An upstream of another share has other connections, of which this balancer does
// not know.
func TestOwnShareIsFilledBeforeSpillover(t *testing.T) {
	s := newSharing(t, 2, 4) // share: two upstreams of domain a, 4 slots, 8 permits
	for range 8 {
		v := s.open()
		must.Eq(t, "a", v.Upstream.Domain)
		must.False(t, v.Choice.Spillover)
	}
	s.knowTimes()
	for range 8 {
		v := s.open()
		must.Eq(t, "b", v.Upstream.Domain)
		must.True(t, v.Choice.Spillover)
	}
	must.True(t, s.open().Queued)
	must.Eq(t, Usage{Permits: 8, Own: 8, Spillover: 8, Queued: 1}, s.Usage())
}

// Answers limit spillover only when the usual service time is known. After a restart
// of all balancers they would otherwise fill the queues of all upstreams.
func TestSpilloverIsOneForADomainBeforeTimesAreKnown(t *testing.T) {
	s := newSharing(t, 2, 4)
	must.Len(t, 9, s.fill())
}

func TestPermitsAreEvenOverTheShare(t *testing.T) {
	s := newSharing(t, 2, 4)
	open := map[string]int{}
	for range 8 {
		open[s.open().Upstream.ID]++
	}
	must.Eq(t, map[string]int{s.fixture.upstreams[0].ID: 4, s.fixture.upstreams[2].ID: 4}, open)
}

// Without a permit or room for spillover an attempt must wait; one of a more urgent
// route is released first.
func TestWaitingAttemptsAreReleasedByPriority(t *testing.T) {
	s := newSharing(t, 2, 4)
	placed := s.fill()
	normal := s.port
	must.True(t, s.openTo(urgentAddr, 0).Queued)
	urgent := s.port
	s.release()
	must.MapEmpty(t, s.released)
	for i, v := range placed[:2] {
		s.now += 10 * time.Millisecond
		s.end(1001+uint16(i), v.Upstream.Cookie)
		s.release()
	}
	must.Eq(t, []uint16{urgent, normal}, s.order)
	must.NotNil(t, s.released[normal].Upstream)
	must.Eq(t, 0, s.Usage().Queued)
}

// A refusal says that nothing was forwarded. After the caller's retransmission,
// which may pass through another balancer, that is not certain.
func TestAttemptIsRefusedOnlyWhileCertain(t *testing.T) {
	for _, late := range []bool{false, true} {
		s := newSharing(t, 2, 4)
		s.fill()
		port := s.port
		at, ok := s.NextDeadline()
		must.True(t, ok)
		must.Eq(t, s.now+maxWait, at)
		s.now = at
		s.release()
		must.MapEmpty(t, s.released)
		s.now++
		if late {
			s.now += 200*time.Millisecond - maxWait - refusalMargin
		}
		s.release()
		must.Eq(t, result.RefusedOverloaded, s.released[port].Code)
		must.Eq(t, !late, s.released[port].Refuse)
		must.Eq(t, 8, s.released[port].Overload.Permits)
	}
}

// The first copy may have been forwarded by another balancer.
func TestCopyOfUnseenAttemptWaitsAndIsNotRefused(t *testing.T) {
	s := newSharing(t, 2, 4)
	s.fill()
	s.now += time.Millisecond
	must.True(t, s.openTo(permitsAddr, 1).Queued)
	port := s.port
	s.now += 400*time.Millisecond + lateMargin
	s.release()
	must.MapNotContainsKey(t, s.released, port)
	s.now++
	s.release()
	must.False(t, s.released[port].Refuse)
	must.Nil(t, s.released[port].Upstream)
}

// A later copy takes the place of the one that waits, or both would be forwarded.
func TestRetransmissionReplacesWaitingCopy(t *testing.T) {
	s := newSharing(t, 2, 4)
	placed := s.fill()
	must.True(t, s.openTo(permitsAddr, 1).Queued)
	p := Packet{Opening: true, Sequence: 1, Copies: 2, Waited: 600 * time.Millisecond, Repeat: 800 * time.Millisecond}
	p.Caller, p.Service = netip.AddrPortFrom(callerAddr.Addr(), s.port), permitsAddr
	s.now += 400 * time.Millisecond
	must.True(t, s.decide(p).Queued)
	s.release() // refuses the attempt of fill
	s.order = nil
	for i, v := range placed {
		s.end(1001+uint16(i), v.Upstream.Cookie)
	}
	s.release()
	must.Eq(t, []uint16{s.port}, s.order)
	must.MapEmpty(t, s.attempts)
}

func TestMoreUrgentAttemptDisplacesAnother(t *testing.T) {
	s := newSharing(t, 2, 4)
	s.fill()
	for s.open().Queued {
	}
	refused := s.port
	must.MapNotContainsKey(t, s.attempts, key{netip.AddrPortFrom(callerAddr.Addr(), refused), permitsAddr})
	must.True(t, s.openTo(urgentAddr, 0).Queued)
	s.release()
	must.Eq(t, []uint16{refused - 1}, s.order)
	must.True(t, s.released[refused-1].Refuse)
}

func TestSuspectedUpstreamOfTheShareIsSkipped(t *testing.T) {
	s := newSharing(t, 2, 4)
	u := &s.fixture.upstreams[0]
	s.upstreamState(u.Cookie).cause, s.upstreamState(u.Cookie).suspected = Unanswered, s.now
	for _, v := range s.fill() {
		must.NotEq(t, u.Cookie, v.Upstream.Cookie)
	}
}

// One that only answers late is better than none.
func TestOverdueUpstreamOfTheShareIsUsedLast(t *testing.T) {
	s := newSharing(t, 2, 4)
	u := &s.fixture.upstreams[0]
	s.upstreamState(u.Cookie).cause, s.upstreamState(u.Cookie).suspected = Overdue, s.now
	placed := s.fill()
	first := slices.IndexFunc(placed, func(v Verdict) bool { return v.Upstream.Cookie == u.Cookie })
	must.Eq(t, 5, first) // after 4 permits of the other one and one of spillover
}

// A service whose upstreams all lapsed must be served on: the controllers may be
// cut off.
func TestLapsedUpstreamsAreUsedIfThereAreNoOthers(t *testing.T) {
	s := newSharing(t, 2, 4)
	for i := range s.fixture.upstreams {
		s.fixture.upstreams[i].Lapsed = true
	}
	must.NotNil(t, s.open().Upstream)
}

// A balancer that is not listed has no share; its engine must not change.
func TestListWithoutThisBalancerHasNoEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(4, 2)
		engines := []*Engine{newEngine(1), New(Config{Name: "x", Capacity: 1000, Lifetime: testLifetime, Rand: rand.New(rand.NewPCG(1, 0))})}
		cookies := map[uint16]uint32{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "packets") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			port := uint16(rapid.IntRange(1, 8).Draw(t, "port"))
			p := Packet{Caller: netip.AddrPortFrom(callerAddr.Addr(), port), Service: permitsAddr, Sequence: uint32(port), Cookie: cookies[port]}
			p.Opening = rapid.Bool().Draw(t, "opening")
			p.Ending = !p.Opening && rapid.Bool().Draw(t, "ending")
			p.Copies = uint32(rapid.IntRange(0, 2).Draw(t, "copies"))
			p.Acknowledged, p.Length = uint32(rapid.IntRange(0, 3).Draw(t, "acknowledged")), rapid.IntRange(0, 1).Draw(t, "length")
			var verdicts [2]Verdict
			for i, e := range engines {
				v := &View{Routes: f.routes, Current: true}
				if i == 1 {
					v.Balancers = []share.Balancer{{Name: "other", Domain: "a"}}
				}
				packet := p
				verdicts[i] = e.Decide(now, v.Index(f.upstreams), &packet)
				e.Tick(now, v)
			}
			must.Eq(t, verdicts[0], verdicts[1])
			if u := verdicts[0].Upstream; u != nil {
				cookies[port] = u.Cookie
			}
		}
	})
}

// Response times of reused connections say nothing of queues.
func TestReusedConnectionsHaveNoPermits(t *testing.T) {
	s := newSharing(t, 2, 4)
	s.answerTime(permitsAddr).lastReuse = s.now
	for range 40 {
		must.NotNil(t, s.open().Upstream)
	}
	must.Eq(t, 0, s.Usage().Own)
}

// An attempt whose region is full must not hold up those that may go elsewhere.
func TestFullRegionHoldsUpOnlyItsRoutes(t *testing.T) {
	s := newSharing(t, 2, 4)
	for i := range s.fixture.upstreams {
		s.fixture.upstreams[i].Region = map[string]string{"a": "north", "b": "south"}[s.fixture.upstreams[i].Domain]
	}
	s.routes.Route(urgentAddr).Regions = []string{"south"}
	for s.openTo(urgentAddr, 0).Upstream != nil {
	}
	waiting := s.port
	v := s.open()
	must.Eq(t, "north", v.Upstream.Region)
	s.release()
	must.MapNotContainsKey(t, s.released, waiting)
}

// TestExclusionsHoldForShareAndSpillover checks that no new connection reaches an
// upstream that is evacuated, in another region, or in a slow start that this
// balancer does not own, also after a wait.
func TestExclusionsHoldForShareAndSpillover(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSharing(t, 3, 9)
		s.routes.Route(permitsAddr).Regions = []string{"north"}
		check := func(u *Upstream) {
			must.Eq(rt, "north", u.Region)
			must.False(rt, u.Evacuated)
			must.True(rt, s.now >= u.ColdUntil || u.Owned)
		}
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			u := &s.fixture.upstreams[rapid.IntRange(0, len(s.fixture.upstreams)-1).Draw(rt, "upstream")]
			u.Region = rapid.SampledFrom([]string{"north", "north", "south"}).Draw(rt, "region")
			u.Evacuated = rapid.Bool().Draw(rt, "evacuated")
			u.Owned = rapid.Bool().Draw(rt, "owned")
			u.ColdRate = 2
			u.ColdUntil = rapid.SampledFrom([]time.Duration{0, time.Hour}).Draw(rt, "cold")
			s.now += time.Duration(rapid.IntRange(0, 100).Draw(rt, "ms")) * time.Millisecond
			for range rapid.IntRange(0, 5).Draw(rt, "openings") {
				if v := s.open(); v.Upstream != nil {
					check(v.Upstream)
				}
			}
			s.Release(s.now, s.view(), func(_ *Packet, v Verdict) {
				if v.Upstream != nil {
					check(v.Upstream)
				}
			})
		}
	})
}

// Each cause has its own code, and nothing waits for upstreams that cannot come.
func TestExcludedUpstreamsAreRefusedImmediately(t *testing.T) {
	for _, c := range []struct {
		change func(u *Upstream)
		want   result.Code
	}{
		{func(u *Upstream) { u.Evacuated = true }, result.RefusedEvacuated},
		{func(u *Upstream) { u.Region = "south" }, result.RefusedRegion},
		{func(u *Upstream) { u.Region, u.ColdUntil = "north", time.Hour }, result.RefusedCold},
		{func(u *Upstream) { u.State = directory.Gone }, result.RefusedNoUpstream},
	} {
		s := newSharing(t, 2, 4)
		s.routes.Route(permitsAddr).Regions = []string{"north"}
		for i := range s.fixture.upstreams {
			c.change(&s.fixture.upstreams[i])
		}
		must.Eq(t, Verdict{Code: c.want, Refuse: true}, s.open())
	}
}

// The permit of a connection without a table entry would never be returned.
func TestFullTableTakesNoPermits(t *testing.T) {
	s := newSharing(t, 2, 4)
	s.cfg.Capacity = 0
	for range 20 {
		must.NotNil(t, s.open().Upstream)
	}
	must.Eq(t, Usage{Permits: 8}, s.Usage())
}

// Permits of connections to an upstream that ended would be lost until a time-out.
func TestPermitsOfEndedUpstreamsAreReturned(t *testing.T) {
	s := newSharing(t, 2, 4)
	s.fill()
	for i := range s.fixture.upstreams {
		s.fixture.upstreams[i].State = directory.Gone
	}
	s.Tick(s.now, s.view())
	must.Eq(t, 0, s.Usage().Own+s.Usage().Spillover)
}

// TestPermitsAreNeverExceededOrLost drives openings, copies, ends, ticks and changes
// of the list at random.
func TestPermitsAreNeverExceededOrLost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSharing(t, 4, 8)
		open := map[uint16]uint32{}
		take := func(port uint16, v Verdict) {
			if v.Upstream != nil {
				open[port] = v.Upstream.Cookie
			}
		}
		release := func() {
			s.Release(s.now, s.view(), func(p *Packet, v Verdict) { take(p.Caller.Port(), v) })
		}
		rt.Repeat(map[string]func(*rapid.T){
			"open": func(rt *rapid.T) {
				v := s.open()
				take(s.port, v)
			},
			"end": func(rt *rapid.T) {
				for port, cookie := range open {
					s.end(port, cookie)
					delete(open, port)
					break
				}
			},
			"tick": func(rt *rapid.T) {
				s.now += time.Duration(rapid.IntRange(1, 200).Draw(rt, "ms")) * time.Millisecond
				s.Tick(s.now, s.view())
			},
			"list": func(rt *rapid.T) {
				all := newSharing(t, 4, 0).balancers
				s.balancers = all[:rapid.IntRange(1, len(all)).Draw(rt, "balancers")]
			},
			"": func(rt *rapid.T) {
				release()
				u := s.Usage()
				must.Eq(rt, len(s.attempts), u.Queued)
				if len(s.poolOrder) > 0 {
					counted := 0
					for _, c := range s.table {
						if c.permit.pool != nil {
							counted++
						}
					}
					must.Eq(rt, counted, u.Own+u.Spillover)
				}
			},
		})
		for port, cookie := range open {
			s.end(port, cookie)
		}
		s.now += 10 * time.Second
		release()
		s.Tick(s.now, s.view())
		must.Eq(rt, 0, s.Usage().Own+s.Usage().Spillover+s.Usage().Queued)
	})
}

// TestConnectionsNeverMoveWithShares runs the model of TestConnectionsNeverMove with
// balancers that know each other.
func TestConnectionsNeverMoveWithShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{fixture: newFixture(3, 3), unresponsive: make(map[uint32]bool), seed: 10}
		for i := range uint64(3) {
			name := fmt.Sprintf("b%d", i)
			m.balancers = append(m.balancers, share.Balancer{Name: name})
			m.engines = append(m.engines, New(Config{Name: name, Capacity: 1000, Lifetime: testLifetime, Rand: rand.New(rand.NewPCG(i, 0))}))
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": m.open, "copy": m.copyOpening, "answer": m.answer, "say": m.sendData,
			"move": m.move, "change": m.change, "tick": m.tick, "release": m.release,
		})
	})
}

// benchmarkRequests measures the work for requests of four packets while some are
// pending: opening, request, end and what they release.
func benchmarkRequests(b *testing.B, balancers, upstreams, pending int, listed bool) {
	f := newFixture(0, 0)
	for i := range upstreams {
		u := f.add("permits")
		u.Domain = string(rune('a' + i%3))
		u.Cookie = uint32(i + 1)
	}
	v := &View{Routes: f.routes, Current: true}
	f.routes.Route(permitsAddr).LatencyObjective = 500 * time.Millisecond
	for i := range balancers {
		if listed {
			v.Balancers = append(v.Balancers, share.Balancer{Name: fmt.Sprintf("b%03d", i), Domain: string(rune('a' + i%3))})
		}
	}
	v.Index(f.upstreams)
	e := New(Config{Name: "b001", Domain: "b", Capacity: 60_000, Lifetime: testLifetime, Rand: rand.New(rand.NewPCG(1, 0))})
	now := 10 * time.Second
	type conn struct {
		port   uint32
		cookie uint32
		at     time.Duration
	}
	var conns []conn
	packet := func(port uint32, p Packet) Verdict {
		p.Caller = netip.AddrPortFrom(netip.AddrFrom4([4]byte{203, 0, byte(port >> 24), byte(port >> 16)}), uint16(port))
		p.Service = permitsAddr
		return e.Decide(now, v, &p)
	}
	released := func(p *Packet, d Verdict) {
		if d.Upstream != nil {
			conns = append(conns, conn{uint32(p.Caller.Addr().As4()[3])<<16 | uint32(p.Caller.Port()), d.Upstream.Cookie, now})
		}
	}
	port := uint32(0)
	b.ResetTimer()
	for range b.N {
		now += time.Millisecond
		port++
		if d := packet(port, Packet{Opening: true, Sequence: 1, Repeat: 200 * time.Millisecond}); d.Upstream != nil {
			conns = append(conns, conn{port, d.Upstream.Cookie, now})
		}
		e.Release(now, v, released)
		if len(conns) > pending {
			c := conns[0]
			conns = conns[1:]
			packet(c.port, Packet{Cookie: c.cookie, Sequence: 2, Acknowledged: 501, Length: 100})
			packet(c.port, Packet{Cookie: c.cookie, Sequence: 102, Acknowledged: 1501, Ending: true})
			e.Release(now, v, released)
		}
		if now%(100*time.Millisecond) == 0 {
			e.Tick(now, v)
			e.Release(now, v, released)
		}
	}
}

// Deployment P: the work for a connection attempt with and without the list, under
// and over the own permits.
func BenchmarkRequests(b *testing.B) {
	for _, pending := range []int{3, 30} {
		for _, listed := range []bool{false, true} {
			b.Run(fmt.Sprintf("pending=%d/listed=%t", pending, listed), func(b *testing.B) { benchmarkRequests(b, 76, 120, pending, listed) })
		}
	}
}

// The largest fleet: a new view every time.
func BenchmarkNewView(b *testing.B) {
	f := newFixture(0, 0)
	for i := range 600 {
		u := f.add("permits")
		u.Domain, u.Cookie = string(rune('a'+i%3)), uint32(i+1)
	}
	var balancers []share.Balancer
	for i := range 300 {
		balancers = append(balancers, share.Balancer{Name: fmt.Sprintf("b%03d", i), Domain: string(rune('a' + i%3))})
	}
	e := New(Config{Name: "b001", Domain: "b", Capacity: 1000, Lifetime: testLifetime, Rand: rand.New(rand.NewPCG(1, 0))})
	views := [2]*View{}
	for i := range views {
		rand.New(rand.NewPCG(1, uint64(i))).Shuffle(len(f.upstreams), func(i, j int) {
			f.upstreams[i], f.upstreams[j] = f.upstreams[j], f.upstreams[i]
		})
		views[i] = (&View{Routes: f.routes, Current: true, Balancers: balancers}).Index(slices.Clone(f.upstreams))
	}
	p := opening(0)
	e.Decide(0, views[0], p)
	i := 0
	for b.Loop() {
		i++
		e.refreshPools(0, views[i%2])
	}
}

// After an outage callers have given up connections that waited for the routes. These
// would hold permits for two seconds without a request, while others are refused.
func TestConnectionsThatDoNotOpenReturnTheirPermits(t *testing.T) {
	s := newSharing(t, 2, 4)
	s.fill()
	must.Eq(t, 8, s.Usage().Own)
	s.now += new(outlier.Observer).Timeout()
	s.Tick(s.now, s.view())
	must.Eq(t, 8, s.Usage().Own)
	s.now += time.Millisecond
	s.Tick(s.now, s.view())
	must.Zero(t, s.Usage().Own)
	must.Zero(t, s.Usage().Spillover)
}
