//go:build review

// Package standins plays the cases of the review: it starts the real programs as separate
// processes on loopback addresses, and plays platform, endpoints, clients and operator.
package standins

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports of the programs, which have an address each. They are free on all addresses of the
// machine when a run begins.
var packetPort, readyPort, apiPort, linkPort, metricsPort, endpointPort uint16

// Ports below the range from which connections take theirs.
const (
	lowestPort  = 10_000
	portsToDraw = 20_000
)

// drawPorts sets the ports.
func drawPorts() error {
	drawn := make(map[uint16]bool)
	for _, p := range []*uint16{&packetPort, &readyPort, &apiPort, &linkPort, &metricsPort, &endpointPort} {
		for range 1000 {
			if port := uint16(lowestPort + rand.IntN(portsToDraw)); !drawn[port] && isFree(port) {
				*p = port
				drawn[port] = true
				break
			}
		}
		if *p == 0 {
			return errors.New("no free port")
		}
	}
	return nil
}

// isFree reports whether no one listens at a port.
func isFree(port uint16) bool {
	address := netip.AddrPortFrom(netip.IPv4Unspecified(), port).String()
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return false
	}
	defer l.Close()
	c, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	c.Close()
	return true
}

// Bounds, as the small deployments have them.
const (
	contactTime  = 4000 * time.Millisecond
	applyTime    = 3000 * time.Millisecond
	drainTime    = 3000 * time.Millisecond
	graceTime    = 6 * time.Second
	heartbeat    = 1200 * time.Millisecond
	restartDelay = 300 * time.Millisecond
)

var zones = []string{"bern-ost", "solothurn", "aarau", "fribourg-nord"}

// world holds the programs and the stand-ins of one run.
type world struct {
	trouble bool
	prefix  [3]byte
	dir     string
	begun   time.Time

	controllers, balancers []*program
	endpoints              []*endpoint
	router                 *router
	http                   *http.Client

	// lossRate is the part of the datagrams of clients and endpoints that the network loses.
	lossRate float64

	// cut is the program that is cut off from all others, if any.
	cut atomic.Pointer[program]
	// calmFrom is the time, in Unix nanoseconds, from which resets of flows count: contactTime
	// after the end of the disruption. Under planned work they always count.
	calmFrom atomic.Int64

	mu     sync.Mutex
	record *os.File
	broken []string
	resets map[netip.AddrPort]string // endpoint that last reset a flow, by its client's end
}

// newWorld takes a loopback network and a temporary folder.
func newWorld(recordPath string) (*world, error) {
	w := &world{trouble: os.Getenv("TROUBLE") != "0", begun: time.Now(), resets: make(map[netip.AddrPort]string)}
	w.http = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	// Runs beside each other have networks of their own.
	n := os.Getpid() % (240 * 250)
	w.prefix = [3]byte{127, byte(1 + n/250), byte(n % 250)}
	if err := drawPorts(); err != nil {
		return nil, err
	}
	var err error
	if w.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	w.record, err = os.Create(recordPath)
	return w, err
}

func (w *world) host(n byte) netip.Addr {
	return netip.AddrFrom4([4]byte{w.prefix[0], w.prefix[1], w.prefix[2], n})
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, args...))
}

// loses reports whether the network loses a datagram.
func (w *world) loses() bool { return rand.Float64() < w.lossRate }

