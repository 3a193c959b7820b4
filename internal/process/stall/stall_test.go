package stall

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestDetection(t *testing.T) {
	const limit, drain = 600 * time.Millisecond, 50 * time.Millisecond
	d := NewDetector(limit, drain)
	must.True(t, d.IsOver(time.Hour)) // before the first tick
	must.Zero(t, d.Tick(100*time.Millisecond))
	must.True(t, d.IsOver(200*time.Millisecond))
	// Messages may be handled before the first tick after the stall.
	must.False(t, d.IsOver(101*time.Millisecond+limit))
	must.Eq(t, 2*time.Second, d.Tick(2100*time.Millisecond))
	must.False(t, d.IsOver(2101*time.Millisecond))
	must.True(t, d.IsOver(2100*time.Millisecond+drain))
}
