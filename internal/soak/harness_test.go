package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"heatherport/internal/standin/loopback"
)

// The routes of the configuration.
const (
	routeOne = 8080
	routeTwo = 8443
)

const (
	// touchTime is how long nothing may have gone wrong before a promise with
	// a time bound holds.
	touchTime = 4 * time.Second
	// recoveryTime is the longest time after the last fault until all is
	// served again.
	recoveryTime = 12 * time.Second
)

// world is one run.
type world struct {
	t       *testing.T
	seed    uint64
	draws   sync.Mutex
	rand    *rand.Rand // of the schedule of faults alone
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	http    *http.Client
	host    netip.Addr
	// networks are those of controllers and the caller, of balancers, and of
	// upstreams.
	networks [3]*loopback.Network

	controllers []*process
	balancers   []*process
	routers     *routers
	caller      *caller
	operator    *operator

	mu        sync.Mutex
	upstreams []*upstream
	strays    map[netip.AddrPort]string
	failures  []string
	lastFault time.Time
	nextID    uint64

	asked, served atomic.Int64
	lossy         atomic.Bool // packets of callers and upstreams are lost
}

// lossShare is the part of the packets that is lost.
const lossShare = 0.1

// loses reports whether the next packet is lost.
func (w *world) loses() bool { return w.lossy.Load() && rand.Float64() < lossShare }

// newWorld lays out addresses and folders. Each run has a network of its own
// in the loopback range.
func newWorld(t *testing.T, seed uint64) *world {
	ctx, cancel := context.WithCancel(context.Background())
	w := &world{
		t: t, seed: seed, rand: rand.New(rand.NewPCG(seed, 0)), ctx: ctx, cancel: cancel,
		http:    &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
		routers: &routers{missed: make(map[*process]int)},
		strays:  make(map[netip.AddrPort]string),
	}
	for i := range w.networks {
		var err error
		if w.networks[i], err = loopback.Reserve(); err != nil {
			t.Fatal(err)
		}
	}
	w.host = netip.AddrFrom4([4]byte{198, 51, 100, 1})
	w.operator = &operator{w: w, content: make(map[uint64]string)}
	dir := logFolder(t, seed)
	for i := range *controllerCount {
		w.controllers = append(w.controllers, w.newProcess("controller", dir, i, w.networks[0].Host(byte(10+i)), w.networks[0].Host(byte(50+i))))
	}
	for i := range *balancerCount {
		ip := w.networks[1].Host(byte(1 + i))
		w.balancers = append(w.balancers, w.newProcess("balancer", dir, i, ip, ip))
	}
	w.routers.all = w.balancers
	return w
}

func (w *world) newProcess(program, dir string, i int, ip, inner netip.Addr) *process {
	p := &process{w: w, name: fmt.Sprint(program, "-", i), program: program, ip: ip, inner: inner}
	p.dir = filepath.Join(dir, p.name)
	if err := os.MkdirAll(p.dir, 0o700); err != nil {
		w.t.Fatal(err)
	}
	var err error
	if p.log, err = os.Create(filepath.Join(p.dir, "log.json")); err != nil {
		w.t.Fatal(err)
	}
	if program == "controller" {
		p.proxy, err = newProxy(netip.AddrPortFrom(p.ip, linkPort), netip.AddrPortFrom(p.inner, linkPort))
		if err != nil {
			w.t.Fatal(err)
		}
	}
	return p
}

func (w *world) seeds() string {
	var out []string
	for _, c := range w.controllers[:3] {
		out = append(out, netip.AddrPortFrom(c.ip, apiPort).String())
	}
	return strings.Join(out, ",")
}

// broken notes a broken promise.
func (w *world) broken(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ctx.Err() == nil {
		w.failures = append(w.failures, time.Now().UTC().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

func (w *world) faulted() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastFault = time.Now()
}

// calmSince reports whether nothing has gone wrong since a moment.
func (w *world) calmSince(when time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastFault.Before(when)
}

func (w *world) addUpstream(u *upstream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.upstreams = append(w.upstreams, u)
}

func (w *world) serviceOf(route netip.AddrPort) string {
	if route.Port() == routeOne {
		return "one"
	}
	return "two"
}

// openedAt returns when a connection sent its first opening packet; the
// present for one that has ended.
func (w *world) openedAt(from netip.AddrPort) time.Time {
	if f := w.caller.flow(from); f != nil {
		return f.opened
	}
	return time.Time{}
}

// strayed notes a packet at an upstream that does not hold its connection.
func (w *world) strayed(u *upstream, p *packet) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.strays[p.from()] = u.id
}

// reset judges a reset of an open connection: only its own upstream may send
// one while it lives.
func (w *world) reset(f *flow, a *packet) {
	if f.isExempt || f.holder == "" {
		return
	}
	w.mu.Lock()
	stray := w.strays[f.from]
	lives := false
	for _, u := range w.upstreams {
		u.mu.Lock()
		if u.id == f.holder && u.isAlive {
			lives = true
		}
		u.mu.Unlock()
	}
	w.mu.Unlock()
	switch {
	case !lives:
	case a.Sum == 0:
		w.broken("connection %s at %s was reset by a balancer", f.from, f.holder)
	case stray != f.holder:
		w.broken("packets of connection %s at %s reached %s", f.from, f.holder, stray)
	}
}

// traffic opens connections until ctx ends.
func (w *world) traffic() {
	for w.ctx.Err() == nil {
		w.running.Go(func() {
			to := netip.AddrPortFrom(w.host, routeOne)
			// Callers of the second route open a connection for each request.
			isKept := rand.IntN(2) == 0
			if rand.IntN(3) == 0 {
				to, isKept = netip.AddrPortFrom(w.host, routeTwo), false
			}
			requests, pause := 1, time.Duration(0)
			if isKept {
				requests, pause = 2+rand.IntN(8), time.Duration(100+rand.IntN(700))*time.Millisecond
			}
			w.asked.Add(1)
			if w.caller.connect(to, requests, pause) {
				w.served.Add(1)
			}
		})
		time.Sleep(15 * time.Millisecond)
	}
}

// upstreamHosts is the number of addresses that upstreams take in turn.
const upstreamHosts = 240

// newUpstream starts an upstream at an address of its own.
func (w *world) newUpstream(service string) *upstream {
	n := w.nextNumber()
	return w.startUpstream(hexID(n), n, service, netip.AddrPortFrom(w.networks[2].Host(byte(1+n%upstreamHosts)), 8080))
}

// nextNumber numbers the upstreams of a run.
func (w *world) nextNumber() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextID++
	return 0x1_0000_0000 + w.seed<<16 + w.nextID
}

// alive returns the living upstreams of a service that do not leave.
func (w *world) alive(service string) []*upstream {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*upstream
	for _, u := range w.upstreams {
		u.mu.Lock()
		if u.isAlive && !u.leaving && u.service == service {
			out = append(out, u)
		}
		u.mu.Unlock()
	}
	return out
}

// eventually waits until ok holds; the promise breaks otherwise.
func (w *world) eventually(within time.Duration, what string, ok func() bool) bool {
	for begun := time.Now(); time.Since(begun) < within; time.Sleep(50 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	w.broken("not within %s: %s", within, what)
	return false
}
