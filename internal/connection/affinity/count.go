package affinity

import "time"

func (e *Engine) assign(now time.Duration, c *entry, u *Upstream) {
	if c.cookie != u.Cookie {
		e.stopAwaiting(c)
		e.uncountLoad(now, c)
		c.cookie = u.Cookie
		c.tried = append(c.tried, u.Cookie)
	}
	e.cold.add(now, u)
	e.countLoad(now, c, u)
	c.lastPacket, c.placed = now, now
	e.upstreamState(u.Cookie).placed = now
	if !c.reported && !c.awaited {
		c.awaited = true
		e.openings.Placed(now, &e.upstreamState(u.Cookie).openings)
	}
}

// stopAwaiting records that no answer to the opening packet of a connection is waited
// for any longer.
func (e *Engine) stopAwaiting(c *entry) {
	if c.awaited {
		c.awaited = false
		e.upstreamState(c.cookie).openings.Left()
	}
}

// countLoad counts a connection to its upstream, which is nil if unknown.
func (e *Engine) countLoad(now time.Duration, c *entry, u *Upstream) {
	if c.counted {
		return
	}
	c.counted = true
	e.upstreamState(c.cookie).open++
	e.limiter(c.service).open++
	if p := e.pools[c.service]; p != nil && e.hasShares && u != nil {
		c.permit = p.takePermit(u, e.upstreamState(c.cookie))
		c.crowd = p.crowd(u, e.upstreams[c.cookie].open)
		c.calm = p.isCalm(now)
	}
}

func (e *Engine) uncountLoad(now time.Duration, c *entry) {
	if c.counted {
		c.counted = false
		e.upstreamState(c.cookie).open--
		e.limiter(c.service).open--
		c.permit.release(now)
	}
}

func (e *Engine) remove(now time.Duration, k key, c *entry) {
	e.stopAwaiting(c)
	e.uncountLoad(now, c)
	delete(e.table, k)
}
