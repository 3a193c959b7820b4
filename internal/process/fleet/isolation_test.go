package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A leader whose messages are dropped serves no stale reads, and rejoins when
// the partition heals. TestIsolatedLeaderDoesNotDisruptOnReturn of package raft
// checks in simulated time that it then does not disrupt its successor.
func TestIsolatedLeaderServesNoStaleReads(t *testing.T) {
	t.Parallel()
	h := start(t)
	h.submit(1)
	h.waitSheet(1)
	old := h.awaitLeader()
	h.Isolate(old)
	h.waitFor("a successor", func() bool { return h.leaderExcept(old) >= 0 })
	h.waitFor("a sheet accepted by the successor", func() bool {
		next := h.leaderExcept(old)
		if next < 0 {
			return false
		}
		_, err := h.OperatorAt(next).SubmitSheet(h.ctx, sheetCSV(2, 0))
		return err == nil
	})
	for end := time.Now().Add(isolationTime); time.Now().Before(end); {
		s, err := h.OperatorAt(old).Sheet(h.ctx)
		must.Error(t, err, must.Sprintf("read sheet %d", s.Number))
	}
	must.Eq(t, 1, sheetNumber(h.App(old)))
	h.Partition.Heal()
	h.waitSheet(2)
	h.submit(3)
	h.waitSheet(3)
	h.waitFor("a read at the formerly isolated VM", func() bool {
		s, err := h.OperatorAt(old).Sheet(h.ctx)
		return err == nil && s.Number == 3
	})
}

// leaderExcept returns a leader other than VM i, or -1.
func (h *harness) leaderExcept(i int) int {
	for _, j := range h.Live() {
		if j != i && h.App(j).Controller.View().IsLeader {
			return j
		}
	}
	return -1
}

// isolationTime is much longer than an election.
const isolationTime = 6 * time.Second
