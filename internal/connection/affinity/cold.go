package affinity

import "time"

// coldWindow is the time in which an upstream in its slow start gets at most its
// ColdRate. It exceeds the second of the limit by what packets may be delayed on
// their way, so that two that are sent a window apart do not arrive within a second.
const coldWindow = 1200 * time.Millisecond

// coldStarts records the new connections to upstreams in their slow start, by
// cookie. Only the upstreams that this balancer owns are in it.
type coldStarts map[uint32][]time.Duration

// admits reports whether one more connection stays within the limit of an upstream.
func (c coldStarts) admits(now time.Duration, u *Upstream) bool {
	times := c[u.Cookie]
	return u.ColdRate > 0 && (len(times) < u.ColdRate || now-times[len(times)-u.ColdRate] >= coldWindow)
}

// add records a connection that was placed.
func (c coldStarts) add(now time.Duration, u *Upstream) {
	if now >= u.ColdUntil {
		return
	}
	times := append(c[u.Cookie], now)
	c[u.Cookie] = times[max(len(times)-u.ColdRate, 0):]
}

// expire forgets the upstreams that got no connection in the last window.
func (c coldStarts) expire(now time.Duration) {
	for cookie, times := range c {
		if len(times) == 0 || now-times[len(times)-1] >= coldWindow {
			delete(c, cookie)
		}
	}
}

// EvacuatedConnections returns the connections that count as load of evacuated
// upstreams.
func (e *Engine) EvacuatedConnections(v *View) (open int) {
	for cookie, s := range e.upstreams {
		if u := v.Upstream(cookie); u != nil && u.Evacuated {
			open += s.open
		}
	}
	return open
}
