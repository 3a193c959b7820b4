package cli

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"heatherport/internal/process/audit"
	"heatherport/internal/process/keys"
	"heatherport/internal/process/settings"
	"heatherport/internal/request/api"
	"heatherport/internal/request/identity"
	"heatherport/internal/result"
	"heatherport/internal/version/sheet"
)

var start = time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)

// fakeRunner records its calls.
type fakeRunner struct {
	vm   string
	seed uint64
	err  error
}

func (r *fakeRunner) Run(_ context.Context, s *settings.Settings) error {
	r.vm = s.VM.Name
	return r.err
}

func (r *fakeRunner) Bootstrap(s *settings.Settings) error {
	r.vm = "new " + s.VM.Name
	return r.err
}

func (r *fakeRunner) Demo(_ context.Context, o DemoOptions) error {
	r.seed = o.Seed
	return r.err
}

// outcome is the exit code and output of a command line.
type outcome struct {
	code           int
	stdout, stderr string
}

func runWith(o Options, args ...string) outcome {
	var out, errs bytes.Buffer
	o.Stdout, o.Stderr = &out, &errs
	if o.Now == nil {
		o.Now = time.Now
	}
	code := execute(context.Background(), args, o)
	return outcome{code, out.String(), errs.String()}
}

func checkSheet(b []byte) (SheetSummary, error) {
	if _, err := sheet.Parse(bytes.NewReader(b)); err != nil {
		return SheetSummary{}, err
	}
	return SheetSummary{Number: 7, Digest: "01", Services: 1, Upstreams: 2}, nil
}

func writeFile(t *testing.T, name, text string) string {
	path := filepath.Join(t.TempDir(), name)
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

const serviceRow = "service,permit,192.0.2.10,tcp,443,10m,no\n"

const exampleSettings = "../../../examples/association/ibadan-1.ini"

func TestLocalCommands(t *testing.T) {
	good := writeFile(t, "sheet.csv", "version,7\n"+serviceRow)
	bad := writeFile(t, "bad.csv", "version,7\nservice,permit,nowhere,sctp,443,10m,no\n")
	cases := []struct {
		name   string
		args   []string
		code   result.Class
		stdout string
		stderr string
	}{
		{"none", nil, result.ClassUsage, "", "101 bad_arguments: no command given"},
		{"group only", []string{"sheet"}, result.ClassUsage, "", "101 bad_arguments: no command given"},
		{"unknown", []string{"fly"}, result.ClassUsage, "", "101 bad_arguments"},
		{"missing argument", []string{"run"}, result.ClassUsage, "", "SETTINGS is required"},
		{"help", []string{"--help"}, result.ClassOK, "Example:\n  heatherport demo", ""},
		{"help of a command", []string{"sheet", "submit", "--help"}, result.ClassOK, "Example:\n  heatherport sheet submit sheet.csv", ""},
		{"help of a group", []string{"keys", "--help"}, result.ClassOK, "Example:\n  heatherport keys init", ""},
		{"version", []string{"--version"}, result.ClassOK, "heatherport", ""},
		{"settings", []string{"settings", "check", exampleSettings}, result.ClassOK, "valid settings of ibadan-1 in ibadan with 7 peers", ""},
		{"settings in JSON", []string{"settings", "check", exampleSettings, "--json"}, result.ClassOK, `"vm": "ibadan-1"`, ""},
		{"no settings", []string{"settings", "check", "none.ini"}, result.ClassUsage, "", "102 bad_settings: read settings"},
		{"sheet", []string{"sheet", "check", good}, result.ClassOK, "valid sheet 7 with 1 services and 2 upstreams", ""},
		{"bad sheet", []string{"sheet", "check", bad}, result.ClassUsage, "", "\nheatherport: 103 bad_sheet: line 2, column 24:"},
		{"bad sheet in JSON", []string{"--json", "sheet", "check", bad}, result.ClassUsage, "", `"faults":[{"line":2,"column":16,`},
		{"no sheet", []string{"sheet", "check", "none.csv"}, result.ClassUsage, "", "101 bad_arguments: read sheet"},
		{"codes", []string{"codes"}, result.ClassOK, "sheet_conflict", ""},
		{"codes in JSON", []string{"codes", "--json"}, result.ClassOK, `"name": "sheet_conflict"`, ""},
		{"no address", []string{"status"}, result.ClassUsage, "", "101 bad_arguments: --to is needed"},
		{"bad address", []string{"status", "--to", "host"}, result.ClassUsage, "", `--to: "host" is not IP:PORT`},
		{"no keys", []string{"status", "--to", "127.0.0.1:1"}, result.ClassUsage, "", "--keys and --operator are needed"},
		{"keys missing", []string{"status", "--to", "127.0.0.1:1", "--keys", "none", "--operator", "amina"}, result.ClassSecurity, "", "603 key_missing"},
		{"bad caller", []string{"explain", "connection", "--caller", "x", "--service", "192.0.2.1:1"}, result.ClassUsage, "", "--caller"},
		{"bad kind", []string{"audit", "--kind", "x"}, result.ClassUsage, "", "--kind"},
		{"bad limit", []string{"audit", "--limit", "0"}, result.ClassUsage, "", "--limit"},
		{"no trail", []string{"audit", "--file", "none"}, result.ClassStorage, "", "501 storage_failed"},
		{"two names", []string{"keys", "issue", "--dir", ".", "--name", "a", "--operator", "b"}, result.ClassUsage, "", "give one of"},
		{"no authority", []string{"keys", "issue", "--dir", "none", "--name", "a"}, result.ClassSecurity, "", "603 key_missing"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := runWith(Options{CheckSheet: checkSheet}, c.args...)
			must.Eq(t, int(c.code), got.code, must.Sprint(got))
			must.StrContains(t, got.stdout, c.stdout)
			must.StrContains(t, got.stderr, c.stderr)
			must.Eq(t, c.code == result.ClassOK, got.stderr == "")
		})
	}
}

