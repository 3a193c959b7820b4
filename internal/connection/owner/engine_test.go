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
	r := &testFleet{Fleet: fleet.New(fleet.Config{Seed: 1, Delay: time.Millisecond})}
	r.service = r.Leader.AddService(false, idleTimeout)
	for range upstreams {
		r.Leader.AddUpstream(r.service, 3, limit, netip.AddrPort{})
	}
	for range members {
		r.Leader.Join(r.Start())
	}
	r.OnPacket = func(_ *fleet.Node, _ *connection.Packet, d *connection.Decision) { r.last = *d }
	r.Leader.Bootstrap()
	r.Run(3 * time.Second)
	return r
}

func (r *testFleet) open() connection.Packet {
	r.next++
	return connection.Packet{
		Key:   fleet.Key(r.Leader.Service(r.service).Key, r.next),
		Flags: connection.FlagOpen, Seq: uint32(r.next),
	}
}

// decide sends a packet to a member and returns the final decision.
func (r *testFleet) decide(n *fleet.Node, p connection.Packet) connection.Decision {
	r.last = connection.Decision{}
	r.Send(n, p)
	r.Run(10 * time.Millisecond)
	return r.last
}

// openOwnedBy returns the opening packet of a new connection that n owns.
func (r *testFleet) openOwnedBy(n *fleet.Node) connection.Packet {
	for {
		if p := r.open(); n.Engine.Explain(r.Now, p.Key).Owner == n.ID {
			return p
		}
	}
}

func (r *testFleet) randomNode() *fleet.Node { return r.Nodes[r.Rand.IntN(len(r.Nodes))] }

func TestRetransmittedOpeningPacketFollowsFirst(t *testing.T) {
	r := newTestFleet(4, 4, 0)
	for range 50 {
		p := r.open()
		first := r.decide(r.randomNode(), p)
		again := r.decide(r.randomNode(), p)
		must.Eq(t, connection.Forward, first.Action)
		must.Eq(t, first.Upstream, again.Upstream)
	}
	var opened uint64
	var repeated uint32
	for _, n := range r.Nodes {
		opened += n.Engine.Stats().Opened
		for _, id := range r.Leader.Upstreams(r.service, version.Active) {
			repeated += n.Engine.Retransmissions(id)
		}
	}
	must.Eq(t, 50, opened)
	must.Positive(t, repeated)
	must.LessEq(t, 50, repeated)
}

func TestReusedPortAfterFinOpensNewConnection(t *testing.T) {
	r := newTestFleet(4, 4, 0)
	p := r.open()
	first := r.decide(r.Nodes[0], p)
	fin := p
	fin.Flags = connection.FlagEstablished | connection.FlagFin
	r.decide(r.Nodes[1], fin)
	r.Leader.SetState(first.Upstream, version.Leaving)
	r.Run(5 * time.Second)
	p.Seq += 1000
	second := r.decide(r.Nodes[2], p)
	must.Eq(t, connection.Forward, second.Action)
	must.NotEq(t, first.Upstream, second.Upstream)
}

func TestFullUpstreamsRefuseOnlyWhenCertain(t *testing.T) {
	r := newTestFleet(4, 2, 10)
	var refused, opened int
	var conns []connection.Packet
	for range 60 {
		p := r.open()
		switch d := r.decide(r.randomNode(), p); d.Action {
		case connection.Forward:
			opened++
			conns = append(conns, p)
		case connection.Refuse:
			must.Eq(t, result.RefusedFull, d.Code)
			refused++
		}
		r.Run(600 * time.Millisecond)
	}
	must.Eq(t, 20, opened)
	must.Eq(t, 40, refused)
	lost := r.openOwnedBy(r.Nodes[3])
	r.Kill(r.Nodes[3])
	r.Run(10 * time.Second)
	d := r.decide(r.Nodes[0], lost)
	must.Eq(t, connection.Drop, d.Action, must.Sprint("a lost owner may have forwarded this connection"))
	r.Run(20 * time.Second)
	for _, p := range conns {
		p.Flags = connection.FlagEstablished
		r.decide(r.Nodes[0], p)
	}
	r.Run(70 * time.Second)
	d = r.decide(r.Nodes[0], lost)
	must.Eq(t, connection.Refuse, d.Action)
}

