package affinity

import (
	"cmp"
	"math"
	"slices"
	"time"

	"heatherport/internal/load/demand"
	"heatherport/internal/load/queue"
	"heatherport/internal/load/share"
	"heatherport/internal/load/spill"
	"heatherport/internal/version/routing"
)

// Concurrency permits replace the adaptive limiter where the balancer knows the
// other ones: each may open a number of connections to its share of a service's
// slots, and a limited number to upstreams in other shares (spillover). The rest
// waits in a queue.
const (
	// permitsPerSlot is the number of connections for each slot of the own share:
	// one is in service, one waits, so that the slot is not idle during the
	// caller's round trips.
	permitsPerSlot = 2
	// minShare is the share of an upstream, in slots, below which it is ignored.
	// Sums of fractions leave shares of about 1e-12.
	minShare = 0.01
)

// ownUpstream is an upstream of the own share.
type ownUpstream struct {
	*Upstream
	share   float64 // slots
	permits int
}

// pool holds the upstreams of a service as this balancer uses them, and the
// connection attempts that wait for them.
type pool struct {
	service    string
	created    time.Duration
	own        []ownUpstream
	permits    int
	ownOpen    int // connections that hold a permit
	division   division
	domains    []string
	byDomain   map[string][]*Upstream // upstreams in other shares
	spillover  *spill.Limiter
	cold       []*Upstream // in a slow start that this balancer owns
	lanes      []*lane
	times      serviceTimes
	demand     demand.Meter
	turn       float64 // of the last connection to the own share
	avoidSlow  bool    // few upstreams are slow
	allAvoided bool    // there is no upstream without a reason to avoid it
}

// lane holds the waiting attempts of the routes with the same regions, so that those
// whose regions are full do not hold up others.
type lane struct {
	regions []string
	queue.Queue[*attempt]
}

// lane returns the lane of a route.
func (p *pool) lane(r *routing.Route) *lane {
	for _, l := range p.lanes {
		if slices.Equal(l.regions, r.Regions) {
			return l
		}
	}
	l := &lane{regions: r.Regions}
	p.lanes = append(p.lanes, l)
	return l
}

// queued returns the number of waiting attempts.
func (p *pool) queued() (n int) {
	for _, l := range p.lanes {
		n += l.Len()
	}
	return n
}

// pool returns the pool of a service, or nil if permits do not apply: the list of
// balancers does not contain this one, or callers at the address reuse connections,
// so that response times and open connections say little.
func (e *Engine) pool(now time.Duration, v *View, k key, service string) *pool {
	e.refreshPools(now, v)
	if !e.hasShares {
		return nil
	}
	if a := e.answers[k.service]; a != nil && !a.isReliable(now) {
		return nil
	}
	p := e.pools[service]
	if p == nil {
		p = &pool{service: service, created: now, byDomain: make(map[string][]*Upstream), spillover: spill.New(0)}
		e.pools[service] = p
		e.poolOrder = append(e.poolOrder, p)
		e.refreshPool(now, v, p)
	}
	return p
}

// refreshPools adapts the pools to a new view.
func (e *Engine) refreshPools(now time.Duration, v *View) {
	if e.poolView == v {
		return
	}
	e.poolView = v
	e.hasShares = slices.ContainsFunc(v.Balancers, func(b share.Balancer) bool { return b.Name == e.cfg.Name })
	for _, p := range e.poolOrder {
		e.refreshPool(now, v, p)
	}
}

// refreshPool computes the own share of a service.
func (e *Engine) refreshPool(now time.Duration, v *View, p *pool) {
	p.own, p.cold, p.permits = p.own[:0], p.cold[:0], 0
	for d, upstreams := range p.byDomain {
		p.byDomain[d] = upstreams[:0]
	}
	if !e.hasShares {
		return
	}
	warm := p.splitCold(now, v.byService[p.service])
	for i, s := range p.division.shares(e.cfg.Name, v.withNeeds(p.service), warm) {
		if s > minShare {
			p.own = append(p.own, ownUpstream{warm[i], s, int(math.Ceil(permitsPerSlot * s))})
		}
	}
	p.updateDomains(warm)
	e.updateAvoidance(now, v, p)
	p.spillover.Resize(p.spilloverPart() * float64(p.permits) / float64(max(len(p.domains), 1)))
}

