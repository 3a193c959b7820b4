package standin

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"heatherport/internal/version"
)

// Parameters of the retransmission by callers.
const (
	initialRTO       = 200 * time.Millisecond
	maxRTO           = time.Second
	maxTransmissions = 15
)

// tcpCallerConn is the caller's side of a TCP connection. It has at most one
// unacknowledged segment.
type tcpCallerConn struct {
	c        *Caller
	local    endpoint
	in       chan *packet
	seq, ack uint32
}

func newTCPCallerConn(c *Caller, local endpoint, in chan *packet) *tcpCallerConn {
	return &tcpCallerConn{c: c, local: local, in: in, seq: rand.Uint32()}
}

func (t *tcpCallerConn) segment(flags tcpFlags, payload []byte) *packet {
	return &packet{protocol: version.TCP, src: t.local.addr, dst: t.c.cfg.Service,
		flags: flags, seq: t.seq, ack: t.ack, payload: payload}
}

func (t *tcpCallerConn) send(p *packet) { t.c.fabric.send(p.encode()) }

func (t *tcpCallerConn) connect() error {
	syn := t.segment(flagSYN, nil)
	p, err := t.exchange(syn, func(p *packet) bool { return p.has(flagSYN | flagACK) })
	if errors.Is(err, errReset) {
		t.c.stats.recordRefusal(connectionAttempt{syn.src, syn.dst, syn.seq})
		return errRefused
	}
	if err != nil {
		return err
	}
	t.ack = p.seq + 1
	t.send(t.segment(flagACK, nil))
	return nil
}

func (t *tcpCallerConn) roundTrip(req request) (response, error) {
	var resp response
	out := t.segment(flagACK, marshal(req))
	p, err := t.exchange(out, func(p *packet) bool { return p.seq == t.ack && len(p.payload) > 0 })
	if err != nil {
		return resp, err
	}
	t.ack += uint32(len(p.payload))
	t.send(t.segment(flagACK, nil))
	if json.Unmarshal(p.payload, &resp) != nil {
		return resp, errBadResponse
	}
	return resp, nil
}

func (t *tcpCallerConn) idle(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			return nil
		case p := <-t.in:
			if t.isReset(p) {
				return errReset
			}
		}
	}
}

// close closes the connection. A reset is not an error here, because all
// responses have arrived.
func (t *tcpCallerConn) close() error {
	_, err := t.exchange(t.segment(flagFIN|flagACK, nil), func(p *packet) bool { return p.has(flagFIN) })
	if err != nil && !errors.Is(err, errReset) {
		return err
	}
	t.ack++
	t.send(t.segment(flagACK, nil))
	return nil
}

func (t *tcpCallerConn) release() { t.c.fabric.detach(t.local) }

// exchange sends the segment out, with retransmissions, until a packet arrives
// that acknowledges it and for which accepts returns true.
func (t *tcpCallerConn) exchange(out *packet, accepts func(p *packet) bool) (*packet, error) {
	t.seq += out.sequenceLength()
	rto := initialRTO
	for range maxTransmissions {
		t.send(out)
		p, err := t.awaitSegment(rto, accepts)
		if p != nil || err != nil {
			return p, err
		}
		rto = min(2*rto, maxRTO)
	}
	return nil, errTimeout
}

func (t *tcpCallerConn) awaitSegment(d time.Duration, accepts func(p *packet) bool) (*packet, error) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return nil, nil
		case p := <-t.in:
			if t.isReset(p) {
				return nil, errReset
			}
			if p.ack == t.seq && accepts(p) {
				return p, nil
			}
		}
	}
}

// isReset reports whether p resets this connection. The sequence numbers exclude
// resets of an earlier connection with the same addresses.
func (t *tcpCallerConn) isReset(p *packet) bool {
	return p.has(flagRST) && (p.seq == t.ack || p.ack == t.seq)
}

// tcpServer is the upstream's side of TCP connections.
type tcpServer struct {
	u     *Upstream
	conns map[endpoint]*tcpConn
}

