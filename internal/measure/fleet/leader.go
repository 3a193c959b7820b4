package fleet

import (
	"net/netip"
	"slices"
	"time"

	"heatherport/internal/version"
)

const (
	leaderInterval = 200 * time.Millisecond
	leaseDuration  = 3 * time.Second // a member without contact for this time is removed
	slotWeight     = 256
)

// Leader is a fake of the leader. It publishes versions, and waits until the
// members have settled before it advances the base rankings and the owners.
type Leader struct {
	Index            uint64 // of the newest version
	fleet            *Fleet
	services         []version.Service
	upstreams        []version.Upstream
	owners           version.Owners
	members          []member
	nextUpstream     version.UpstreamID
	basesPreparedAt  uint64 // index of the version that prepared bases, or zero
	ownersPreparedAt uint64 // index of the version that prepared owners, or zero
	epochChangedAt   uint64 // index of the version that last changed the current owners
	dirty            bool
	// FreezeBases prevents the leader from preparing new bases.
	FreezeBases bool
}

type member struct {
	node        *Node
	leaving     bool
	lastContact time.Duration
}

// AddService adds a service and returns its ID.
func (l *Leader) AddService(idempotent bool, idle time.Duration) version.ServiceID {
	id := version.ServiceID(len(l.services) + 1)
	l.services = append(l.services, version.Service{
		ID: id, Idempotent: idempotent, IdleTimeout: idle,
		Key: version.ServiceKey{Addr: netip.AddrFrom4([4]byte{192, 0, 2, byte(id)}), Port: 443, Protocol: version.TCP},
	})
	l.dirty = true
	return id
}

// Service returns a service by ID.
func (l *Leader) Service(id version.ServiceID) *version.Service { return &l.services[id-1] }

// AddUpstream adds an active upstream. A zero address selects an unused one.
func (l *Leader) AddUpstream(s version.ServiceID, slots, limit uint32, addr netip.AddrPort) version.UpstreamID {
	l.nextUpstream++
	if !addr.IsValid() {
		addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{172, 16, byte(l.nextUpstream >> 8), byte(l.nextUpstream)}), 5555)
	}
	l.upstreams = append(l.upstreams, version.Upstream{
		ID: l.nextUpstream, Service: s, Addr: addr, State: version.Active, Slots: slots,
		ConnLimit: limit, Healthy: true, Leased: true,
	})
	l.dirty = true
	return l.nextUpstream
}

// Upstream returns an upstream by ID, or nil.
func (l *Leader) Upstream(id version.UpstreamID) *version.Upstream {
	for i := range l.upstreams {
		if l.upstreams[i].ID == id {
			return &l.upstreams[i]
		}
	}
	return nil
}

// Upstreams returns the upstreams of a service in a state.
func (l *Leader) Upstreams(s version.ServiceID, state version.UpstreamState) []version.UpstreamID {
	var out []version.UpstreamID
	for _, u := range l.upstreams {
		if u.Service == s && u.State == state {
			out = append(out, u.ID)
		}
	}
	return out
}

// SetState changes the state of an upstream.
func (l *Leader) SetState(id version.UpstreamID, s version.UpstreamState) {
	l.Upstream(id).State = s
	l.dirty = true
}

// RemoveUpstream deletes an upstream.
func (l *Leader) RemoveUpstream(id version.UpstreamID) {
	l.upstreams = slices.DeleteFunc(l.upstreams, func(u version.Upstream) bool { return u.ID == id })
	l.dirty = true
}

// Join adds a running member. Initial members join before Bootstrap.
func (l *Leader) Join(n *Node) {
	l.members = append(l.members, member{node: n, lastContact: l.fleet.Now})
	l.dirty = true
}

// Leave starts the graceful removal of a member: it stays a member until its
// slots and connections are handed over.
func (l *Leader) Leave(n *Node) {
	n.Engine.Drain()
	for i := range l.members {
		if l.members[i].node == n {
			l.members[i].leaving = true
		}
	}
	l.dirty = true
}

// Bootstrap publishes the first version, in which all members are owners.
func (l *Leader) Bootstrap() {
	l.owners = version.Owners{Epoch: 1, Current: l.targetOwners()}
	for i := range l.services {
		s := &l.services[i]
		s.Current = l.ranking(s.ID)
		s.Base = s.Current
	}
	l.publish()
}

// targetOwners returns the members that are not leaving.
func (l *Leader) targetOwners() []version.MemberID {
	var out []version.MemberID
	for _, m := range l.members {
		if !m.leaving {
			out = append(out, m.node.ID)
		}
	}
	return out
}

// ranking returns the eligible upstreams of a service with their weights.
func (l *Leader) ranking(s version.ServiceID) version.Ranking {
	var out version.Ranking
	for _, u := range l.upstreams {
		if u.Service == s && u.State <= version.Joining && u.Healthy {
			out = append(out, version.WeightedUpstream{Upstream: u.ID, Weight: u.Slots * slotWeight})
		}
	}
	return out
}

func (l *Leader) tick() {
	l.fleet.After(leaderInterval, l.tick)
	if l.Index == 0 {
		return
	}
	l.expireMembers()
	l.refreshRankings()
	l.advanceBases()
	l.advanceOwners()
	if l.dirty {
		l.publish()
	}
}