// updatePermits sets the permits to those for the slots of the own share that answer.
// Those of upstreams that have died become idle long before their announcements lapse.
func (e *Engine) updatePermits(now time.Duration, p *pool) {
	slots := 0.0
	for i := range p.own {
		if o := &p.own[i]; !e.isDead(now, p, o.Upstream) {
			slots += o.share
		}
	}
	p.permits = max(int(math.Round(permitsPerSlot*slots)), 1)
}

// withNeeds returns the balancers with what their failure domains need of a service.
func (v *View) withNeeds(service string) []share.Balancer {
	needs := v.Needs[service]
	if len(needs) == 0 {
		return v.Balancers
	}
	out := slices.Clone(v.Balancers)
	for i := range out {
		out[i].Need = needs[out[i].Name]
	}
	return share.Smooth(out)
}

// splitCold returns the upstreams that are not in a slow start, in a fixed order, and
// keeps those in one that this balancer owns.
func (p *pool) splitCold(now time.Duration, upstreams []*Upstream) []*Upstream {
	warm := make([]*Upstream, 0, len(upstreams))
	for _, u := range upstreams {
		switch {
		case now >= u.ColdUntil:
			warm = append(warm, u)
		case u.Owned:
			p.cold = append(p.cold, u)
		}
	}
	slices.SortFunc(warm, func(a, b *Upstream) int { return cmp.Compare(a.Handle, b.Handle) })
	return warm
}

// updateDomains lists the upstreams in other shares by domain. If each upstream is
// partly in the own share, those are taken that are not wholly. Slow ones are left out
// while there are others: a connection there takes the room of several, and their owners
// keep them busy.
func (p *pool) updateDomains(upstreams []*Upstream) {
	isFast := func(u *Upstream) bool { return u.Slowness == 0 }
	hasFast := slices.ContainsFunc(upstreams, isFast)
	for _, most := range []float64{minShare, math.Inf(1)} {
		p.domains = p.domains[:0]
		for i, u := range upstreams {
			if own := p.division.own[i]; own > most || own > float64(p.division.upstreams[i].Slots)-minShare {
				continue
			}
			if hasFast && !isFast(u) {
				continue
			}
			if len(p.byDomain[u.Domain]) == 0 {
				p.domains = append(p.domains, u.Domain)
			}
			p.byDomain[u.Domain] = append(p.byDomain[u.Domain], u)
		}
		if len(p.domains) > 0 {
			break
		}
	}
	slices.Sort(p.domains)
}

// spilloverPart returns the part of the slots that are not in the own share which
// spillover may use.
func (p *pool) spilloverPart() float64 {
	used, others := 0.0, 0.0
	for i := range p.division.upstreams {
		others += float64(p.division.upstreams[i].Slots) - p.division.own[i]
	}
	for _, upstreams := range p.byDomain {
		for _, u := range upstreams {
			used += float64(max(u.Slots, 1))
		}
	}
	return min(used/max(others, 1), 1)
}

// division is the own share of the slots of a service, which is computed again only
// if upstreams or balancers change: most new views differ in other things.
type division struct {
	balancers []share.Balancer
	upstreams []share.Upstream
	own       []float64
}

// shares returns the share of the balancer named self in each upstream.
func (d *division) shares(self string, balancers []share.Balancer, upstreams []*Upstream) []float64 {
	isSame := len(d.upstreams) == len(upstreams) && slices.Equal(d.balancers, balancers)
	d.upstreams = slices.Grow(d.upstreams[:min(len(d.upstreams), len(upstreams))], len(upstreams))[:len(upstreams)]
	for i, u := range upstreams {
		x := share.Upstream{ID: u.ID, Domain: u.Domain, Slots: max(int(u.Slots), 1)}
		isSame = isSame && d.upstreams[i] == x
		d.upstreams[i] = x
	}
	if !isSame {
		d.balancers = balancers
		d.own = share.Of(self, balancers, d.upstreams)
	}
	return d.own
}

