package measure

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"heatherport/internal/process/app"
	"heatherport/internal/process/fleet"
	"heatherport/internal/process/link"
	"heatherport/internal/request/api"
	"heatherport/internal/result"
	"heatherport/internal/standin"
)

// Parameters of the measurements on a fleet in real time.
const (
	sheetRounds     = 30
	killRounds      = 3
	commitClients   = 64
	commitRateTime  = 3 * time.Second
	missedSheets    = 300
	controlCostTime = 20 * time.Second
	sheetChanges    = 3 // during controlCostTime: 0.15 per second, 13,000 per day
	waitTimeout     = time.Minute
	pollInterval    = time.Millisecond
	settleTime      = 3 * time.Second
)

// liveFleet is a fleet of eight VMs in this process whose data folders are synced
// to the disk of the temporary directory.
type liveFleet struct {
	*fleet.Fleet
	fabric      *standin.Fabric
	sheetNumber uint64 // of the newest sheet
}

// startLiveFleet starts a fleet with sheet 1 in force on all VMs.
func startLiveFleet() *liveFleet {
	dir, err := os.MkdirTemp("", "heatherport-measure-")
	check(err)
	fabric, err := standin.NewFabric(netip.MustParseAddrPort("127.0.0.1:0"), 1)
	check(err)
	f, err := fleet.New(fleet.Options{Dir: dir, Fabric: fabric, Log: hclog.NewNullLogger()})
	check(err)
	l := &liveFleet{Fleet: f, fabric: fabric}
	check(f.StartAll(context.Background()))
	l.waitOwnership()
	l.submit()
	l.waitSheet()
	return l
}

// check panics on an error, because a failed measurement yields no figures.
func check(err error) {
	if err != nil {
		panic(err)
	}
}

func (l *liveFleet) close() {
	l.Close()
	l.fabric.Close()
}

// waitFor polls until ok holds for all live VMs, and panics after waitTimeout.
func (l *liveFleet) waitFor(ok func(*app.App) bool) {
	deadline := time.Now().Add(waitTimeout)
	for _, i := range l.Live() {
		for !ok(l.App(i)) {
			if time.Now().After(deadline) {
				panic(fmt.Sprintf("condition not met on %s after %s", l.Name(i), waitTimeout))
			}
			time.Sleep(pollInterval)
		}
	}
}

func (l *liveFleet) waitOwnership() {
	l.waitFor(func(a *app.App) bool { return a.Controller.View().IsOwner })
}

func (l *liveFleet) waitSheet() {
	l.waitFor(func(a *app.App) bool {
		v := a.Controller.Version()
		return v != nil && v.Sheet.Number >= l.sheetNumber
	})
}

func sheetText(number uint64) []byte {
	return fmt.Appendf(nil, "version,%d\nservice,permit,198.51.100.1,tcp,443,10m,no\n", number)
}

// submit submits the next sheet through any live VM, and retries until it is
// accepted.
func (l *liveFleet) submit() {
	l.sheetNumber++
	for {
		_, err := l.Operator().SubmitSheet(context.Background(), sheetText(l.sheetNumber))
		if err == nil {
			return
		}
		if c := result.CodeOf(err).Class(); c != result.ClassUnavailable && c != result.ClassUnknown {
			check(err)
		}
	}
}

