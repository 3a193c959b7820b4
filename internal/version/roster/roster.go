// Package roster is the leader's policy for leases, health and ownership. It
// turns heartbeats, announcements, probe results and load reports into commands
// for the replicated log. It is deterministic and performs no I/O: time and
// messages are arguments, commands are the result. Its state is lost with the
// leadership; a new leader starts with Reset, which grants full leases to all
// members and leased upstreams.
package roster

import (
	"time"

	"heatherport/internal/version"
	"heatherport/internal/version/state"
)

// Leases and intervals.
const (
	HeartbeatInterval = 500 * time.Millisecond
	MemberLease       = 2 * time.Second
	AnnounceLease     = 10 * time.Second
	RenewInterval     = 3 * time.Second
	// MaxTickGap is the longest time between ticks that counts against
	// leases; leases are extended by the time beyond it.
	MaxTickGap = time.Second
	// SettleTimeout bounds the wait for members to settle a version.
	SettleTimeout = 10 * time.Second
	// PendingTimeout is the time after which a command that has not taken
	// effect is proposed again.
	PendingTimeout = 2 * time.Second
)

// Rate and size limits of the commands that one leader proposes.
const (
	CommandsPerSecond = 200
	CommandBurst      = 200
	UpdatesPerCommand = 256
)

// Roster is the state of the leader's policy. It is not safe for concurrent
// use.
type Roster struct {
	now     time.Duration
	version *version.Version // nil before the first Reset

	members    map[version.MemberID]*memberView
	memberList []*memberView   // ordered by ID
	upstreams  []*upstreamView // ordered by ID
	// nextCheck holds the time of the next check of each of upstreams. With
	// nothing to change, that is the end of its lease.
	nextCheck       []time.Duration
	upstreamsByName map[string]*upstreamView
	services        map[version.ServiceID]*serviceView
	changing        []changingService
	// recountUntil is when the last ejection or lapse has taken effect or
	// timed out; until then each tick recounts the upstreams of the services.
	recountUntil time.Duration
	ownersSeen   firstSeen // of the owners being prepared
	// settledIndex is the highest index that all members with a lease have
	// settled.
	settledIndex uint64
	// settledBaseIndex is the same for a base; it is valid once it has reached
	// ownersIndex, the index of the first version with the epoch of the owners.
	settledBaseIndex uint64
	epoch            uint64
	ownersIndex      uint64

	pending  map[pendingKey]time.Duration
	tokens   float64
	commands []state.Command
	updates  []state.StatusUpdate
	stats    Stats
}

// Stats counts decisions since the start of the process.
type Stats struct {
	MembersLapsed      uint64 // member leases that lapsed
	LeasesLapsed       uint64 // announcement leases that lapsed
	LapsesPrevented    uint64 // leases not lapsed at their end, for the last working upstream of a service
	Ejections          uint64 // upstreams marked unhealthy
	Readmissions       uint64 // upstreams marked healthy again
	EjectionsPrevented uint64 // ejections prevented by the limit on ejections, per upstream and failure
	WaitsExceeded      uint64 // changes made before all members had settled
	RateLimited        uint64 // commands delayed by the rate limit
	TickGaps           uint64 // gaps between ticks that extended the leases
	Rejected           uint64 // heartbeats refused
	Diverged           uint64 // of these, the ones whose state differs from the leader's
	UnknownRenewals    uint64 // renewals of unknown upstreams
}

// firstSeen is an index with the time when it was first seen.
type firstSeen struct {
	index uint64
	since time.Duration
}

// update stores index, and returns the time when it was first seen.
func (s *firstSeen) update(now time.Duration, index uint64) time.Duration {
	if s.index != index {
		*s = firstSeen{index: index, since: now}
	}
	return s.since
}

// pendingKey identifies a proposed command. Its arg distinguishes proposals of
// one kind for the same subject.
type pendingKey struct {
	kind    proposalKind
	subject uint32
	arg     uint64
}

type proposalKind uint8

const (
	proposeRemoveMember proposalKind = iota
	proposePrepareOwners
	proposeActivateOwners
	proposePrepareBase
	proposeAdvanceBase
	proposeRemoveUpstream
)

// New returns a Roster that proposes nothing until Reset.
func New() *Roster { return &Roster{} }

func (r *Roster) Stats() Stats { return r.stats }

// Reset starts a leadership at version v: every member and every upstream with
// a lease gets a full lease from now.
func (r *Roster) Reset(now time.Duration, v *version.Version) {
	*r = Roster{
		now:             now,
		members:         make(map[version.MemberID]*memberView),
		upstreamsByName: make(map[string]*upstreamView),
		services:        make(map[version.ServiceID]*serviceView),
		pending:         make(map[pendingKey]time.Duration),
		tokens:          CommandBurst,
		stats:           r.stats,
	}
	r.sync(v)
	r.countUpstreams()
}

// Stop ends the leadership: Tick proposes nothing until the next Reset.
func (r *Roster) Stop() { *r = Roster{stats: r.stats} }

// Leading reports whether the roster is between Reset and Stop.
func (r *Roster) IsLeader() bool { return r.version != nil }

// Tick returns the commands to propose at now, given the latest version.
func (r *Roster) Tick(now time.Duration, v *version.Version) []state.Command {
	if !r.IsLeader() {
		return nil
	}
	r.advanceClock(now)
	if r.sync(v) || now <= r.recountUntil {
		r.countUpstreams()
	}
	r.commands = nil
	r.removeLapsedMembers()
	r.updateSettledIndexes()
	r.changeOwners()
	r.checkUpstreams()
	r.changeBases()
	return r.commands
}

// advanceClock sets the time to now. After a gap in which the process could not
// read heartbeats, leases are extended by the gap beyond MaxTickGap.
func (r *Roster) advanceClock(now time.Duration) {
	gap := now - r.now
	if gap <= 0 {
		return
	}
	if gap > MaxTickGap {
		r.stats.TickGaps++
		r.extendLeases(gap - MaxTickGap)
	}
	r.now = now
	r.tokens = min(CommandBurst, r.tokens+gap.Seconds()*CommandsPerSecond)
	for key, until := range r.pending {
		if now >= until {
			delete(r.pending, key)
		}
	}
}

func (r *Roster) extendLeases(gap time.Duration) {
	for _, m := range r.members {
		m.leaseUntil += gap
	}
	for _, u := range r.upstreams {
		if u.Leased {
			u.leaseUntil += gap
		}
	}
}

// sync switches to version v, and reports whether it differs from the last one.
func (r *Roster) sync(v *version.Version) bool {
	if r.version == v {
		return false
	}
	r.version = v
	if r.epoch != v.Owners.Epoch {
		r.epoch = v.Owners.Epoch
		r.ownersIndex = v.Index
	}
	r.syncMembers()
	r.syncServices()
	r.syncUpstreams()
	return true
}

// propose adds c, and reports whether it did. It does not if the command is
// pending or over the rate limit.
func (r *Roster) propose(key pendingKey, c state.Command) bool {
	if _, ok := r.pending[key]; ok {
		return false
	}
	if !r.takeToken() {
		return false
	}
	r.pending[key] = r.now + PendingTimeout
	r.commands = append(r.commands, c)
	return true
}

// takeToken takes the token of one command from the token bucket of the rate
// limit, and reports whether there was one.
func (r *Roster) takeToken() bool {
	if r.tokens < 1 {
		r.stats.RateLimited++
		return false
	}
	r.tokens--
	return true
}
