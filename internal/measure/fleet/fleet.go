// Package fleet simulates several owner engines in virtual time with fakes of
// the network and of the leader, for tests and measurements. A simulation is
// deterministic: it depends only on its seed and on the calls made.
package fleet

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"heatherport/internal/connection"
	"heatherport/internal/connection/flow"
	"heatherport/internal/connection/owner"
	"heatherport/internal/result"
	"heatherport/internal/version"
)

// Config describes the members and the simulated network.
type Config struct {
	Seed            uint64
	Delay           time.Duration // one-way latency between members
	Jitter          time.Duration // greatest random addition to Delay; it may reorder messages
	Loss            float64       // probability for each relay and control message
	Duplication     float64       // probability for each relay and control message
	MaxApplyDelay   time.Duration // greatest time until a member applies a version
	MaxClockSkew    time.Duration // greatest difference between the clocks of members
	Capacity        int
	ExceptionBudget int
}

// Fleet is a simulated set of members with their engines.
type Fleet struct {
	Now    time.Duration
	Rand   *rand.Rand
	Leader Leader
	Nodes  []*Node // in order of ID, including stopped ones

	// OnPacket is called for every decision about a caller's packet other than
	// a relay to another member.
	OnPacket func(n *Node, p *connection.Packet, d *connection.Decision)

	// OnDecision is called for every decision, including relays.
	OnDecision func(n *Node, p *connection.Packet, via *connection.Relay, d *connection.Decision)

	// OnControl is called for every control message.
	OnControl func(owner.Outbound)

	// Counters since the start of the simulation. ExceptionRelays counts the
	// relays that carry an exception.
	Packets, Relays, ExceptionRelays, Refreshes, Hints uint64

	cfg      Config
	queue    queue
	sequence uint64
	blocked  map[[2]version.MemberID]bool
	byID     map[version.MemberID]*Node
	nextID   version.MemberID
}

// Node is one simulated member.
type Node struct {
	ID             version.MemberID
	Engine         *owner.Engine
	Up             bool
	Applied        *version.Version
	ControlBytes   uint64 // control messages sent
	ExceptionBytes uint64 // of exceptions in relay headers sent
	skew           time.Duration
}

// exceptionSize is the size in bytes of an exception in a relay header.
const exceptionSize = 8

type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// New returns a fleet with no members.
func New(cfg Config) *Fleet {
	if cfg.Capacity == 0 {
		cfg.Capacity = 4096
	}
	f := &Fleet{
		Rand: rand.New(rand.NewPCG(cfg.Seed, 1)),
		cfg:  cfg, blocked: make(map[[2]version.MemberID]bool),
		byID: make(map[version.MemberID]*Node),
	}
	f.Leader.fleet = f
	f.After(0, f.Leader.tick)
	return f
}

// After calls run after d of virtual time.
func (f *Fleet) After(d time.Duration, run func()) {
	f.sequence++
	heap.Push(&f.queue, event{f.Now + d, f.sequence, run})
}

// Run advances virtual time by d.
func (f *Fleet) Run(d time.Duration) {
	end := f.Now + d
	for len(f.queue) > 0 && f.queue[0].at <= end {
		ev := heap.Pop(&f.queue).(event)
		f.Now = ev.at
		ev.run()
	}
	f.Now = end
}

// Start adds a running member. It becomes an owner after Leader.Join.
func (f *Fleet) Start() *Node {
	f.nextID++
	n := &Node{
		ID: f.nextID, Up: true,
		Engine: owner.New(owner.Config{Self: f.nextID, Capacity: f.cfg.Capacity, ExceptionBudget: f.cfg.ExceptionBudget}),
	}
	if f.cfg.MaxClockSkew > 0 {
		n.skew = time.Duration(f.Rand.Int64N(int64(f.cfg.MaxClockSkew)))
	}
	f.Nodes = append(f.Nodes, n)
	f.byID[n.ID] = n
	f.After(f.randomDuration(tickInterval), func() { f.tick(n) })
	return n
}

const tickInterval = 100 * time.Millisecond

func (f *Fleet) randomDuration(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(f.Rand.Int64N(int64(d)))
}

// Kill stops a member at once, without handover.
func (f *Fleet) Kill(n *Node) { n.Up = false }

// Running returns the running members.
func (f *Fleet) Running() []*Node {
	var out []*Node
	for _, n := range f.Nodes {
		if n.Up {
			out = append(out, n)
		}
	}
	return out
}

// Ready returns the running members that have applied a version. The fabric
// sends packets only to these.
func (f *Fleet) Ready() []*Node {
	var out []*Node
	for _, n := range f.Nodes {
		if n.Up && n.Applied != nil {
			out = append(out, n)
		}
	}
	return out
}

