package model

import (
	"time"

	"heatherport/internal/load/uplink"
)

// maxLinkQueue is the wait at a link beyond which packets are lost.
const maxLinkQueue = 250 * time.Millisecond

// link is one direction of a balancer's link.
type link struct {
	rate float64 // bytes per second; zero for no limit
	free time.Duration
	sent float64 // bytes, with the overhead of frames
	lost int     // packets
}

// pass returns for how long a packet that arrives now takes, false if it is lost.
func (l *link) pass(now time.Duration, size int) (time.Duration, bool) {
	bytes := float64(size + uplink.FrameOverhead)
	if l.rate == 0 {
		l.sent += bytes
		return 0, true
	}
	wait := max(l.free-now, 0)
	if wait > maxLinkQueue {
		l.lost++
		return 0, false
	}
	l.sent += bytes
	wait += time.Duration(bytes / l.rate * float64(time.Second))
	l.free = now + wait
	return wait, true
}
