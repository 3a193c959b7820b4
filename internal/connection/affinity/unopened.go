package affinity

import "time"

// unopened counts the connections that were placed since the last one opened.
type unopened struct {
	count int
	first time.Duration // time of the first placement
}

func (u *unopened) add(now time.Duration) {
	if u.count == 0 {
		u.first = now
	}
	u.count++
}

// Unopened returns the number of connections that were placed since the last one
// opened, and the time since the first of them. Many of some age show that this
// balancer reaches no upstream.
func (e *Engine) Unopened(now time.Duration) (count int, age time.Duration) {
	if e.unopened.count == 0 {
		return 0, 0
	}
	return e.unopened.count, now - e.unopened.first
}
