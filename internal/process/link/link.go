// Package link carries control messages between VMs over QUIC with mutual TLS.
// A peer is identified by the name in its certificate, which is its VM name.
// Each pair of VMs shares one connection. Either side may dial it, and it is
// redialled with jittered exponential backoff. Messages may be lost, but are
// never corrupted or attributed to the wrong VM.
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
	minBackoff       = 100 * time.Millisecond
	maxBackoff       = 3 * time.Second
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
	// Allow, if set, decides whether messages from one VM to another are
	// delivered. Both sides call it, so that each direction of a link can be
	// blocked separately.
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

// Links manages the links of one VM to its peers.
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

	sent, received [KindCount]counter
}

// New returns Links. Start opens their socket.
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

// Addr returns the listen address.
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

// SetPeers sets the peers that may be dialled. A peer that is no longer listed
// keeps an open connection but is not dialled again.
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
		p = &peer{name: name, links: l, queue: newQueue(), connected: make(chan struct{}, 1)}
		l.peers[name] = p
		l.wg.Go(p.run)
	}
	return p
}

// Send queues a message to the VM called to. It returns false if the VM is
// unknown, the link is blocked or the body is too large. Delivery is not
// guaranteed.
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
	return ok && p.currentConn() != nil
}

// Counters returns the counts of sent and received messages of kind k.
func (l *Links) Counters(k Kind) (sent, received Counter) {
	return l.sent[k].load(), l.received[k].load()
}

// Traffic returns the bytes of UDP payload sent and received on the open
// connections, including handshakes, acknowledgements and retransmissions.
func (l *Links) Traffic() (sent, received uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.peers {
		if conn := p.currentConn(); conn != nil {
			stats := conn.ConnectionStats()
			sent += stats.BytesSent
			received += stats.BytesReceived
		}
	}
	return sent, received
}

// Dropped returns the number of messages dropped from full queues.
func (l *Links) Dropped() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var n uint64
	for _, p := range l.peers {
		n += p.queue.droppedMessages()
	}
	return n
}

func (l *Links) accept() {
	for {
		conn, err := l.listener.Accept(l.ctx)
		if err != nil {
			return
		}
		l.addConn(conn, false)
	}
}

// addConn registers a connection under the name in the peer's certificate and
// starts to read from it.
func (l *Links) addConn(conn *quic.Conn, dialled bool) {
	name, ok := peerName(conn)
	if !ok || name == l.cfg.Self {
		conn.CloseWithError(1, "no peer name")
		return
	}
	l.mu.Lock()
	p := l.peerLocked(name)
	l.mu.Unlock()
	if !p.setConn(conn, dialled) {
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
