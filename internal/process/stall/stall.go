// Package stall detects that a process stood still or that its VM was suspended.
// What arrived meanwhile is read all at once afterwards, and is older than it
// seems.
package stall

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock reads a clock that advances while the VM is suspended, unlike the
// monotonic clock of package time.
func Clock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0 // clock not available: stalls are not detected
	}
	return time.Duration(ts.Nano())
}

// Detector detects stalls by the time between ticks. It is safe for concurrent
// use.
type Detector struct {
	limit, drain time.Duration
	lastTick     atomic.Int64 // time of the last tick, as a time.Duration
	drainUntil   atomic.Int64
}

// NewDetector returns a detector. limit is the time without a tick after which
// the process counts as stalled, drain the time after a stall in which what
// arrived during it is read.
func NewDetector(limit, drain time.Duration) *Detector {
	return &Detector{limit: limit, drain: drain}
}

// Tick is called at short intervals with the time of Clock. It returns the
// duration of a stall that has just ended, or zero.
func (d *Detector) Tick(now time.Duration) time.Duration {
	before := time.Duration(d.lastTick.Swap(int64(now)))
	gap := now - before
	if before == 0 || gap <= d.limit {
		return 0
	}
	d.drainUntil.Store(int64(now + d.drain))
	return gap
}

// IsOver reports whether what is read now cannot have arrived during a stall.
func (d *Detector) IsOver(now time.Duration) bool {
	ticked := time.Duration(d.lastTick.Load())
	return (ticked == 0 || now-ticked <= d.limit) && now >= time.Duration(d.drainUntil.Load())
}
