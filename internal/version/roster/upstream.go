package roster

import (
	"cmp"
	"math"
	"slices"
	"time"

	"heatherport/internal/result"
	"heatherport/internal/version"
	"heatherport/internal/version/state"
)

// Slow start and load reports.
const (
	// RampInterval is the duration of a slow-start step.
	RampInterval = 5 * time.Second
	// LoadSmoothing is the weight of a new report in the moving average of
	// the load.
	LoadSmoothing = 0.25
	// MinLoadChange is the smallest change of the smoothed load that is
	// proposed.
	MinLoadChange = 32
	// MinLoadInterval is the shortest time between proposed changes.
	MinLoadInterval = 30 * time.Second
)

// upstreamView is the leader's state for an upstream.
type upstreamView struct {
	version.Upstream
	service *serviceView
	index   int // in Roster.upstreams and Roster.nextCheck

	leaseUntil     time.Duration
	addressClaimed bool          // another upstream announced its address since its last renewal
	overdue        bool          // not renewed, but kept as the last working upstream of its service
	lapsedAt       time.Duration // when the version first had the lease as lapsed
	rampSince      time.Duration // when the version first had the slow-start step
	smoothedLoad   float64
	loadUpdatedAt  time.Duration // when a change of the load was last proposed
	health         health
	proposed       proposedStatus
}

// proposedStatus holds the proposed values of each status field until they take
// effect or time out.
type proposedStatus struct {
	leased, healthy, ramp proposedValue
}

type proposedValue struct {
	value uint8
	until time.Duration
}

// checkPending reports whether a proposal of value is pending, and records one
// if not.
func (s *proposedValue) checkPending(now time.Duration, value uint8) bool {
	if s.value == value && now < s.until {
		return true
	}
	*s = proposedValue{value: value, until: now + PendingTimeout}
	return false
}

// Announce handles an announcement. It renews the lease of a registered
// upstream; for a new one the reply holds the command to propose.
func (r *Roster) Announce(now time.Duration, registrar Registrar, a *Announcement) AnnounceReply {
	if !r.IsLeader() {
		return AnnounceReply{Code: result.NoLeader, Detail: "this VM does not lead"}
	}
	c := &state.RegisterUpstream{
		Name:        a.Name,
		Service:     a.Service,
		Addr:        a.Addr,
		Incarnation: a.Incarnation,
		Slots:       a.Slots,
		LoadFactor:  a.LoadFactor,
		Probe:       a.Probe,
	}
	o := registrar.CheckRegister(c)
	if o.Code == result.AddressInUse {
		r.markAddressClaimed(now, o.Upstream)
	}
	if o.Code != result.OK {
		return AnnounceReply{Code: o.Code, Detail: o.Detail}
	}
	reply := AnnounceReply{Upstream: o.Upstream, Lease: AnnounceLease, RenewInterval: RenewInterval}
	if o.Upstream == 0 {
		reply.Command = &state.Command{RegisterUpstream: c}
		return reply
	}
	r.renew(now, &Renewal{Name: a.Name, Incarnation: a.Incarnation, LoadFactor: a.LoadFactor})
	return reply
}

// markAddressClaimed records that another upstream announced the address of
// holder.
func (r *Roster) markAddressClaimed(now time.Duration, holder version.UpstreamID) {
	if u := r.viewByID(holder); u != nil {
		u.addressClaimed = true
		r.nextCheck[u.index] = now
	}
}

// renew renews the lease of an upstream. A renewal for an incarnation that is
// not in the version is ignored.
func (r *Roster) renew(now time.Duration, n *Renewal) {
	u := r.upstreamsByName[n.Name]
	if u == nil || u.Incarnation != n.Incarnation {
		r.stats.UnknownRenewals++
		return
	}
	u.leaseUntil = max(u.leaseUntil, now+AnnounceLease)
	u.addressClaimed = false
	u.smoothedLoad += (float64(n.LoadFactor) - u.smoothedLoad) * LoadSmoothing
	if u.loadChanged() {
		r.nextCheck[u.index] = now
	}
}

