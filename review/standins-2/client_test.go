package standins

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// client is a machine of a client.
type client struct {
	w    *world
	ip   netip.Addr
	conn *net.UDPConn
	port atomic.Uint32

	mu    sync.Mutex
	flows map[uint16]*clientFlow
}

// clientFlow is one attempt of a client: a flow of its own with one request.
type clientFlow struct {
	c    *client
	src  netip.AddrPort
	dst  netip.AddrPort
	id   string
	sent time.Time // first opening packet
	via  func() *machine
	in   chan packet
	// first is the front that took the first packet.
	first string

	// The fields below are valid after done is closed.
	done   chan struct{}
	result string // "answered", "reset", "no answer" or "never opened"
	opened time.Duration
	answer []byte
	resets []string // senders' words of the resets that it got after it opened
}

func (w *world) newClient(ip netip.Addr) (*client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, packetPort)))
	if err != nil {
		return nil, err
	}
	c := &client{w: w, ip: ip, conn: conn, flows: make(map[uint16]*clientFlow)}
	c.port.Store(20000 + uint32(rand.IntN(10000)))
	go c.receive()
	return c, nil
}

func (c *client) receive() {
	buf := make([]byte, 4096)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p, whole, ok := decode(buf[:n])
		isSystemReset := ok && p.flags == flagRST && len(p.data) == 0 && bytes.Equal(buf[1:5], []byte{0, 0, 0, 0})
		if !ok || !whole && !isSystemReset {
			c.w.rec.log("MIXED: client %v gets a packet that its sender did not write so", c.ip)
			continue
		}
		c.mu.Lock()
		f := c.flows[p.dst.Port()]
		c.mu.Unlock()
		if f == nil {
			continue
		}
		if isSystemReset {
			p.data = []byte("system")
		}
		select {
		case f.in <- p:
		default:
		}
	}
}

// open starts a flow with one request to dst; via picks the front for each packet.
func (c *client) open(dst netip.AddrPort, via func() *machine) *clientFlow {
	port := uint16(c.port.Add(1))
	f := &clientFlow{
		c: c, src: netip.AddrPortFrom(c.ip, port), dst: dst, id: fmt.Sprintf("r%x", rand.Uint64()), sent: time.Now(), via: via,
		in: make(chan packet, 64), done: make(chan struct{}),
	}
	c.mu.Lock()
	c.flows[port] = f
	c.mu.Unlock()
	go f.run()
	return f
}

func (f *clientFlow) send(p packet) *machine {
	p.src, p.dst = f.src, f.dst
	m := f.via()
	if m == nil {
		return nil
	}
	if f.first == "" {
		f.first = m.name
	}
	_, _ = f.c.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(m.ip, packetPort))
	return m
}

const deadline = 3 * time.Second

func (f *clientFlow) run() {
	defer func() {
		f.c.mu.Lock()
		delete(f.c.flows, f.src.Port())
		f.c.mu.Unlock()
		f.c.w.rec.log("request %s to %v, sent at %s from %v by %s: %s %v", f.id, f.dst, f.c.w.rec.at(f.sent), f.src, f.first, f.result, f.resets)
		close(f.done)
	}()
	isn := rand.Uint32()
	var synAck packet
	copies := []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}
	f.result = "never opened"
	for i := 0; synAck.flags == 0; {
		if i == len(copies) {
			return
		}
		f.send(packet{flags: flagSYN, seq: isn, ack: uint32(i)})
		timer := time.NewTimer(time.Until(f.sent.Add(copies[i])))
	wait:
		for {
			select {
			case p := <-f.in:
				if p.flags&flagRST != 0 {
					f.result = "reset"
					return
				}
				if p.flags&(flagSYN|flagACK) == flagSYN|flagACK && p.ack == isn+1 {
					synAck = p
					break wait
				}
			case <-timer.C:
				i++
				break wait
			}
		}
		timer.Stop()
	}
	f.opened = time.Since(f.sent)
	f.exchange(isn+1, synAck)
}

// exchange sends the request on the open flow and waits for the answer.
func (f *clientFlow) exchange(seq uint32, synAck packet) {
	f.result = "no answer"
	echo, ack := synAck.echo, synAck.seq+1
	request := []byte(fmt.Sprintf("GET /check HTTP/1.1\r\nHost: %v\r\nX-Heatherport-Request-Id: %s\r\n\r\n", f.dst, f.id))
	pause := 200 * time.Millisecond
	end := time.NewTimer(time.Until(f.sent.Add(deadline)))
	defer end.Stop()
	for {
		f.send(packet{flags: flagACK, echo: echo, seq: seq, ack: ack, data: request})
		again := time.NewTimer(pause)
		pause = min(2*pause, 1600*time.Millisecond)
	wait:
		for {
			select {
			case <-end.C:
				again.Stop()
				return
			case <-again.C:
				break wait
			case p := <-f.in:
				if p.flags&flagRST != 0 {
					by := "an endpoint"
					if string(p.data) == "system" {
						by = "the system"
					}
					f.resets = append(f.resets, by)
					f.result = "reset"
					again.Stop()
					return
				}
				echo = p.echo
				if p.flags&flagSYN == 0 && len(p.data) > 0 && p.seq == ack {
					again.Stop()
					f.answer, f.result = p.data, "answered"
					seq += uint32(len(request))
					ack += uint32(len(p.data))
					f.send(packet{flags: flagACK | flagFIN, echo: echo, seq: seq, ack: ack})
					return
				}
			}
		}
	}
}
