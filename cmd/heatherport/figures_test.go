package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The measured times, and the pace of 13,000 changes a day.
const (
	idleTime      = 10 * time.Second
	changingTime  = 20 * time.Second
	changeEvery   = 24 * time.Hour / 13_000
	clockTicks    = 100 // of processor time a second, in /proc
	controlPrefix = "heatherport_control_bytes_total"
)

// usage is what a process has used since its start.
type usage struct {
	processor time.Duration
	resident  float64 // MB
	control   float64 // bytes sent and received
}

func (v *vm) usage() usage {
	v.t.Helper()
	return usage{processor: v.processor(), resident: v.resident(), control: v.controlBytes()}
}

// processor reads user and system time.
func (v *vm) processor() time.Duration {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", v.cmd.Process.Pid))
	must.NoError(v.t, err)
	fields := strings.Fields(string(b[strings.LastIndexByte(string(b), ')'):]))
	var ticks int
	for _, f := range fields[12:14] {
		n, err := strconv.Atoi(f)
		must.NoError(v.t, err)
		ticks += n
	}
	return time.Duration(ticks) * time.Second / clockTicks
}

func (v *vm) resident() float64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", v.cmd.Process.Pid))
	must.NoError(v.t, err)
	pages, err := strconv.Atoi(strings.Fields(string(b))[1])
	must.NoError(v.t, err)
	return float64(pages*os.Getpagesize()) / (1 << 20)
}

func (v *vm) controlBytes() float64 {
	r, err := http.Get("http://" + v.ui.String() + "/metrics")
	must.NoError(v.t, err)
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	must.NoError(v.t, err)
	var sum float64
	for line := range strings.Lines(string(b)) {
		if !strings.HasPrefix(line, controlPrefix) {
			continue
		}
		fields := strings.Fields(line)
		n, err := strconv.ParseFloat(fields[len(fields)-1], 64)
		must.NoError(v.t, err)
		sum += n
	}
	return sum
}

// measureControl prints the highest use of any VM while work runs for d.
func (g *group) measureControl(suffix string, d time.Duration, work func()) {
	var before []usage
	for _, v := range g.vms {
		before = append(before, v.usage())
	}
	start := time.Now()
	work()
	time.Sleep(time.Until(start.Add(d)))
	seconds := time.Since(start).Seconds()
	var share, rate, resident float64
	for i, v := range g.vms {
		u := v.usage()
		share = max(share, (u.processor-before[i].processor).Seconds()/seconds)
		rate = max(rate, (u.control-before[i].control)/seconds)
		resident = max(resident, u.resident)
	}
	fmt.Printf("figure control_cpu_share_%s %.4g cores\n", suffix, share)
	fmt.Printf("figure control_bytes_s_%s %.5g B/s\n", suffix, rate)
	fmt.Printf("figure control_rss_mb_%s %.4g MB\n", suffix, resident)
}

// BenchmarkControl measures the control part of four processes.
func BenchmarkControl(b *testing.B) {
	g := newGroup(b)
	g.accept(1)
	g.waitSheet(1, g.vms...)
	number := uint64(1)
	for b.Loop() {
		g.measureControl("idle", idleTime, func() {})
		g.measureControl("changing", changingTime, func() {
			for end := time.Now().Add(changingTime); time.Now().Before(end); time.Sleep(changeEvery) {
				number++
				g.accept(number)
			}
		})
	}
}
