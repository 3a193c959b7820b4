package slopes

import (
	"fmt"
	"net/netip"
	"time"

	"heatherport/internal/connection"
	"heatherport/internal/connection/owner"
	"heatherport/internal/connection/table"
	"heatherport/internal/measure"
	"heatherport/internal/measure/fleet"
	"heatherport/internal/version"
	"heatherport/internal/version/placement"
	"heatherport/internal/version/state"
)

const (
	idleTimeout   = 10 * time.Minute
	tableCapacity = 1 << 14 // connections in the tables of the simulated members
)

// tableCost measures the memory of full tables per connection.
func tableCost() []measure.Figure {
	var f figures
	key := version.ServiceKey{Addr: netip.AddrFrom4([4]byte{192, 0, 2, 1}), Port: 443, Protocol: version.TCP}
	for _, n := range []int{14_000, 50_000, 100_000, 300_000, 1_000_000} {
		t := table.New(n, func(*table.Entry, table.Removal) {})
		for i := range uint64(n) {
			k := fleet.Key(key, i)
			s := t.Lock(k.Hash())
			s.Insert(0, k.Hash(), &k, idleTimeout)
			s.Unlock()
		}
		u := t.Usage()
		f.add(fmt.Sprintf("table_bytes_per_connection_c%d", n), float64(u.Bytes)/float64(u.Entries), "bytes")
	}
	return f
}

// decisionTime measures the time of the decision about the first packet of a
// connection at its owner, by the number of upstreams of the service.
func decisionTime() []measure.Figure {
	var f figures
	for _, n := range []int{2, 16, 64, 256, 1024} {
		fx := newFixture(size{services: 1, upstreams: n, members: 1})
		v := fx.Version()
		e := owner.New(owner.Config{Self: 1, Capacity: tableCapacity})
		e.SetLease(0, true)
		e.Publish(0, v)
		now := time.Hour
		p := connection.Packet{Flags: connection.FlagOpen}
		var i uint64
		open := func() {
			i++
			p.Key = fleet.Key(v.Services[0].Key, i)
			p.Seq = uint32(i)
			e.Decide(now, &p, nil)
			if i%(tableCapacity/2) == 0 {
				now += 2 * idleTimeout
				e.Tick(now)
			}
		}
		f.add(fmt.Sprintf("decide_new_u%d", n), nsPerOp(open), "ns")
		f.add(fmt.Sprintf("decide_imbalance_u%d", n), imbalanceAt(v, connectionsPerUpstream*n), "max/mean")
	}
	return f
}

// connectionsPerUpstream is the mean number of open connections of an upstream
// when the imbalance is measured.
const connectionsPerUpstream = 20

// imbalanceAt opens n connections at one owner and returns the greatest number
// of connections of an upstream divided by the mean.
func imbalanceAt(v *version.Version, n int) float64 {
	e := owner.New(owner.Config{Self: 1, Capacity: 2 * n})
	e.SetLease(0, true)
	e.Publish(0, v)
	for i := range uint64(n) {
		p := connection.Packet{Key: fleet.Key(v.Services[0].Key, i), Flags: connection.FlagOpen, Seq: 1}
		e.Decide(time.Hour, &p, nil)
	}
	var maxOpen uint64
	for i := range v.Upstreams {
		maxOpen = max(maxOpen, e.OpenConnections(v.Upstreams[i].ID))
	}
	return float64(maxOpen) * float64(len(v.Upstreams)) / float64(n)
}

// publishCost measures how long an engine takes to publish a version after
// several kinds of change, and the memory of the engine's state of a version.
func publishCost() []measure.Figure {
	var f figures
	for _, s := range sweeps() {
		fx := newFixture(s)
		v := fx.Version()
		e := owner.New(owner.Config{Self: 1, Capacity: tableCapacity})
		_, heap := measureHeap(func() *owner.Engine {
			e.Publish(0, v)
			return e
		})
		f.add(s.name("publish_heap"), heap/bytesPerMB, "MB")
		now := time.Second
		load := uint8(0)
		f.add(s.name("publish_change"), nsPerOp(func() {
			load++
			fx.apply(statusCommand(v.Upstreams[0].ID, load))
			e.Publish(now, fx.Version())
		})/nsPerMs, "ms")
		f.add(s.name("publish_owner_change"), nsPerOp(func() { fx.replaceMember(); e.Publish(now, fx.Version()) })/nsPerMs, "ms")
		f.add(s.name("owner_change_audit"), float64(fx.replaceMember()), "bytes")
		f.add(s.name("publish_member_loss"), medianMs(memberRemovals, func() {
			fx.apply(state.Command{RemoveMember: &state.RemoveMember{ID: fx.newestMember()}})
			e.Publish(now, fx.Version())
		}), "ms")
		f.add(s.name("engine_tick"), nsPerOp(func() { now += 100 * time.Millisecond; e.Tick(now) })/nsPerMs, "ms")
	}
	return f
}

