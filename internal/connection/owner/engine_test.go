package owner_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"heatherport/internal/connection"
	"heatherport/internal/connection/owner"
	"heatherport/internal/measure/fleet"
	"heatherport/internal/result"
	"heatherport/internal/version"
)

// testFleet is a small fleet that records the last final decision.
type testFleet struct {
	*fleet.Fleet
	service version.ServiceID
	last    connection.Decision
	next    uint64
}

func newTestFleet(members, upstreams int, limit uint32) *testFleet {
	f := &testFleet{Fleet: fleet.New(fleet.Config{Seed: 1, Delay: time.Millisecond})}
	f.service = f.Leader.AddService(false, idleTimeout)
	for range upstreams {
		f.Leader.AddUpstream(f.service, 3, limit, netip.AddrPort{})
	}
	for range members {
		f.Leader.Join(f.Start())
	}
	f.OnPacket = func(_ *fleet.Node, _ *connection.Packet, d *connection.Decision) { f.last = *d }
	f.Leader.Bootstrap()
	f.Run(3 * time.Second)
	return f
}

func (f *testFleet) open() connection.Packet {
	f.next++
	return connection.Packet{
		Key:   fleet.Key(f.Leader.Service(f.service).Key, f.next),
		Flags: connection.FlagOpen, Seq: uint32(f.next),
	}
}

// decide sends a packet to a member and returns the final decision.
func (f *testFleet) decide(n *fleet.Node, p connection.Packet) connection.Decision {
	f.last = connection.Decision{}
	f.Send(n, p)
	f.Run(10 * time.Millisecond)
	return f.last
}

// openOwnedBy returns the opening packet of a new connection that n owns.
func (f *testFleet) openOwnedBy(n *fleet.Node) connection.Packet {
	for {
		if p := f.open(); n.Engine.Explain(f.Now, p.Key).Owner == n.ID {
			return p
		}
	}
}

func (f *testFleet) randomNode() *fleet.Node { return f.Nodes[f.Rand.IntN(len(f.Nodes))] }

func TestRetransmittedOpeningPacketFollowsFirst(t *testing.T) {
	f := newTestFleet(4, 4, 0)
	for range 50 {
		p := f.open()
		first := f.decide(f.randomNode(), p)
		again := f.decide(f.randomNode(), p)
		must.Eq(t, connection.Forward, first.Action)
		must.Eq(t, first.Upstream, again.Upstream)
	}
	var opened uint64
	var repeated uint32
	for _, n := range f.Nodes {
		opened += n.Engine.Stats().Opened
		for _, id := range f.Leader.Upstreams(f.service, version.Active) {
			repeated += n.Engine.Retransmissions(id)
		}
	}
	must.Eq(t, 50, opened)
	must.Positive(t, repeated)
	must.LessEq(t, 50, repeated)
}

func TestReusedPortAfterFinOpensNewConnection(t *testing.T) {
	f := newTestFleet(4, 4, 0)
	p := f.open()
	first := f.decide(f.Nodes[0], p)
	fin := p
	fin.Flags = connection.FlagEstablished | connection.FlagFin
	f.decide(f.Nodes[1], fin)
	f.Leader.SetState(first.Upstream, version.Leaving)
	f.Run(5 * time.Second)
	p.Seq += 1000
	second := f.decide(f.Nodes[2], p)
	must.Eq(t, connection.Forward, second.Action)
	must.NotEq(t, first.Upstream, second.Upstream)
}

func TestFullUpstreamsRefuseOnlyWhenCertain(t *testing.T) {
	f := newTestFleet(4, 2, 10)
	var refused, opened int
	var conns []connection.Packet
	for range 60 {
		p := f.open()
		switch d := f.decide(f.randomNode(), p); d.Action {
		case connection.Forward:
			opened++
			conns = append(conns, p)
		case connection.Refuse:
			must.Eq(t, result.RefusedFull, d.Code)
			refused++
		}
		f.Run(600 * time.Millisecond)
	}
	must.Eq(t, 20, opened)
	must.Eq(t, 40, refused)
	lost := f.openOwnedBy(f.Nodes[3])
	f.Kill(f.Nodes[3])
	f.Run(10 * time.Second)
	d := f.decide(f.Nodes[0], lost)
	must.Eq(t, connection.Drop, d.Action, must.Sprint("a lost owner may have forwarded this connection"))
	f.Run(20 * time.Second)
	for _, p := range conns {
		p.Flags = connection.FlagEstablished
		f.decide(f.Nodes[0], p)
	}
	f.Run(70 * time.Second)
	d = f.decide(f.Nodes[0], lost)
	must.Eq(t, connection.Refuse, d.Action)
}

