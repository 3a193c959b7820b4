package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"heatherport/internal/process/keys"
	"heatherport/internal/process/metrics"
	"heatherport/internal/request/api"
	"heatherport/internal/result"
)

// programVariable makes the test program run as heatherport.
const programVariable = "HEATHERPORT_TEST_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(programVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// The bounds of one test.
const (
	testTimeout = 100 * time.Second
	pollGap     = 20 * time.Millisecond
	callTimeout = 8 * time.Second
)

// program returns heatherport with the given arguments. It is killed when ctx
// ends.
func program(ctx context.Context, args ...string) *exec.Cmd {
	c := exec.CommandContext(ctx, os.Args[0], args...)
	c.Env = append(os.Environ(), programVariable+"=1")
	return c
}

// run runs heatherport to its end and returns what it printed.
func run(t testing.TB, args ...string) string {
	t.Helper()
	out, err := program(t.Context(), args...).CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	return string(out)
}

// vm is one VM, a process of its own while it runs.
type vm struct {
	t                            testing.TB
	ctx                          context.Context
	name, dir                    string
	voter                        bool
	fabric, relay, link, api, ui netip.AddrPort
	settings                     string
	cmd                          *exec.Cmd
	log                          *bytes.Buffer
}

// group is a set of VMs: three voters and one VM without a data folder.
type group struct {
	t        testing.TB
	ctx      context.Context
	dir      string
	vms      []*vm
	operator *api.Client
}

const (
	voters       = 3
	operatorName = "amina"
)

func newGroup(t testing.TB) *group {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	g := &group{t: t, ctx: ctx, dir: t.TempDir()}
	run(t, "keys", "init", "--dir", g.dir)
	run(t, "keys", "issue", "--dir", g.dir, "--operator", operatorName)
	for i := range voters + 1 {
		g.vms = append(g.vms, g.newVM(i))
	}
	for _, v := range g.vms {
		g.writeSettings(v)
		run(t, "keys", "issue", "--dir", g.dir, "--name", v.name)
		if v.voter {
			run(t, "voter", "bootstrap", "--settings", v.settings)
		}
		v.start()
	}
	g.operator = g.client()
	return g
}

func (g *group) newVM(i int) *vm {
	domains := []string{"ibadan", "akure", "abeokuta", "oshogbo"}
	v := &vm{t: g.t, ctx: g.ctx, name: domains[i] + "-1", voter: i < voters}
	v.dir = filepath.Join(g.dir, v.name)
	v.settings = v.dir + ".ini"
	for _, a := range []*netip.AddrPort{&v.fabric, &v.relay, &v.link, &v.api, &v.ui} {
		*a = freePort(g.t)
	}
	g.t.Cleanup(v.end)
	return v
}

// freePort returns a loopback port that is free for UDP and TCP.
func freePort(t testing.TB) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	c, err := net.ListenPacket("udp", l.Addr().String())
	must.NoError(t, err)
	defer c.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

func (g *group) writeSettings(v *vm) {
	var b strings.Builder
	fmt.Fprintf(&b, "[vm]\nname = %s\ndomain = %s\nstop_timeout = 15s\n", v.name, strings.TrimSuffix(v.name, "-1"))
	if v.voter {
		fmt.Fprintf(&b, "data_dir = %s\n", v.dir)
	}
	fmt.Fprintf(&b, "[fabric]\nlisten = %s\nreturn = 127.0.0.1:9\nreceivers = 1\n", v.fabric)
	fmt.Fprintf(&b, "[relay]\nlisten = %s\n[link]\nlisten = %s\n[api]\nlisten = %s\n", v.relay, v.link, v.api)
	fmt.Fprintf(&b, "[metrics]\nlisten = %s\n[peers]\n", v.ui)
	var names []string
	for _, p := range g.vms {
		fmt.Fprintf(&b, "%s = %s\n", p.name, p.link)
		if p.voter {
			names = append(names, p.name)
		}
	}
	fmt.Fprintf(&b, "[voters]\ninitial = %s\n", strings.Join(names, ", "))
	fmt.Fprintf(&b, "[keys]\nca = ca.pem\ncertificate = %s\nkey = %s\nrelay_keys = %s\n",
		keys.CertificateFile(v.name), keys.KeyFile(v.name), keys.RelayFile)
	b.WriteString("[connections]\ncapacity = 10000\n")
	must.NoError(g.t, os.WriteFile(v.settings, []byte(b.String()), 0o600))
}

