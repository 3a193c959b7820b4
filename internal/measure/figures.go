// Package measure benchmarks owner engines in virtual time and a fleet of VMs in
// real time, and prints the results as figures. A figure is one line of the form
// "figure NAME VALUE UNIT".
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

// Runs returns all runs in the order in which their figures are printed.
func Runs() []Run {
	return []Run{
		{"forward", forwardCost},
		{"table", tableMemory},
		{"placement", placementMoves},
		{"relay", relayShares},
		{"imbalance", imbalance},
		{"coordination", coordinationCost},
		{"planned", plannedChanges},
		{"kill", memberKill},
		{"kill_drain", memberKillDuringDrain},
		{"sheet", sheetInForce},
		{"commit", commitRates},
		{"catch_up", catchUp},
		{"control", controlCost},
	}
}

// Print executes the runs whose name contains one of words, or all runs if words
// is empty, and prints their figures to w.
func Print(w io.Writer, words []string) { PrintRuns(w, Runs(), words) }

// PrintRuns is like Print, for the given runs.
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

// median returns the median of values, or 0 if there are none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(values))
	return s[len(s)/2]
}