// memberRemovals is the number of members that are removed one after another.
const memberRemovals = 3

func (fx *fixture) newestMember() version.MemberID {
	members := fx.Version().Members
	return members[len(members)-1].ID
}

// replaceMember replaces the newest member by its next incarnation and
// activates it as an owner. It returns the size of the records in the audit
// trail.
func (fx *fixture) replaceMember() (auditBytes int) {
	last := fx.Version().Members[fx.members-1]
	j := joinMember(fx.members - 1)
	j.Incarnation = last.Incarnation + 1
	auditBytes = auditRecordSize(fx.apply(state.Command{JoinMember: j}))
	auditBytes += auditRecordSize(fx.apply(state.Command{PrepareOwners: &state.PrepareOwners{}}))
	activate := &state.ActivateOwners{Prepared: fx.Index()}
	return auditBytes + auditRecordSize(fx.apply(state.Command{ActivateOwners: activate}))
}

// auditRecordSize returns the size of the audit trail's texts about an outcome.
func auditRecordSize(o state.Outcome) int {
	n := 0
	for _, c := range o.Changes {
		n += len(c.Before) + len(c.After)
	}
	return n
}

const (
	linkHeaderSize     = 5 // bytes: kind and length of a control message
	loadReportTime     = 20 * time.Second
	engineTickInterval = 100 * time.Millisecond
	connectionRate     = 50 // new connections per second and VM: the target's 340,000 over 6,600 VMs
)

// peerMessage has the fields of the control message that carries a message
// between engines.
type peerMessage struct {
	From    version.MemberID `cbor:"1,keyasint"`
	Message owner.Message    `cbor:"2,keyasint"`
}

// loadReportCost counts the load reports that one engine sends by the number of
// members and by the number of upstreams. Each service has one upstream, so that
// no connection needs an exception.
func loadReportCost() []measure.Figure {
	var f figures
	for _, s := range []size{
		{19, 19, 4}, {19, 19, 8}, {19, 19, 32}, {19, 19, 128}, {19, 19, 512}, {19, 19, 2_200},
		{38, 38, 32}, {380, 380, 32}, {3_800, 3_800, 32}, {38_000, 38_000, 32},
	} {
		messages, bytes := loadReportsSent(s)
		f.add(s.name("gossip_messages"), messages, "messages/s")
		f.add(s.name("gossip_bytes"), bytes, "bytes/s")
	}
	return f
}

func loadReportsSent(s size) (messages, bytes float64) {
	v := newFixture(s).Version()
	e := owner.New(owner.Config{Self: 1, Capacity: tableCapacity})
	e.SetLease(0, true)
	e.Publish(0, v)
	now := time.Duration(0)
	var opened uint64
	for now < loadReportTime {
		now += engineTickInterval
		for range connectionRate * engineTickInterval / time.Second {
			opened++
			openAtOwner(e, now, v, opened)
		}
		for _, o := range e.Tick(now) {
			messages++
			bytes += float64(linkHeaderSize + encodedSize(peerMessage{From: 1, Message: o.Message}))
		}
		for i := range v.Members {
			e.Receive(now, v.Members[i].ID, owner.Message{Load: &owner.LoadReport{Seq: uint64(now), Applied: v.Index}})
		}
	}
	return messages / loadReportTime.Seconds(), bytes / loadReportTime.Seconds()
}

