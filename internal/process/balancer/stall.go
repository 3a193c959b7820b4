package balancer

import (
	"sync/atomic"
	"time"
)

const (
	// stallLimit is the time without a tick after which the process counts as
	// having stood still. Routers move connections to another balancer after a
	// second, callers send their last copy of an opening packet after 0.6 s.
	stallLimit = 600 * time.Millisecond
	// stallDrain is the time in which the packets that waited meanwhile are
	// read.
	stallDrain = 50 * time.Millisecond
)

// stall detects that the process stood still. Opening packets that waited may
// have opened at an upstream that another balancer chose; placing them would
// pull their connections over.
type stall struct {
	ticked atomic.Int64 // time of the last tick, as a time.Duration
	until  atomic.Int64
}

// tick is called at short intervals. It returns how long the process stood
// still, or zero.
func (s *stall) tick(now time.Duration) time.Duration {
	gap := now - time.Duration(s.ticked.Swap(int64(now)))
	if gap <= stallLimit {
		return 0
	}
	s.until.Store(int64(now + stallDrain))
	return gap
}

// isOver reports whether a packet read now cannot have waited for long.
func (s *stall) isOver(now time.Duration) bool {
	return now-time.Duration(s.ticked.Load()) <= stallLimit && now >= time.Duration(s.until.Load())
}
