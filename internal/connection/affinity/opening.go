package affinity

import (
	"time"

	"heatherport/internal/result"
	"heatherport/internal/version/directory"
)

// placeOpening chooses the upstream of an opening packet.
func (e *Engine) placeOpening(now time.Duration, v *View, p *Packet) Verdict {
	k := key{p.Caller, p.Service}
	c := e.table[k]
	var earlier *uint32
	switch {
	case c == nil:
	case c.sequence == p.Sequence && len(c.tried) > 0:
		return e.placeCopy(now, v, p, c)
	case p.Copies > 0 && c.pinned && isNear(p.Sequence, c.lastSeq):
		// A late copy for a connection that opened at another balancer.
		return forwardTo(v, p, v.Upstream(c.cookie))
	case now-p.Waited < c.began:
		// The caller has opened another connection since.
		return Verdict{Code: result.DropStale}
	default:
		e.remove(now, k, c) // the caller reused its port
		if c.pinned {
			earlier = &c.lastSeq
		}
	}
	e.replaceAttempt(k)
	route := v.route(p.Service)
	if route == nil {
		return refusal(result.RefusedNoRoute, v.Current && p.isFirst())
	}
	if !e.admitsByLink(now, route, p) {
		return Verdict{Code: result.RefusedLinkFull, Refuse: true, Overload: &Overload{LinkUse: e.cfg.Link.Use(now)}}
	}
	service := route.PickService(e.cfg.Rand.Uint64())
	if pl := e.pool(now, v, k, service); pl != nil {
		verdict := e.placeShared(now, v, pl, route, p)
		if placed := e.table[k]; placed != nil {
			placed.earlier = earlier
		}
		return verdict
	}
	// A copy is not refused: another balancer may have forwarded the packet
	// before it.
	if l := e.limiter(service); p.isFirst() && !l.admits(now, route) {
		return Verdict{Code: result.RefusedOverloaded, Refuse: true, Overload: l.overload()}
	}
	if e.isLate(route, p) {
		if deferred := e.deferLate(now, route, e.limiter(service), p); deferred != nil {
			return *deferred
		}
	}
	u, choice := e.choose(now, v, route, service, nil)
	if u == nil {
		return refusal(v.refusalCause(route, service), v.Current && p.isFirst())
	}
	c = &entry{service: service, sequence: p.Sequence, began: now - p.Waited, started: now, earlier: earlier, copied: p.Copies > 0}
	c.reported = p.mayBeGivenUp()
	if len(e.table) < e.cfg.Capacity {
		e.table[k] = c
	}
	e.assign(now, c, u)
	e.unopened.add(now)
	return Verdict{Upstream: u, Choice: choice}
}

// refusal returns a verdict that drops a packet. The connection is refused only
// if it is certain that none of its packets was forwarded.
func refusal(code result.Code, certain bool) Verdict {
	return Verdict{Code: code, Refuse: certain}
}

// placeCopy chooses the upstream of a repeated opening packet. It prefers one
// that earlier copies were not sent to.
func (e *Engine) placeCopy(now time.Duration, v *View, p *Packet, c *entry) Verdict {
	k := key{p.Caller, p.Service}
	silence := now - c.lastPacket
	c.lastPacket = now
	u := v.Upstream(c.cookie)
	// The opening may have waited here and been placed only just before its copy
	// arrived.
	tooSoon := silence < minSilence && u != nil && u.isEligible()
	if c.pinned || tooSoon || e.wasLost(now, c, p, u) {
		return forwardTo(v, p, u)
	}
	if p.Copies > 0 && e.openings.IsAtFault(&e.upstreamState(c.cookie).openings, c.placed) {
		e.suspect(now, c, k, Unanswered)
	}
	verdict := Verdict{}
	if len(c.tried) < maxTried {
		if other, choice := e.chooseOther(now, v, k, c); other != nil && !e.isSuspect(now, other.Cookie) {
			u = other
			verdict.Choice = choice
		}
	}
	if u == nil || u.State == directory.Gone || u.Evacuated || !e.isAllowed(now, v.route(p.Service), u) {
		verdict.Code = result.DropUpstreamGone
		return verdict
	}
	e.assign(now, c, u)
	verdict.Upstream = u
	return verdict
}

// wasLost reports whether the first copy of an opening packet comes because a packet was lost
// and not because its upstream does not answer. The copy then goes there again: at a second
// upstream, both would answer, and the connection would carry the cookie of either. For later
// copies a fault is more likely than another loss.
func (e *Engine) wasLost(now time.Duration, c *entry, p *Packet, u *Upstream) bool {
	return p.Copies == 1 && u != nil && u.isEligible() && !e.isSuspect(now, c.cookie) && e.upstreamState(c.cookie).openings.OpenedSince(c.placed)
}

// forwardTo returns the verdict that forwards a packet to the upstream of its
// connection. Connections to an incarnation that has ended are reset, so that
// callers need not wait for a timeout.
func forwardTo(v *View, p *Packet, u *Upstream) Verdict {
	switch {
	case u == nil:
		return Verdict{Code: result.DropUnknownTag}
	case !v.allows(p.Service, u.Service):
		return Verdict{Code: result.DropServiceMismatch}
	case u.Ended:
		return Verdict{Code: result.DropUpstreamGone, Refuse: !p.Reset}
	}
	return Verdict{Upstream: u}
}