// updateAvoidance counts the upstreams of a service that new connections avoid.
func (e *Engine) updateAvoidance(now time.Duration, v *View, p *pool) {
	upstreams := v.byService[p.service]
	p.avoidSlow = e.mayAvoidSlow(now, upstreams)
	p.allAvoided = false
	p.allAvoided = !slices.ContainsFunc(upstreams, func(u *Upstream) bool { return !e.isAvoided(now, p, u) })
	e.updatePermits(now, p)
}

// isDead reports whether an upstream seems to answer nothing, while others do.
func (e *Engine) isDead(now time.Duration, p *pool, u *Upstream) bool {
	return !p.allAvoided && (u.Lapsed || e.isUnresponsive(now, u.Cookie))
}

// isAvoided reports whether there is a reason to expect no answer from an upstream,
// or a late one, while others are better.
func (e *Engine) isAvoided(now time.Duration, p *pool, u *Upstream) bool {
	if p.allAvoided {
		return false
	}
	return e.isDead(now, p, u) || p.avoidSlow && e.isSlow(now, u)
}

// isUseless reports whether no answer is expected from an upstream at all. One that
// answers late is worth using when all others are busy.
func (e *Engine) isUseless(now time.Duration, p *pool, u *Upstream) bool {
	return e.isAvoided(now, p, u) && (u.Lapsed || e.isUnresponsive(now, u.Cookie))
}

// tickPools updates what depends on time, and removes pools that are not used.
func (e *Engine) tickPools(now time.Duration, v *View) {
	e.refreshPools(now, v)
	for _, p := range e.poolOrder {
		p.demand.Tick(now)
	}
	e.poolOrder = slices.DeleteFunc(e.poolOrder, func(p *pool) bool {
		e.updateAvoidance(now, v, p)
		unused := p.queued() == 0 && p.ownOpen == 0 && p.spillover.Open() == 0 && len(v.byService[p.service]) == 0
		if unused || !e.hasShares && p.queued() == 0 {
			delete(e.pools, p.service)
			return true
		}
		return false
	})
}

// permit is what a connection takes from a pool while it counts as load.
type permit struct {
	pool      *pool
	upstream  *upstreamState
	spillover bool
	domain    string // of the upstream
}

// takePermit counts a connection to u as one of the own share while there is room
// for it, otherwise as spillover.
func (p *pool) takePermit(u *Upstream, state *upstreamState) permit {
	if i := p.indexOf(u); i >= 0 && p.ownOpen < p.permits && state.own < p.own[i].permits {
		p.ownOpen++
		state.own++
		p.takeTurn(state, p.own[i].share)
		return permit{pool: p, upstream: state}
	}
	p.spillover.Opened(u.Domain)
	return permit{pool: p, upstream: state, spillover: true, domain: u.Domain}
}

// release returns the permit. It does nothing for the zero permit.
func (m *permit) release(now time.Duration) {
	switch {
	case m.pool == nil:
	case m.spillover:
		m.pool.spillover.Closed(now, m.domain)
	default:
		m.pool.ownOpen--
		m.upstream.own--
	}
	*m = permit{}
}

// crowd returns the number of connections for each slot of the share, at least one:
// the multiple of the service time that a response takes.
func (o *ownUpstream) crowd(open int) float64 { return max(float64(open)/max(o.share, 1), 1) }

// crowd returns the same for an upstream that may be in another share.
func (p *pool) crowd(u *Upstream, open int) float64 {
	if i := p.indexOf(u); i >= 0 {
		return p.own[i].crowd(open)
	}
	return 1
}

// indexOf returns the index of an upstream in the own share, or -1.
func (p *pool) indexOf(u *Upstream) int {
	return slices.IndexFunc(p.own, func(o ownUpstream) bool { return o.Cookie == u.Cookie })
}

// isCalm reports whether half of the permits are free, and not only because the
// balancer has just started.
func (p *pool) isCalm(now time.Duration) bool {
	return 2*p.ownOpen <= p.permits && now-p.created > time.Second
}

// open returns the number of connections that are counted.
func (p *pool) open() int { return p.ownOpen + p.spillover.Open() }
