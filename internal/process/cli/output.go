package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"heatherport/internal/process/settings"
	"heatherport/internal/request/api"
	"heatherport/internal/result"
)

// failure is an error as --json writes it.
type failure struct {
	api.ErrorResponse
	Faults settings.Faults `json:"faults,omitempty"`
}

// report writes err to w and returns the exit code.
func report(w io.Writer, asJSON bool, err error) int {
	if err == nil {
		return int(result.ClassOK)
	}
	f := failure{ErrorResponse: api.NewErrorResponse(err), Faults: settings.FaultsOf(err)}
	if asJSON {
		// A failed write to stderr cannot be reported anywhere.
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
func reportFaults(w io.Writer, c result.Code, faults settings.Faults) {
	for _, f := range faults {
		fmt.Fprintf(w, "%s: %s: %s\n", program, c, f)
	}
}

// write writes v as JSON, or by human as text.
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

const columnGap = 2

// table writes rows in aligned columns, the first row as the heading.
func table(w io.Writer, rows ...[]string) {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	for _, r := range rows {
		fmt.Fprintln(t, strings.Join(r, "\t"))
	}
	// The writer below reports its own errors; there is no other.
	_ = t.Flush()
}

// pairs writes names and values, one pair a line.
func pairs(w io.Writer, values ...[2]string) {
	rows := make([][]string, 0, len(values))
	for _, v := range values {
		rows = append(rows, v[:])
	}
	table(w, rows...)
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

func number[N ~uint32 | ~uint64 | ~int](n N) string { return fmt.Sprint(n) }
