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
	// adopted ends a pause between two dials when the peer has connected.
	adopted chan struct{}

	mu      sync.Mutex
	addr    netip.AddrPort // zero: must not be dialled
	conn    *quic.Conn
	dialled bool // this side dialled conn
	// endDial ends the attempt to dial that is under way, if any.
	endDial context.CancelFunc
}

func (p *peer) setAddr(addr netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addr = addr
}

func (p *peer) current() *quic.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil && p.conn.Context().Err() != nil {
		p.conn = nil
	}
	return p.conn
}

// offer makes conn the connection of the pair. When both sides dialled at the
// same moment, both keep the connection that the VM with the smaller name
// dialled; otherwise the newer one replaces a connection that the peer may
// already have lost.
func (p *peer) offer(conn *quic.Conn, dialled bool) bool {
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
	p.endPause()
	if old != nil {
		old.CloseWithError(0, "replaced")
	}
	return true
}

// endPause has run use the connection at once, whether it dials or waits to
// dial again. The caller holds mu.
func (p *peer) endPause() {
	if p.endDial != nil {
		p.endDial()
	}
	select {
	case p.adopted <- struct{}{}:
	default:
	}
}

// run sends queued messages until the links stop.
func (p *peer) run() {
	backoff := backoffMin
	for {
		select {
		case <-p.links.ctx.Done():
			return
		case <-p.queue.signal:
		}
		conn := p.current()
		if conn == nil {
			conn = p.dial()
		}
		if conn == nil {
			if !p.sleep(jitter(backoff)) {
				return
			}
			backoff = min(2*backoff, backoffMax)
			p.wake()
			continue
		}
		backoff = backoffMin
		p.send(conn)
	}
}

// wake makes run look at the queue again.
func (p *peer) wake() {
	select {
	case p.queue.signal <- struct{}{}:
	default:
	}
}

func (p *peer) sleep(d time.Duration) bool {
	select {
	case <-p.links.ctx.Done():
		return false
	case <-p.adopted:
		return true
	case <-time.After(d):
		return true
	}
}

// startDial returns the address to dial and a context that ends when the peer
// connects in the meantime. It returns false when there is nothing to dial.
func (p *peer) startDial() (context.Context, netip.AddrPort, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links
	if p.conn != nil || !p.addr.IsValid() || !l.cfg.allows(l.cfg.Self, p.name) {
		return nil, p.addr, false
	}
	ctx, cancel := context.WithTimeout(l.ctx, handshakeTimeout)
	p.endDial = cancel
	return ctx, p.addr, true
}

// finishDial releases what startDial has taken.
func (p *peer) finishDial() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endDial()
	p.endDial = nil
}

// dial opens a connection and returns the one that the pair uses afterwards,
// or nil.
func (p *peer) dial() *quic.Conn {
	l := p.links
	ctx, addr, ok := p.startDial()
	if !ok {
		return p.current()
	}
	defer p.finishDial()
	tlsConf := withALPN(l.cfg.Client)
	tlsConf.ServerName = p.name
	conn, err := l.transport.Dial(ctx, net.UDPAddrFromAddrPort(addr), tlsConf, quicConfig())
	if err != nil {
		l.cfg.Log.Debug("dial failed", "peer", p.name, "addr", addr, "error", err)
		return p.current()
	}
	l.adopt(conn, true)
	return p.current()
}

// send writes all queued messages: one stream for small messages, one for
// bulk. Streams live as long as the connection.
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
			if p.current() != conn {
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
	slot := &s.small
	if m.kind.bulk() {
		slot = &s.bulk
	}
	if *slot == nil {
		stream, err := s.conn.OpenUniStream()
		if err != nil {
			return err
		}
		*slot = stream
	}
	if err := (*slot).SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := (*slot).Write(encode(m))
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
		if size > maxBodySize || int(kind) >= Kinds {
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

// deliver hands m to the control goroutine. When that falls behind, the
// message is lost like any other.
func (l *Links) deliver(m Message) {
	if !l.cfg.allows(m.From, l.cfg.Self) {
		return
	}
	select {
	case l.incoming <- m:
	default:
	}
}