// Times after the last packet after which an upstream removes a connection.
const (
	closedTimeout = 10 * time.Second
	idleTimeout   = 5 * time.Minute
)

// tcpConn is one connection of a tcpServer.
type tcpConn struct {
	attempt   connectionAttempt
	seq, ack  uint32
	lastReply *packet // for retransmission
	closed    bool
	lastUsed  time.Time
}

// handle processes a packet of a caller. Upstream.mu must be held.
func (s *tcpServer) handle(p *packet) {
	e := endpoint{version.TCP, p.src}
	c := s.conns[e]
	switch {
	case p.has(flagSYN):
		s.open(e, c, p)
		return
	case c == nil:
		s.resetUnmatched(p)
		return
	case p.has(flagRST):
		s.close(c)
		return
	}
	c.lastUsed = time.Now()
	s.handleSegment(c, p)
}

// open replies to a SYN. A SYN that is not a retransmission replaces the
// connection.
func (s *tcpServer) open(e endpoint, c *tcpConn, p *packet) {
	attempt := connectionAttempt{p.src, p.dst, p.seq}
	if c == nil || c.attempt != attempt {
		if c != nil {
			s.close(c)
			s.u.stats.removeAttempt(c.attempt)
		}
		c = &tcpConn{attempt: attempt, seq: rand.Uint32(), ack: p.seq + 1, lastUsed: time.Now()}
		s.conns[e] = c
		s.u.stats.recordAttempt(attempt, s.u.cfg.Name)
		s.u.stats.recordAccepted(s.u.cfg.Name, s.u.draining)
		s.u.openConns++
		c.lastReply = p.reply(flagSYN|flagACK, c.seq, c.ack, nil)
		c.seq++
	}
	s.u.send(c.lastReply)
}

// resetUnmatched replies with a reset to a packet without a connection, as a
// kernel does.
func (s *tcpServer) resetUnmatched(p *packet) {
	if p.has(flagRST) {
		return
	}
	s.u.stats.update(func(r *Report) { r.UnmatchedPackets++ })
	s.u.send(p.reply(flagRST, p.ack, 0, nil))
}

// handleSegment processes a segment of connection c.
func (s *tcpServer) handleSegment(c *tcpConn, p *packet) {
	if p.sequenceLength() == 0 {
		return
	}
	if p.seq != c.ack {
		s.u.send(c.lastReply) // a retransmission
		return
	}
	c.ack += p.sequenceLength()
	if p.has(flagFIN) {
		c.lastReply = p.reply(flagFIN|flagACK, c.seq, c.ack, nil)
		s.u.send(c.lastReply)
		s.close(c)
		return
	}
	c.lastReply = p.reply(flagACK, c.seq, c.ack, nil)
	s.runRequest(c, p)
}

// runRequest runs the request in p and sends the response.
func (s *tcpServer) runRequest(c *tcpConn, p *packet) {
	var req request
	if json.Unmarshal(p.payload, &req) != nil {
		return
	}
	s.u.wg.Go(func() {
		resp := s.u.respond(req)
		s.u.mu.Lock()
		defer s.u.mu.Unlock()
		c.lastReply = p.reply(flagACK, c.seq, p.seq+p.sequenceLength(), marshal(resp))
		c.seq += c.lastReply.sequenceLength()
		s.u.send(c.lastReply)
	})
}

func (s *tcpServer) close(c *tcpConn) {
	if c.closed {
		return
	}
	c.closed = true
	s.u.openConns--
	s.u.stats.recordClosed(s.u.cfg.Name)
}

// removeExpired removes connections that are closed or idle for too long.
func (s *tcpServer) removeExpired(now time.Time) {
	for e, c := range s.conns {
		limit := idleTimeout
		if c.closed {
			limit = closedTimeout
		}
		if now.Sub(c.lastUsed) > limit {
			s.close(c)
			s.u.stats.removeAttempt(c.attempt)
			delete(s.conns, e)
		}
	}
}
