package balancer

import "time"

// deadlineSlack is the time after a deadline at which the timer fires, so that
// several deadlines close together need one call.
const deadlineSlack = 5 * time.Millisecond

// deadlineTimer calls a function shortly after the earliest of the deadlines that
// it was set to. The lock of the forwarder guards it.
type deadlineTimer struct {
	timer *time.Timer
	at    time.Duration
}

// set makes sure that do is called after the deadline at.
func (d *deadlineTimer) set(now, at time.Duration, do func()) {
	if d.timer != nil && d.at > now && d.at <= at+deadlineSlack {
		return // it fires in time
	}
	d.at = max(at, now) + deadlineSlack
	if d.timer == nil {
		d.timer = time.AfterFunc(d.at-now, do)
		return
	}
	d.timer.Reset(d.at - now)
}
