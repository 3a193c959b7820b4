package load

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestEstimateAssumesThatPeersAddTheSame(t *testing.T) {
	var c Counter
	c.Add(10)
	c.AddRemote(70)
	c.MarkReported()
	must.Eq(t, 80, c.Estimate(7*Scale))
	c.Add(2)
	must.Eq(t, 80+2+14, c.Estimate(7*Scale))
	c.Add(-12)
	must.Eq(t, 0, c.Estimate(100*Scale))
}

func TestLimitAllowsItsMultipleOfTheFairShare(t *testing.T) {
	l := NewLimit()
	must.True(t, l.Allows(99, 1000, 1, 10))
	must.False(t, l.Allows(110, 1000, 1, 10))
	must.True(t, l.Allows(220, 1000, 3, 10))
}

func TestLimitFollowsTheBudget(t *testing.T) {
	l := NewLimit()
	for range 100 {
		l.Adapt(2000, 1000)
	}
	must.InDelta(t, MaxLimit, l.Factor(), 0.01)
	for range 100 {
		l.Adapt(0, 1000)
	}
	must.InDelta(t, MinLimit, l.Factor(), 0.01)
}
