package affinity

import (
	"time"

	"heatherport/internal/load/speed"
)

// minReportedShare is the part of an upstream's slots that a balancer must have to report
// its speed. Those with less see mostly the queues of others.
const minReportedShare = 1.0 / 4

// Speeds returns the levels of the upstreams that others are to know of, by cookie. While
// the packets of this balancer are delayed, by its link or its processor, it measures its
// own delay and reports nothing.
func (e *Engine) Speeds(now time.Duration) map[uint32]speed.Level {
	out := make(map[uint32]speed.Level)
	if e.openings.IsDelayed() {
		return out
	}
	for _, p := range e.poolOrder {
		usual := p.times.usual.get()
		for i := range p.own {
			u := &p.own[i]
			s := e.upstreams[u.Cookie]
			if u.share < minReportedShare*float64(u.Slots) || s == nil && u.Slowness == 0 {
				continue
			}
			s = e.upstreamState(u.Cookie)
			o := speed.Observation{Service: time.Duration(s.service), Usual: usual, Measured: s.measured, InForce: u.Slowness, Owned: true}
			if l, ok := s.speed.Report(now, o); ok {
				out[u.Cookie] = l
			}
		}
	}
	return out
}

// findProbe returns a slow upstream of the own share that has not been measured lately.
func (e *Engine) findProbe(now time.Duration, p *pool, r *restriction) room {
	if p.ownOpen >= p.permits {
		return room{}
	}
	for i := range p.own {
		o := &p.own[i]
		s := e.upstreams[o.Cookie]
		if s == nil || s.open > 0 || !s.speed.IsProbeDue(now, max(s.measured, s.placed), e.answersLate(now, p, r.route, o.Upstream)) {
			continue
		}
		if e.isOpenTo(now, r, o.Upstream) && !e.isAvoided(now, p, o.Upstream) {
			return room{upstream: o.Upstream, candidates: 1}
		}
	}
	return room{}
}
