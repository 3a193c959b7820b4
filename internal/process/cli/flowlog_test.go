package cli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"heatherport/internal/result"
)

const flowLog = `  12.1 vm {"@level":"info","@message":"upstream changed","@module":"b1","@timestamp":"2026-02-04T11:24:28.0Z","upstream":"i-1","state":"serving"}
{"@level":"info","@message":"upstream changed","@module":"b1","@timestamp":"2026-02-04T11:24:28.5Z","upstream":"i-9","state":"serving"}
{"@level":"info","@message":"connection placed","@module":"b1","@timestamp":"2026-02-04T11:24:29.0Z","flow":"c:1>s:2","upstream":"i-1","load":0.5}
{"@level":"info","@message":"connection placed","@module":"b1","@timestamp":"2026-02-04T11:24:29.1Z","flow":"c:7>s:2","upstream":"i-1"}
not a line of a log
{"@level":"info","@message":"upstream suspected","@module":"b1","@timestamp":"2026-02-04T11:24:29.3Z","flow":"c:7>s:2","upstream":"i-1"}
{"@level":"info","@message":"feed lost","@module":"b1","@timestamp":"2026-02-04T11:24:29.4Z","controller":"192.0.2.1:1"}
{"@level":"info","@message":"feed lost","@module":"b2","@timestamp":"2026-02-04T11:24:29.4Z","controller":"192.0.2.1:1"}
{"@level":"info","@message":"connection placed","@module":"b1","@timestamp":"2026-02-04T11:24:29.2Z","flow":"c:1>s:2","upstream":"i-2","copies":1}
{"@level":"info","@message":"feed lost","@module":"b1","@timestamp":"2026-02-04T11:29:29.4Z","controller":"192.0.2.1:1"}
`

func writeLog(t *testing.T) string {
	path := filepath.Join(t.TempDir(), "balancer.log")
	must.NoError(t, os.WriteFile(path, []byte(flowLog), 0o600))
	return path
}

func TestExplainFlowOrdersRelatedLinesByTime(t *testing.T) {
	got := runWith(Options{}, "explain", "flow", "--log", writeLog(t), "c:1>s:2")
	must.Eq(t, 0, got.code)
	lines := strings.Split(strings.TrimRight(got.stdout, "\n"), "\n")
	want := []string{
		"  11:24:28.000 b1: upstream changed state=serving upstream=i-1",
		"* 11:24:29.000 b1: connection placed load=0.5 upstream=i-1",
		"* 11:24:29.200 b1: connection placed copies=1 upstream=i-2",
		"  11:24:29.300 b1: upstream suspected flow=c:7>s:2 upstream=i-1",
		"  11:24:29.400 b1: feed lost controller=192.0.2.1:1",
	}
	must.Eq(t, want, lines)
}

func TestExplainFlowListsConnectionsOfAnUpstream(t *testing.T) {
	got := runWith(Options{}, "explain", "flow", "--log", writeLog(t), "--upstream", "i-1", "--at", "2026-02-04T11:24:29.05Z")
	must.Eq(t, 0, got.code)
	must.Eq(t, 2, strings.Count(got.stdout, "connection placed"))
}

func TestExplainFlowFaults(t *testing.T) {
	got := runWith(Options{}, "explain", "flow", "--log", writeLog(t), "c:3>s:2")
	must.Eq(t, int(result.ClassRefused), got.code)
	got = runWith(Options{}, "explain", "flow", "--log", writeLog(t))
	must.Eq(t, int(result.ClassUsage), got.code)
	got = runWith(Options{}, "explain", "flow", "--log", "/nowhere", "c:3>s:2")
	must.Eq(t, int(result.ClassUsage), got.code)
}