// Block drops all messages from one member to another until Heal is called.
func (f *Fleet) Block(from, to *Node) { f.blocked[[2]version.MemberID{from.ID, to.ID}] = true }

// BlockLeader withholds versions and lease renewals from a member until Heal is
// called.
func (f *Fleet) BlockLeader(n *Node) { f.blocked[[2]version.MemberID{0, n.ID}] = true }

// Heal unblocks all links.
func (f *Fleet) Heal() { clear(f.blocked) }

func (f *Fleet) tick(n *Node) {
	if !n.Up {
		return
	}
	n.Engine.SetLease(f.clock(n), f.Leader.leaseLive(n))
	f.sendControl(n, n.Engine.Tick(f.clock(n)))
	f.After(tickInterval, func() { f.tick(n) })
}

func (f *Fleet) clock(n *Node) time.Duration { return f.Now + n.skew }

func (f *Fleet) sendControl(from *Node, out []owner.Outbound) {
	for _, o := range out {
		b, err := cbor.Marshal(o.Message)
		if err != nil {
			panic(err)
		}
		from.ControlBytes += uint64(len(b))
		if f.OnControl != nil {
			f.OnControl(o)
		}
		f.transmit(from.ID, o.To, func(n *Node) {
			var m owner.Message
			if err := cbor.Unmarshal(b, &m); err != nil {
				panic(err)
			}
			f.sendControl(n, n.Engine.Receive(f.clock(n), from.ID, m))
		})
	}
}

// transmit delivers a message over a link that may lose, delay, duplicate or
// reorder it.
func (f *Fleet) transmit(from, to version.MemberID, deliver func(*Node)) {
	copies := 1
	if f.cfg.Duplication > 0 && f.Rand.Float64() < f.cfg.Duplication {
		copies = 2
	}
	for range copies {
		if f.cfg.Loss > 0 && f.Rand.Float64() < f.cfg.Loss {
			continue
		}
		f.After(f.cfg.Delay+f.randomDuration(f.cfg.Jitter), func() {
			n := f.byID[to]
			if n != nil && n.Up && !f.blocked[[2]version.MemberID{from, to}] {
				deliver(n)
			}
		})
	}
}

// Send delivers a caller's packet to a member, as the fabric does.
func (f *Fleet) Send(n *Node, p connection.Packet) {
	if !n.Up {
		return
	}
	f.Packets++
	f.handle(n, &p, nil)
}

func (f *Fleet) handle(n *Node, p *connection.Packet, via *connection.Relay) {
	d := n.Engine.Decide(f.clock(n), p, via)
	if f.OnDecision != nil {
		f.OnDecision(n, p, via, &d)
	}
	f.sendFlowMessages(n, p, &d)
	if d.Action != connection.RelayTo {
		if f.OnPacket != nil {
			f.OnPacket(n, p, &d)
		}
		return
	}
	f.Relays++
	if d.Header.Flags&connection.RelayException != 0 {
		f.ExceptionRelays++
		n.ExceptionBytes += exceptionSize
	}
	packet, header := *p, d.Header
	f.transmit(n.ID, d.Peer, func(to *Node) { f.handle(to, &packet, &header) })
}

// sendFlowMessages sends the hint and the refresh that a decision requests.
func (f *Fleet) sendFlowMessages(n *Node, p *connection.Packet, d *connection.Decision) {
	if d.HintTo != 0 {
		f.Hints++
		h := d.Hint
		f.transmit(n.ID, d.HintTo, func(to *Node) { to.Engine.HandleHint(f.clock(to), &h) })
	}
	if d.RefreshTo != 0 {
		f.Refreshes++
		packet, header := *p, d.Refresh
		f.transmit(n.ID, d.RefreshTo, func(to *Node) {
			reply := to.Engine.Refresh(f.clock(to), &packet, &header)
			f.sendFlowMessages(to, &packet, &reply)
		})
	}
}

// Key returns the 5-tuple of the i-th caller of a service.
func Key(s version.ServiceKey, i uint64) flow.Key {
	k := flow.Key{Dst: s.Addr.As16(), DstPort: s.Port, Protocol: s.Protocol}
	k.Src = netip.AddrFrom4([4]byte{10, byte(i >> 24), byte(i >> 16), byte(i >> 8)}).As16()
	k.SrcPort = 1024 + uint16(i&0xff)
	return k
}

// Rejected reports whether a decision ends a connection, because a
// retransmission of the packet would get the same answer.
func Rejected(d *connection.Decision) bool {
	switch d.Code {
	case result.DropUpstreamGone, result.DropServiceMismatch, result.DropNoUpstream, result.DropUnknownService:
		return d.Action == connection.Drop
	}
	return d.Action == connection.Refuse
}
