package affinity

import (
	"slices"
	"time"

	"heatherport/internal/result"
)

// forwardEstablished forwards a packet that is not an opening packet.
func (e *Engine) forwardEstablished(now time.Duration, v *View, p *Packet) Verdict {
	k := key{p.Caller, p.Service}
	c := e.table[k]
	pinned := false
	if c == nil {
		cookie := e.pinnedCookie(v, k, p)
		if cookie == 0 {
			return Verdict{Code: result.DropNoCookie}
		}
		pinned = cookie != p.Cookie
		c = &entry{cookie: cookie, pinned: true, lastSeq: p.Sequence}
		if len(e.table) < e.cfg.Capacity {
			e.table[k] = c
		}
	}
	if c.isOther(p) {
		return forwardTo(v, p, v.Upstream(p.Cookie))
	}
	c.lastSeq = p.Sequence
	e.measureSize(c, p)
	var opened time.Duration
	var cleared uint32
	if !c.pinned {
		placed, holder := c.cookie, e.pinnedCookie(v, k, p)
		cleared = e.pin(now, c, v, holder)
		if pinned = holder != p.Cookie; !pinned {
			e.noteAmbiguous(now, k, c, placed, p)
		}
		e.unopened = unopened{}
		opened = now - c.started
		if len(c.tried) == 1 {
			c.opened = now - c.placed
		}
	}
	c.lastPacket = now
	answered := e.measureAnswer(now, v, c, p)
	switch {
	case p.Ending, p.Reset:
		e.uncountLoad(now, c)
	case p.Length > 0 || c.counted:
		e.countLoad(now, c, v.Upstream(c.cookie))
	}
	verdict := forwardTo(v, p, v.Upstream(c.cookie))
	verdict.Opened = opened
	verdict.Answered = answered
	verdict.Cleared = cleared
	verdict.Pinned = pinned
	return verdict
}

// isOther reports whether a packet belongs to another connection from the same port:
// its sequence number is far from those of this connection, and it carries the cookie
// of another upstream or follows the connection that used the port before. A cookie
// that differs may also come from a copy that went through another balancer.
func (c *entry) isOther(p *Packet) bool {
	if c.pinned {
		return p.Cookie != 0 && p.Cookie != c.cookie && !isNear(p.Sequence, c.lastSeq)
	}
	isUnknown := p.Cookie != 0 && !slices.Contains(c.tried, p.Cookie)
	followsEarlier := c.earlier != nil && isNear(p.Sequence, *c.earlier)
	return (isUnknown || followsEarlier) && !isNear(p.Sequence, c.sequence)
}

func isNear(a, b uint32) bool {
	distance := int32(a - b)
	return -sequenceWindow < distance && distance < sequenceWindow
}

// pin fixes the upstream of a connection to the one whose answer opened it. It
// returns that upstream's cookie if the answer ended a suspicion.
func (e *Engine) pin(now time.Duration, c *entry, v *View, cookie uint32) (cleared uint32) {
	if cookie != 0 && cookie != c.cookie && v.Upstream(cookie) != nil {
		e.stopAwaiting(c)
		e.uncountLoad(now, c)
		c.cookie = cookie
		e.countLoad(now, c, v.Upstream(c.cookie))
	}
	c.pinned = true
	s := e.upstreamState(c.cookie)
	if c.awaited {
		c.awaited = false
		e.openings.Opened(now, c.placed, &s.openings)
	}
	if s.cause == Unanswered || s.cause == Abandoned {
		s.cause = 0
		return c.cookie
	}
	return 0
}
