package feed

import (
	"testing"

	"github.com/shoenig/test/must"
)

// fill returns a history of n entries with data of the given size. The state at
// index i has digest i.
func fill(n, size int) *history {
	h := new(history)
	h.reset(0, 0)
	for i := 1; i <= n; i++ {
		h.append(record{entry: Entry{Index: uint64(i), Data: make([]byte, size)}, digest: uint64(i)})
	}
	return h
}

// checkReplay checks that the history of n entries replays exactly the last
// ones, as many as kept.
func checkReplay(t *testing.T, h *history, n, kept int) {
	must.Len(t, kept, h.records)
	start := uint64(n - kept)
	records, ok := h.after(start, start)
	must.True(t, ok)
	must.Len(t, kept, records)
	must.Eq(t, start+1, records[0].entry.Index)
	if start > 0 {
		_, ok = h.after(start-1, start-1)
		must.False(t, ok)
	}
	index, digest := h.last()
	must.Eq(t, uint64(n), index)
	must.Eq(t, uint64(n), digest)
}

func TestHistoryBounds(t *testing.T) {
	const megabyte = 1 << 20
	for _, c := range []struct{ entries, size, kept int }{
		{100, 64, 100},
		{historyCapacity, 64, historyCapacity},
		{historyCapacity + 10, 64, historyCapacity},
		{40, megabyte, historyBytes / megabyte},
		{3, historyBytes + 1, 1},
	} {
		h := fill(c.entries, c.size)
		checkReplay(t, h, c.entries, c.kept)
		must.Eq(t, c.kept*c.size, h.bytes)
	}
}