// syncUpstreams merges the upstreams of the version with the views. Both are
// ordered by ID.
func (r *Roster) syncUpstreams() {
	old := r.upstreams
	r.upstreams = make([]*upstreamView, 0, len(r.version.Upstreams))
	for i := range r.version.Upstreams {
		u := &r.version.Upstreams[i]
		for len(old) > 0 && old[0].ID < u.ID {
			r.removeView(old[0])
			old = old[1:]
		}
		if len(old) > 0 && old[0].ID == u.ID {
			old[0].sync(r.now, u)
			r.upstreams = append(r.upstreams, old[0])
			old = old[1:]
			continue
		}
		r.upstreams = append(r.upstreams, r.newView(u))
	}
	for _, view := range old {
		r.removeView(view)
	}
	r.nextCheck = make([]time.Duration, len(r.upstreams))
	for i, view := range r.upstreams {
		view.index = i
		r.nextCheck[i] = r.now
	}
}

// newView adds a view of an upstream, with a full lease if the version has it as
// leased.
func (r *Roster) newView(u *version.Upstream) *upstreamView {
	view := &upstreamView{
		Upstream:      *u,
		service:       r.services[u.Service],
		leaseUntil:    r.now + AnnounceLease,
		lapsedAt:      r.now,
		rampSince:     r.now,
		smoothedLoad:  float64(u.LoadFactor),
		loadUpdatedAt: r.now,
		health:        health{changedAt: r.now},
	}
	if !u.Leased {
		view.leaseUntil = r.now
	}
	r.upstreamsByName[u.Name] = view
	return view
}

func (r *Roster) viewByID(id version.UpstreamID) *upstreamView {
	i, ok := slices.BinarySearchFunc(r.upstreams, id, func(u *upstreamView, id version.UpstreamID) int {
		return cmp.Compare(u.ID, id)
	})
	if !ok {
		return nil
	}
	return r.upstreams[i]
}

func (r *Roster) removeView(view *upstreamView) {
	if r.upstreamsByName[view.Name] == view {
		delete(r.upstreamsByName, view.Name)
	}
}

func (u *upstreamView) sync(now time.Duration, latest *version.Upstream) {
	if u.Leased && !latest.Leased {
		u.lapsedAt = now
	}
	if !u.Leased && latest.Leased {
		u.leaseUntil = max(u.leaseUntil, now+AnnounceLease)
	}
	if u.Healthy != latest.Healthy {
		u.health.changedAt = now
	}
	if u.Ramp != latest.Ramp || u.Eligible() != latest.Eligible() {
		u.rampSince = now
	}
	u.Upstream = *latest
}

// checkUpstreams proposes status changes and removals of the upstreams whose
// check is due.
func (r *Roster) checkUpstreams() {
	for i := range r.nextCheck {
		if r.now < r.nextCheck[i] {
			continue
		}
		u := r.upstreams[i]
		r.checkLease(u)
		r.checkHealth(u)
		r.checkRamp(u)
		r.checkLoad(u)
		r.checkRemoval(u)
		r.nextCheck[i] = r.nextCheckOf(u)
	}
	r.flushUpdates()
}

// nextCheckOf returns the time of the next check of u: the next tick, or the end
// of the lease if nothing else is to change. A failed probe or a changed load
// brings the check forward.
func (r *Roster) nextCheckOf(u *upstreamView) time.Duration {
	ramped := u.Ramp >= version.RampFull || !u.Eligible()
	if u.Leased && u.Healthy && ramped {
		return u.leaseUntil
	}
	return r.now
}

func (r *Roster) countUpstreams() {
	for _, s := range r.services {
		s.available, s.ejected, s.ramping = 0, 0, 0
	}
	for _, u := range r.upstreams {
		if !u.Available() || u.lapsePending(r.now) {
			continue
		}
		u.service.available++
		if u.ejectedOrPending(r.now) {
			u.service.ejected++
		} else if u.Ramp < version.RampFull {
			u.service.ramping++
		}
	}
}

// update adds a status update of u.
func (r *Roster) update(u *upstreamView, c state.StatusUpdate) {
	c.ID = u.ID
	r.updates = append(r.updates, c)
}

