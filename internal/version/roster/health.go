package roster

import (
	"time"

	"heatherport/internal/version"
	"heatherport/internal/version/state"
)

// Active health checks: a quorum of observers ejects and readmits upstreams.
const (
	// FailuresToEject is the number of consecutive failed probes after which
	// an observer counts an upstream as unhealthy.
	FailuresToEject = 3
	// FailuresToEjectWithRetransmissions is the same for an observer that also
	// sees SYN retransmissions, which never suffice alone.
	FailuresToEjectWithRetransmissions = 2
	// MinRetransmissions is the rate of SYN retransmissions, per second, from
	// which they count.
	MinRetransmissions = 5
	// PassesToReadmit is the number of consecutive passed probes after which
	// an observer counts an upstream as healthy again.
	PassesToReadmit = 5
	// ObservationTTL is the age up to which an observation counts.
	ObservationTTL = 3 * time.Second
	// MinFailingObservers is the number of failing observers required for an
	// ejection when there are at least MembersForMinFailingObservers members.
	MinFailingObservers           = 2
	MembersForMinFailingObservers = 3
	// MaxObservers bounds the observers whose last observation is stored for
	// each upstream.
	MaxObservers = 16
	// MinHoldDown is the minimum duration of an ejection. It doubles with
	// each further ejection within FlapWindow, up to MaxHoldDown.
	MinHoldDown = 5 * time.Second
	MaxHoldDown = 5 * time.Minute
	FlapWindow  = 10 * time.Minute
	// UnobservedReadmitDelay is the time without fresh observations after
	// which an ejected upstream with a valid lease is readmitted.
	UnobservedReadmitDelay = 30 * time.Second
)

// health is the leader's health-check state for an upstream.
type health struct {
	observers         []observer
	changedAt         time.Duration // time of the last change of Healthy
	holdDown          time.Duration
	ejectedAt         time.Duration
	lastFreshAt       time.Duration // time of the newest observation
	ejectionPrevented bool          // failing, but the ejection limit prevents its ejection
}

type observer struct {
	member      version.MemberID
	receivedAt  time.Duration
	observation Observation
}

// failing reports whether the observer counts the upstream as unhealthy.
func (o *observer) failing() bool {
	if o.observation.Failed >= FailuresToEject {
		return true
	}
	return o.observation.Failed >= FailuresToEjectWithRetransmissions && o.observation.Retransmissions >= MinRetransmissions
}

// recordObservation stores an observation by member.
func (r *Roster) recordObservation(now time.Duration, member version.MemberID, o *Observation) {
	if u := r.viewByID(o.Upstream); u != nil {
		u.health.record(observer{member: member, receivedAt: now, observation: *o})
		if o.Failed > 0 || u.health.ejectionPrevented {
			r.nextCheck[u.index] = now
		}
	}
}

// record replaces the last observation by the same member. Without one, it
// replaces the oldest when MaxObservers are stored.
func (h *health) record(o observer) {
	h.lastFreshAt = max(h.lastFreshAt, o.receivedAt)
	oldest := 0
	for i := range h.observers {
		if h.observers[i].member == o.member {
			h.observers[i] = o
			return
		}
		if h.observers[i].receivedAt < h.observers[oldest].receivedAt {
			oldest = i
		}
	}
	if len(h.observers) < MaxObservers {
		h.observers = append(h.observers, o)
		return
	}
	h.observers[oldest] = o
}

// observerCounts counts the observers of an upstream whose observations are
// fresh.
type observerCounts struct {
	fresh, failing, passing int
}

func (r *Roster) countObservers(u *upstreamView) observerCounts {
	var counts observerCounts
	for i := range u.health.observers {
		o := &u.health.observers[i]
		if !r.fresh(o) {
			continue
		}
		counts.fresh++
		if o.failing() {
			counts.failing++
		}
		if o.observation.Passed >= PassesToReadmit {
			counts.passing++
		}
	}
	return counts
}

func (r *Roster) fresh(o *observer) bool {
	return r.now-o.receivedAt <= ObservationTTL && r.memberLeased(o.member)
}

// quorumFailing reports whether a quorum of observers reports failed probes.
func (r *Roster) quorumFailing(counts observerCounts) bool {
	if len(r.members) >= MembersForMinFailingObservers && counts.failing < MinFailingObservers {
		return false
	}
	return 2*counts.failing > counts.fresh
}

// ejectedOrPending reports whether u is ejected or its ejection is proposed.
func (u *upstreamView) ejectedOrPending(now time.Duration) bool {
	proposed := &u.proposed.healthy
	return !u.Healthy || proposed.value == bit(false) && now < proposed.until
}

func (r *Roster) checkHealth(u *upstreamView) {
	if u.Healthy {
		r.checkEjection(u)
		return
	}
	r.checkReadmission(u)
}

func (r *Roster) checkEjection(u *upstreamView) {
	if len(u.health.observers) == 0 || u.ejectedOrPending(r.now) {
		return
	}
	failing := r.quorumFailing(r.countObservers(u))
	if failing && u.Available() && !version.MayEject(u.service.available, u.service.ejected) {
		r.recordPreventedEjection(u)
		return
	}
	u.health.ejectionPrevented = false
	if !failing || u.proposed.healthy.checkPending(r.now, bit(false)) {
		return
	}
	if u.Available() {
		u.service.ejected++
	}
	r.recountUntil = r.now + PendingTimeout
	u.health.startHoldDown(r.now)
	r.stats.Ejections++
	r.update(u, state.StatusUpdate{Healthy: new(false), Cause: state.CauseProbesFailed})
}

// recordPreventedEjection records that the limit on ejections prevents that of u.
func (r *Roster) recordPreventedEjection(u *upstreamView) {
	if !u.health.ejectionPrevented {
		u.health.ejectionPrevented = true
		r.stats.EjectionsPrevented++
	}
}

// startHoldDown starts a hold-down, twice as long as the last one if that was
// less than FlapWindow ago.
func (h *health) startHoldDown(now time.Duration) {
	recent := h.holdDown > 0 && now-h.ejectedAt < FlapWindow
	h.holdDown = min(2*h.holdDown, MaxHoldDown)
	if !recent {
		h.holdDown = MinHoldDown
	}
	h.ejectedAt = now
}

func (r *Roster) checkReadmission(u *upstreamView) {
	if !r.mayReadmit(u) || u.proposed.healthy.checkPending(r.now, bit(true)) {
		return
	}
	r.stats.Readmissions++
	r.update(u, state.StatusUpdate{Healthy: new(true), Cause: state.CauseProbesPassed})
}

// mayReadmit reports whether an ejected upstream may be readmitted: all
// available upstreams of the service are ejected; or its hold-down has ended
// and a majority of observers reports passed probes or, with a valid lease, it
// has had no fresh observation for UnobservedReadmitDelay.
func (r *Roster) mayReadmit(u *upstreamView) bool {
	if u.Available() && u.service.ejected == u.service.available {
		return true
	}
	if r.now-u.health.changedAt < max(u.health.holdDown, MinHoldDown) {
		return false
	}
	counts := r.countObservers(u)
	if counts.fresh == 0 {
		return u.Leased && r.now-max(u.health.lastFreshAt, u.health.changedAt) >= UnobservedReadmitDelay
	}
	return 2*counts.passing > counts.fresh
}
