package demand

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	tick    = 100 * time.Millisecond
	service = 30 * time.Millisecond
	equal   = 4.0 // slots
)

// play lets attempts arrive at a rate per second, and returns the reports that differ
// from the one before.
func play(m *Meter, from, length time.Duration, rate int, lent bool) (reports []Need) {
	last := m.last
	for now := from + tick; now <= from+length; now += tick {
		for range rate / 10 {
			m.Arrived()
		}
		m.Tick(now)
		if n := m.Report(service, equal, lent); n != last {
			reports = append(reports, n)
			last = n
		}
	}
	return reports
}

// Ordinary load must not cost messages between failure domains.
func TestOrdinaryLoadIsNotReported(t *testing.T) {
	must.SliceEmpty(t, play(&Meter{}, 0, 5*time.Second, 100, false))
}

// A crowd of nine times must be known before the queues of the callers' domain are
// full, and cease to be when it has gone.
func TestCrowdIsReportedWithinTwoTicks(t *testing.T) {
	m := &Meter{}
	play(m, 0, time.Second, 40, false)
	reports := play(m, time.Second, 200*time.Millisecond, 360, false)
	must.SliceNotEmpty(t, reports)
	must.True(t, reports[len(reports)-1].Hungry)
	play(m, 1200*time.Millisecond, 2*time.Second, 360, true)
	must.Between(t, 10, m.last.Slots, 16)
	reports = play(m, 3200*time.Millisecond, 3*time.Second, 40, true)
	must.False(t, m.last.Hungry)
	must.LessEq(t, 4, m.last.Slots)
	must.LessEq(t, 20, len(reports))
	play(m, 6200*time.Millisecond, tick, 40, false)
	must.Eq(t, Need{}, m.last)
}

// Others report what they need once somebody needs more than its part.
func TestNeedOfIdleBalancerIsReportedWhileSlotsAreLent(t *testing.T) {
	reports := play(&Meter{}, 0, 5*time.Second, 40, true)
	must.SliceNotEmpty(t, reports)
	last := reports[len(reports)-1]
	must.False(t, last.Hungry)
	must.Between(t, 1, last.Slots, 3)
}
