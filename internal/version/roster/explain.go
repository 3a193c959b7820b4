package roster

import (
	"time"

	"heatherport/internal/version"
)

// Reason is why an upstream receives no new connections, or fewer of them.
type Reason uint8

// The reasons.
const (
	ReasonNotListed     Reason = iota + 1 // the sheet in force does not list it
	ReasonLeaving                         // the sheet declares it leaving
	ReasonPaused                          // the sheet declares it paused
	ReasonLeaseLapsed                     // it stopped announcing itself
	ReasonOverdue                         // it stopped announcing itself, but is the last working upstream
	ReasonUnhealthy                       // a quorum of observers reports failed probes
	ReasonHoldDown                        // its probes pass again, but the hold-down has not ended
	ReasonEjectionLimit                   // its probes fail, but too many others are ejected
	ReasonSlowStart                       // its weight is still rising
	ReasonLoad                            // it reports load, which lowers its weight
)

var reasonNames = [...]string{
	"none",
	"not_listed",
	"leaving",
	"paused",
	"lease_lapsed",
	"overdue",
	"unhealthy",
	"hold_down",
	"floor",
	"slow_start",
	"load",
}

// String returns the snake-case name of r.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// Finding is one reason together with its evidence.
type Finding struct {
	Reason Reason
	// Age is how long the reason has held, counted at most from the start of
	// the leader's term. Zero if the sheet is the reason.
	Age time.Duration
	// Observers are the members whose observations are the evidence.
	Observers []version.MemberID
}

// Explanation reports whether an upstream is eligible for new connections, with
// the reasons that exclude it or lower its weight.
type Explanation struct {
	Upstream       version.UpstreamID
	Known          bool
	Eligible       bool
	Weight         uint32
	LeaseRemaining time.Duration
	Findings       []Finding
}

// Explain returns the state of an upstream with the reasons for it.
func (r *Roster) Explain(id version.UpstreamID) Explanation {
	e := Explanation{Upstream: id}
	u := r.viewByID(id)
	if u == nil {
		return e
	}
	e.Known = true
	e.Eligible = u.Eligible()
	e.Weight = u.Weight()
	e.LeaseRemaining = max(0, u.leaseUntil-r.now)
	r.explainSheet(&e, u)
	r.explainLease(&e, u)
	r.explainHealth(&e, u)
	r.explainWeight(&e, u)
	return e
}

func (e *Explanation) add(reason Reason, age time.Duration, observers ...version.MemberID) {
	e.Findings = append(e.Findings, Finding{Reason: reason, Age: age, Observers: observers})
}

func (r *Roster) explainSheet(e *Explanation, u *upstreamView) {
	switch {
	case !u.Listed:
		e.add(ReasonNotListed, 0)
	case u.State == version.Leaving:
		e.add(ReasonLeaving, 0)
	case u.State == version.Paused:
		e.add(ReasonPaused, 0)
	}
}

func (r *Roster) explainLease(e *Explanation, u *upstreamView) {
	if !u.Leased {
		e.add(ReasonLeaseLapsed, r.now-u.lapsedAt)
	}
	if u.overdue {
		e.add(ReasonOverdue, r.now-u.leaseUntil)
	}
}

func (r *Roster) explainHealth(e *Explanation, u *upstreamView) {
	failing := r.failingObservers(u)
	switch {
	case !u.Healthy && len(failing) == 0:
		e.add(ReasonHoldDown, r.now-u.health.changedAt)
	case !u.Healthy:
		e.add(ReasonUnhealthy, r.now-u.health.changedAt, failing...)
	case u.health.ejectionPrevented:
		e.add(ReasonEjectionLimit, r.now-u.health.changedAt, failing...)
	}
}

func (r *Roster) explainWeight(e *Explanation, u *upstreamView) {
	if u.Ramp < version.RampFull {
		e.add(ReasonSlowStart, r.now-u.rampSince)
	}
	if u.LoadFactor > 0 {
		e.add(ReasonLoad, r.now-u.loadUpdatedAt)
	}
}

func (r *Roster) failingObservers(u *upstreamView) []version.MemberID {
	var out []version.MemberID
	for i := range u.health.observers {
		o := &u.health.observers[i]
		if r.fresh(o) && o.failing() {
			out = append(out, o.member)
		}
	}
	return out
}
