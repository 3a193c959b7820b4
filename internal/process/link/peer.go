package link

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

// peer is the sending side of one link.
type peer struct {
	name  string
	links *Links
	queue *queue
	// connected interrupts the backoff between two dials once the peer has
	// connected.
	connected chan struct{}

	mu      sync.Mutex
	addr    netip.AddrPort // not dialled if invalid
	conn    *quic.Conn
	dialled bool // this side dialled conn
	// cancelDial cancels the dial in progress, if any.
	cancelDial context.CancelFunc
}

func (p *peer) setAddr(addr netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addr = addr
}

func (p *peer) currentConn() *quic.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil && p.conn.Context().Err() != nil {
		p.conn = nil
	}
	return p.conn
}

// setConn makes conn the connection of the pair and reports whether it was
// accepted. If both sides dialled at the same time, both keep the connection
// that the VM with the smaller name dialled. Otherwise conn replaces the old
// connection, which the peer may already have lost.
func (p *peer) setConn(conn *quic.Conn, dialled bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.conn
	if old != nil && old.Context().Err() == nil && dialled != p.dialled {
		keepDialled := p.links.cfg.Self < p.name
		if p.dialled == keepDialled {
			return false
		}
	}
	p.conn = conn
	p.dialled = dialled
	p.interruptWait()
	if old != nil {
		old.CloseWithError(0, "replaced")
	}
	return true
}

// interruptWait makes run use the new connection at once, whether it is dialling
// or waiting to dial again. p.mu must be held.
func (p *peer) interruptWait() {
	if p.cancelDial != nil {
		p.cancelDial()
	}
	select {
	case p.connected <- struct{}{}:
	default:
	}
}

// run sends queued messages until the links stop.
func (p *peer) run() {
	backoff := minBackoff
	for {
		select {
		case <-p.links.ctx.Done():
			return
		case <-p.queue.signal:
		}
		conn := p.currentConn()
		if conn == nil {
			conn = p.dial()
		}
		if conn == nil {
			if !p.waitBackoff(jitter(backoff)) {
				return
			}
			backoff = min(2*backoff, maxBackoff)
			p.wake()
			continue
		}
		backoff = minBackoff
		p.send(conn)
	}
}

// wake makes run check the queue again.
func (p *peer) wake() {
	select {
	case p.queue.signal <- struct{}{}:
	default:
	}
}

func (p *peer) waitBackoff(d time.Duration) bool {
	select {
	case <-p.links.ctx.Done():
		return false
	case <-p.connected:
		return true
	case <-time.After(d):
		return true
	}
}

// prepareDial returns the address to dial and a context that is cancelled if the
// peer connects in the meantime. It returns false if the peer is connected or
// must not be dialled.
func (p *peer) prepareDial() (context.Context, netip.AddrPort, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links
	if p.conn != nil || !p.addr.IsValid() || !l.cfg.allows(l.cfg.Self, p.name) {
		return nil, p.addr, false
	}
	ctx, cancel := context.WithTimeout(l.ctx, handshakeTimeout)
	p.cancelDial = cancel
	return ctx, p.addr, true
}

// finishDial releases the context of prepareDial.
func (p *peer) finishDial() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancelDial()
	p.cancelDial = nil
}

// dial dials the peer and returns the connection that the pair then uses, or
// nil. The peer may have dialled that connection.
func (p *peer) dial() *quic.Conn {
	l := p.links
	ctx, addr, ok := p.prepareDial()
	if !ok {
		return p.currentConn()
	}
	defer p.finishDial()
	tlsConf := withALPN(l.cfg.Client)
	tlsConf.ServerName = p.name
	conn, err := l.transport.Dial(ctx, net.UDPAddrFromAddrPort(addr), tlsConf, quicConfig())
	if err != nil {
		l.cfg.Log.Debug("failed to open link", "peer", p.name, "addr", addr, "error", err)
		return p.currentConn()
	}
	l.addConn(conn, true)
	return p.currentConn()
}

// send writes queued messages until conn ends or is replaced. Small and bulk
// messages use one stream each, which stays open as long as the connection.
func (p *peer) send(conn *quic.Conn) {
	writers := streams{conn: conn}
	for {
		for _, m := range p.queue.drain() {
			if err := writers.write(m); err != nil {
				p.wake()
				return
			}
			p.links.sent[m.kind].add(headerSize + len(m.body))
		}
		select {
		case <-p.links.ctx.Done():
			return
		case <-conn.Context().Done():
			p.wake()
			return
		case <-p.queue.signal:
			if p.currentConn() != conn {
				p.wake()
				return
			}
		}
	}
}

// streams are the send streams of one connection.
type streams struct {
	conn        *quic.Conn
	small, bulk *quic.SendStream
}

const writeTimeout = 5 * time.Second

func (s *streams) write(m outgoing) error {
	dst := &s.small
	if m.kind.bulk() {
		dst = &s.bulk
	}
	if *dst == nil {
		stream, err := s.conn.OpenUniStream()
		if err != nil {
			return err
		}
		*dst = stream
	}
	if err := (*dst).SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := (*dst).Write(encode(m))
	if err != nil {
		s.conn.CloseWithError(2, "write failed")
	}
	return err
}

func encode(m outgoing) []byte {
	b := make([]byte, headerSize, headerSize+len(m.body))
	b[0] = byte(m.kind)
	binary.BigEndian.PutUint32(b[1:], uint32(len(m.body)))
	return append(b, m.body...)
}

// readStreams reads messages from all streams of conn.
func (l *Links) readStreams(p *peer, conn *quic.Conn) {
	for {
		s, err := conn.AcceptUniStream(l.ctx)
		if err != nil {
			return
		}
		l.wg.Go(func() {
			if err := l.readMessages(p.name, s); err != nil {
				conn.CloseWithError(3, "read failed")
			}
		})
	}
}

func (l *Links) readMessages(from string, r io.Reader) error {
	var header [headerSize]byte
	for {
		if _, err := io.ReadFull(r, header[:]); err != nil {
			return err
		}
		kind := Kind(header[0])
		size := binary.BigEndian.Uint32(header[1:])
		if size > maxBodySize || int(kind) >= KindCount {
			return errTooLarge
		}
		body := make([]byte, size)
		if _, err := io.ReadFull(r, body); err != nil {
			return err
		}
		l.received[kind].add(headerSize + len(body))
		l.deliver(Message{From: from, Kind: kind, Body: body})
	}
}

// deliver queues m for the control goroutine. It drops the message if the queue
// is full; the protocols on the links tolerate the loss of any message.
func (l *Links) deliver(m Message) {
	if !l.cfg.allows(m.From, l.cfg.Self) {
		return
	}
	select {
	case l.incoming <- m:
	default:
	}
}