// breakRule records that a rule was broken.
func (w *world) breakRule(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.note("BROKEN %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, text)
}

// program is a process of the system.
type program struct {
	w          *world
	role, name string
	zone       string
	ip         netip.Addr // where others reach it
	linkIP     netip.Addr // where it takes links; that of a controller is behind its proxy
	starts     int

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

func (p *program) api() string { return netip.AddrPortFrom(p.ip, apiPort).String() }

// settings fills the template of the deploy file.
func (p *program) settings() (string, error) {
	t, err := os.ReadFile(filepath.Join("deploy", p.role+".ini"))
	if err != nil {
		return "", err
	}
	var regions, seeds []string
	for _, z := range zones {
		regions = append(regions, z+"=mittelland")
	}
	for _, c := range p.w.controllers[:3] {
		seeds = append(seeds, c.api())
	}
	link := "listen = {{ip}}:{{internal_ports.0}}"
	t = bytes.Replace(t, []byte(link), []byte(strings.Replace(link, "{{ip}}", p.linkIP.String(), 1)+"\nadvertise = {{ip}}:{{internal_ports.0}}"), 1)
	return strings.NewReplacer(
		"{{#zones}}{{@}}={{.}}{{,}}{{/zones}}", strings.Join(regions, ","),
		"{{node_id}}", p.name, "{{zone}}", p.zone, "{{region}}", "mittelland", "{{ip}}", p.ip.String(),
		"{{limits.link_mbps}}", "1000.0", "{{bounds.grace_s}}", "6", "{{bounds.flow_ttl_s}}", "60",
		"{{bounds.cold_excess}}", "", "{{bounds.cold_slack}}", "", "{{heartbeat_ms}}", "1200",
		"{{listen.datagram_addr}}", netip.AddrPortFrom(p.ip, packetPort).String(),
		"{{listen.ready_addr}}", netip.AddrPortFrom(p.ip, readyPort).String(),
		"{{listen.control}}", p.api(),
		"{{internal_ports.0}}", fmt.Sprint(linkPort), "{{internal_ports.1}}", fmt.Sprint(metricsPort),
		"{{seeds}}", strings.Join(seeds, ","), "{{fault_tolerance.machines}}", "1",
		"{{bootstrap}}", fmt.Sprint(p.starts == 0), "{{data_dir}}", filepath.Join(p.w.dir, p.name),
	).Replace(string(t)), nil
}

// start starts the process with the command of the deploy file.
func (p *program) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, err := p.settings()
	if err != nil {
		return err
	}
	file := filepath.Join(p.w.dir, p.name+".ini")
	if err := os.WriteFile(file, []byte(s), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.w.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command("target/heatherport-node", p.role)
	c.Env = append(os.Environ(), "HEATHERPORT_CONFIG="+file)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	p.starts++
	p.command, p.exited = c, make(chan struct{})
	exited := p.exited
	go func() {
		_ = c.Wait()
		close(exited)
	}()
	p.w.note("%s starts", p.name)
	return nil
}

// end ends the process: SIGTERM and, after the grace time, SIGKILL.
func (p *program) end() {
	p.mu.Lock()
	c, exited := p.command, p.exited
	p.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(graceTime):
		_ = c.Process.Kill()
		<-exited
	}
}

// kill ends the process at once.
func (p *program) kill() {
	p.mu.Lock()
	c, exited := p.command, p.exited
	p.mu.Unlock()
	if c != nil {
		_ = c.Process.Kill()
		<-exited
	}
}

// startPrograms starts four controllers and a number of balancers, over the zones.
func (w *world) startPrograms(balancers int) error {
	for i := range 4 {
		w.controllers = append(w.controllers, &program{w: w, role: "controller", name: fmt.Sprint("core-", i), zone: zones[i%len(zones)], ip: w.host(byte(10 + i)), linkIP: w.host(byte(20 + i))})
	}
	for i := range balancers {
		w.balancers = append(w.balancers, &program{w: w, role: "balancer", name: fmt.Sprint("frontend-", i), zone: zones[i%len(zones)], ip: w.host(byte(30 + i)), linkIP: w.host(byte(30 + i))})
	}
	for _, c := range w.controllers {
		if err := w.startProxy(c); err != nil {
			return err
		}
	}
	for _, p := range w.programs() {
		if err := p.start(); err != nil {
			return err
		}
	}
	w.router = newRouter(w)
	return nil
}

// programs returns the programs of the system.
func (w *world) programs() []*program { return slices.Concat(w.controllers, w.balancers) }

// close ends all processes and removes the temporary folder. KEEP=1 keeps it.
func (w *world) close() {
	for _, p := range w.programs() {
		p.kill()
	}
	w.record.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
}

// call sends a request to one controller. The status is zero without a response.
func (w *world) call(api, method, path string, body []byte) (status int, answer []byte) {
	if c := w.cut.Load(); c != nil && c.api() == api {
		time.Sleep(time.Second) // the connection hangs
		return 0, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+api+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if len(body) > 0 {
		r.Header.Set("Content-Type", "application/json")
	}
	resp, err := w.http.Do(r)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// route is a route of a configuration.
type route struct {
	name, kind string
	port       uint16
	service    string
}

func (w *world) routeHost() netip.Addr { return w.host(250) }

func (w *world) configuration(version int, services []string, routes []route) []byte {
	var rs, ss []string
	for _, r := range routes {
		rs = append(rs, fmt.Sprintf(`{"name":%q,"host":%q,"path_prefix":"/%d/","kind":%q,"timeout_ms":1500,"target_latency_ms":150,"priority":1,"service":%q,"max_attempts":2}`,
			r.name, w.routeHost(), r.port, r.kind, r.service))
	}
	for _, s := range services {
		ss = append(ss, fmt.Sprintf(`{"name":%q,"health_path":"/health","max_conns":2000,"protocol":"h1","tls":false}`, s))
	}
	return []byte(fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		version, strings.Join(rs, ","), strings.Join(ss, ",")))
}

// putConfiguration sends a configuration to one node after the other until it is
// acknowledged. It returns the time of the acknowledgement.
func (w *world) putConfiguration(version int, body []byte, within time.Duration) (acked time.Time, ok bool) {
	wait := 50 * time.Millisecond
	for i, begun := 0, time.Now(); time.Since(begun) < within; i++ {
		c := w.controllers[i%len(w.controllers)]
		status, _ := w.call(c.api(), http.MethodPut, "/api/config", body)
		w.note("operator PUT version %d to %s: %d", version, c.name, status)
		switch {
		case status == http.StatusOK:
			return time.Now(), true
		case status == 400 || status == 409 || status == 412 || status == 413 || status == 422:
			return acked, false
		}
		time.Sleep(wait)
		wait = min(2*wait, time.Second)
	}
	return acked, false
}

// router plays the platform's routers: it probes the balancers twice a second and hands
// each flow to one of those in rotation.
type router struct {
	w      *world
	mu     sync.Mutex
	misses map[*program]int
}

func newRouter(w *world) *router {
	r := &router{w: w, misses: make(map[*program]int)}
	for _, b := range w.balancers {
		r.misses[b] = 2
		go r.probe(b)
	}
	return r
}

func (r *router) probe(b *program) {
	client := &http.Client{Timeout: 450 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		resp, err := client.Get("http://" + netip.AddrPortFrom(b.ip, readyPort).String() + "/api/readyz")
		ready := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			resp.Body.Close()
		}
		r.mu.Lock()
		before := r.misses[b]
		if ready {
			r.misses[b] = 0
		} else {
			r.misses[b]++
		}
		if now := r.misses[b]; before >= 2 && now == 0 || before == 1 && now == 2 {
			r.w.note("%s in rotation: %t", b.name, now == 0)
		}
		r.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
	}
}

func (r *router) inRotation(b *program) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.misses[b] < 2
}

// balancerFor returns the balancer of a zone that gets the packets of a flow. The hash is
// steady: only the flows of a balancer that leaves or joins move. If fewer than half of the
// balancers of the zone are in rotation, all are used; if none is, those of another zone.
func (r *router) balancerFor(zone int, from, to netip.AddrPort) *program {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range zones {
		var all, ready []*program
		for _, b := range r.w.balancers {
			if b.zone != zones[(zone+i)%len(zones)] {
				continue
			}
			all = append(all, b)
			if r.misses[b] < 2 {
				ready = append(ready, b)
			}
		}
		if len(ready) == 0 {
			continue
		}
		if 2*len(ready) < len(all) {
			ready = all
		}
		best := ready[0]
		for _, b := range ready {
			if score(from.String()+to.String()+b.name) > score(from.String()+to.String()+best.name) {
				best = b
			}
		}
		return best
	}
	return nil
}

// score is the 64-bit FNV-1a hash, finished with the mixer of SplitMix64.
func score(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
