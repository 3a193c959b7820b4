// Command benchfigures reads the output of go test -bench and prints the
// medians of selected benchmarks as figures, one line each.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
)

// selection maps a unit of a benchmark's output to a figure.
type selection struct {
	figure    string
	benchmark string // name without the GOMAXPROCS suffix
	unit      string
}

var selections = []selection{
	{"loopback_pps", "BenchmarkLoopbackOwner", "pps"},
	{"loopback_copy_loop_pps", "BenchmarkCopyLoop", "pps"},
	{"loopback_cpu_ns", "BenchmarkLoopbackOwner", "cpu-ns/packet"},
	{"loopback_copy_loop_cpu_ns", "BenchmarkCopyLoop", "cpu-ns/packet"},
	{"commit_per_s", "BenchmarkCommitSync/batch=1", "commits/s"},
	{"commit_batch_64_per_s", "BenchmarkCommitSync/batch=64", "commits/s"},
	{"recover_10000_changes_ms", "BenchmarkRecover10000", "recover_ms"},
}

// sample is one value on a line of benchmark output.
type sample struct {
	benchmark, unit string
	value           float64
}

func main() {
	samples := parse(os.Stdin)
	for _, s := range selections {
		if v, ok := medianOf(samples, s.benchmark, s.unit); ok {
			fmt.Printf("figure %s %.5g %s\n", s.figure, v, s.unit)
		}
	}
	owner, ownerOK := medianOf(samples, "BenchmarkLoopbackOwner", "pps")
	copyLoop, copyLoopOK := medianOf(samples, "BenchmarkCopyLoop", "pps")
	if ownerOK && copyLoopOK {
		fmt.Printf("figure loopback_pps_ratio %.3g share\n", owner/copyLoop)
	}
}

// parse returns the samples of all benchmark lines of r.
func parse(r io.Reader) []sample {
	var out []sample
	for lines := bufio.NewScanner(r); lines.Scan(); {
		f := strings.Fields(lines.Text())
		if len(f) < 4 || !strings.HasPrefix(f[0], "Benchmark") {
			continue
		}
		name := f[0]
		if i := strings.LastIndexByte(name, '-'); i > 0 {
			name = name[:i]
		}
		for i := 2; i+1 < len(f); i += 2 {
			if v, err := strconv.ParseFloat(f[i], 64); err == nil {
				out = append(out, sample{benchmark: name, unit: f[i+1], value: v})
			}
		}
	}
	return out
}

func medianOf(samples []sample, benchmark, unit string) (float64, bool) {
	var values []float64
	for _, s := range samples {
		if s.benchmark == benchmark && s.unit == unit {
			values = append(values, s.value)
		}
	}
	if len(values) == 0 {
		return 0, false
	}
	slices.Sort(values)
	return values[len(values)/2], true
}
