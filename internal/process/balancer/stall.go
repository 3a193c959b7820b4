package balancer

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// stallLimit is the time without a tick after which the process counts as
	// stalled. Routers move connections to another balancer after a second, and
	// callers send their last copy of an opening packet after 0.6 s.
	stallLimit = 600 * time.Millisecond
	// stallDrain is the time after a stall in which the packets that queued up
	// meanwhile are read.
	stallDrain = 50 * time.Millisecond
)

// bootClock reads a clock that advances while the VM is suspended, unlike the
// monotonic clock of package time.
func bootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0 // clock not available: stalls are not detected
	}
	return time.Duration(ts.Nano())
}

// stall detects that the process stalled or that its VM was suspended. Opening
// packets that waited meanwhile may have been forwarded by another balancer, to
// an upstream that it chose. Placing them here would move their connections to
// a second upstream.
type stall struct {
	lastTick   atomic.Int64 // time of the last tick, as a time.Duration
	drainUntil atomic.Int64
}

// tick is called at short intervals with the time of bootClock. It returns the
// duration of a stall that has just ended, or zero.
func (s *stall) tick(now time.Duration) time.Duration {
	before := time.Duration(s.lastTick.Swap(int64(now)))
	gap := now - before
	if before == 0 || gap <= stallLimit {
		return 0
	}
	s.drainUntil.Store(int64(now + stallDrain))
	return gap
}

// isOver reports whether a packet that is read now cannot have been queued
// during a stall.
func (s *stall) isOver(now time.Duration) bool {
	ticked := time.Duration(s.lastTick.Load())
	return (ticked == 0 || now-ticked <= stallLimit) && now >= time.Duration(s.drainUntil.Load())
}
