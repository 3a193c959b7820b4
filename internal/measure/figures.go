// Package measure runs the engines in virtual time, and a fleet in real time,
// and prints figures. Every
// figure is one line: "figure NAME VALUE UNIT".
package measure

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// Figure is one measured value.
type Figure struct {
	Name  string
	Value float64
	Unit  string
}

// Run is one measurement that yields figures.
type Run struct {
	Name    string
	Measure func() []Figure
}

// Runs returns all measurements in the order in which they are printed.
func Runs() []Run {
	return []Run{
		{"forward", forward},
		{"table", tableBytes},
		{"placement", movedShare},
		{"relay", relayShare},
		{"imbalance", imbalance},
		{"coordination", coordination},
		{"planned", planned},
		{"kill", kill},
		{"kill_drain", killDrain},
		{"sheet", sheetInForce},
		{"commit", commits},
		{"catch_up", catchUp},
		{"control", controlCost},
	}
}

// Print measures the runs whose name contains one of the given words, or all,
// and prints their figures to w.
func Print(w io.Writer, words []string) { PrintRuns(w, Runs(), words) }

// PrintRuns is Print for the given measurements.
func PrintRuns(w io.Writer, runs []Run, words []string) {
	for _, r := range runs {
		if len(words) > 0 && !slices.ContainsFunc(words, func(s string) bool { return strings.Contains(r.Name, s) }) {
			continue
		}
		for _, f := range r.Measure() {
			fmt.Fprintf(w, "figure %s %.5g %s\n", f.Name, f.Value, f.Unit)
		}
	}
}

// median returns the median of values.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(values))
	return s[len(s)/2]
}