// leaseLive renews the lease of n, unless its link from the leader is blocked,
// and reports whether the lease is valid. At the member the lease ends after two
// thirds of leaseDuration, before the leader removes the member.
func (l *Leader) leaseLive(n *Node) bool {
	for i := range l.members {
		m := &l.members[i]
		if m.node != n || !n.Up {
			continue
		}
		if !l.fleet.blocked[[2]version.MemberID{0, n.ID}] {
			m.lastContact = l.fleet.Now
		}
		return l.fleet.Now-m.lastContact < leaseDuration*2/3
	}
	return false
}

// expireMembers removes members whose lease has expired, and leaving members
// that have drained.
func (l *Leader) expireMembers() {
	before := len(l.members)
	l.members = slices.DeleteFunc(l.members, func(m member) bool {
		drained := m.leaving && m.node.Up && m.node.Engine.Drained() && !slices.Contains(l.owners.Current, m.node.ID)
		return l.fleet.Now-m.lastContact > leaseDuration || drained
	})
	if len(l.members) == before {
		return
	}
	l.dirty = true
	l.removeLostOwners()
}

// removeLostOwners removes owners that are no longer members, without a
// handover.
func (l *Leader) removeLostOwners() {
	lost := func(id version.MemberID) bool { return !l.isMember(id) }
	if !slices.ContainsFunc(l.owners.Current, lost) {
		l.owners.Next = slices.DeleteFunc(slices.Clone(l.owners.Next), lost)
		return
	}
	l.owners = version.Owners{
		Epoch:    l.owners.Epoch + 1,
		Previous: l.owners.Current,
		Current:  slices.DeleteFunc(slices.Clone(l.owners.Current), lost),
	}
	l.ownersPreparedAt, l.epochChangedAt = 0, l.Index+1
}

// Removed returns the running nodes that the leader has removed from the
// members. They have to be started again as new members.
func (l *Leader) Removed() []*Node {
	var out []*Node
	for _, n := range l.fleet.Running() {
		if !l.isMember(n.ID) {
			out = append(out, n)
		}
	}
	return out
}

func (l *Leader) isMember(id version.MemberID) bool {
	return slices.ContainsFunc(l.members, func(m member) bool { return m.node.ID == id })
}

func (l *Leader) refreshRankings() {
	for i := range l.services {
		s := &l.services[i]
		if r := l.ranking(s.ID); !slices.Equal(r, s.Current) {
			s.Current = r
			l.dirty = true
		}
	}
}

// settled reports whether every member has settled the version of an index.
func (l *Leader) settled(index uint64) bool {
	for _, m := range l.members {
		if m.node.Up && m.node.Engine.Settled() < index || !m.node.Up {
			return false
		}
	}
	return true
}

// settledBase reports whether every member permits the bases prepared in the
// version of an index to advance.
func (l *Leader) settledBase(index uint64) bool {
	for _, m := range l.members {
		if !m.node.Up || m.node.Engine.SettledBase() < index {
			return false
		}
	}
	return true
}

// advanceBases prepares the current rankings as the next bases and advances the
// bases once all members have settled.
func (l *Leader) advanceBases() {
	if l.basesPreparedAt != 0 {
		if !l.settledBase(max(l.basesPreparedAt, l.epochChangedAt)) {
			return
		}
		for i := range l.services {
			if s := &l.services[i]; s.NextBase != nil {
				s.Base, s.NextBase = s.NextBase, nil
			}
		}
		l.basesPreparedAt, l.dirty = 0, true
		return
	}
	if l.FreezeBases || l.ownersPreparedAt != 0 || !l.settled(l.Index) {
		return
	}
	for i := range l.services {
		if s := &l.services[i]; !slices.Equal(s.Base, s.Current) && len(s.Current) > 0 {
			s.NextBase = s.Current
			l.basesPreparedAt, l.dirty = l.Index+1, true
		}
	}
}

// advanceOwners prepares the target owners and activates them once all members
// have settled.
func (l *Leader) advanceOwners() {
	if l.ownersPreparedAt != 0 {
		if !l.settled(l.ownersPreparedAt) {
			return
		}
		l.owners = version.Owners{Epoch: l.owners.Epoch + 1, Current: l.owners.Next, Previous: l.owners.Current}
		l.ownersPreparedAt, l.epochChangedAt, l.dirty = 0, l.Index+1, true
		return
	}
	target := l.targetOwners()
	if len(target) == 0 || slices.Equal(target, l.owners.Current) || !l.settled(l.Index) {
		return
	}
	l.owners.Next = target
	l.ownersPreparedAt, l.dirty = l.Index+1, true
}

// publish sends a new version to all members, which apply it after random
// delays.
func (l *Leader) publish() {
	l.dirty = false
	l.Index++
	v := &version.Version{
		Index: l.Index, Services: slices.Clone(l.services), Upstreams: slices.Clone(l.upstreams),
		Owners: l.owners,
	}
	for _, m := range l.members {
		v.Members = append(v.Members, version.Member{ID: m.node.ID, State: version.MemberActive})
	}
	v.Seal()
	for _, m := range l.members {
		l.deliver(m.node, v)
	}
}

func (l *Leader) deliver(n *Node, v *version.Version) {
	f := l.fleet
	f.After(f.cfg.Delay+f.randomDuration(f.cfg.MaxApplyDelay), func() {
		if !n.Up {
			return
		}
		if f.blocked[[2]version.MemberID{0, n.ID}] {
			f.After(time.Second, func() { l.deliver(n, v) })
			return
		}
		if n.Applied == nil || n.Applied.Index < v.Index {
			n.Applied = v
			n.Engine.Publish(f.clock(n), v)
		}
	})
}
