package affinity

import (
	"slices"
	"time"

	"heatherport/internal/version/routing"
)

// draws bounds the upstreams that are looked at for one of the two choices of
// spillover.
const draws = 3

// room is a place for a connection: an upstream and how it was chosen.
type room struct {
	upstream   *Upstream
	load       float64
	candidates int
}

// findRoom returns an upstream of the own share with a free permit, otherwise one
// that the limits of spillover admit, otherwise one in a slow start that this
// balancer owns. Its upstream is nil if there is none. It does not look at all
// upstreams.
func (e *Engine) findRoom(now time.Duration, p *pool, r *restriction) room {
	if found := e.findProbe(now, p, r); found.upstream != nil {
		return found
	}
	if found := e.findOwn(now, p, r, e.isAvoided); found.upstream != nil {
		return found
	}
	if found := e.findSpillover(now, p, r); found.upstream != nil {
		return found
	}
	if found := e.findOwn(now, p, r, e.isUseless); found.upstream != nil {
		return found
	}
	for _, u := range p.cold {
		if e.isOpenTo(now, r, u) && !e.isAvoided(now, p, u) && !e.answersLate(now, p, r.route, u) {
			return room{upstream: u, candidates: len(p.cold)}
		}
	}
	return room{}
}

// restriction excludes upstreams from a choice.
type restriction struct {
	route *routing.Route
	tried []uint32 // upstreams that earlier copies were sent to
}

// isOpenTo reports whether a connection with a restriction may go to an upstream.
func (e *Engine) isOpenTo(now time.Duration, r *restriction, u *Upstream) bool {
	return e.isAllowed(now, r.route, u) && !slices.Contains(r.tried, u.Cookie)
}

// findOwn returns the upstream of the own share that is expected to answer first. Those
// that are alike take turns by their shares. It leaves out those that skip reports.
func (e *Engine) findOwn(now time.Duration, p *pool, r *restriction, skip func(time.Duration, *pool, *Upstream) bool) (best room) {
	if p.ownOpen >= p.permits {
		return best
	}
	bestTurn := 0.0
	for i := range p.own {
		o := &p.own[i]
		open, own := e.openAt(o.Cookie)
		if own >= o.permits || !e.isOpenTo(now, r, o.Upstream) || skip(now, p, o.Upstream) || !e.answersInTime(p, r.route, o) {
			continue
		}
		best.candidates++
		load, turn := o.crowd(open+1)*e.comparableWork(now, p, o.Upstream), e.turnOf(p, o.Cookie)
		if best.upstream == nil || load < best.load || load == best.load && turn < bestTurn {
			best.upstream, best.load, bestTurn = o.Upstream, load, turn
		}
	}
	return best
}

// findSpillover returns an upstream of other shares, in the own failure domain if
// its limit admits one more.
func (e *Engine) findSpillover(now time.Duration, p *pool, r *restriction) room {
	// Before the usual time is known, answers do not limit spillover.
	if p.times.usual.get() == 0 && p.spillover.Open() >= len(p.domains) {
		return room{}
	}
	if p.byDomain[e.cfg.Domain] != nil && p.spillover.Admits(now, e.cfg.Domain) {
		if found := e.drawTwo(now, p, p.byDomain[e.cfg.Domain], r); found.upstream != nil {
			return found
		}
	}
	if len(p.domains) == 0 {
		return room{}
	}
	first := e.cfg.Rand.IntN(len(p.domains))
	for i := range p.domains {
		d := p.domains[(first+i)%len(p.domains)]
		if d == e.cfg.Domain || !p.spillover.Admits(now, d) {
			continue
		}
		if found := e.drawTwo(now, p, p.byDomain[d], r); found.upstream != nil {
			return found
		}
	}
	return room{}
}

// drawTwo returns the better of two upstreams drawn at random (power of two
// choices).
func (e *Engine) drawTwo(now time.Duration, p *pool, from []*Upstream, r *restriction) room {
	if len(from) == 0 {
		return room{}
	}
	a, b := e.draw(now, p, from, r), e.draw(now, p, from, r)
	if a.upstream == nil || b.upstream != nil && b.load < a.load {
		a = b
	}
	a.candidates = len(from)
	return a
}

func (e *Engine) draw(now time.Duration, p *pool, from []*Upstream, r *restriction) room {
	for range draws {
		u := from[e.cfg.Rand.IntN(len(from))]
		if e.isOpenTo(now, r, u) && !e.isAvoided(now, p, u) && !e.answersLate(now, p, r.route, u) {
			open, _ := e.openAt(u.Cookie)
			return room{upstream: u, load: float64(open+1) * e.workOf(now, p, u)}
		}
	}
	return room{}
}

// openAt returns the number of open connections to an upstream, and how many of them
// hold a permit.
func (e *Engine) openAt(cookie uint32) (open, own int) {
	if s := e.upstreams[cookie]; s != nil {
		return s.open, s.own
	}
	return 0, 0
}

// chooseOther returns an upstream for a repeated opening packet that earlier copies
// were not sent to.
func (e *Engine) chooseOther(now time.Duration, v *View, k key, c *entry) (*Upstream, *Choice) {
	route := v.route(k.service)
	p := e.pool(now, v, k, c.service)
	if p == nil {
		return e.choose(now, v, route, c.service, c.tried)
	}
	r := &restriction{route: route, tried: c.tried}
	found := e.findRoom(now, p, r)
	if found.upstream == nil {
		found = e.drawTwo(now, p, v.byService[c.service], r)
	}
	return found.upstream, &Choice{Service: c.service, Candidates: found.candidates, Load: found.load, Tried: len(c.tried)}
}
