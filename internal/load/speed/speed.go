// Package speed decides how slow an upstream counts as, from the service times that a
// balancer measures, and when other balancers are told.
//
// It answers loads at which upstreams differ in speed: a slot of a slow upstream serves
// less, so that a balancer whose share holds slow ones must have more slots than others.
// An upstream is in the share of a few balancers only. These tell all others, since the
// division of the slots is the same only if all know the same speeds.
//
// It fails where the service times of the routes of one service differ by more than the
// least factor that is reported, and are spread unevenly over the upstreams.
package speed

import (
	"math"
	"time"
)

// Level is how slow an upstream is, in half octaves: each level takes the square root of
// two times as long as the one before. Zero is the usual speed.
type Level uint8

const (
	// Max is the highest level, 64 times the usual time.
	Max Level = 12
	// firstLevel is the lowest level that is reported, 2.8 times the usual time. Averages of
	// the last responses are rarely that long by chance.
	firstLevel Level = 3
	// lastLevel is the level below which an upstream that was slow has recovered.
	lastLevel = 1.5
	// minChange is the difference in levels from which a level changes: averages of a few
	// responses differ by less.
	minChange = 1.5
	// maxAge is the time for which a measurement counts.
	maxAge = 3 * time.Second
	// repeatUsual is the time for which a recovery is reported again after it is in force.
	// Balancers that have not heard of it still report the upstream as slow.
	repeatUsual = time.Second
	// probeInterval is the time without a measurement after which a slow upstream is
	// given a connection, so that its recovery is noticed within a second.
	probeInterval = 200 * time.Millisecond
	// lateProbeInterval is the same for an upstream whose answer is expected to be late.
	lateProbeInterval = time.Second
)

// Slowness returns the time that a request takes as a multiple of the usual one.
func (l Level) Slowness() float64 { return math.Exp2(float64(l) / 2) }

// level returns the level of a service time, between two levels.
func level(service, usual time.Duration) float64 {
	return min(2*math.Log2(float64(service)/float64(usual)), float64(Max))
}

// Observation is what a balancer knows of an upstream.
type Observation struct {
	Service  time.Duration // average service time; zero while unknown
	Usual    time.Duration // that of the service; zero while unknown
	Measured time.Duration // time of the last measurement
	InForce  Level         // that all balancers go by
	Owned    bool          // the upstream is in the share of this balancer
}

// Meter holds what a balancer reports of an upstream. Its zero value reports nothing.
type Meter struct {
	level     Level
	inForce   Level
	since     time.Duration // when inForce became other than zero
	recovered time.Duration // when inForce became zero again
	sayUsual  bool          // this balancer reported the recovery
}

// Report returns the level to report, false if there is nothing to report. A balancer
// that holds a slow upstream repeats the level in force until it has measured it, so that
// the level is not forgotten when the upstream changes its share.
func (m *Meter) Report(now time.Duration, o Observation) (Level, bool) {
	m.noteInForce(now, o.InForce)
	if o.Service <= 0 || o.Usual <= 0 || now-o.Measured > maxAge {
		m.level = 0
		return o.InForce, o.Owned && o.InForce > 0
	}
	if m.update(level(o.Service, o.Usual)); m.level > 0 {
		m.sayUsual = false
		return m.level, true
	}
	if o.InForce > 0 {
		// A measurement from before the upstream became slow says nothing.
		m.sayUsual = o.Measured > m.since
		if !m.sayUsual {
			return o.InForce, o.Owned
		}
		return 0, true
	}
	return 0, m.sayUsual && now-m.recovered < repeatUsual
}

func (m *Meter) noteInForce(now time.Duration, l Level) {
	switch {
	case l > 0 && m.inForce == 0:
		m.since = now
	case l == 0 && m.inForce > 0:
		m.recovered = now
	}
	m.inForce = l
}

// update changes the level to a measured one, with hysteresis.
func (m *Meter) update(measured float64) {
	switch {
	case m.level == 0 && measured < float64(firstLevel), m.level > 0 && measured < lastLevel:
		m.level = 0
	case m.level == 0 || math.Abs(measured-float64(m.level)) > minChange:
		m.level = max(Level(math.Round(measured)), 1)
	}
}

// IsProbeDue reports whether a slow upstream is given a connection to measure it: none
// was placed or measured there lately. isLate reports that its answer is expected to be
// late.
func (m *Meter) IsProbeDue(now, lastUse time.Duration, isLate bool) bool {
	interval := probeInterval
	if isLate {
		interval = lateProbeInterval
	}
	return (m.level > 0 || m.inForce > 0) && now-lastUse > interval
}

// Merge returns the level of an upstream that several balancers report: the lowest,
// since queues only lengthen service times.
func Merge(a, b Level) Level { return min(a, b) }