// measureSheet returns the time in ms from the submission of a sheet until it is
// in force on all live VMs.
func (l *liveFleet) measureSheet() float64 {
	start := time.Now()
	l.submit()
	l.waitSheet()
	return milliseconds(time.Since(start))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// sheetInForce measures the time until a sheet is in force, in a healthy fleet
// and right after the leader was killed.
func sheetInForce() []Figure {
	l := startLiveFleet()
	defer l.close()
	var healthy, leaderKilled []float64
	for range sheetRounds {
		healthy = append(healthy, l.measureSheet())
	}
	for range killRounds {
		i := l.leader()
		l.Kill(i)
		leaderKilled = append(leaderKilled, l.measureSheet())
		check(l.Start(context.Background(), i))
		l.waitOwnership()
	}
	return []Figure{
		{"sheet_in_force_ms", median(healthy), "ms"},
		{"sheet_in_force_max_ms", maxValue(healthy), "ms"},
		{"sheet_in_force_leader_killed_ms", median(leaderKilled), "ms"},
		{"sheet_in_force_leader_killed_max_ms", maxValue(leaderKilled), "ms"},
	}
}

func maxValue(values []float64) float64 {
	largest := 0.0
	for _, v := range values {
		largest = max(largest, v)
	}
	return largest
}

func (l *liveFleet) leader() int {
	for l.Leader() < 0 {
		time.Sleep(pollInterval)
	}
	return l.Leader()
}

// commitRates submits sheets directly at the leader, without the API's network.
// Each sheet is a log entry that a majority syncs, whether it is accepted or
// stale.
func commitRates() []Figure {
	l := startLiveFleet()
	defer l.close()
	return []Figure{
		{"commit_per_s", l.commitRate(commitClients), "1/s"},
		{"commit_sequential_per_s", l.commitRate(1), "1/s"},
	}
}

func (l *liveFleet) commitRate(clients int) float64 {
	c := l.App(l.leader()).Controller
	var number, committed atomic.Uint64
	number.Store(l.sheetNumber)
	end := time.Now().Add(commitRateTime)
	var wg sync.WaitGroup
	for range clients {
		wg.Go(func() {
			for time.Now().Before(end) {
				sheet := sheetText(number.Add(1))
				_, err := c.SubmitSheet(context.Background(), api.SubmitRequest{Operator: "operator", Sheet: sheet})
				if err == nil || result.CodeOf(err) == result.SheetStale {
					committed.Add(1)
				}
			}
		})
	}
	wg.Wait()
	l.sheetNumber = number.Load()
	return float64(committed.Load()) / commitRateTime.Seconds()
}

// catchUp measures the bytes that a restarted diskless VM receives for the
// changes that it missed.
func catchUp() []Figure {
	const diskless = 5
	l := startLiveFleet()
	defer l.close()
	l.Kill(diskless)
	for range missedSheets {
		l.submit()
	}
	check(l.Start(context.Background(), diskless))
	l.waitSheet()
	_, feed := l.App(diskless).Links.Counters(link.KindFeed)
	_, snapshot := l.App(diskless).Links.Counters(link.KindSnapshot)
	return []Figure{
		{"catch_up_bytes", float64(feed.Bytes + snapshot.Bytes), "bytes"},
		{"catch_up_changes", missedSheets, "changes"},
	}
}

// controlCost measures the control traffic of an idle fleet and of one with the
// rate of sheet changes of a present deployment, and the CPU and memory use of
// the latter.
func controlCost() []Figure {
	l := startLiveFleet()
	defer l.close()
	time.Sleep(settleTime)
	idle := l.measureUsage(func() {})
	changing := l.measureUsage(func() {
		ticker := time.NewTicker(controlCostTime / sheetChanges)
		defer ticker.Stop()
		for range sheetChanges {
			l.submit()
			<-ticker.C
		}
	})
	return []Figure{
		{"control_bytes_s_idle", idle.meanBytesPerSecond, "bytes/s"},
		{"control_bytes_s_idle_max", idle.maxBytesPerSecond, "bytes/s"},
		{"control_bytes_s_changes", changing.meanBytesPerSecond, "bytes/s"},
		{"control_bytes_s_changes_max", changing.maxBytesPerSecond, "bytes/s"},
		{"control_cpu_share", changing.cores, "cores"},
		{"control_rss_mb", residentMB() / float64(l.Size()), "MB"},
	}
}

// usage is the resource usage of a fleet. Bytes are those that a VM sends on its
// links.
type usage struct {
	meanBytesPerSecond, maxBytesPerSecond float64 // over the VMs
	cores                                 float64 // CPU cores per VM
}

// measureUsage returns the usage while work runs, for at least controlCostTime.
func (l *liveFleet) measureUsage(work func()) usage {
	bytesBefore := l.sentBytes()
	cpuBefore := cpuTime()
	start := time.Now()
	work()
	time.Sleep(time.Until(start.Add(controlCostTime)))
	elapsed := time.Since(start).Seconds()
	var u usage
	for i, after := range l.sentBytes() {
		rate := float64(after-bytesBefore[i]) / elapsed
		u.meanBytesPerSecond += rate / float64(len(bytesBefore))
		u.maxBytesPerSecond = max(u.maxBytesPerSecond, rate)
	}
	u.cores = (cpuTime() - cpuBefore).Seconds() / elapsed / float64(len(bytesBefore))
	return u
}

func (l *liveFleet) sentBytes() []uint64 {
	var out []uint64
	for _, i := range l.Live() {
		sent, _ := l.App(i).Links.Traffic()
		out = append(out, sent)
	}
	return out
}

// cpuTime returns the user and system time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	check(syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// residentMB returns the resident memory of this process in MiB after a garbage
// collection.
func residentMB() float64 {
	runtime.GC()
	data, err := os.ReadFile("/proc/self/statm")
	check(err)
	var size, resident float64
	_, err = fmt.Fscan(strings.NewReader(string(data)), &size, &resident)
	check(err)
	return resident * float64(os.Getpagesize()) / (1 << 20)
}
