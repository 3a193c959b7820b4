// Package slopes measures how costs grow with the number of upstreams,
// services, VMs and connections. Each run yields figures at several sizes; the
// size is the last part of a figure's name. docs/CAPACITY.md extrapolates from
// them.
package slopes

import (
	"runtime"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"heatherport/internal/measure"
)

// Runs returns all runs in the order in which their figures are printed.
func Runs() []measure.Run {
	return []measure.Run{
		{Name: "table", Measure: tableCost},
		{Name: "decide", Measure: decisionTime},
		{Name: "publish", Measure: publishCost},
		{Name: "gossip", Measure: loadReportCost},
		{Name: "coordination", Measure: coordinationCost},
		{Name: "slots", Measure: slotDistribution},
		{Name: "state", Measure: stateCost},
		{Name: "roster", Measure: rosterPolicyCost},
		{Name: "raft", Measure: raftCost},
		{Name: "feed", Measure: feedCost},
		{Name: "announce", Measure: announceCost},
		{Name: "relay", Measure: relayMessageSizes},
		{Name: "link", Measure: linkCost},
		{Name: "hub", Measure: linkHubCost},
	}
}

const (
	batchCount   = 5
	minBatchTime = 20 * time.Millisecond // shortest time of one batch
)

// nsPerOp returns the time of a call of f in nanoseconds, as the median over
// several batches.
func nsPerOp(f func()) float64 {
	n := 1
	for elapsed(n, f) < minBatchTime {
		n *= 2
	}
	times := make([]time.Duration, batchCount)
	for i := range times {
		times[i] = elapsed(n, f)
	}
	slices.Sort(times)
	return float64(times[batchCount/2].Nanoseconds()) / float64(n)
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

// measureHeap returns the value that build returns and the growth of the live
// heap in bytes.
func measureHeap[T any](build func() T) (T, float64) {
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

// encodedSize returns the size in bytes of an encoded control message.
func encodedSize(v any) int {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return len(data)
}
