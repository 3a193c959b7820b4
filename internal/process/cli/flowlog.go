package cli

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"heatherport/internal/result"
)

const (
	// contextWindow is the time before the first and after the last line about
	// a connection in which lines about its upstreams and balancers may explain
	// a decision. Passive health checks suspect an upstream, and announcements
	// lapse, in less time.
	contextWindow   = 5 * time.Second
	maxLogLineBytes = 1 << 20
)

// logLine is a line of a structured log.
type logLine struct {
	Time    time.Time      `json:"time"`
	VM      string         `json:"vm"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

func (l *logLine) field(name string) string {
	s, _ := l.Fields[name].(string)
	return s
}

// parseLogLine decodes a line in JSON. Text before the JSON object, such as a
// prefix added by a log collector, is skipped.
func parseLogLine(text []byte) (logLine, bool) {
	at := bytes.IndexByte(text, '{')
	if at < 0 {
		return logLine{}, false
	}
	fields := make(map[string]any)
	d := json.NewDecoder(bytes.NewReader(text[at:]))
	d.UseNumber()
	if err := d.Decode(&fields); err != nil {
		return logLine{}, false
	}
	l := logLine{Fields: fields}
	l.VM, l.Message = l.field("@module"), l.field("@message")
	timestamp, err := time.Parse(time.RFC3339Nano, l.field("@timestamp"))
	if err != nil || l.Message == "" {
		return logLine{}, false
	}
	l.Time = timestamp
	for _, name := range []string{"@module", "@message", "@timestamp", "@level"} {
		delete(fields, name)
	}
	return l, true
}

func readLog(r io.Reader) ([]logLine, error) {
	var out []logLine
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLogLineBytes)
	for sc.Scan() {
		if l, ok := parseLogLine(sc.Bytes()); ok {
			out = append(out, l)
		}
	}
	if err := sc.Err(); err != nil {
		return nil, result.Wrapf(err, result.BadArguments, "read a log")
	}
	return out, nil
}

// relatedLines returns the lines about a connection, and lines that its
// balancers wrote about its upstreams and about controllers within
// contextWindow, ordered by time.
func relatedLines(lines []logLine, flow string) []logLine {
	upstreams, vms := make(map[string]bool), make(map[string]bool)
	var first, last time.Time
	for i := range lines {
		if l := &lines[i]; l.field("flow") == flow {
			upstreams[l.field("upstream")] = true
			vms[l.VM] = true
			if first.IsZero() || l.Time.Before(first) {
				first = l.Time
			}
			if l.Time.After(last) {
				last = l.Time
			}
		}
	}
	delete(upstreams, "")
	var out []logLine
	for _, l := range lines {
		isOwn := l.field("flow") == flow
		isNearby := vms[l.VM] && l.Time.After(first.Add(-contextWindow)) && l.Time.Before(last.Add(contextWindow))
		isContext := l.field("flow") == "" && (l.field("upstream") == "" || upstreams[l.field("upstream")])
		isUpstreamEvent := strings.HasPrefix(l.Message, "upstream ") && upstreams[l.field("upstream")]
		if isOwn || isNearby && (isContext || isUpstreamEvent) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	return out
}

func (c *explainFlowCommand) run(_ context.Context, e *env) error {
	lines, err := c.read()
	if err != nil {
		return err
	}
	if c.Flow == "" {
		return c.list(e, lines)
	}
	related := relatedLines(lines, c.Flow)
	if len(related) == 0 {
		return result.Errorf(result.NotFound, "no line about %q", c.Flow)
	}
	return e.write(related, func(w io.Writer) { writeLogLines(w, related, c.Flow) })
}

func (c *explainFlowCommand) read() ([]logLine, error) {
	var out []logLine
	for _, name := range c.Log {
		f, err := os.Open(name)
		if err != nil {
			return nil, result.Wrapf(err, result.BadArguments, "read a log")
		}
		lines, err := readLog(f)
		f.Close()
		if err != nil {
			return nil, err
		}
		out = append(out, lines...)
	}
	return out, nil
}

// list writes the lines about connections of an upstream around a time.
func (c *explainFlowCommand) list(e *env, lines []logLine) error {
	at, err := time.Parse(time.RFC3339Nano, c.At)
	if err != nil || c.Upstream == "" {
		return result.Errorf(result.BadArguments, "give a connection, or --upstream and --at in RFC 3339")
	}
	var out []logLine
	for _, l := range lines {
		if l.field("upstream") == c.Upstream && l.field("flow") != "" && l.Time.Sub(at).Abs() <= c.Within {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	return e.write(out, func(w io.Writer) { writeLogLines(w, out, "") })
}

// writeLogLines writes lines as text and marks those about flow with an
// asterisk.
func writeLogLines(w io.Writer, lines []logLine, flow string) {
	for i := range lines {
		l := &lines[i]
		mark := " "
		if l.field("flow") == flow {
			mark = "*"
		}
		names := make([]string, 0, len(l.Fields))
		for name := range l.Fields {
			if name != "flow" || l.field("flow") != flow {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		fmt.Fprintf(w, "%s %s %s: %s", mark, l.Time.Format("15:04:05.000"), l.VM, l.Message)
		for _, name := range names {
			fmt.Fprintf(w, " %s=%v", name, l.Fields[name])
		}
		fmt.Fprintln(w)
	}
}
