//go:build review

package standins

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// client plays the clients of a zone, at one address.
type client struct {
	w    *world
	zone int // index in zones
	ip   netip.Addr
	conn *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[uint16]*flow
}

// flow is a flow at a client.
type flow struct {
	c        *client
	from, to netip.AddrPort
	opened   time.Time // when the SYN was sent
	in       chan *packet
	isn      uint32
	seq, ack uint32
	echo     uint32 // the last one received on the flow
	peerISN  uint32
	isOpen   bool
	isClosed bool   // the endpoint sends no more
	server   string // id of the endpoint that answered last
	lastSent time.Time
}

// outcome is how a request or an opening ended.
type outcome int

const (
	answered outcome = iota
	noAnswer
	resetBySystem
	resetByEndpoint
)

func (o outcome) String() string {
	return [...]string{"answered", "no answer", "reset by the system", "reset by an endpoint"}[o]
}

func (w *world) startClient(zone int) (*client, error) {
	ip := w.host(byte(200 + zone))
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, packetPort)))
	if err != nil {
		return nil, err
	}
	c := &client{w: w, zone: zone, ip: ip, conn: conn, port: 20000, flows: make(map[uint16]*flow)}
	go c.receive()
	return c, nil
}

func (c *client) receive() {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p, intact := decode(buf[:n])
		if p == nil || !intact && !(p.flags == flagRST && p.sum == 0) {
			c.w.breakRule("MIXED: a client got a packet that its sender did not write so")
			continue
		}
		c.mu.Lock()
		f := c.flows[p.to.Port()]
		c.mu.Unlock()
		if f != nil {
			select {
			case f.in <- p:
			default:
			}
		}
	}
}

// newFlow returns a flow from a new port.
func (c *client) newFlow(to netip.AddrPort) *flow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port++
	f := &flow{c: c, from: netip.AddrPortFrom(c.ip, c.port), to: to, opened: time.Now(), in: make(chan *packet, 64), isn: rand.Uint32()}
	f.seq = f.isn + 1
	c.flows[c.port] = f
	return f
}

func (f *flow) forget() {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	delete(f.c.flows, f.from.Port())
}

func (f *flow) send(p *packet) {
	p.from, p.to = f.from, f.to
	f.lastSent = time.Now()
	if b := f.c.w.router.balancerFor(f.c.zone, f.from, f.to); b != nil && !f.c.w.loses() {
		_, _ = f.c.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(b.ip, packetPort))
	}
}

// open opens the flow: a SYN, a copy after 200 ms and one after 600 ms.
func (f *flow) open() outcome {
	for copies, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		f.send(&packet{flags: flagSYN, seq: f.isn, ack: uint32(copies)})
		for deadline := time.After(wait); ; {
			var p *packet
			select {
			case p = <-f.in:
			case <-deadline:
			}
			if p == nil {
				break
			}
			f.echo = p.echo
			if p.flags&flagRST != 0 {
				return resetOf(p)
			}
			if p.flags&flagSYN != 0 && p.ack == f.isn+1 {
				f.peerISN, f.ack, f.isOpen = p.seq, p.seq+1, true
				return answered
			}
		}
	}
	return noAnswer
}

func resetOf(p *packet) outcome {
	if p.sum == 0 {
		return resetBySystem
	}
	return resetByEndpoint
}

// request sends a request on the flow and waits for its answer until the deadline.
func (f *flow) request(id string, within time.Duration) outcome {
	data := []byte(id + "\n")
	end := time.Now().Add(within)
	wait := firstRepeat
	for time.Now().Before(end) {
		f.send(&packet{flags: flagACK, seq: f.seq, ack: f.ack, echo: f.echo, data: data})
		for deadline := time.After(min(wait, time.Until(end))); ; {
			var p *packet
			select {
			case p = <-f.in:
			case <-deadline:
			}
			if p == nil {
				break
			}
			if p.flags&flagRST != 0 {
				return resetOf(p)
			}
			f.echo = p.echo
			if p.flags&flagSYN != 0 || len(p.data) == 0 || p.seq != f.ack {
				continue
			}
			f.ack += uint32(len(p.data))
			f.isClosed = p.flags&flagFIN != 0
			f.seq += uint32(len(data))
			f.send(&packet{flags: flagACK, seq: f.seq, ack: f.ack, echo: f.echo})
			words := strings.Fields(string(p.data))
			if len(words) != 3 || words[0] != id {
				f.c.w.breakRule("MIXED: request %s got the answer %q", id, p.data)
			} else {
				f.server = words[2]
			}
			return answered
		}
		wait = min(2*wait, longestWait)
	}
	return noAnswer
}

// pause waits, and takes what arrives meanwhile. It reports a reset.
func (f *flow) pause(d time.Duration) outcome {
	for deadline := time.After(d); ; {
		select {
		case p := <-f.in:
			if p.flags&flagRST != 0 {
				return resetOf(p)
			}
			if p.flags&flagSYN != 0 {
				f.c.w.note("client %s, at %s, gets a second SYN+ACK with the echo %08x after %08x", f.from, f.server, p.echo, f.echo)
			}
			f.echo = p.echo
		case <-deadline:
			return answered
		}
	}
}

// finish closes the flow.
func (f *flow) finish() {
	f.send(&packet{flags: flagFIN | flagACK, seq: f.seq, ack: f.ack, echo: f.echo})
	time.Sleep(50 * time.Millisecond)
	f.forget()
}

var requestNumbers struct {
	sync.Mutex
	n int
}

func newRequestID() string {
	requestNumbers.Lock()
	defer requestNumbers.Unlock()
	requestNumbers.n++
	return fmt.Sprintf("r%06d", requestNumbers.n)
}