// TestHelpOfEachCommand checks that the help of each command shows its example,
// and that the example can be parsed.
func TestHelpOfEachCommand(t *testing.T) {
	for _, x := range examples {
		t.Run(x.command, func(t *testing.T) {
			got := runWith(Options{}, append(strings.Fields(x.command), "--help")...)
			must.Eq(t, 0, got.code)
			must.StrContains(t, got.stdout, "Example:\n  heatherport "+x.command)
			_, err := parse(strings.Fields(x.command + x.arguments))
			must.NoError(t, err)
		})
	}
}

func TestFaultsTakeOneLineEach(t *testing.T) {
	b, err := os.ReadFile(exampleSettings)
	must.NoError(t, err)
	text := strings.NewReplacer(
		"\ndomain = ibadan\n", "\ndomain =\n",
		"receivers = 2", "receivers = two",
		"byte_budget = 4096", "byte_limit = 4096",
		"level = info", "level = loud",
		"keep = 8", "keep = 0",
	).Replace(string(b))
	path := writeFile(t, "five.ini", text)
	got := runWith(Options{}, "settings", "check", path)
	must.Eq(t, int(result.ClassUsage), got.code)
	must.Len(t, 5, strings.Split(strings.TrimSpace(got.stderr), "\n"), must.Sprint(got.stderr))

	got = runWith(Options{}, "settings", "check", path, "--json")
	var f failure
	must.NoError(t, json.Unmarshal([]byte(got.stderr), &f))
	must.Eq(t, result.BadSettings, f.Code)
	must.Len(t, 5, f.Faults)
}

func TestRunAndDemo(t *testing.T) {
	r := &fakeRunner{}
	must.Eq(t, 0, runWith(Options{Runner: r}, "run", "--settings", exampleSettings).code)
	must.Eq(t, "ibadan-1", r.vm)
	must.Eq(t, 0, runWith(Options{Runner: r}, "voter", "bootstrap", "--settings", exampleSettings).code)
	must.Eq(t, "new ibadan-1", r.vm)
	must.Eq(t, 0, runWith(Options{Runner: r}, "demo", "--seed", "5").code)
	must.Eq(t, 5, r.seed)
	r.err = result.Errorf(result.StorageLocked, "data")
	got := runWith(Options{Runner: r}, "run", "--settings", exampleSettings)
	must.Eq(t, int(result.ClassStorage), got.code)
	must.StrContains(t, got.stderr, "503 storage_locked: data")
}

// fakeControl is a Control on which a submitted sheet is in force on all VMs
// after the status has been requested twice.
type fakeControl struct {
	api.Control
	statusCalls int
}

func (f *fakeControl) SubmitSheet(_ context.Context, req api.SubmitRequest) (api.SubmitResponse, error) {
	if req.Operator != "amina" {
		return api.SubmitResponse{}, result.Errorf(result.NotAuthorized, "%s", req.Operator)
	}
	if strings.HasPrefix(string(req.Sheet), "version,6") {
		return api.SubmitResponse{}, result.Errorf(result.SheetStale, "8 is in force")
	}
	return api.SubmitResponse{Number: 7, Index: 2, Pending: []string{"b-1"}}, nil
}

