// Package demand measures how many slots of a service the callers of a balancer need,
// and decides when others are told.
//
// It answers a crowd in one failure domain: its balancers need more than an equal part
// of the slots while those of other domains are idle. Slots are lent only while some
// balancer needs more than its part, so that no messages pass at other times.
//
// It fails where callers come and go faster than reports pass, some tenths of a second:
// slots are then lent to those that needed them before.
package demand

import (
	"math"
	"time"
)

const (
	// riseWeight and fallWeight average the arrivals of ticks: a crowd counts within two
	// ticks, and pauses between callers do not end it.
	riseWeight = 0.5
	fallWeight = 0.1
	// hungryRatio and fedRatio are the ratios of the busy slots to an equal part at which
	// a balancer begins and ceases to need more. They differ so that it does not change
	// its mind with each tick.
	hungryRatio = 1.0
	fedRatio    = 0.75
	// headroom is the part of the square root of the busy slots that is needed beyond
	// them, because arrivals vary. Spillover covers more than that.
	headroom = 0.5
	// minChange is the relative change of a need that is reported.
	minChange = 0.15
)

// Meter measures the arrival rate of connection attempts. It is not safe for concurrent
// use.
type Meter struct {
	arrived int
	ticked  time.Duration // last tick
	rate    float64       // attempts per second
	last    Need
}

// Need is what the callers of a balancer need of a service.
type Need struct {
	Slots float64 // zero if nothing is reported
	// Hungry reports that the balancer needs more than an equal part.
	Hungry bool
}

// Arrived records a connection attempt.
func (m *Meter) Arrived() { m.arrived++ }

// Tick updates the rate.
func (m *Meter) Tick(now time.Duration) {
	elapsed := now - m.ticked
	if elapsed <= 0 {
		return
	}
	rate := float64(m.arrived) / elapsed.Seconds()
	weight := fallWeight
	if rate > m.rate {
		weight = riseWeight
	}
	m.rate += weight * (rate - m.rate)
	m.arrived, m.ticked = 0, now
}

// Report returns the need to report. service is the time that a connection takes a slot,
// zero while it is unknown, equal the equal part of the slots. lent reports that others
// are known to need more than their part: only then is a need reported that is less than
// that.
func (m *Meter) Report(service time.Duration, equal float64, lent bool) Need {
	busy := m.rate * service.Seconds()
	ratio := hungryRatio
	if m.last.Hungry {
		ratio = fedRatio
	}
	need := Need{Hungry: busy > ratio*equal}
	if need.Hungry || lent && busy > 0 {
		need.Slots = busy + headroom*math.Sqrt(busy)
	}
	if need.Hungry == m.last.Hungry && math.Abs(need.Slots-m.last.Slots) <= minChange*m.last.Slots {
		return m.last
	}
	m.last = need
	return need
}
