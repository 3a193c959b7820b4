package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"heatherport/internal/inifile"
	"heatherport/internal/request/api"
	"heatherport/internal/result"
	"heatherport/internal/version/sheet"
)

// failure is an error in the output of --json.
type failure struct {
	api.ErrorResponse
	Faults []fault `json:"faults,omitempty"`
}

// fault is one fault of a file.
type fault struct {
	Line    int    `json:"line"`
	Column  int    `json:"column,omitempty"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Detail  string `json:"detail"`
	text    string
}

// faultsOf returns the faults of a settings file or sheet wrapped in err.
func faultsOf(err error) []fault {
	var out []fault
	for _, f := range inifile.FaultsOf(err) {
		out = append(out, fault{Line: f.Line, Section: f.Section, Key: f.Key, Detail: f.Detail, text: f.String()})
	}
	var sheetFaults sheet.Faults
	if errors.As(err, &sheetFaults) {
		for _, f := range sheetFaults {
			out = append(out, fault{Line: f.Line, Column: f.Column, Detail: f.Message, text: f.String()})
		}
	}
	return out
}

// report writes err to w and returns the exit code.
func report(w io.Writer, asJSON bool, err error) int {
	if err == nil {
		return int(result.ClassOK)
	}
	f := failure{ErrorResponse: api.NewErrorResponse(err), Faults: faultsOf(err)}
	if asJSON {
		// A failed write to stderr cannot be reported.
		_ = json.NewEncoder(w).Encode(f)
		return int(f.Code.Class())
	}
	if len(f.Faults) > 0 {
		reportFaults(w, f.Code, f.Faults)
	} else {
		fmt.Fprintf(w, "%s: %s: %s\n", program, f.Code, f.Detail)
	}
	return int(f.Code.Class())
}

// reportFaults writes one line for each fault.
func reportFaults(w io.Writer, c result.Code, faults []fault) {
	for _, f := range faults {
		fmt.Fprintf(w, "%s: %s: %s\n", program, c, f.text)
	}
}

// write writes v as JSON if --json is set, else calls human to write text.
func (e *env) write(v any, human func(w io.Writer)) error {
	if !e.json {
		human(e.Stdout)
		return nil
	}
	enc := json.NewEncoder(e.Stdout)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return result.Wrapf(err, result.Internal, "write output")
	}
	return nil
}

// writeLine writes v as one line of JSON if --json is set, else calls human to write text.
func (e *env) writeLine(v any, human func(w io.Writer)) error {
	if !e.json {
		human(e.Stdout)
		return nil
	}
	if err := json.NewEncoder(e.Stdout).Encode(v); err != nil {
		return result.Wrapf(err, result.Internal, "write output")
	}
	return nil
}

const columnGap = 2

// writeTable writes rows in aligned columns, the first row as the heading.
func writeTable(w io.Writer, rows ...[]string) {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	for _, r := range rows {
		fmt.Fprintln(t, strings.Join(r, "\t"))
	}
	// Flush returns only errors of w, which text output ignores.
	_ = t.Flush()
}

// writePairs writes names and values, one pair a line.
func writePairs(w io.Writer, values ...[2]string) {
	rows := make([][]string, 0, len(values))
	for _, v := range values {
		rows = append(rows, v[:])
	}
	writeTable(w, rows...)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// orDash returns s, or a dash for an empty cell.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func formatNumber[N ~uint32 | ~uint64 | ~int](n N) string { return fmt.Sprint(n) }
