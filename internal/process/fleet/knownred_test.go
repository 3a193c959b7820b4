//go:build knownred

package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A leader that is silently cut off answers no read from old state, and does
// not disturb its successor when it returns.
func TestCutOffLeaderNeitherReadsNorDisrupts(t *testing.T) {
	t.Parallel()
	h := start(t)
	h.submit(1)
	h.waitSheet(1)
	old := h.awaitLeader()
	h.Isolate(old)
	h.waitFor("a successor", func() bool { return h.leaderBut(old) >= 0 })
	next := h.leaderBut(old)
	_, err := h.OperatorAt(next).SubmitSheet(h.ctx, sheetCSV(2, 0))
	must.NoError(t, err)
	for end := time.Now().Add(cutTime); time.Now().Before(end); {
		s, err := h.OperatorAt(old).Sheet(h.ctx)
		must.Error(t, err, must.Sprintf("read sheet %d", s.Number))
	}
	must.Eq(t, 1, sheetNumber(h.App(old)))
	term := h.App(next).Controller.View().Term
	h.Cuts.Heal()
	h.waitSheet(2)
	h.submit(3)
	h.waitSheet(3)
	must.Eq(t, term, h.App(next).Controller.View().Term)
	must.Eq(t, next, h.awaitLeader())
}

// leaderBut returns a leader other than VM i, or -1.
func (h *harness) leaderBut(i int) int {
	for _, j := range h.Live() {
		if j != i && h.App(j).Controller.View().Leading {
			return j
		}
	}
	return -1
}

// cutTime is much longer than an election.
const cutTime = 6 * time.Second
