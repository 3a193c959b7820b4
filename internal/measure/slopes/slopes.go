// Package slopes measures how the cost of control grows with the number of
// upstreams, services, balancers and connections. Each run prints one figure
// for each of several sizes; the size is the last part of the figure's name.
// docs/CAPACITY.md extrapolates from them.
package slopes

import (
	"runtime"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"heatherport/internal/measure"
)

// Runs returns all measurements in the order in which they are printed.
func Runs() []measure.Run {
	return []measure.Run{
		{Name: "table", Measure: tableMemory},
		{Name: "decide", Measure: decide},
		{Name: "publish", Measure: publish},
		{Name: "gossip", Measure: gossip},
		{Name: "coordination", Measure: coordination},
		{Name: "slots", Measure: slotShare},
		{Name: "state", Measure: stateMachine},
		{Name: "roster", Measure: rosterCost},
		{Name: "raft", Measure: raftBytes},
		{Name: "feed", Measure: feedBytes},
		{Name: "announce", Measure: announce},
		{Name: "relay", Measure: relaySizes},
		{Name: "link", Measure: linkBytes},
		{Name: "hub", Measure: hubCost},
	}
}

const (
	batches   = 5
	batchTime = 20 * time.Millisecond // least time of one batch
)

// nsPerOp returns the median over several batches of the time that f takes.
func nsPerOp(f func()) float64 {
	n := 1
	for elapsed(n, f) < batchTime {
		n *= 2
	}
	times := make([]time.Duration, batches)
	for i := range times {
		times[i] = elapsed(n, f)
	}
	slices.Sort(times)
	return float64(times[batches/2].Nanoseconds()) / float64(n)
}

// medianMs returns the median time of n calls of f in milliseconds.
func medianMs(n int, f func()) float64 {
	times := make([]time.Duration, n)
	for i := range times {
		times[i] = elapsed(1, f)
	}
	slices.Sort(times)
	return float64(times[n/2].Nanoseconds()) / nsPerMs
}

func elapsed(n int, f func()) time.Duration {
	start := time.Now()
	for range n {
		f()
	}
	return time.Since(start)
}

// heapBytes returns the live heap that what build returns needs.
func heapBytes[T any](build func() T) (T, float64) {
	before := liveHeap()
	v := build()
	return v, float64(liveHeap()) - float64(before)
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// encodedBytes returns the size of a control message before transport.
func encodedBytes(v any) int {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return len(data)
}
