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
	// beliefWindow is how long before a connection lines about its upstreams
	// and its balancer may explain what happened to it: a suspicion and a lapse
	// of announcements take less.
	beliefWindow = 5 * time.Second
	// maxLogLine bounds a line of a log.
	maxLogLine = 1 << 20
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

// parseLogLine reads a line in JSON; what stands before the object, as a
// collector of logs may put there, is passed over.
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
	when, err := time.Parse(time.RFC3339Nano, l.field("@timestamp"))
	if err != nil || l.Message == "" {
		return logLine{}, false
	}
	l.Time = when
	for _, name := range []string{"@module", "@message", "@timestamp", "@level"} {
		delete(fields, name)
	}
	return l, true
}

func readLog(r io.Reader) ([]logLine, error) {
	var out []logLine
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLogLine)
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

// story returns the lines about a connection, and those that tell what its
// balancers believed of its upstreams and of their controllers at the time.
func story(lines []logLine, flow string) []logLine {
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
		isNear := vms[l.VM] && l.Time.After(first.Add(-beliefWindow)) && l.Time.Before(last.Add(beliefWindow))
		isBelief := l.field("flow") == "" && (l.field("upstream") == "" || upstreams[l.field("upstream")])
		isSuspicion := strings.HasPrefix(l.Message, "upstream ") && upstreams[l.field("upstream")]
		if isOwn || isNear && (isBelief || isSuspicion) {
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
	told := story(lines, c.Flow)
	if len(told) == 0 {
		return result.Errorf(result.NotFound, "no line about %q", c.Flow)
	}
	return e.write(told, func(w io.Writer) { writeStory(w, told, c.Flow) })
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

// list writes the connections that were placed on an upstream around a time.
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
	return e.write(out, func(w io.Writer) { writeStory(w, out, "") })
}

// writeStory writes a line for each; those about the connection are marked.
func writeStory(w io.Writer, lines []logLine, flow string) {
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