// client returns an operator's client that tries all VMs.
func (g *group) client() *api.Client {
	store, err := keys.Open(keys.Files{
		CA:          filepath.Join(g.dir, keys.CAFile),
		Certificate: filepath.Join(g.dir, keys.CertificateFile(operatorName)),
		Key:         filepath.Join(g.dir, keys.KeyFile(operatorName)),
	})
	must.NoError(g.t, err)
	var to []netip.AddrPort
	for _, v := range g.vms {
		to = append(to, v.api)
	}
	return api.NewClient(to, store.ClientTLS(""))
}

func (v *vm) start() {
	v.t.Helper()
	v.log = new(bytes.Buffer)
	v.cmd = program(v.ctx, "run", "--settings", v.settings)
	v.cmd.Stdout = io.Discard
	v.cmd.Stderr = v.log
	must.NoError(v.t, v.cmd.Start())
}

// kill ends the process as a crash does.
func (v *vm) kill() {
	v.t.Helper()
	must.NoError(v.t, v.cmd.Process.Kill())
	_ = v.cmd.Wait()
	v.cmd = nil
}

// end kills the process if it runs.
func (v *vm) end() {
	if v.cmd != nil {
		v.kill()
	}
}

// health asks the VM whether it is ready and which sheet it holds.
func (v *vm) health() (metrics.Health, bool) {
	var h metrics.Health
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + v.ui.String() + "/readyz")
	if err != nil {
		return h, false
	}
	defer r.Body.Close()
	return h, json.NewDecoder(r.Body).Decode(&h) == nil
}

// until polls until ok holds.
func (g *group) until(what string, ok func() bool) {
	g.t.Helper()
	for !ok() {
		if g.ctx.Err() != nil {
			for _, v := range g.vms {
				g.t.Logf("log of %s:\n%s", v.name, v.log)
			}
			g.t.Fatalf("still waiting for %s", what)
		}
		time.Sleep(pollGap)
	}
}

// waitSheet waits until the given VMs are ready and hold sheet number. A VM
// that is ready with an older one fails the test.
func (g *group) waitSheet(number uint64, vms ...*vm) {
	g.t.Helper()
	for _, v := range vms {
		g.until(fmt.Sprintf("sheet %d on %s", number, v.name), func() bool {
			h, ok := v.health()
			return ok && h.Ready && h.SheetNumber >= number
		})
	}
}

// waitRejoin is waitSheet for a VM that was started after sheet number had
// been acknowledged: when it becomes ready it must not hold an older one.
func (g *group) waitRejoin(number uint64, v *vm) {
	g.t.Helper()
	g.until(v.name+" ready", func() bool {
		h, ok := v.health()
		if ok && h.Ready {
			must.GreaterEq(g.t, number, h.SheetNumber, must.Sprintf("%s is ready", v.name))
		}
		return ok && h.Ready
	})
}

// submit submits a sheet and reports whether it was acknowledged.
func (g *group) submit(number uint64) bool {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(g.ctx, callTimeout)
	defer cancel()
	_, err := g.operator.SubmitSheet(ctx, testSheet(number))
	code := result.CodeOf(err)
	must.NotEq(g.t, result.SheetStale, code)
	must.NotEq(g.t, result.SheetConflict, code)
	return err == nil
}

// accept submits a sheet until it is acknowledged.
func (g *group) accept(number uint64) {
	g.t.Helper()
	g.until(fmt.Sprintf("acceptance of sheet %d", number), func() bool { return g.submit(number) })
}

func testSheet(number uint64) []byte {
	const format = "version,%d\nservice,permit,198.51.100.1,tcp,443,10m,no\n" +
		"upstream,permit,permit-01,active,3,2000\n"
	return fmt.Appendf(nil, format, number)
}

