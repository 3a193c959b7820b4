package controller

import "time"

// A controller whose VM stood still for seconds finds what arrived meanwhile in
// its sockets, all at once. Suspicions of several seconds would then count as a
// quorum, and upstreams would seem silent because their announcements were not
// read.
const (
	// stallLimit is the time between two ticks from which the process stalled.
	stallLimit = time.Second
	// stallDrain is the time after a stall in which what arrived during it is
	// read.
	stallDrain = 500 * time.Millisecond
)

// stall detects that the control goroutine stood still.
type stall struct {
	lastTick   time.Duration
	drainUntil time.Duration
}

// tick returns the duration of a stall that has just ended, or zero.
func (s *stall) tick(now time.Duration) time.Duration {
	gap := now - s.lastTick
	s.lastTick = now
	if gap <= stallLimit {
		return 0
	}
	s.drainUntil = now + stallDrain
	return gap
}

// isOver reports whether a message that is handled now cannot have arrived during
// a stall.
func (s *stall) isOver(now time.Duration) bool {
	return now-s.lastTick <= stallLimit && now >= s.drainUntil
}
