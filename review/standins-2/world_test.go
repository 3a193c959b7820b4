package standins

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports are the same on all machines.
const (
	packetPort  = 8172
	readyPort   = 8167
	controlPort = 8166
	linkPort    = 7720
	metricsPort = 7735
)

const (
	heartbeat = 1200 * time.Millisecond
	graceS    = 6
	flowTTLS  = 60
)

// The places of the site.
var (
	region = "sw-nigeria"
	zones  = []string{"ibadan", "akure", "abeokuta", "oshogbo"}
)

// useMilchkreis takes the places of milchkreis-rund.
func useMilchkreis() {
	region, zones = "mittelland", []string{"bern-ost", "solothurn", "aarau", "fribourg-nord"}
}

// world holds the machines of one run on a loopback network of its own.
type world struct {
	rec      *recorder
	root     string // of the repository
	dir      string // temporary folder
	prefix   [3]byte
	lock     net.Listener
	cold     bool         // the deployment limits slow starts
	perZone  int          // fronts in each zone
	links    []*linkProxy // to the core machines, if proxied
	proxied  bool         // links to core machines go through proxies
	cores    []*machine
	fronts   []*machine
	mu       sync.Mutex
	machines []*machine
}

// machine is a VM with one program of the system.
type machine struct {
	w       *world
	name    string
	class   string
	program string
	zone    string
	ip      netip.Addr
	link    netip.Addr // at which the other machines of the system reach it
	dir     string
	starts  int

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	ending bool
}

func newWorld(rec *recorder, root string) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{rec: rec, root: root, dir: dir, perZone: 1}
	for i := range 200 {
		w.prefix = [3]byte{127, byte(1 + (os.Getpid()+i*7)%250), byte(1 + (os.Getpid()/250+i)%250)}
		if w.lock, err = net.Listen("tcp", netip.AddrPortFrom(w.ip(250), 9997).String()); err == nil {
			return w, nil
		}
	}
	return nil, errors.New("no free loopback network")
}

func (w *world) ip(host byte) netip.Addr {
	return netip.AddrFrom4([4]byte{w.prefix[0], w.prefix[1], w.prefix[2], host})
}

// deploy adds a core machine and the fronts of each zone.
func (w *world) deploy() {
	for i, zone := range zones {
		w.cores = append(w.cores, w.add("core", "controller", zone, w.ip(byte(10+i))))
		w.cores[i].link = w.cores[i].ip
		if w.proxied {
			w.cores[i].link = w.ip(byte(80 + i))
		}
		for n := range w.perZone {
			w.fronts = append(w.fronts, w.add("frontend", "balancer", zone, w.ip(byte(30+10*n+i))))
		}
	}
}

func (w *world) add(class, program, zone string, ip netip.Addr) *machine {
	n := 1
	for _, o := range w.machines {
		if o.class == class && o.zone == zone {
			n++
		}
	}
	m := &machine{w: w, name: fmt.Sprintf("%s-%s-%d", class, zone, n), class: class, program: program, zone: zone, ip: ip}
	m.dir = filepath.Join(w.dir, m.name)
	w.mu.Lock()
	w.machines = append(w.machines, m)
	w.mu.Unlock()
	return m
}