// flushUpdates proposes the updates in batches. Those over the rate limit wait
// for the next tick.
func (r *Roster) flushUpdates() {
	for len(r.updates) > 0 && r.takeToken() {
		n := min(len(r.updates), UpdatesPerCommand)
		batch := r.updates[:n:n]
		r.updates = r.updates[n:]
		r.commands = append(r.commands, state.Command{UpstreamStatus: &state.UpstreamStatus{Updates: batch}})
	}
}

// lapsePending reports whether a lapse of the lease of u is proposed.
func (u *upstreamView) lapsePending(now time.Duration) bool {
	return u.proposed.leased.value == bit(false) && now < u.proposed.leased.until
}

// checkLease proposes a change if the lease differs from the version.
func (r *Roster) checkLease(u *upstreamView) {
	leased := u.leaseUntil > r.now
	if !r.mayChangeLease(u, leased) {
		return
	}
	if leased == u.Leased || u.proposed.leased.checkPending(r.now, bit(leased)) {
		return
	}
	if leased {
		r.update(u, state.StatusUpdate{Leased: new(true), Cause: state.CauseLeaseRenewed})
		return
	}
	r.stats.LeasesLapsed++
	r.recountUntil = r.now + PendingTimeout
	if u.Available() {
		u.service.available--
	}
	r.update(u, state.StatusUpdate{Leased: new(false), Cause: state.CauseLeaseLapsed})
}

// mayChangeLease reports whether a change of the version's lease state of u to
// leased may be proposed. A lease that has ended is kept while u is the last
// resort of its service.
func (r *Roster) mayChangeLease(u *upstreamView, leased bool) bool {
	overdue := !leased && r.lastResort(u)
	if overdue && !u.overdue {
		r.stats.LapsesPrevented++
	}
	u.overdue = overdue
	return !overdue
}

// lastResort reports whether u is the only eligible upstream of its service, a
// quorum of observers reports passed probes, and no other upstream claims its
// address: then its announcements may be lost, but u still works.
func (r *Roster) lastResort(u *upstreamView) bool {
	if !u.Eligible() || u.addressClaimed || u.lapsePending(r.now) {
		return false
	}
	if u.service.available-u.service.ejected > 1 {
		return false
	}
	counts := r.countObservers(u)
	return 2*counts.passing > counts.fresh
}

// checkRamp proposes the next slow-start step of an upstream after RampInterval.
func (r *Roster) checkRamp(u *upstreamView) {
	if u.Ramp >= version.RampFull || !u.Eligible() || r.now-u.rampSince < RampInterval {
		return
	}
	next := u.Ramp + 1
	if u.proposed.ramp.checkPending(r.now, next) {
		return
	}
	r.update(u, state.StatusUpdate{Ramp: new(next), Cause: state.CauseSlowStart})
}

// checkLoad proposes the smoothed load when it has changed enough.
func (r *Roster) checkLoad(u *upstreamView) {
	if !u.loadChanged() || r.now-u.loadUpdatedAt < MinLoadInterval {
		return
	}
	u.loadUpdatedAt = r.now
	r.update(u, state.StatusUpdate{LoadFactor: new(uint8(math.Round(u.smoothedLoad))), Cause: state.CauseLoadReport})
}

func (u *upstreamView) loadChanged() bool {
	idle := u.smoothedLoad < 1 && u.LoadFactor > 0
	return idle || math.Abs(u.smoothedLoad-float64(u.LoadFactor)) >= MinLoadChange
}

// checkRemoval proposes to remove an upstream that has been without a lease for
// the idle timeout of its service, unless it is healthy and still observed.
func (r *Roster) checkRemoval(u *upstreamView) {
	if u.Leased || u.leaseUntil > r.now {
		return
	}
	s := r.version.ServiceByID(u.Upstream.Service)
	if r.now-u.lapsedAt < s.IdleTimeout {
		return
	}
	if u.Healthy && r.countObservers(u).fresh > 0 {
		return
	}
	c := state.RemoveUpstream{ID: u.ID, Cause: state.CauseLeaseLapsed}
	r.propose(pendingKey{kind: proposeRemoveUpstream, subject: uint32(u.ID)}, state.Command{RemoveUpstream: &c})
}

func bit(b bool) uint8 {
	if b {
		return 1
	}
	return 0
}
