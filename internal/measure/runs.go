package measure

import (
	"net/netip"
	"time"

	"heatherport/internal/connection"
	"heatherport/internal/measure/fleet"
	"heatherport/internal/version"
)

const (
	memberCount = 8
	// smallServiceSize is the number of upstreams of the second service, as in
	// present deployments.
	smallServiceSize = 4
)

// networkConfig returns the configuration of a fleet whose members have the
// delays between failure domains and apply versions at different times.
func networkConfig(seed uint64) fleet.Config {
	return fleet.Config{
		Seed: seed, Delay: 1500 * time.Microsecond, Jitter: 500 * time.Microsecond,
		MaxApplyDelay: 300 * time.Millisecond, Capacity: 1 << 17,
	}
}

// startFleet returns a settled fleet of 8 members with a service of 15 upstreams
// and one of 4.
func startFleet(cfg fleet.Config) (f *fleet.Fleet, large, small version.ServiceID) {
	f = fleet.New(cfg)
	large = f.Leader.AddService(false, idleTimeout)
	small = f.Leader.AddService(true, idleTimeout)
	for range largeServiceSize {
		f.Leader.AddUpstream(large, 3, 0, netip.AddrPort{})
	}
	for range smallServiceSize {
		f.Leader.AddUpstream(small, 3, 0, netip.AddrPort{})
	}
	for range memberCount {
		f.Leader.Join(f.Start())
	}
	f.Leader.Bootstrap()
	f.Run(2 * time.Second)
	return f, large, small
}

// relayShares measures the shares of relays, relays with exceptions and
// refreshes in the packets of connections of 100 packets each.
func relayShares() []Figure {
	f, large, _ := startFleet(networkConfig(1))
	t := &fleet.Traffic{Service: large, ConnectionRate: 500, MeanLifetime: 2 * time.Second, PacketsPerConnection: 100}
	t.Attach(f)
	f.Run(60 * time.Second)
	packets := float64(f.Packets)
	return []Figure{
		{"relay_share", float64(f.Relays) / packets, "share"},
		{"record_share", float64(f.ExceptionRelays) / packets, "share"},
		{"refresh_share", float64(f.Refreshes) / packets, "share"},
		{"relay_broken", float64(t.Broken), "connections"},
	}
}

// Traffic to 19 upstreams: 3,000 new connections per second for both services
// together.
const (
	largeRate            = 2400
	smallRate            = 600
	coordinationLifetime = 10 * time.Second
	coordinationPackets  = 10
)

// coordinationCost counts the bytes that a member sends in control messages and
// in exceptions of relay headers, at 3,000 new connections per second: in steady
// state, and during the 20 s after a fifth of the upstreams start to leave.
func coordinationCost() []Figure {
	f, large, small := startFleet(networkConfig(2))
	a := &fleet.Traffic{Service: large, ConnectionRate: largeRate, MeanLifetime: coordinationLifetime, PacketsPerConnection: coordinationPackets}
	b := &fleet.Traffic{Service: small, ConnectionRate: smallRate, MeanLifetime: coordinationLifetime, PacketsPerConnection: coordinationPackets}
	a.Attach(f)
	b.Attach(f)
	f.Run(30 * time.Second)
	const span = 20 * time.Second
	steady := maxBytesPerSecond(f, span)
	broken := a.Broken + b.Broken
	for _, id := range fifthOfUpstreams(f, large, small) {
		f.Leader.SetState(id, version.Leaving)
	}
	drain := maxBytesPerSecond(f, span)
	return []Figure{
		{"coordination_steady_bytes_s", steady, "bytes/s"},
		{"coordination_drain_bytes_s", drain, "bytes/s"},
		{"coordination_limit", f.Nodes[0].Engine.Stats().Limit, "factor"},
		{"coordination_imbalance", a.Imbalance(f.Leader.Upstreams(large, version.Active)), "max/mean"},
		{"coordination_broken_steady", float64(broken), "connections"},
		{"coordination_broken_drain", float64(a.Broken + b.Broken - broken), "connections"},
	}
}

// fifthOfUpstreams returns a fifth of the upstreams of both services.
func fifthOfUpstreams(f *fleet.Fleet, large, small version.ServiceID) []version.UpstreamID {
	return append(f.Leader.Upstreams(large, version.Active)[:3], f.Leader.Upstreams(small, version.Active)[0])
}

// maxBytesPerSecond runs the fleet for span and returns the greatest mean rate
// at which a member sends bytes.
func maxBytesPerSecond(f *fleet.Fleet, span time.Duration) float64 {
	before := make(map[*fleet.Node]uint64)
	for _, n := range f.Running() {
		before[n] = n.ControlBytes + n.ExceptionBytes
	}
	f.Run(span)
	maxRate := 0.0
	for _, n := range f.Running() {
		maxRate = max(maxRate, float64(n.ControlBytes+n.ExceptionBytes-before[n])/span.Seconds())
	}
	return maxRate
}

