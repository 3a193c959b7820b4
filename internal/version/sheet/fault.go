package sheet

import (
	"fmt"
	"strings"
)

// Fault is one validation error of a sheet. Line and Column start at 1; Column
// counts bytes.
type Fault struct {
	Line    int
	Column  int
	Message string
}

// String returns "line L, column C: message".
func (f Fault) String() string {
	return fmt.Sprintf("line %d, column %d: %s", f.Line, f.Column, f.Message)
}

// Faults is the error that lists the faults of a sheet in file order.
type Faults []Fault

// Error implements error.
func (f Faults) Error() string {
	var b strings.Builder
	for i, fault := range f {
		if i > 0 {
			b.WriteString("; ")
		}
		b.WriteString(fault.String())
	}
	return b.String()
}