func (w *world) start() error {
	for _, m := range w.cores {
		if m.link == m.ip {
			continue
		}
		p, err := newLinkProxy(netip.AddrPortFrom(m.link, linkPort), netip.AddrPortFrom(m.ip, linkPort), w.machines)
		if err != nil {
			return err
		}
		w.links = append(w.links, p)
	}
	for _, m := range append(append([]*machine{}, w.cores...), w.fronts...) {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// end ends all processes that the world started.
func (w *world) end() {
	for _, m := range w.machines {
		m.kill()
	}
	w.lock.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs are in", w.dir)
	}
}

// settings fills in a template of the deploy file.
func (m *machine) settings() (string, error) {
	text, err := os.ReadFile(filepath.Join(m.w.root, "deploy", m.program+".ini"))
	if err != nil {
		return "", err
	}
	var domains, seeds []string
	for _, z := range zones {
		domains = append(domains, z+"="+region)
	}
	for _, c := range m.w.cores[:3] {
		seeds = append(seeds, netip.AddrPortFrom(c.link, controlPort).String())
	}
	excess, slack := "", ""
	if m.w.cold {
		excess, slack = "1.5", "5"
	}
	values := []string{
		"{{node_id}}", m.name, "{{zone}}", m.zone, "{{region}}", region,
		"{{#zones}}{{@}}={{.}}{{,}}{{/zones}}", strings.Join(domains, ","),
		"{{limits.link_mbps}}", "1000.0", "{{bounds.grace_s}}", fmt.Sprint(graceS),
		"{{listen.datagram_addr}}", netip.AddrPortFrom(m.ip, packetPort).String(),
		"{{listen.ready_addr}}", netip.AddrPortFrom(m.ip, readyPort).String(),
		"{{listen.control}}", netip.AddrPortFrom(m.ip, controlPort).String(),
		"{{ip}}", m.ip.String(), "{{internal_ports.0}}", fmt.Sprint(linkPort), "{{internal_ports.1}}", fmt.Sprint(metricsPort),
		"{{seeds}}", strings.Join(seeds, ","), "{{bootstrap}}", fmt.Sprint(m.starts == 0),
		"{{fault_tolerance.machines}}", "1", "{{heartbeat_ms}}", fmt.Sprint(heartbeat.Milliseconds()),
		"{{bounds.cold_excess}}", excess, "{{bounds.cold_slack}}", slack,
		"{{bounds.flow_ttl_s}}", fmt.Sprint(flowTTLS), "{{data_dir}}", filepath.Join(m.dir, "data"),
	}
	filled := strings.NewReplacer(values...).Replace(string(text))
	if m.link.IsValid() && m.link != m.ip {
		listen := fmt.Sprintf("[link]\nlisten = %s:%d\n", m.ip, linkPort)
		filled = strings.Replace(filled, listen, listen+fmt.Sprintf("advertise = %s:%d\n", m.link, linkPort), 1)
	}
	if strings.Contains(filled, "{{") {
		return "", fmt.Errorf("a placeholder of %s.ini is not known: %s", m.program, filled)
	}
	return filled, nil
}

// start starts the program with the command of the deploy file.
func (m *machine) start() error {
	text, err := m.settings()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(m.dir, 0o700); err != nil {
		return err
	}
	file := filepath.Join(m.dir, "node.conf")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(m.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/heatherport-node", m.program)
	cmd.Dir = m.w.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.dir, "HEATHERPORT_CONFIG=" + file}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	m.starts++
	exited := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.exited, m.ending = cmd, exited, false
	m.mu.Unlock()
	go func() {
		err := cmd.Wait()
		m.mu.Lock()
		if !m.ending {
			m.w.rec.log("%s ended by itself: %v", m.name, err)
		}
		m.mu.Unlock()
		close(exited)
	}()
	m.w.rec.log("%s starts", m.name)
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		m.ending = true
	}
	_ = m.cmd.Process.Signal(s)
	m.w.rec.log("%s gets %s", m.name, s)
}

func (m *machine) kill() {
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	if exited == nil {
		return
	}
	select {
	case <-exited:
		return
	default:
	}
	m.signal(syscall.SIGKILL)
	<-exited
}

// ready reports whether a front answers the probe of the routers with 200.
func (m *machine) ready() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	r, err := c.Get("http://" + netip.AddrPortFrom(m.ip, readyPort).String() + "/api/readyz")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// waitReady waits until all fronts are in rotation.
func (w *world) waitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		all := true
		for _, f := range w.fronts {
			all = all && f.ready()
		}
		if all {
			return true
		}
	}
	return false
}

// frontAt returns the front with an address, or nil.
func (w *world) frontAt(ip netip.Addr) *machine {
	for _, f := range w.fronts {
		if f.ip == ip.Unmap() {
			return f
		}
	}
	return nil
}
