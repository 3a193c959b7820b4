package roster

import (
	"math"
	"time"

	"heatherport/internal/result"
	"heatherport/internal/version"
	"heatherport/internal/version/state"
)

// memberView is the leader's state for a member.
type memberView struct {
	version.Member
	owner       bool
	leaseUntil  time.Duration
	applied     uint64
	settled     uint64
	settledBase uint64
	joinIndex   uint64 // index of the first version with the member
}

// Heartbeat renews the lease of the sender and stores its report. Renewals of
// upstreams are accepted from any sender; the rest only from a member.
func (r *Roster) Heartbeat(now time.Duration, hb *Heartbeat) HeartbeatReply {
	if !r.IsLeader() {
		return HeartbeatReply{Code: result.NoLeader}
	}
	for i := range hb.Renewals {
		r.renew(now, &hb.Renewals[i])
	}
	reply := HeartbeatReply{Code: r.checkMember(hb), Index: r.version.Index}
	if reply.Code != result.OK {
		r.stats.Rejected++
		return reply
	}
	m := r.members[hb.Member]
	m.leaseUntil = max(m.leaseUntil, now+MemberLease)
	m.applied = max(m.applied, hb.Applied)
	m.settled = max(m.settled, hb.Settled)
	m.settledBase = max(m.settledBase, hb.SettledBase)
	for i := range hb.Observations {
		r.recordObservation(now, hb.Member, &hb.Observations[i])
	}
	reply.Lease = MemberLease
	return reply
}

func (r *Roster) checkMember(hb *Heartbeat) result.Code {
	known := r.version.MemberByID(hb.Member)
	if known == nil && hb.Applied > r.version.Index {
		return result.NotInForceYet
	}
	if known == nil || known.Name != hb.Name || known.Incarnation != hb.Incarnation {
		return result.MemberUnknown
	}
	if hb.Digest != 0 && r.version.Diverges(hb.Applied, hb.Digest) {
		r.stats.Diverged++
		return result.StateDiverged
	}
	return result.OK
}

// syncMembers gives each new member a full lease.
func (r *Roster) syncMembers() {
	old := r.members
	r.members = make(map[version.MemberID]*memberView, len(r.version.Members))
	r.memberList = make([]*memberView, 0, len(r.version.Members))
	for i := range r.version.Members {
		latest := &r.version.Members[i]
		m := old[latest.ID]
		if m == nil {
			m = &memberView{leaseUntil: r.now + MemberLease, joinIndex: r.version.Index}
		}
		m.Member = *latest
		m.owner = false
		r.members[latest.ID] = m
		r.memberList = append(r.memberList, m)
	}
	for _, id := range r.version.Owners.Current {
		if m := r.members[id]; m != nil {
			m.owner = true
		}
	}
}

func (r *Roster) leased(m *memberView) bool { return m.leaseUntil > r.now }

func (r *Roster) memberLeased(id version.MemberID) bool {
	m := r.members[id]
	return m != nil && r.leased(m)
}

// removeLapsedMembers proposes to remove the members whose lease has lapsed.
func (r *Roster) removeLapsedMembers() {
	for _, m := range r.memberList {
		if r.leased(m) {
			continue
		}
		c := state.RemoveMember{ID: m.ID, Cause: state.CauseLeaseLapsed}
		if r.propose(pendingKey{kind: proposeRemoveMember, subject: uint32(m.ID)}, state.Command{RemoveMember: &c}) {
			r.stats.MembersLapsed++
		}
	}
}

// changeOwners prepares new owners when a joining member has caught up or an
// owner leaves, and activates them once all members have settled.
func (r *Roster) changeOwners() {
	owners := &r.version.Owners
	if owners.Next == nil {
		if r.ownersOutdated() {
			key := pendingKey{kind: proposePrepareOwners, arg: owners.Epoch}
			r.propose(key, state.Command{PrepareOwners: &state.PrepareOwners{}})
		}
		return
	}
	since := r.ownersSeen.update(r.now, owners.PreparedAt)
	cause, ok := r.settled(owners.PreparedAt, since)
	if !ok {
		return
	}
	c := state.ActivateOwners{Prepared: owners.PreparedAt, Cause: cause}
	key := pendingKey{kind: proposeActivateOwners, arg: owners.PreparedAt}
	if r.propose(key, state.Command{ActivateOwners: &c}) {
		r.countWaitExceeded(cause)
	}
}

func (r *Roster) ownersOutdated() bool {
	leaving, staying, caughtUp := false, false, false
	for _, m := range r.memberList {
		switch {
		case m.State == version.MemberLeaving:
			leaving = leaving || m.owner
		default:
			staying = true
			caughtUp = caughtUp || !m.owner && r.caughtUp(m)
		}
	}
	return caughtUp || leaving && staying
}

// caughtUp reports whether a member has applied the first version that
// contains it.
func (r *Roster) caughtUp(m *memberView) bool {
	return r.leased(m) && m.applied >= m.joinIndex
}

// updateSettledIndexes computes the indexes that all members with a lease have
// settled.
func (r *Roster) updateSettledIndexes() {
	r.settledIndex = math.MaxUint64
	r.settledBaseIndex = math.MaxUint64
	for _, m := range r.memberList {
		if r.leased(m) {
			r.settledIndex = min(r.settledIndex, m.settled)
			r.settledBaseIndex = min(r.settledBaseIndex, m.settledBase)
		}
	}
}

// settled reports whether all members with a lease have settled the version at
// index, or SettleTimeout has passed since the given time. The cause is which of
// the two applies.
func (r *Roster) settled(index uint64, since time.Duration) (state.Cause, bool) {
	if r.settledIndex >= index {
		return state.CauseSettled, true
	}
	return state.CauseWaitExceeded, r.now-since >= SettleTimeout
}

func (r *Roster) countWaitExceeded(cause state.Cause) {
	if cause == state.CauseWaitExceeded {
		r.stats.WaitsExceeded++
	}
}

// MemberStatus is the status of a member at the leader.
type MemberStatus struct {
	Live    bool   // its lease is valid
	Applied uint64 // index of its version
	Settled uint64 // index under which all its exceptions are replicated
}

// Member returns the status of a member; the zero status if it is unknown.
func (r *Roster) Member(id version.MemberID) MemberStatus {
	m := r.members[id]
	if m == nil {
		return MemberStatus{}
	}
	return MemberStatus{Live: r.leased(m), Applied: m.applied, Settled: m.settled}
}

// Unapplied returns the members with a lease that have not reported the
// version at index as applied, in order of their IDs.
func (r *Roster) Unapplied(index uint64) []version.MemberID {
	return r.leasedMembers(func(m *memberView) bool { return m.applied < index })
}

// Unsettled returns the members with a lease that have not reported the
// version at index as settled, in order of their IDs.
func (r *Roster) Unsettled(index uint64) []version.MemberID {
	return r.leasedMembers(func(m *memberView) bool { return m.settled < index })
}

func (r *Roster) leasedMembers(match func(*memberView) bool) []version.MemberID {
	var out []version.MemberID
	for _, m := range r.memberList {
		if r.leased(m) && match(m) {
			out = append(out, m.ID)
		}
	}
	return out
}