// TestConnLimitOvershoot opens connections at all members at once. An owner
// does not see what the others have opened since their last reports, and must
// still keep the limit to within a tenth.
func TestConnLimitOvershoot(t *testing.T) {
	const limit = 200
	f := newTestFleet(8, 2, limit)
	open := map[version.UpstreamID]int{}
	for range 1000 {
		if d := f.decide(f.randomNode(), f.open()); d.Action == connection.Forward {
			open[d.Upstream]++
		}
	}
	for id, n := range open {
		t.Logf("upstream %d: %d open, limit %d", id, n, limit)
		must.LessEq(t, limit*11/10, n)
	}
}

func TestNonIdempotentOpeningIsDroppedWithoutOwner(t *testing.T) {
	f := newTestFleet(4, 4, 0)
	alone := f.Nodes[0]
	for _, n := range f.Nodes[1:] {
		f.Block(alone, n)
		f.Block(n, alone)
	}
	f.Run(4 * time.Second)
	var dropped int
	for range 20 {
		if d := f.decide(alone, f.open()); d.Code == result.DropInDoubt {
			dropped++
		}
	}
	must.Positive(t, dropped)
}

func TestPacketsOfUnknownPositionFollowFirstPacket(t *testing.T) {
	f := newTestFleet(4, 4, 0)
	for range 50 {
		p := f.open()
		p.Flags, p.Seq = 0, 0
		first := f.decide(f.randomNode(), p)
		for range 5 {
			must.Eq(t, first.Upstream, f.decide(f.randomNode(), p).Upstream)
		}
	}
}

func TestExplainNamesOwnerAndUpstream(t *testing.T) {
	f := newTestFleet(4, 4, 0)
	p := f.open()
	d := f.decide(f.Nodes[0], p)
	x := f.Nodes[0].Engine.Explain(f.Now, p.Key)
	must.Len(t, 4, x.Ranking)
	must.NotEq(t, x.Owner, x.Standby)
	must.Eq(t, d.Upstream, x.Upstream)
}

func TestDamagedMessagesAreIgnored(t *testing.T) {
	f := newTestFleet(2, 2, 0)
	e, from := f.Nodes[0].Engine, f.Nodes[1].ID
	e.Receive(f.Now, from, owner.Message{Load: &owner.LoadReport{Seq: 1 << 20, Counts: []byte{0xff, 0xff}}})
	e.Receive(f.Now, from, owner.Message{Exceptions: &owner.ExceptionBatch{Seq: 1, Items: []byte{2, 1, 2, 3}}})
	must.Eq(t, connection.Forward, f.decide(f.Nodes[0], f.open()).Action)
}

// TestBurstAfterUpstreamsJoin opens many connections just after all members
// have applied a version with new upstreams, while their reports of that are
// still on the way. An owner must not place an exception that the standby
// cannot record, but the base, which ranks the old upstream only, must not take
// all connections.
func TestBurstAfterUpstreamsJoin(t *testing.T) {
	const joining, burst = 9, 400
	f := newTestFleet(8, 1, 0)
	for range joining {
		f.Leader.AddUpstream(f.service, 3, 0, netip.AddrPort{})
	}
	probe := f.open()
	applied := func() bool {
		for _, n := range f.Nodes {
			if len(n.Engine.Explain(f.Now, probe.Key).Ranking) <= joining {
				return false
			}
		}
		return true
	}
	for !applied() {
		f.Run(time.Millisecond)
	}
	open := make(map[version.UpstreamID]int)
	seen := make(map[uint64]bool)
	f.OnPacket = func(_ *fleet.Node, p *connection.Packet, d *connection.Decision) {
		if d.Action == connection.Forward && !seen[p.Key.Hash()] {
			seen[p.Key.Hash()] = true
			open[d.Upstream]++
		}
	}
	var packets []connection.Packet
	for range burst {
		packets = append(packets, f.open())
	}
	const tries, retransmit = 4, 500 * time.Millisecond
	for range tries {
		for _, p := range packets {
			if !seen[p.Key.Hash()] {
				f.Send(f.randomNode(), p)
			}
		}
		f.Run(retransmit)
	}
	must.MapLen(t, burst, seen)
	for id, n := range open {
		t.Logf("upstream %d: %d open", id, n)
		must.LessEq(t, 3*burst/(joining+1), n)
	}
}