func (f *fakeControl) ChangeVoter(_ context.Context, req api.VoterRequest) (api.VoterResponse, error) {
	if req.Remove {
		return api.VoterResponse{}, result.Errorf(result.VoterChangePending, "adding %s", req.Name)
	}
	return api.VoterResponse{Index: 4, Voters: []string{"a-1"}}, nil
}

func (f *fakeControl) Sheet(context.Context) (api.SheetResponse, error) {
	return api.SheetResponse{Number: 7, Operator: "amina", Accepted: start, CSV: "version,7\n"}, nil
}

func (f *fakeControl) Status(context.Context) (api.StatusResponse, error) {
	f.statusCalls++
	return api.StatusResponse{
		VM: "a-1", Ready: true, Index: 2, SheetNumber: 7, Leader: "a-1", Term: 3, Majority: true, Lease: true,
		VMs: []api.VMStatus{
			{Name: "a-1", Domain: "a", State: "active", Live: true, Voter: true, Leader: true, AppliedIndex: 2},
			{Name: "b-1", Domain: "b", State: "active", Live: true, AppliedIndex: uint64(f.statusCalls)},
		},
		Upstreams: []api.UpstreamStatus{{Name: "permit-1", Service: "permit", State: "leaving", Healthy: true, OpenConnections: 12, ConnectionLimit: 2000}},
		Drains:    []api.Drain{{Kind: "upstream", Name: "permit-1", Since: start, OpenConnections: 12, WaitingFor: "12 connections"}},
	}, nil
}

func (f *fakeControl) ExplainConnection(context.Context, api.ConnectionQuery) (api.ConnectionExplanation, error) {
	return api.ConnectionExplanation{
		VM: "a-1", Service: "permit", Upstream: "permit-2", Owner: "b-1", Reasons: []string{"permit-1 is leaving"},
		Current: []api.RankedUpstream{{Upstream: "permit-2", Weight: 768, OpenConnections: 3, ConnectionLimit: 10, Eligible: true}},
	}, nil
}

func (f *fakeControl) ExplainUpstream(_ context.Context, q api.UpstreamQuery) (api.UpstreamExplanation, error) {
	if q.Name != "permit-1" {
		return api.UpstreamExplanation{}, result.Errorf(result.NotFound, "upstream %s", q.Name)
	}
	return api.UpstreamExplanation{
		UpstreamStatus: api.UpstreamStatus{Name: q.Name},
		Observations:   []api.Observation{{VM: "b-1", Kind: "probe", Since: start}},
	}, nil
}

func (f *fakeControl) ExplainSheet(context.Context) (api.SheetExplanation, error) {
	return api.SheetExplanation{Number: 7, InForce: []string{"a-1"}, Pending: []api.PendingVM{{Name: "b-1", Reason: "no lease"}}}, nil
}

func (f *fakeControl) Audit(context.Context, api.AuditQuery) (api.AuditResponse, error) {
	return api.AuditResponse{Records: []api.AuditRecord{{Time: start, VM: "a-1", Kind: api.AuditSheet, Subject: "7", Who: "amina"}}}, nil
}

// startServer starts the API of a VM with keys that the command line created.
// It returns the arguments that address it.
func startServer(t *testing.T) []string {
	dir := filepath.Join(t.TempDir(), "keys")
	for _, args := range [][]string{
		{"keys", "init", "--dir", dir},
		{"keys", "issue", "--dir", dir, "--name", "a-1"},
		{"keys", "issue", "--dir", dir, "--operator", "amina"},
	} {
		got := runWith(Options{}, args...)
		must.Eq(t, 0, got.code, must.Sprint(got))
	}
	store, err := keys.Open(keys.Files{
		CA:          filepath.Join(dir, keys.CAFile),
		Certificate: filepath.Join(dir, keys.CertificateFile("a-1")),
		Key:         filepath.Join(dir, keys.KeyFile("a-1")),
		RelayKeys:   filepath.Join(dir, keys.RelayFile),
	})
	must.NoError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := api.NewServer(&fakeControl{}, new(api.Counters))
	go server.Serve(tls.NewListener(l, store.ServerTLS(identity.Operator, identity.Upstream)))
	t.Cleanup(func() { server.Close() })
	to := netip.MustParseAddrPort(l.Addr().String())
	return []string{"--to", "127.0.0.1:1," + to.String(), "--keys", dir, "--operator", "amina"}
}

