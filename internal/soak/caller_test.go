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

// caller stands for all callers: one address, a port for each connection.
type caller struct {
	w    *world
	ip   netip.Addr
	conn *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[uint16]*flow
}

// flow is a connection of the caller.
type flow struct {
	from, to netip.AddrPort
	opened   time.Time // first opening packet
	answers  chan *packet
	// balancers that took opening packets; a connection whose copies may have
	// opened elsewhere is not followed to other balancers.
	took      map[*process]bool
	holder    string // upstream that holds it
	isOpen    bool
	isExempt  bool
	sequence  uint32
	acknowled uint32
	cookie    uint32
}

func (w *world) startCaller(ip netip.Addr) *caller {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, packetPort)))
	if err != nil {
		w.t.Fatal(err)
	}
	c := &caller{w: w, ip: ip, conn: conn, port: 10_000, flows: make(map[uint16]*flow)}
	w.running.Go(c.receive)
	return c
}

func (c *caller) receive() {
	buf := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return // the run ends
		}
		p, isOwn := decode(buf[:n])
		if p == nil || !isOwn && (p.Flags != flagRST || p.Sum != 0) {
			c.w.broken("the caller got a packet that its sender did not write so")
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
		default: // lost like any packet
		}
	}
}

func (c *caller) flow(from netip.AddrPort) *flow {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.flows[from.Port()]
}

// connect opens a connection and sends requests on it, with pauses between
// them. It reports whether all were answered.
func (c *caller) connect(to netip.AddrPort, requests int, pause time.Duration) bool {
	c.mu.Lock()
	c.port++
	f := &flow{
		from: netip.AddrPortFrom(c.ip, c.port), to: to, opened: time.Now(), answers: make(chan *packet, 64),
		took: make(map[*process]bool), sequence: uint32(c.port) * 7919,
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

// open sends an opening packet and its copies.
func (c *caller) open(f *flow) bool {
	for copies, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		p := newPacket(flagSYN, f.from, f.to, nil)
		p.Seq, p.Ack = f.sequence, uint32(copies)
		if b := c.w.routers.pick(f.from); b != nil {
			f.took[b] = true
		}
		c.write(f, p)
		deadline := time.After(wait)
		for waiting := true; waiting; {
			select {
			case a := <-f.answers:
				if a.Flags&flagRST != 0 {
					return false
				}
				if a.Flags&flagSYN != 0 {
					f.isOpen = true
					f.acknowled, f.cookie = a.Seq+1, a.Echo
					f.isExempt = len(f.took) > 1
					return true
				}
			case <-deadline:
				waiting = false
			}
		}
	}
	return false
}

// request sends data until it is answered.
func (c *caller) request(f *flow, text string) bool {
	for wait := 200 * time.Millisecond; wait < 2*time.Second; wait *= 2 {
		c.send(f, newPacket(flagACK, f.from, f.to, []byte(text)))
		deadline := time.After(wait)
		for waiting := true; waiting; {
			select {
			case a := <-f.answers:
				f.cookie = a.Echo
				if a.Flags&flagRST != 0 {
					c.w.reset(f, a)
					return false
				}
				if holder, rest, ok := strings.Cut(string(a.data), " "); ok && rest == text {
					if f.holder != "" && f.holder != holder {
						c.w.broken("connection moved from %s to %s", f.holder, holder)
					}
					f.holder = holder
					f.sequence += uint32(len(text))
					f.acknowled += uint32(len(a.data))
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
	p.Seq, p.Ack, p.Echo = f.sequence+1, f.acknowled, f.cookie
	if b := c.w.routers.pick(f.from); b != nil && !f.took[b] && f.holder == "" {
		// The balancer did not see the connection open; a late second answer
		// may mislead it (docs/PLATFORM.md).
		f.isExempt = true
	}
	c.write(f, p)
}

func (c *caller) write(f *flow, p *packet) {
	if b := c.w.routers.pick(f.from); b != nil && !c.w.loses() {
		_, _ = c.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(b.ip, packetPort)) // lost like any packet
	}
}

// routers choose a balancer for each packet by a hash over those in rotation.
type routers struct {
	mu     sync.Mutex
	missed map[*process]int
	all    []*process
}

const (
	probeInterval = 500 * time.Millisecond
	probeMisses   = 2
)

func (r *routers) pick(from netip.AddrPort) *process {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best *process
	for _, p := range r.all {
		if r.missed[p] < probeMisses && (best == nil || score(from, p) > score(from, best)) {
			best = p
		}
	}
	return best
}

func score(from netip.AddrPort, p *process) uint64 { return xxhash.Sum64String(from.String() + p.name) }

// probe asks all balancers whether they are ready, until the run ends.
func (w *world) probe() {
	for w.ctx.Err() == nil {
		for _, p := range w.balancers {
			go func() {
				resp, err := w.http.Get(fmt.Sprintf("http://%s:%d/api/readyz", p.ip, readyPort))
				isReady := err == nil && resp.StatusCode == 200
				if err == nil {
					resp.Body.Close()
				}
				w.routers.mu.Lock()
				defer w.routers.mu.Unlock()
				if isReady {
					w.routers.missed[p] = 0
				} else {
					w.routers.missed[p]++
				}
			}()
		}
		select {
		case <-w.ctx.Done():
		case <-time.After(probeInterval):
		}
	}
}
