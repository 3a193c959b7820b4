// Package link carries control messages between VMs over QUIC with mutual TLS.
// A peer is known by the name in its certificate, which is its VM name. There
// is one connection a pair, either side may dial it, and it is re-dialled with
// jittered exponential backoff. Messages may be lost, never corrupted or
// attributed to the wrong VM.
package link

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/quic-go/quic-go"

	"heatherport/internal/result"
)

const (
	alpn             = "heatherport-link/1"
	handshakeTimeout = 3 * time.Second
	idleTimeout      = 3 * time.Second
	keepAlivePeriod  = time.Second
	backoffMin       = 100 * time.Millisecond
	backoffMax       = 3 * time.Second
	incomingCapacity = 4096 // messages
)

// Peer is a VM that may be dialled.
type Peer struct {
	Name string
	Addr netip.AddrPort
}

// Config configures Links.
type Config struct {
	Self   string // own VM name
	Listen netip.AddrPort
	Server *tls.Config
	Client *tls.Config
	Log    hclog.Logger
	// Allow, when set, may drop the messages that one VM sends to another.
	// Both sides ask it, so that each direction of a link can be cut.
	Allow func(from, to string) bool
}

func (c *Config) allows(from, to string) bool {
	return c.Allow == nil || c.Allow(from, to)
}

// Counter counts the messages of one kind.
type Counter struct {
	Messages, Bytes uint64
}

type counter struct {
	messages, bytes atomic.Uint64
}

func (c *counter) add(bytes int) {
	c.messages.Add(1)
	c.bytes.Add(uint64(bytes))
}

func (c *counter) load() Counter {
	return Counter{Messages: c.messages.Load(), Bytes: c.bytes.Load()}
}

// Links is the set of links of one VM.
type Links struct {
	cfg       Config
	transport *quic.Transport
	listener  *quic.Listener
	incoming  chan Message
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup

	mu    sync.Mutex
	peers map[string]*peer

	sent, received [Kinds]counter
}

// New returns Links that are not started.
func New(cfg Config) *Links {
	ctx, cancel := context.WithCancel(context.Background())
	return &Links{
		cfg:      cfg,
		incoming: make(chan Message, incomingCapacity),
		ctx:      ctx,
		cancel:   cancel,
		peers:    make(map[string]*peer),
	}
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:    handshakeTimeout,
		MaxIdleTimeout:          idleTimeout,
		KeepAlivePeriod:         keepAlivePeriod,
		MaxIncomingStreams:      -1,
		DisablePathMTUDiscovery: true,
	}
}

func withALPN(c *tls.Config) *tls.Config {
	c = c.Clone()
	c.NextProtos = []string{alpn}
	c.MinVersion = tls.VersionTLS13
	return c
}

// Start opens the socket and accepts connections.
func (l *Links) Start() error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(l.cfg.Listen))
	if err != nil {
		return result.Wrapf(err, result.BadSettings, "link listen %s", l.cfg.Listen)
	}
	l.transport = &quic.Transport{Conn: conn}
	l.listener, err = l.transport.Listen(withALPN(l.cfg.Server), quicConfig())
	if err != nil {
		return result.Wrapf(err, result.Internal, "link listener")
	}
	l.wg.Go(l.accept)
	return nil
}

// Addr returns the address that the links listen on.
func (l *Links) Addr() netip.AddrPort {
	return l.listener.Addr().(*net.UDPAddr).AddrPort()
}

// Stop closes all connections and waits for their goroutines.
func (l *Links) Stop() {
	l.cancel()
	if l.transport == nil {
		return
	}
	l.listener.Close()
	l.transport.Close()
	l.transport.Conn.Close()
	l.wg.Wait()
}

// Incoming returns the channel of received messages.
func (l *Links) Incoming() <-chan Message { return l.incoming }

// SetPeers makes the given peers known. Peers that are no longer listed keep
// an open connection but are not dialled again.
func (l *Links) SetPeers(peers []Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	listed := make(map[string]netip.AddrPort, len(peers))
	for _, p := range peers {
		if p.Name != l.cfg.Self {
			listed[p.Name] = p.Addr
		}
	}
	for name, p := range l.peers {
		p.setAddr(listed[name])
	}
	for name, addr := range listed {
		l.peerLocked(name).setAddr(addr)
	}
}

// peerLocked returns the peer called name and starts its sender if it is new.
func (l *Links) peerLocked(name string) *peer {
	p, ok := l.peers[name]
	if !ok {
		p = &peer{name: name, links: l, queue: newQueue()}
		l.peers[name] = p
		l.wg.Go(p.run)
	}
	return p
}

// Send queues a message to the VM called to. It reports false when the VM is
// not known or cut off; true does not mean that the message arrives.
func (l *Links) Send(to string, kind Kind, body []byte) bool {
	if !l.cfg.allows(l.cfg.Self, to) {
		return false
	}
	l.mu.Lock()
	p, ok := l.peers[to]
	l.mu.Unlock()
	if !ok || len(body) > maxBodySize {
		return false
	}
	p.queue.push(outgoing{kind: kind, body: body})
	return true
}

// Connected reports whether a connection to the VM called name is open.
func (l *Links) Connected(name string) bool {
	l.mu.Lock()
	p, ok := l.peers[name]
	l.mu.Unlock()
	return ok && p.current() != nil
}

// Counters returns what was sent and received of kind k.
func (l *Links) Counters(k Kind) (sent, received Counter) {
	return l.sent[k].load(), l.received[k].load()
}

// Traffic returns the bytes of UDP payload that the open connections have sent
// and received, with handshakes, acknowledgements and retransmissions.
func (l *Links) Traffic() (sent, received uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.peers {
		if conn := p.current(); conn != nil {
			stats := conn.ConnectionStats()
			sent += stats.BytesSent
			received += stats.BytesReceived
		}
	}
	return sent, received
}

// Dropped returns how many messages full queues have dropped.
func (l *Links) Dropped() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var n uint64
	for _, p := range l.peers {
		n += p.queue.drops()
	}
	return n
}

func (l *Links) accept() {
	for {
		conn, err := l.listener.Accept(l.ctx)
		if err != nil {
			return
		}
		l.adopt(conn, false)
	}
}

// adopt registers a connection under the name in its peer's certificate and
// reads from it.
func (l *Links) adopt(conn *quic.Conn, dialled bool) {
	name, ok := peerName(conn)
	if !ok || name == l.cfg.Self {
		conn.CloseWithError(1, "no peer name")
		return
	}
	l.mu.Lock()
	p := l.peerLocked(name)
	l.mu.Unlock()
	if !p.offer(conn, dialled) {
		conn.CloseWithError(0, "duplicate")
		return
	}
	l.wg.Go(func() { l.readStreams(p, conn) })
}

func peerName(conn *quic.Conn) (string, bool) {
	certs := conn.ConnectionState().TLS.PeerCertificates
	if len(certs) == 0 {
		return "", false
	}
	return certs[0].Subject.CommonName, certs[0].Subject.CommonName != ""
}

func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
