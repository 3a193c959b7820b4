package balancer

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
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

// bootClock reads a clock that goes on while the VM is suspended, as the clock
// of package time does not.
func bootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0 // no such clock: no stall is seen
	}
	return time.Duration(ts.Nano())
}

// stall detects that the process stood still or that its VM was suspended. Opening packets that waited may
// have opened at an upstream that another balancer chose; placing them would
// pull their connections over.
type stall struct {
	ticked atomic.Int64 // time of the last tick, as a time.Duration
	until  atomic.Int64
}

// tick is called at short intervals, with the time of bootClock. It returns how
// long the process stood still, or zero.
func (s *stall) tick(now time.Duration) time.Duration {
	before := time.Duration(s.ticked.Swap(int64(now)))
	gap := now - before
	if before == 0 || gap <= stallLimit {
		return 0
	}
	s.until.Store(int64(now + stallDrain))
	return gap
}

// isOver reports whether a packet read now cannot have waited for long.
func (s *stall) isOver(now time.Duration) bool {
	ticked := time.Duration(s.ticked.Load())
	return (ticked == 0 || now-ticked <= stallLimit) && now >= time.Duration(s.until.Load())
}
