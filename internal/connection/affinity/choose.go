package affinity

import (
	"slices"
	"time"

	"heatherport/internal/result"
	"heatherport/internal/version/routing"
)

// maxAvoidedShare is the share of a service's upstreams that may be avoided
// because of slow or missing answers. When more are slow, the service is
// overloaded, and avoiding upstreams would make the overload worse.
const maxAvoidedShare = 1.0 / 3

// choose returns the eligible upstream of a service with the least load that a
// connection to a route may go to, or nil. Upstreams that are suspected or whose
// announcements have lapsed are chosen only when there is no other.
func (e *Engine) choose(now time.Duration, v *View, r *routing.Route, service string, excluded []uint32) (*Upstream, *Choice) {
	var best *Upstream
	bestRank := rank{}
	candidates := 0
	upstreams := v.byService[service]
	avoidSlow := e.mayAvoidSlow(now, upstreams)
	for _, u := range upstreams {
		if slices.Contains(excluded, u.Cookie) || !e.isAllowed(now, r, u) {
			continue
		}
		candidates++
		if rank := e.rank(now, u, avoidSlow); best == nil || rank.less(bestRank) {
			best, bestRank = u, rank
		}
	}
	return best, &Choice{Service: service, Candidates: candidates, Penalty: bestRank.penalty, Load: bestRank.load, Tried: len(excluded)}
}

// isAllowed reports whether a new connection to a route may go to an upstream: it is
// in an allowed region, and a slow start has room for it.
func (e *Engine) isAllowed(now time.Duration, r *routing.Route, u *Upstream) bool {
	return isInRegion(r, u) && (now >= u.ColdUntil || u.Owned && e.cold.admits(now, u))
}

func isInRegion(r *routing.Route, u *Upstream) bool {
	return r == nil || len(r.Regions) == 0 || slices.Contains(r.Regions, u.Region)
}

// refusalCause returns the code of a refusal because no upstream of a service is
// allowed.
func (v *View) refusalCause(r *routing.Route, service string) result.Code {
	upstreams := v.byService[service]
	switch {
	case len(upstreams) == 0 && v.evacuated[service]:
		return result.RefusedEvacuated
	case len(upstreams) == 0:
		return result.RefusedNoUpstream
	case !slices.ContainsFunc(upstreams, func(u *Upstream) bool { return isInRegion(r, u) }):
		return result.RefusedRegion
	}
	return result.RefusedCold
}

// mayAvoidSlow reports whether at most maxAvoidedShare of the upstreams are
// slow.
func (e *Engine) mayAvoidSlow(now time.Duration, upstreams []*Upstream) bool {
	slow := 0
	for _, u := range upstreams {
		if e.isSlow(now, u) {
			slow++
		}
	}
	return float64(slow) <= maxAvoidedShare*float64(len(upstreams))
}

// rank is the position of a candidate in a choice. The lowest rank is chosen.
type rank struct {
	penalty  int     // number of reasons to expect no answer
	load     float64 // open connections per slot
	remote   bool    // in another failure domain
	tieBreak uint32
}

func (r rank) less(o rank) bool {
	switch {
	case r.penalty != o.penalty:
		return r.penalty < o.penalty
	case r.load != o.load:
		return r.load < o.load
	case r.remote != o.remote:
		return o.remote
	}
	return r.tieBreak < o.tieBreak
}

func (e *Engine) rank(now time.Duration, u *Upstream, avoidSlow bool) rank {
	r := rank{remote: u.Domain != e.cfg.Domain, tieBreak: e.cfg.Rand.Uint32()}
	if e.isUnresponsive(now, u.Cookie) || avoidSlow && e.isSlow(now, u) {
		r.penalty++
	}
	if u.Lapsed {
		r.penalty++
	}
	if s := e.upstreams[u.Cookie]; s != nil {
		r.load = float64(s.open) / float64(max(u.Slots, 1))
	}
	return r
}