// openAtOwner opens a connection whose slot the engine owns.
func openAtOwner(e *owner.Engine, now time.Duration, v *version.Version, i uint64) {
	s := &v.Services[i%uint64(len(v.Services))]
	for attempt := uint64(0); ; attempt++ {
		p := connection.Packet{Key: fleet.Key(s.Key, i<<16+attempt), Flags: connection.FlagOpen, Seq: uint32(i)}
		if d := e.Decide(now, &p, nil); d.Action != connection.RelayTo {
			return
		}
	}
}

// Sizes of the simulated fleets and their traffic in coordinationCost.
const (
	fleetUpstreams   = 19
	fleetCapacity    = 1 << 17 // connections in the table of each member
	fleetDelay       = 1500 * time.Microsecond
	fleetLifetime    = 20 * time.Second
	fleetPackets     = 100
	fleetSettleTime  = 2 * time.Second
	fleetWarmup      = 25 * time.Second
	fleetMeasureTime = 10 * time.Second
)

// coordinationCost counts the bytes of control messages, the relays, the hints
// and the refreshes that each member of a simulated fleet sends, by the number
// of members. Each member gets the target's rate of new connections.
func coordinationCost() []measure.Figure {
	var f figures
	for _, n := range []int{2, 4, 8, 16, 32} {
		coordinationWith(&f, n)
	}
	return f
}

func coordinationWith(f *figures, n int) {
	fl := fleet.New(fleet.Config{Seed: 1, Delay: fleetDelay, Capacity: fleetCapacity})
	s := fl.Leader.AddService(false, idleTimeout)
	for range fleetUpstreams {
		fl.Leader.AddUpstream(s, 3, 0, netip.AddrPort{})
	}
	for range n {
		fl.Leader.Join(fl.Start())
	}
	fl.Leader.Bootstrap()
	fl.Run(fleetSettleTime)
	t := &fleet.Traffic{Service: s, ConnectionRate: connectionRate * float64(n), MeanLifetime: fleetLifetime, PacketsPerConnection: fleetPackets}
	t.Attach(fl)
	fl.Run(fleetWarmup)
	start := readCounters(fl)
	fl.Run(fleetMeasureTime)
	end := readCounters(fl)
	perMember := func(total uint64) float64 { return float64(total) / fleetMeasureTime.Seconds() / float64(n) }
	f.add(fmt.Sprintf("coordination_bytes_m%d", n), perMember(end.bytes-start.bytes), "bytes/s")
	f.add(fmt.Sprintf("coordination_relays_m%d", n), perMember(end.relays-start.relays), "packets/s")
	f.add(fmt.Sprintf("coordination_hints_m%d", n), perMember(end.hints-start.hints), "packets/s")
	f.add(fmt.Sprintf("coordination_refreshes_m%d", n), perMember(end.refreshes-start.refreshes), "packets/s")
	f.add(fmt.Sprintf("coordination_relay_share_m%d", n), float64(end.relays-start.relays)/float64(end.packets-start.packets), "share")
}

// fleetCounters are the counters of a fleet.
type fleetCounters struct {
	bytes, packets, relays, hints, refreshes uint64
}

func readCounters(f *fleet.Fleet) fleetCounters {
	c := fleetCounters{packets: f.Packets, relays: f.Relays, hints: f.Hints, refreshes: f.Refreshes}
	for _, n := range f.Nodes {
		c.bytes += n.ControlBytes + n.ExceptionBytes
	}
	return c
}

// slotDistribution measures the greatest number of slots of an owner divided by
// the mean, and counts the members without slots.
func slotDistribution() []measure.Figure {
	var f figures
	for _, n := range []int{8, 32, 128, 825, 2_200, 6_600} {
		ids := make([]version.MemberID, n)
		for i := range ids {
			ids[i] = version.MemberID(i + 1)
		}
		t := placement.NewOwnerTable(ids)
		owned := make(map[version.MemberID]int)
		maxOwned := 0
		for slot := range uint16(placement.Slots) {
			id := t.Owner(slot)
			owned[id]++
			maxOwned = max(maxOwned, owned[id])
		}
		f.add(fmt.Sprintf("owner_slots_max_mean_m%d", n), float64(maxOwned*n)/placement.Slots, "max/mean")
		f.add(fmt.Sprintf("owner_slots_without_m%d", n), float64(n-len(owned)), "members")
	}
	return f
}
