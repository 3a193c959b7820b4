package soak

import (
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// caller simulates all callers with one address and a port for each connection.
type caller struct {
	h    *harness
	ip   netip.Addr
	conn *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[uint16]*flow
}

// flow is the state of a connection at the caller.
type flow struct {
	from, to netip.AddrPort
	opened   time.Time // when the first opening packet was sent
	answers  chan *packet
	// openedVia is the set of balancers that opening packets were sent to. With
	// more than one, copies may have opened the connection at another upstream,
	// so that mayBeReset is set.
	openedVia    map[*process]bool
	upstream     string // ID of the upstream that answered
	isOpen       bool
	mayBeReset   bool // a reset is no violation
	sequence     uint32
	acknowledged uint32
	cookie       uint32
}

func (h *harness) startCaller(ip netip.Addr) *caller {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, packetPort)))
	if err != nil {
		h.t.Fatal(err)
	}
	c := &caller{h: h, ip: ip, conn: conn, port: 10_000, flows: make(map[uint16]*flow)}
	h.running.Go(c.receive)
	return c
}

func (c *caller) receive() {
	buf := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return // closed at the end of the run
		}
		p, isIntact := decode(buf[:n])
		if p == nil || !isIntact && (p.Flags != flagRST || p.Sum != 0) {
			c.h.reportViolation("the caller received a packet that is malformed or has a wrong checksum")
			continue
		}
		c.mu.Lock()
		f := c.flows[p.Dport]
		c.mu.Unlock()
		if f == nil {
			continue
		}
		select {
		case f.answers <- p:
		default: // dropped, as on a lossy network
		}
	}
}

func (c *caller) flow(from netip.AddrPort) *flow {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.flows[from.Port()]
}

// connect opens a connection and sends requests on it with a pause between
// them. It reports whether all were answered.
func (c *caller) connect(to netip.AddrPort, requests int, pause time.Duration) bool {
	c.mu.Lock()
	c.port++
	f := &flow{
		from: netip.AddrPortFrom(c.ip, c.port), to: to, opened: time.Now(), answers: make(chan *packet, 64),
		openedVia: make(map[*process]bool), sequence: uint32(c.port) * 7919,
	}
	c.flows[f.from.Port()] = f
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.flows, f.from.Port())
		c.mu.Unlock()
	}()
	if !c.open(f) {
		return false
	}
	for i := range requests {
		if i > 0 {
			time.Sleep(pause)
		}
		if !c.request(f, fmt.Sprint("request ", i)) {
			return false
		}
	}
	c.send(f, newPacket(flagFIN|flagACK, f.from, f.to, nil))
	return true
}

// open sends an opening packet, and copies of it until one is answered.
func (c *caller) open(f *flow) bool {
	for copies, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		p := newPacket(flagSYN, f.from, f.to, nil)
		p.Seq, p.Ack = f.sequence, uint32(copies)
		if b := c.h.routers.balancerFor(f.from); b != nil {
			f.openedVia[b] = true
		}
		c.sendToBalancer(f, p)
		deadline := time.After(wait)
		for waiting := true; waiting; {
			select {
			case a := <-f.answers:
				if a.Flags&flagRST != 0 {
					return false
				}
				if a.Flags&flagSYN != 0 {
					f.isOpen = true
					f.acknowledged, f.cookie = a.Seq+1, a.Echo
					f.mayBeReset = len(f.openedVia) > 1
					return true
				}
			case <-deadline:
				waiting = false
			}
		}
	}
	return false
}

// request sends data, and repeats it until it is answered.
func (c *caller) request(f *flow, text string) bool {
	for wait := 200 * time.Millisecond; wait < 2*time.Second; wait *= 2 {
		c.send(f, newPacket(flagACK, f.from, f.to, []byte(text)))
		deadline := time.After(wait)
		for waiting := true; waiting; {
			select {
			case a := <-f.answers:
				f.cookie = a.Echo
				if a.Flags&flagRST != 0 {
					c.h.checkReset(f, a)
					return false
				}
				if id, rest, ok := strings.Cut(string(a.data), " "); ok && rest == text {
					if f.upstream != "" && f.upstream != id {
						c.h.reportViolation("connection moved from %s to %s", f.upstream, id)
					}
					f.upstream = id
					f.sequence += uint32(len(text))
					f.acknowledged += uint32(len(a.data))
					return true
				}
			case <-deadline:
				waiting = false
			}
		}
	}
	return false
}

// send sends a packet of an open connection.
func (c *caller) send(f *flow, p *packet) {
	p.Seq, p.Ack, p.Echo = f.sequence+1, f.acknowledged, f.cookie
	if b := c.h.routers.balancerFor(f.from); b != nil && !f.openedVia[b] && f.upstream == "" {
		// The balancer did not see the connection open. The cookie in a late
		// answer of a second upstream may make it forward to that upstream
		// (docs/PLATFORM.md, known limits).
		f.mayBeReset = true
	}
	c.sendToBalancer(f, p)
}

func (c *caller) sendToBalancer(f *flow, p *packet) {
	if b := c.h.routers.balancerFor(f.from); b != nil && !c.h.shouldDrop() {
		_, _ = c.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(b.ip, packetPort)) // an error counts as a lost packet
	}
}

// routers simulates the routers in front of the balancers: they choose a balancer
// for each packet by a rendezvous hash over those that pass their probes.
type routers struct {
	mu           sync.Mutex
	failedProbes map[*process]int
	balancers    []*process
}

const (
	probeInterval         = 500 * time.Millisecond
	probeFailureThreshold = 2
)

func (r *routers) balancerFor(from netip.AddrPort) *process {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best *process
	for _, p := range r.balancers {
		if r.failedProbes[p] < probeFailureThreshold && (best == nil || score(from, p) > score(from, best)) {
			best = p
		}
	}
	return best
}

func score(from netip.AddrPort, p *process) uint64 { return xxhash.Sum64String(from.String() + p.name) }

// probeBalancers probes the readiness of all balancers until the run ends.
func (h *harness) probeBalancers() {
	for h.ctx.Err() == nil {
		for _, p := range h.routers.balancers {
			go func() {
				resp, err := h.http.Get(fmt.Sprintf("http://%s:%d/api/readyz", p.ip, readyPort))
				isReady := err == nil && resp.StatusCode == 200
				if err == nil {
					resp.Body.Close()
				}
				h.routers.mu.Lock()
				defer h.routers.mu.Unlock()
				if isReady {
					h.routers.failedProbes[p] = 0
				} else {
					h.routers.failedProbes[p]++
				}
			}()
		}
		select {
		case <-h.ctx.Done():
		case <-time.After(probeInterval):
		}
	}
}
