package standin

import (
	"bufio"
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"math/big"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"heatherport/internal/result"
	"heatherport/internal/version"
)

const (
	quicProtocol       = "heatherport-standin"
	quicServerName     = "standin.invalid"
	quicDialTimeout    = 10 * time.Second
	quicIdleTimeout    = 15 * time.Second
	quicRequestTimeout = 20 * time.Second
	certLifetime       = 24 * time.Hour
	bodyChunkSize      = 16 << 10 // bytes
)

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: quicDialTimeout,
		MaxIdleTimeout:       quicIdleTimeout,
		KeepAlivePeriod:      quicIdleTimeout / 3,
	}
}

// NewTLS returns the TLS configurations of upstreams and callers. The callers
// trust the upstreams' self-signed certificate, whose key is not stored.
func NewTLS() (upstream, caller *tls.Config, err error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, result.Wrapf(err, result.Internal, "generate key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		DNSNames:     []string{quicServerName},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(certLifetime),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, nil, result.Wrapf(err, result.Internal, "create certificate")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, nil, result.Wrapf(err, result.Internal, "parse certificate")
	}
	roots := x509.NewCertPool()
	roots.AddCert(cert)
	upstream = &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		NextProtos:   []string{quicProtocol},
	}
	caller = &tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    roots,
		ServerName: quicServerName,
		NextProtos: []string{quicProtocol},
	}
	return upstream, caller, nil
}

// packetConn is a net.PacketConn that sends and receives UDP datagrams as
// complete IP packets.
type packetConn struct {
	local         netip.AddrPort
	in            chan *packet
	send          func(p *packet)
	interruptRead chan struct{} // receives a value when a read deadline is set
	closed        chan struct{}
	once          sync.Once
}

func newPacketConn(local netip.AddrPort, in chan *packet, send func(p *packet)) *packetConn {
	return &packetConn{local: local, in: in, send: send, interruptRead: make(chan struct{}, 1), closed: make(chan struct{})}
}

// deliver queues p for ReadFrom, or drops it if the queue is full.
func (c *packetConn) deliver(p *packet) {
	select {
	case c.in <- p:
	default:
	}
}

// ReadFrom implements net.PacketConn. An ICMP port unreachable message gives
// ECONNREFUSED, as on a connected UDP socket.
func (c *packetConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case p := <-c.in:
		if p.portUnreachable {
			return 0, nil, &net.OpError{Op: "read", Net: "udp", Err: syscall.ECONNREFUSED}
		}
		return copy(b, p.payload), net.UDPAddrFromAddrPort(p.src), nil
	case <-c.interruptRead:
		return 0, nil, os.ErrDeadlineExceeded
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo implements net.PacketConn.
func (c *packetConn) WriteTo(b []byte, to net.Addr) (int, error) {
	addr, ok := to.(*net.UDPAddr)
	if !ok {
		return 0, result.Errorf(result.Internal, "destination %v is not a UDP address", to)
	}
	dst := addr.AddrPort()
	dst = netip.AddrPortFrom(dst.Addr().Unmap(), dst.Port())
	c.send(&packet{protocol: version.UDP, src: c.local, dst: dst, payload: b})
	return len(b), nil
}

// Close implements net.PacketConn.
func (c *packetConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// LocalAddr implements net.PacketConn.
func (c *packetConn) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(c.local) }

// SetReadDeadline implements net.PacketConn. Any deadline other than zero
// interrupts the read at once: quic-go sets one only for that purpose.
func (c *packetConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		return nil
	}
	select {
	case c.interruptRead <- struct{}{}:
	default:
	}
	return nil
}