// isVoter reports whether the leader counts the VM called name as a voter.
func (g *group) isVoter(name string) bool {
	ctx, cancel := context.WithTimeout(g.ctx, callTimeout)
	defer cancel()
	s, err := g.operator.Status(ctx)
	if err != nil || !s.Majority {
		return false
	}
	for _, v := range s.VMs {
		if v.Name == name && v.Voter && v.Live {
			return true
		}
	}
	return false
}

// TestAcknowledgedSheetsSurviveKills kills each voter and the VM without a data
// folder by SIGKILL while sheets are submitted.
func TestAcknowledgedSheetsSurviveKills(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	g.accept(1)
	g.waitSheet(1, g.vms...)
	number := uint64(1)
	for _, v := range g.vms {
		v.kill()
		for range 3 {
			number++
			g.accept(number)
		}
		v.start()
		number++
		g.accept(number)
		g.waitSheet(number, g.vms...)
	}
	for _, v := range g.vms {
		v.kill()
	}
	for _, v := range g.vms {
		v.start()
	}
	for _, v := range g.vms {
		g.waitRejoin(number, v)
	}
}

// TestVotersWithoutDataFoldersComeBack removes the data folders of two voters,
// one after the other; a third voter fails right after the second repair.
func TestVotersWithoutDataFoldersComeBack(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	g.accept(1)
	g.waitSheet(1, g.vms...)
	number := uint64(1)
	for _, v := range g.vms[:2] {
		v.kill()
		must.NoError(t, os.RemoveAll(v.dir))
		must.NoError(t, os.Mkdir(v.dir, 0o700))
		number++
		g.accept(number)
		v.start()
		g.waitRejoin(number, v)
		g.until(v.name+" voting", func() bool { return g.isVoter(v.name) })
	}
	g.vms[2].kill()
	number++
	g.accept(number)
	g.waitSheet(number, g.vms[0], g.vms[1], g.vms[3])
}

func exitError(t *testing.T, err error) *exec.ExitError {
	t.Helper()
	var exit *exec.ExitError
	must.True(t, errors.As(err, &exit), must.Sprint(err))
	return exit
}

// TestCorruptLogRefusesStart flips a byte of an accepted sheet in the log.
func TestCorruptLogRefusesStart(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	g.accept(1)
	g.waitSheet(1, g.vms...)
	v := g.vms[0]
	v.kill()
	log := filepath.Join(v.dir, "log")
	b, err := os.ReadFile(log)
	must.NoError(t, err)
	at := bytes.Index(b, []byte("permit-01"))
	must.Positive(t, at)
	b[at] ^= 1
	must.NoError(t, os.WriteFile(log, b, 0o600))
	out, err := program(g.ctx, "run", "--settings", v.settings).CombinedOutput()
	exit := exitError(t, err)
	must.Eq(t, int(result.ClassStorage), exit.ExitCode())
	must.StrContains(t, string(out), fmt.Sprintf("%d", result.StorageCorrupt))
	g.accept(2)
}

// TestSignals stops a voter gracefully by one SIGTERM and at once by two.
func TestSignals(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	g.accept(1)
	g.waitSheet(1, g.vms...)
	first, second := g.vms[0], g.vms[3]
	must.NoError(t, first.cmd.Process.Signal(syscall.SIGTERM))
	must.NoError(t, first.cmd.Wait())
	first.cmd = nil
	must.StrNotContains(t, first.log.String(), "without a complete hand-over")
	must.NoError(t, second.cmd.Process.Signal(syscall.SIGTERM))
	g.until("the stop of "+second.name, func() bool {
		h, ok := second.health()
		return ok && !h.Ready
	})
	must.NoError(t, second.cmd.Process.Signal(syscall.SIGTERM))
	err := second.cmd.Wait()
	second.cmd = nil
	exit := exitError(t, err)
	status := exit.Sys().(syscall.WaitStatus)
	must.True(t, status.Signaled())
	must.Eq(t, syscall.SIGTERM, status.Signal())
	g.accept(2)
	g.waitSheet(2, g.vms[1], g.vms[2])
}
