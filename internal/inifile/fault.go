package inifile

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"heatherport/internal/result"
)

// Fault is one fault of a settings file.
type Fault struct {
	Line    int    `json:"line"`          // 1-based; the last line of the file for a missing section
	Section string `json:"section"`       // empty before the first section
	Key     string `json:"key,omitempty"` // empty for a fault of a whole section or line
	Detail  string `json:"detail"`
}

// String returns the fault as one line.
func (f Fault) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "line %d:", f.Line)
	if f.Section != "" {
		fmt.Fprintf(&b, " [%s]", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, " %s:", f.Key)
	}
	b.WriteByte(' ')
	b.WriteString(f.Detail)
	return b.String()
}

// Faults holds all faults of a settings file, ordered by line.
type Faults []Fault

// Error implements error. Each fault takes one line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// FaultsOf returns the faults wrapped in err, or nil.
func FaultsOf(err error) Faults {
	var fs Faults
	if errors.As(err, &fs) {
		return fs
	}
	return nil
}

// err returns nil if there are no faults, else an error with code BadSettings.
func (fs Faults) err() error {
	if len(fs) == 0 {
		return nil
	}
	slices.SortStableFunc(fs, func(a, b Fault) int { return a.Line - b.Line })
	return result.Wrapf(fs, result.BadSettings, "%d faults", len(fs))
}
