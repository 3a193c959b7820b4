package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"heatherport/internal/standin/loopback"
)

// Ports of the routes in the configuration.
const (
	routeOne = 8080
	routeTwo = 8443
)

const (
	// faultFreePeriod is the time without faults after which guarantees with a
	// time bound hold.
	faultFreePeriod = 4 * time.Second
	// recoveryTimeout is the longest time from the last fault until everything
	// is served again.
	recoveryTimeout = 12 * time.Second
)

// harness holds the programs, stand-ins and findings of one run.
type harness struct {
	t       *testing.T
	seed    uint64
	randMu  sync.Mutex
	rand    *rand.Rand // used for the fault schedule only
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	http    *http.Client
	host    netip.Addr
	// networks[0] is for the controllers and the caller, networks[1] for the
	// balancers, networks[2] for the upstreams.
	networks [3]*loopback.Network

	controllers []*process
	balancers   []*process
	extras      []*process    // balancers that join and leave
	lifetime    time.Duration // of a connection, in the settings; zero for the default
	routers     *routers
	caller      *caller
	operator    *operator

	mu            sync.Mutex
	upstreams     []*upstream
	misrouted     map[netip.AddrPort]string
	violations    []string
	lastFault     time.Time
	upstreamCount uint64

	attempted, served atomic.Int64
	losePackets       atomic.Bool // drop a part of the packets of callers and upstreams
	burst             atomic.Bool // callers open connections at burstInterval
}

// domains are the failure domains.
var domains = []string{"a", "b", "c"}

// extraBalancers is the number of balancers that are started by a fault only.
const extraBalancers = 2

const (
	openInterval  = 15 * time.Millisecond
	burstInterval = 4 * time.Millisecond
)

// packetLossRate is the probability that a packet is dropped during packet loss.
const packetLossRate = 0.1

// shouldDrop reports whether to drop the next packet.
func (h *harness) shouldDrop() bool { return h.losePackets.Load() && rand.Float64() < packetLossRate }

// newHarness assigns addresses and folders. Each run reserves its own networks in
// the loopback range.
func newHarness(t *testing.T, seed uint64) *harness {
	ctx, cancel := context.WithCancel(context.Background())
	h := &harness{
		t: t, seed: seed, rand: rand.New(rand.NewPCG(seed, 0)), ctx: ctx, cancel: cancel,
		http:      &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
		routers:   &routers{failedProbes: make(map[*process]int)},
		misrouted: make(map[netip.AddrPort]string),
	}
	for i := range h.networks {
		var err error
		if h.networks[i], err = loopback.Reserve(); err != nil {
			t.Fatal(err)
		}
	}
	h.host = netip.AddrFrom4([4]byte{198, 51, 100, 1})
	h.operator = &operator{h: h, sent: make(map[uint64]string), evacuations: make(map[string]*evacuation)}
	for _, d := range domains {
		h.operator.evacuations[d] = &evacuation{}
	}
	dir := logFolder(t, seed)
	for i := range *controllerCount {
		h.controllers = append(h.controllers, h.newProcess("controller", dir, i, h.networks[0].Host(byte(10+i)), h.networks[0].Host(byte(50+i))))
	}
	for i := range *balancerCount + extraBalancers {
		ip := h.networks[1].Host(byte(1 + i))
		h.routers.balancers = append(h.routers.balancers, h.newProcess("balancer", dir, i, ip, ip))
	}
	h.balancers, h.extras = h.routers.balancers[:*balancerCount], h.routers.balancers[*balancerCount:]
	for _, p := range h.extras {
		h.routers.failedProbes[p] = probeFailureThreshold
	}
	return h
}

func (h *harness) newProcess(program, dir string, i int, ip, linkIP netip.Addr) *process {
	p := &process{h: h, name: fmt.Sprint(program, "-", i), program: program, domain: domains[i%len(domains)], ip: ip, linkIP: linkIP}
	p.dir = filepath.Join(dir, p.name)
	if err := os.MkdirAll(p.dir, 0o700); err != nil {
		h.t.Fatal(err)
	}
	var err error
	if p.log, err = os.Create(filepath.Join(p.dir, "log.json")); err != nil {
		h.t.Fatal(err)
	}
	if program == "controller" {
		p.proxy, err = newProxy(netip.AddrPortFrom(p.ip, linkPort), netip.AddrPortFrom(p.linkIP, linkPort))
		if err != nil {
			h.t.Fatal(err)
		}
	}
	return p
}

func (h *harness) seedControllers() string {
	var out []string
	for _, c := range h.controllers[:3] {
		out = append(out, netip.AddrPortFrom(c.ip, apiPort).String())
	}
	return strings.Join(out, ",")
}