func TestRemoteCommands(t *testing.T) {
	remote := startServer(t)
	good := writeFile(t, "sheet.csv", "version,7\n"+serviceRow)
	stale := writeFile(t, "stale.csv", "version,6\n"+serviceRow)
	bad := writeFile(t, "bad.csv", "x\n")
	cases := []struct {
		name   string
		args   []string
		code   result.Class
		stdout []string
		stderr string
	}{
		{"submit", []string{"sheet", "submit", good}, 0, []string{"sheet 7 accepted at index 2", "not confirmed by b-1"}, ""},
		{"submit and wait", []string{"sheet", "submit", good, "--wait", "20s"}, 0, []string{"in force on all live VMs"}, ""},
		{"submit in JSON", []string{"sheet", "submit", good, "--json"}, 0, []string{`"number": 7`}, ""},
		{"bad", []string{"sheet", "submit", bad}, result.ClassUsage, nil, "103 bad_sheet: line 1"},
		{"stale", []string{"sheet", "submit", stale}, result.ClassRefused, nil, "202 sheet_stale: 8 is in force"},
		{"show", []string{"sheet", "show"}, 0, []string{"amina", "2026-12-01T06:00:00Z"}, ""},
		{"show CSV", []string{"sheet", "show", "--csv"}, 0, []string{"version,7\n"}, ""},
		{"add a voter", []string{"voter", "add", "b-1"}, 0, []string{"voters before the change  a-1"}, ""},
		{"remove a voter", []string{"voter", "remove", "b-1"}, result.ClassRefused, nil, "205 voter_change_pending"},
		{"status", []string{"status"}, 0, []string{"a-1 (term 3)", "b-1  b       active  yes   balancer", "permit-1  permit   leaving", "12 connections"}, ""},
		{"explain connection", []string{"explain", "connection", "--caller", "192.0.2.9:4000", "--service", "192.0.2.1:443"}, 0, []string{"permit-1 is leaving", "CURRENT RANKING", "permit-2"}, ""},
		{"explain upstream", []string{"explain", "upstream", "permit-1"}, 0, []string{"OBSERVED BY", "probe"}, ""},
		{"explain no upstream", []string{"explain", "upstream", "permit-9"}, result.ClassRefused, nil, "207 not_found"},
		{"explain sheet", []string{"explain", "sheet"}, 0, []string{"no lease"}, ""},
		{"audit", []string{"audit"}, 0, []string{"2026-12-01T06:00:00Z  a-1  sheet"}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := runWith(Options{CheckSheet: checkSheet}, append(c.args, remote...)...)
			must.Eq(t, int(c.code), got.code, must.Sprint(got))
			for _, want := range c.stdout {
				must.StrContains(t, got.stdout, want)
			}
			must.StrContains(t, got.stderr, c.stderr)
		})
	}
	got := runWith(Options{}, "status", "--to", "127.0.0.1:1", "--keys", remote[3], "--operator", "amina")
	must.Eq(t, int(result.ClassUnavailable), got.code)
	must.StrContains(t, got.stderr, "303 unreachable")
}

func TestAuditOfAFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "trail")
	trail, err := audit.OpenFile(path, 1<<20, 1)
	must.NoError(t, err)
	trail.Append(api.AuditRecord{Time: start, Kind: api.AuditSheet, Subject: "old"})
	trail.Append(api.AuditRecord{Time: start.Add(2 * time.Hour), Kind: api.AuditSheet, Subject: "new"})
	must.NoError(t, trail.Close())
	now := func() time.Time { return start.Add(3 * time.Hour) }
	got := runWith(Options{Now: now}, "audit", "--file", path, "--last", "2h")
	must.Eq(t, 0, got.code)
	must.StrContains(t, got.stdout, "new")
	must.StrNotContains(t, got.stdout, "old")
}

func TestKeysRotate(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "keys")
	o := Options{Now: func() time.Time { return start }}
	must.Eq(t, 0, runWith(o, "keys", "init", "--dir", dir).code)
	got := runWith(o, "keys", "rotate", "--dir", dir, "--window", "2h")
	must.Eq(t, 0, got.code)
	must.StrContains(t, got.stdout, "relay key 2 is used from 2026-12-01T07:00:00Z, the one before is accepted until 2026-12-01T08:00:00Z")
	got = runWith(o, "keys", "rotate", "--dir", dir, "--ca", "--json")
	must.Eq(t, 0, got.code)
	must.StrContains(t, got.stdout, `"old_until": "2026-12-02T06:00:00Z"`)
	must.Eq(t, int(result.ClassUsage), runWith(o, "keys", "rotate", "--dir", dir).code)
}

func TestCodesPage(t *testing.T) {
	b, err := os.ReadFile("../../../docs/CODES.md")
	must.NoError(t, err)
	got := runWith(Options{}, "codes", "--markdown")
	must.Eq(t, string(b), got.stdout)
	for _, e := range result.Table() {
		must.StrContains(t, got.stdout, "`"+e.Name+"`")
	}
}