// SetDeadline implements net.PacketConn.
func (c *packetConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetWriteDeadline implements net.PacketConn. It does nothing, as writes do not
// block.
func (c *packetConn) SetWriteDeadline(time.Time) error { return nil }

// SetReadBuffer does nothing. quic-go expects the method.
func (c *packetConn) SetReadBuffer(int) error { return nil }

// SetWriteBuffer does nothing. quic-go expects the method.
func (c *packetConn) SetWriteBuffer(int) error { return nil }

// quicCallerConn is the caller's side of a QUIC connection.
type quicCallerConn struct {
	c         *Caller
	local     endpoint
	conn      *packetConn
	transport *quic.Transport
	quic      *quic.Conn
}

func newQUICCallerConn(c *Caller, local endpoint, in chan *packet) *quicCallerConn {
	conn := newPacketConn(local.addr, in, func(p *packet) { c.fabric.send(p.encode()) })
	return &quicCallerConn{c: c, local: local, conn: conn, transport: &quic.Transport{Conn: conn}}
}

func (q *quicCallerConn) connect() error {
	ctx, cancel := context.WithTimeout(context.Background(), quicDialTimeout)
	defer cancel()
	to := net.UDPAddrFromAddrPort(q.c.cfg.Service)
	conn, err := q.transport.Dial(ctx, to, q.c.cfg.TLS, quicConfig())
	if errors.Is(err, syscall.ECONNREFUSED) {
		return errRefused
	}
	if err != nil {
		return errTimeout
	}
	q.quic = conn
	return nil
}

func (q *quicCallerConn) roundTrip(req request) (response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), quicRequestTimeout)
	defer cancel()
	stream, err := q.quic.OpenStreamSync(ctx)
	if err != nil {
		return response{}, errQUIC
	}
	stream.SetDeadline(time.Now().Add(quicRequestTimeout))
	if _, err := stream.Write(marshal(req)); err != nil {
		return response{}, errQUIC
	}
	if err := stream.Close(); err != nil {
		return response{}, errQUIC
	}
	return readResponse(stream, req)
}

// readResponse reads a response and verifies its body.
func readResponse(stream io.Reader, req request) (response, error) {
	var resp response
	in := bufio.NewReader(stream)
	line, err := in.ReadBytes('\n')
	if err != nil {
		return resp, errQUIC
	}
	if json.Unmarshal(line, &resp) != nil {
		return resp, errBadResponse
	}
	body, err := io.ReadAll(in)
	if err != nil {
		return resp, errQUIC
	}
	want := make([]byte, req.Size)
	if resp.Shed {
		want = nil
	}
	fillBody(want, req.Conn, 0)
	if !bytes.Equal(want, body) {
		return resp, errBadResponse
	}
	return resp, nil
}

func (q *quicCallerConn) idle(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	case <-q.quic.Context().Done():
		return errQUIC
	}
	return nil
}

func (q *quicCallerConn) close() error {
	if q.quic.CloseWithError(0, "") != nil {
		return errQUIC
	}
	return nil
}

func (q *quicCallerConn) release() {
	q.transport.Close()
	q.conn.Close()
	q.c.fabric.detach(q.local)
}

// quicServer is the upstream's side of QUIC connections.
type quicServer struct {
	u         *Upstream
	conn      *packetConn
	transport *quic.Transport
}

func newQUICServer(ctx context.Context, u *Upstream) (*quicServer, error) {
	conn := newPacketConn(u.cfg.ServiceAddr, make(chan *packet, endpointQueueSize), u.send)
	s := &quicServer{u: u, conn: conn, transport: &quic.Transport{Conn: conn}}
	listener, err := s.transport.Listen(u.cfg.TLS, quicConfig())
	if err != nil {
		return nil, result.Wrapf(err, result.Internal, "listen for QUIC")
	}
	u.wg.Go(func() { s.accept(ctx, listener) })
	return s, nil
}

func (s *quicServer) close() {
	s.transport.Close()
	s.conn.Close()
}

func (s *quicServer) accept(ctx context.Context, listener *quic.Listener) {
	for {
		conn, err := listener.Accept(ctx)
		if err != nil {
			return
		}
		s.u.wg.Go(func() { s.serve(ctx, conn) })
	}
}

// serve responds to the requests of one connection. Each has its own stream.
func (s *quicServer) serve(ctx context.Context, conn *quic.Conn) {
	s.countConn(1)
	defer s.countConn(-1)
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		s.respond(stream)
	}
}

func (s *quicServer) countConn(n int) {
	s.u.mu.Lock()
	defer s.u.mu.Unlock()
	s.u.openConns += n
	if n < 0 {
		s.u.stats.recordClosed(s.u.cfg.Name)
		return
	}
	s.u.stats.recordAccepted(s.u.cfg.Name, s.u.draining)
}

func (s *quicServer) respond(stream *quic.Stream) {
	defer stream.Close()
	var req request
	if json.NewDecoder(stream).Decode(&req) != nil {
		return
	}
	resp := s.u.respond(req)
	if _, err := stream.Write(marshal(resp)); err != nil || resp.Shed {
		return
	}
	writeBody(stream, req)
}

func writeBody(w io.Writer, req request) {
	b := make([]byte, bodyChunkSize)
	for sent := 0; sent < req.Size; {
		chunk := b[:min(len(b), req.Size-sent)]
		fillBody(chunk, req.Conn, sent)
		if _, err := w.Write(chunk); err != nil {
			return
		}
		sent += len(chunk)
	}
}
