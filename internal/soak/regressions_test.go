package soak

import (
	"fmt"
	"testing"
	"time"
)

// regressions lists seeds that have failed, each with the cause of its failure.
var regressions = []struct {
	seed     uint64
	duration time.Duration
	cause    string
}{
	{6, 8 * time.Second, "defect of the soak: two faults restarted one controller at the same time and left a process running"},
	{12, 8 * time.Second, "defect of the soak, as in seed 6"},
	{525, 8 * time.Second, "pauses of callers on open connections were counted as answer times, so that new connections were refused"},
}

func TestRegressions(t *testing.T) {
	for _, r := range regressions {
		t.Run(fmt.Sprint("seed ", r.seed), func(t *testing.T) {
			t.Log(r.cause)
			run(t, r.seed, r.duration)
		})
	}
}
