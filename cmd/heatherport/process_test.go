package main

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"heatherport/internal/process/keys"
	"heatherport/internal/request/api"
	"heatherport/internal/request/identity"
)

// childEnv makes the test program run as heatherport.
const childEnv = "HEATHERPORT_TEST_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childEnv) != "" {
		main()
	}
	os.Exit(m.Run())
}

// testVM is a VM that runs as a process of its own.
type testVM struct {
	name     string
	settings string
	api      netip.AddrPort
	cmd      *exec.Cmd
}

// testFleet is a fleet of processes on loopback.
type testFleet struct {
	t    *testing.T
	dir  string
	vms  []*testVM
	keys keys.Folder
}

// newTestFleet prepares voters and one VM without a disk; none runs yet.
func newTestFleet(t *testing.T, voters ...string) *testFleet {
	f := &testFleet{t: t, dir: t.TempDir()}
	f.keys = keys.Folder{Dir: filepath.Join(f.dir, "keys")}
	must.NoError(t, f.keys.Init())
	f.issue(identity.Operator, "amina")
	names := append([]string{"diskless"}, voters...)
	ports := freePorts(t, portsPerVM*len(names))
	var peers strings.Builder
	for i, name := range names {
		fmt.Fprintf(&peers, "%s = 127.0.0.1:%d\n", name, ports[i*portsPerVM+linkPort])
	}
	for i, name := range names {
		f.issue(identity.VM, name)
		data := ""
		if i > 0 {
			data = "data_dir = data-" + name
		}
		p := ports[i*portsPerVM:]
		text := fmt.Sprintf(settingsTemplate, name, name, data, p[fabricPort], p[relayPort], p[linkPort], p[apiPort],
			p[metricsPort], peers.String(), strings.Join(voters, ","), name, name)
		vm := &testVM{
			name:     name,
			settings: filepath.Join(f.dir, name+".ini"),
			api:      netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), p[apiPort]),
		}
		must.NoError(t, os.WriteFile(vm.settings, []byte(text), 0o600))
		f.vms = append(f.vms, vm)
	}
	for _, vm := range f.vms[1:] {
		must.NoError(t, f.command("voter", "bootstrap", "--settings", vm.settings).Run())
	}
	t.Cleanup(f.killAll)
	return f
}

// The ports of a VM.
const (
	fabricPort = iota
	relayPort
	linkPort
	apiPort
	metricsPort
	portsPerVM
)

const settingsTemplate = `[vm]
name = %s
domain = %s
%s
[fabric]
listen = 127.0.0.1:%d
return = 127.0.0.1:9
[relay]
listen = 127.0.0.1:%d
[link]
listen = 127.0.0.1:%d
[api]
listen = 127.0.0.1:%d
[metrics]
listen = 127.0.0.1:%d
[peers]
%s
[voters]
initial = %s
[keys]
ca = keys/ca.pem
certificate = keys/%s.pem
key = keys/%s-key.pem
relay_keys = keys/relay.keys
`

// freePorts returns ports that are free for TCP and UDP.
func freePorts(t *testing.T, n int) []uint16 {
	var out []uint16
	for len(out) < n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		defer l.Close()
		p := l.Addr().(*net.TCPAddr).Port
		u, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: p})
		if err != nil {
			continue
		}
		defer u.Close()
		out = append(out, uint16(p))
	}
	return out
}

func (f *testFleet) issue(role identity.Role, name string) {
	_, err := f.keys.Issue(identity.Identity{Name: name, Role: role}, keys.DefaultLeafValidity)
	must.NoError(f.t, err)
}

func (f *testFleet) command(args ...string) *exec.Cmd {
	c := exec.Command(os.Args[0], args...)
	c.Env = append(os.Environ(), childEnv+"=1")
	return c
}

func (f *testFleet) start(vm *testVM) {
	log, err := os.OpenFile(filepath.Join(f.dir, vm.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must.NoError(f.t, err)
	defer log.Close()
	vm.cmd = f.command("run", "--settings", vm.settings)
	vm.cmd.Stdout, vm.cmd.Stderr = log, log
	must.NoError(f.t, vm.cmd.Start())
}

// kill ends a VM by SIGKILL.
func (f *testFleet) kill(vm *testVM) {
	must.NoError(f.t, vm.cmd.Process.Kill())
	_ = vm.cmd.Wait() // reports the signal
	vm.cmd = nil
}

// killAll ends what still runs, and shows the logs of a failed test.
func (f *testFleet) killAll() {
	for _, vm := range f.vms {
		if vm.cmd != nil {
			f.kill(vm)
		}
		if f.t.Failed() {
			b, _ := os.ReadFile(filepath.Join(f.dir, vm.name+".log"))
			f.t.Logf("log of %s:\n%s", vm.name, b)
		}
	}
}

// client returns an operator's client that tries the VMs in turn.
func (f *testFleet) client(vms ...*testVM) *api.Client {
	store, err := keys.Open(keys.Files{
		CA:          filepath.Join(f.keys.Dir, keys.CAFile),
		Certificate: filepath.Join(f.keys.Dir, keys.CertificateFile("amina")),
		Key:         filepath.Join(f.keys.Dir, keys.KeyFile("amina")),
	})
	must.NoError(f.t, err)
	var to []netip.AddrPort
	for _, vm := range vms {
		to = append(to, vm.api)
	}
	return api.NewClient(to, store.ClientTLS(""))
}
