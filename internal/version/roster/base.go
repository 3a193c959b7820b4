package roster

import (
	"slices"
	"time"

	"heatherport/internal/version"
	"heatherport/internal/version/state"
)

// Timing of base changes.
const (
	// BaseQuiet is how long the current ranking must stand before it may
	// become the base.
	BaseStablePeriod = 2 * time.Second
	// BaseMaxWait is how long slow start and further changes may put a
	// change of the base off.
	BaseMaxDelay = 30 * time.Second
	// NarrowBaseQuiet takes the place of BaseQuiet, and slow start is not
	// waited for, while the base ranks less than half of the upstreams that
	// the current ranking has: nearly all connections would be exceptions.
	NarrowBaseStablePeriod = 500 * time.Millisecond
)

// serviceView is what the leader knows of a service.
type serviceView struct {
	current      version.Ranking
	currentSince time.Duration
	diverged     bool // the current ranking differs from the base
	divergedAt   time.Duration
	preparedAt   stamp

	// Counted anew with each version, and while ejections are pending.
	open    int // upstreams that may receive new connections if healthy
	ejected int // of these, the unhealthy ones
	ramping int // of these, the healthy ones in slow start
}

// changingService is a service whose base differs from its current ranking or
// is being changed.
type changingService struct {
	*version.Service
	view *serviceView
}

func (r *Roster) syncServices() {
	r.changing = r.changing[:0]
	for i := range r.version.Services {
		s := &r.version.Services[i]
		view := r.services[s.ID]
		if view == nil {
			view = &serviceView{}
			r.services[s.ID] = view
		}
		view.sync(r.now, s)
		if view.diverged || s.NextBase != nil {
			r.changing = append(r.changing, changingService{s, view})
		}
	}
	if len(r.services) == len(r.version.Services) {
		return
	}
	for id := range r.services {
		if r.version.ServiceByID(id) == nil {
			delete(r.services, id)
		}
	}
}

func (s *serviceView) sync(now time.Duration, service *version.Service) {
	if !sameRanking(s.current, service.Current) {
		s.current = service.Current
		s.currentSince = now
	}
	diverged := !sameRanking(service.Current, service.Base)
	if diverged && !s.diverged {
		s.divergedAt = now
	}
	s.diverged = diverged
}

// sameRanking is slices.Equal, fast for rankings that share their memory.
func sameRanking(a, b version.Ranking) bool {
	if len(a) == len(b) && len(a) > 0 && &a[0] == &b[0] {
		return true
	}
	return slices.Equal(a, b)
}

// changeBases prepares the base of services whose current ranking has come to
// rest, and advances it once all members have settled.
func (r *Roster) changeBases() {
	for _, s := range r.changing {
		if s.NextBase != nil {
			r.advanceBase(s)
			continue
		}
		r.prepareBase(s)
	}
}

func (r *Roster) prepareBase(s changingService) {
	rest := r.now - s.view.currentSince
	quiet := rest >= BaseStablePeriod && s.view.ramping == 0 || rest >= NarrowBaseStablePeriod && narrowBase(s.Service)
	overdue := r.now-s.view.divergedAt >= BaseMaxDelay
	if len(s.Current) == 0 || !quiet && !overdue {
		return
	}
	key := pendingKey{kind: proposePrepareBase, subject: uint32(s.ID)}
	r.propose(key, state.Command{PrepareBase: &state.PrepareBase{Service: s.ID}})
}

// narrowBase reports whether the base ranks less than half of the upstreams of
// the current ranking.
func narrowBase(s *version.Service) bool {
	shared := 0
	for i := range s.Current {
		if slices.ContainsFunc(s.Base, func(w version.WeightedUpstream) bool { return w.Upstream == s.Current[i].Upstream }) {
			shared++
		}
	}
	return 2*shared < len(s.Current)
}

func (r *Roster) advanceBase(s changingService) {
	since := s.view.preparedAt.see(r.now, s.PreparedAt)
	cause := state.CauseSettled
	if r.settledBaseIndex < max(s.PreparedAt, r.ownersIndex) {
		// Connections without a packet for the idle timeout have ended, so
		// that nothing is left which an owner might not know.
		if r.now-since < s.IdleTimeout+SettleTimeout {
			return
		}
		cause = state.CauseWaitExceeded
	}
	c := state.AdvanceBase{Service: s.ID, Prepared: s.PreparedAt, Cause: cause}
	key := pendingKey{kind: proposeAdvanceBase, subject: uint32(s.ID), arg: s.PreparedAt}
	if r.propose(key, state.Command{AdvanceBase: &c}) {
		r.countWait(cause)
	}
}