// faultRun is a fleet with traffic, and counts violations of the guarantees.
type faultRun struct {
	*fleet.Fleet
	traffic             *fleet.Traffic
	large, small        version.ServiceID
	crossServicePackets int // packets forwarded to an upstream of another service
	openedAtLeaving     int // connections opened at an upstream more than leavingGracePeriod after it was set to leaving
	leftAt              map[version.UpstreamID]time.Duration
}

const (
	faultRate          = 300
	faultLifetime      = 20 * time.Second
	leavingGracePeriod = 3 * time.Second
)

func newFaultRun(seed uint64) *faultRun {
	r := &faultRun{leftAt: make(map[version.UpstreamID]time.Duration)}
	r.Fleet, r.large, r.small = startFleet(networkConfig(seed))
	r.OnPacket = r.countViolations
	r.traffic = &fleet.Traffic{Service: r.large, ConnectionRate: faultRate, MeanLifetime: faultLifetime, PacketsPerConnection: 50}
	r.traffic.Attach(r.Fleet)
	r.Run(30 * time.Second)
	return r
}

func (r *faultRun) countViolations(n *fleet.Node, p *connection.Packet, d *connection.Decision) {
	if d.Action != connection.Forward {
		return
	}
	u := n.Applied.UpstreamByID(d.Upstream)
	if u == nil || n.Applied.Service(p.Key.Service()).ID != u.Service {
		r.crossServicePackets++
	}
	at, left := r.leftAt[d.Upstream]
	if left && p.Flags&connection.FlagOpen != 0 && r.Now > at+leavingGracePeriod && !r.traffic.Established(p.Key) {
		r.openedAtLeaving++
	}
}

func (r *faultRun) drainUpstreams(ids []version.UpstreamID) {
	for _, id := range ids {
		r.Leader.SetState(id, version.Leaving)
		r.leftAt[id] = r.Now
	}
}

// plannedChanges counts violations while upstreams drain and join, one is
// paused, and members stop and start, all at once.
func plannedChanges() []Figure {
	var broken, crossServicePackets, openedAtLeaving, dropped, opened float64
	for seed := range uint64(3) {
		r := newFaultRun(seed + 10)
		r.drainUpstreams(fifthOfUpstreams(r.Fleet, r.large, r.small))
		r.Leader.SetState(r.Leader.Upstreams(r.large, version.Active)[5], version.Paused)
		for range 3 {
			r.Leader.AddUpstream(r.large, 3, 0, netip.AddrPort{})
		}
		r.drainMember(r.Nodes[2])
		r.Leader.Join(r.Start())
		r.Run(20 * time.Second)
		r.drainMember(r.Nodes[5])
		r.Leader.Join(r.Start())
		r.Run(60 * time.Second)
		broken += float64(r.traffic.Broken + r.traffic.Refused)
		crossServicePackets += float64(r.crossServicePackets)
		openedAtLeaving += float64(r.openedAtLeaving)
		dropped += float64(r.traffic.Dropped)
		opened += float64(r.traffic.Opened)
	}
	return []Figure{
		{"broken_planned", broken, "connections"},
		{"broken_planned_opened", opened, "connections"},
		{"lost_packets_planned", dropped, "packets"},
		{"leaving_new_after_3s", openedAtLeaving, "connections"},
		{"cross_service_packets", crossServicePackets, "packets"},
	}
}

// drainMember makes a member leave and stops it once it has drained.
func (r *faultRun) drainMember(n *fleet.Node) {
	r.Leader.Leave(n)
	var wait func()
	wait = func() {
		if n.Engine.Drained() {
			r.Kill(n)
			return
		}
		r.After(100*time.Millisecond, wait)
	}
	r.After(time.Second, wait)
}

// memberKill counts broken connections after a member is killed.
func memberKill() []Figure {
	var broken, open float64
	for seed := range uint64(3) {
		r := newFaultRun(seed + 20)
		open += float64(r.traffic.OpenConnections())
		r.Kill(r.Nodes[3])
		r.Run(60 * time.Second)
		broken += float64(r.traffic.Broken + r.traffic.Refused)
	}
	return []Figure{
		{"broken_kill", broken, "connections"},
		{"broken_kill_open", open, "connections"},
	}
}

// memberKillDuringDrain measures the share of connections broken when a member
// is killed at one of several times after a fifth of the upstreams start to
// drain.
func memberKillDuringDrain() []Figure {
	var broken, open float64
	for i, after := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second} {
		r := newFaultRun(uint64(i) + 30)
		r.drainUpstreams(fifthOfUpstreams(r.Fleet, r.large, r.small))
		r.Run(after)
		open += float64(r.traffic.OpenConnections())
		r.Kill(r.Nodes[3])
		r.Run(60 * time.Second)
		broken += float64(r.traffic.Broken + r.traffic.Refused)
	}
	return []Figure{{"broken_kill_drain_share", broken / open, "share"}}
}