// reportViolation records the violation of a guarantee; it fails the test when
// the run ends.
func (h *harness) reportViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ctx.Err() == nil {
		h.violations = append(h.violations, time.Now().UTC().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

func (h *harness) recordFault() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastFault = time.Now()
}

// noFaultSince reports whether no fault has started or ended since when.
func (h *harness) noFaultSince(when time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastFault.Before(when)
}

func (h *harness) addUpstream(u *upstream) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.upstreams = append(h.upstreams, u)
}

func (h *harness) serviceOf(route netip.AddrPort) string {
	if route.Port() == routeOne {
		return "one"
	}
	return "two"
}

// openedAt returns when the caller sent the first opening packet of a connection,
// or the zero time for a connection that has ended.
func (h *harness) openedAt(from netip.AddrPort) time.Time {
	if f := h.caller.flow(from); f != nil {
		return f.opened
	}
	return time.Time{}
}

// recordMisrouted records a packet that arrived at an upstream without its
// connection.
func (h *harness) recordMisrouted(u *upstream, p *packet) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.misrouted[p.from()] = u.id
}

// checkReset checks a reset of an open connection: while the connection's upstream
// is alive, only that upstream may send one. The resets of balancers have a
// checksum of 0.
func (h *harness) checkReset(f *flow, a *packet) {
	if f.mayBeReset || f.upstream == "" {
		return
	}
	h.mu.Lock()
	misroutedTo := h.misrouted[f.from]
	h.mu.Unlock()
	isLive := false
	for _, u := range h.allUpstreams() {
		u.mu.Lock()
		if u.id == f.upstream && u.isAlive {
			isLive = true
		}
		u.mu.Unlock()
	}
	switch {
	case !isLive:
	case a.Sum == 0:
		h.reportViolation("connection %s at %s was reset by a balancer", f.from, f.upstream)
	case misroutedTo != f.upstream:
		h.reportViolation("packets of connection %s at %s arrived at %s", f.from, f.upstream, misroutedTo)
	}
}

// generateTraffic opens connections until the run ends.
func (h *harness) generateTraffic() {
	for h.ctx.Err() == nil {
		h.running.Go(func() {
			to := netip.AddrPortFrom(h.host, routeOne)
			// Callers of the second route open a connection for each request.
			isPersistent := rand.IntN(2) == 0
			if rand.IntN(3) == 0 {
				to, isPersistent = netip.AddrPortFrom(h.host, routeTwo), false
			}
			requests, pause := 1, time.Duration(0)
			if isPersistent {
				requests, pause = 2+rand.IntN(8), time.Duration(100+rand.IntN(700))*time.Millisecond
			}
			h.attempted.Add(1)
			if h.caller.connect(to, requests, pause) {
				h.served.Add(1)
			}
		})
		if h.burst.Load() {
			time.Sleep(burstInterval)
		} else {
			time.Sleep(openInterval)
		}
	}
}

// upstreamHosts is the number of addresses that new upstreams use in rotation.
const upstreamHosts = 240

// newUpstream starts an upstream at the next address, in the next failure domain.
func (h *harness) newUpstream(service string, cold time.Duration) *upstream {
	n := h.newUpstreamNumber()
	address := netip.AddrPortFrom(h.networks[2].Host(byte(1+n%upstreamHosts)), 8080)
	return h.startUpstream(hexID(n), n, service, domains[n%uint64(len(domains))], address, cold)
}

// returnCold takes all upstreams of a failure domain down and starts new, cold ones
// at their addresses, all at the same time.
func (h *harness) returnCold(domain string, down time.Duration) {
	var crashed []*upstream
	for _, u := range append(h.liveUpstreams("one"), h.liveUpstreams("two")...) {
		if u.domain == domain && u.crash() {
			crashed = append(crashed, u)
		}
	}
	time.Sleep(down)
	for _, u := range crashed {
		id := h.newUpstreamNumber()
		h.startUpstream(hexID(id), id, u.service, domain, u.address, coldStart)
	}
}

// allUpstreams returns all upstreams. The lock of an upstream is never taken while
// that of the harness is held, because upstreams report violations with theirs held.
func (h *harness) allUpstreams() []*upstream {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.upstreams)
}

// newUpstreamNumber returns a number that no other upstream of the run has.
func (h *harness) newUpstreamNumber() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.upstreamCount++
	return 0x1_0000_0000 + h.seed<<16 + h.upstreamCount
}

// liveUpstreams returns the live upstreams of a service that are not draining.
func (h *harness) liveUpstreams(service string) []*upstream {
	var out []*upstream
	for _, u := range h.allUpstreams() {
		u.mu.Lock()
		if u.isAlive && !u.draining && u.service == service {
			out = append(out, u)
		}
		u.mu.Unlock()
	}
	return out
}

// eventually polls ok until it returns true, and reports a violation when that
// takes longer than within.
func (h *harness) eventually(within time.Duration, what string, ok func() bool) bool {
	for start := time.Now(); time.Since(start) < within; time.Sleep(50 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	h.reportViolation("not within %s: %s", within, what)
	return false
}
