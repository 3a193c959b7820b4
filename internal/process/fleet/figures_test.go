package fleet

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"heatherport/internal/process/link"
)

// The sizes of the measurements.
const (
	figureSheets  = 20
	figureKills   = 3
	commitWriters = 32
	commitTime    = 5 * time.Second
)

func figure(name string, value float64, unit string) {
	fmt.Printf("figure %s %.5g %s\n", name, value, unit)
}

// milliseconds prints the median and the largest of times.
func milliseconds(name string, times []time.Duration) {
	slices.Sort(times)
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	figure(name, ms(times[len(times)/2]), "ms")
	figure(name+"_max", ms(times[len(times)-1]), "ms")
}

// inForce returns the time from the submission of sheet number to its being in
// force on the given VMs.
func (f *testFleet) inForce(number uint64, vms []int) time.Duration {
	start := time.Now()
	f.submit(number, 0, vms...)
	f.waitSheet(number, vms...)
	return time.Since(start)
}

func BenchmarkSheetInForce(b *testing.B) {
	f := newTestFleet(b)
	number := uint64(0)
	for b.Loop() {
		var times []time.Duration
		for range figureSheets {
			number++
			times = append(times, f.inForce(number, others()))
		}
		milliseconds("sheet_in_force_ms", times)
	}
}

func BenchmarkSheetInForceLeaderKilled(b *testing.B) {
	f := newTestFleet(b)
	number := uint64(0)
	for b.Loop() {
		var times []time.Duration
		for range figureKills {
			leader := f.waitLeader(0, 1, 2)
			number++
			f.Kill(leader)
			times = append(times, f.inForce(number, others(leader)))
			f.restart(leader)
			f.waitOwned()
			f.waitAgreement()
		}
		milliseconds("sheet_in_force_leader_killed_ms", times)
	}
}

// BenchmarkCommits has many operators submit sheets through the leader at the
// same time. Stale sheets are log entries too.
func BenchmarkCommits(b *testing.B) {
	f := newTestFleet(b)
	f.submit(1, 0, others()...)
	for b.Loop() {
		client := f.OperatorAt(f.waitLeader(0, 1, 2))
		before := f.App(0).Controller.View().Index
		var next atomic.Uint64
		next.Store(1)
		end := time.Now().Add(commitTime)
		var wg sync.WaitGroup
		for range commitWriters {
			wg.Go(func() {
				for time.Now().Before(end) {
					_, _ = client.SubmitSheet(f.ctx, testSheet(next.Add(1), 0))
				}
			})
		}
		wg.Wait()
		f.waitAgreement()
		entries := f.App(0).Controller.Version().Index - before
		figure("commit_per_s", float64(entries)/commitTime.Seconds(), "1/s")
	}
}

// BenchmarkCatchUp restarts a VM without a data folder after many changes.
func BenchmarkCatchUp(b *testing.B) {
	f := newTestFleet(b)
	const vm = VMs - 1
	number := uint64(0)
	for b.Loop() {
		f.Kill(vm)
		for range missedSheets {
			number++
			f.submit(number, 0, others(vm)...)
		}
		f.restart(vm)
		f.waitSheet(number, vm)
		var bytes uint64
		for _, kind := range []link.Kind{link.KindFeed, link.KindSnapshot} {
			_, received := f.App(vm).Links.Counters(kind)
			bytes += received.Bytes
		}
		figure("catch_up_bytes", float64(bytes), "B")
	}
}