// TestConnLimitOvershoot opens connections at all members at once. An owner
// does not see what the others have opened since their last reports, and must
// still keep the limit to within a tenth.
func TestConnLimitOvershoot(t *testing.T) {
	const limit = 200
	r := newTestFleet(8, 2, limit)
	open := map[version.UpstreamID]int{}
	for range 1000 {
		if d := r.decide(r.randomNode(), r.open()); d.Action == connection.Forward {
			open[d.Upstream]++
		}
	}
	for id, n := range open {
		t.Logf("upstream %d: %d open, limit %d", id, n, limit)
		must.LessEq(t, limit*11/10, n)
	}
}

func TestNonIdempotentOpeningIsDroppedWithoutOwner(t *testing.T) {
	r := newTestFleet(4, 4, 0)
	alone := r.Nodes[0]
	for _, n := range r.Nodes[1:] {
		r.Block(alone, n)
		r.Block(n, alone)
	}
	r.Run(4 * time.Second)
	var dropped int
	for range 20 {
		if d := r.decide(alone, r.open()); d.Code == result.DropInDoubt {
			dropped++
		}
	}
	must.Positive(t, dropped)
}

func TestPacketsOfUnknownPositionFollowFirstPacket(t *testing.T) {
	r := newTestFleet(4, 4, 0)
	for range 50 {
		p := r.open()
		p.Flags, p.Seq = 0, 0
		first := r.decide(r.randomNode(), p)
		for range 5 {
			must.Eq(t, first.Upstream, r.decide(r.randomNode(), p).Upstream)
		}
	}
}

func TestExplainNamesOwnerAndUpstream(t *testing.T) {
	r := newTestFleet(4, 4, 0)
	p := r.open()
	d := r.decide(r.Nodes[0], p)
	x := r.Nodes[0].Engine.Explain(r.Now, p.Key)
	must.Len(t, 4, x.Ranking)
	must.NotEq(t, x.Owner, x.Standby)
	must.Eq(t, d.Upstream, x.Upstream)
}

func TestDamagedMessagesAreIgnored(t *testing.T) {
	r := newTestFleet(2, 2, 0)
	e, from := r.Nodes[0].Engine, r.Nodes[1].ID
	e.Receive(r.Now, from, owner.Message{Load: &owner.LoadReport{Seq: 1 << 20, Counts: []byte{0xff, 0xff}}})
	e.Receive(r.Now, from, owner.Message{Exceptions: &owner.ExceptionBatch{Seq: 1, Items: []byte{2, 1, 2, 3}}})
	must.Eq(t, connection.Forward, r.decide(r.Nodes[0], r.open()).Action)
}

// TestBurstAfterUpstreamsJoin opens many connections just after all members
// have applied a version with new upstreams, while their reports of that are
// still on the way. An owner must not place an exception that the standby
// cannot record, but the base, which ranks the old upstream only, must not take
// all connections.
func TestBurstAfterUpstreamsJoin(t *testing.T) {
	const joining, burst = 9, 400
	r := newTestFleet(8, 1, 0)
	for range joining {
		r.Leader.AddUpstream(r.service, 3, 0, netip.AddrPort{})
	}
	probe := r.open()
	applied := func() bool {
		for _, n := range r.Nodes {
			if len(n.Engine.Explain(r.Now, probe.Key).Ranking) <= joining {
				return false
			}
		}
		return true
	}
	for !applied() {
		r.Run(time.Millisecond)
	}
	open := make(map[version.UpstreamID]int)
	seen := make(map[uint64]bool)
	r.OnPacket = func(_ *fleet.Node, p *connection.Packet, d *connection.Decision) {
		if d.Action == connection.Forward && !seen[p.Key.Hash()] {
			seen[p.Key.Hash()] = true
			open[d.Upstream]++
		}
	}
	var packets []connection.Packet
	for range burst {
		packets = append(packets, r.open())
	}
	const tries, retransmit = 4, 500 * time.Millisecond
	for range tries {
		for _, p := range packets {
			if !seen[p.Key.Hash()] {
				r.Send(r.randomNode(), p)
			}
		}
		r.Run(retransmit)
	}
	must.MapLen(t, burst, seen)
	for id, n := range open {
		t.Logf("upstream %d: %d open", id, n)
		must.LessEq(t, 3*burst/(joining+1), n)
	}
}
