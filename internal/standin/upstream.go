package standin

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"heatherport/internal/version"
)

// coldFactor multiplies the service time of an upstream that has just started.
const coldFactor = 5

// defaultAnnounceEvery is the interval between announcements.
const defaultAnnounceEvery = time.Second

// Announcement is what an upstream tells the system about itself.
type Announcement struct {
	Name        string
	Service     string
	Addr        netip.AddrPort // endpoint for Foo-over-UDP
	Incarnation uint64
	Slots       uint32
	Load        uint8 // 0 is idle, 255 is full
}

// UpstreamConfig is the configuration of an Upstream.
type UpstreamConfig struct {
	Name        string
	Service     string         // name of the service
	ServiceAddr netip.AddrPort // virtual address of the service
	Protocol    version.Protocol
	TLS         *tls.Config    // for UDP
	ListenAddr  netip.AddrPort // endpoint for Foo-over-UDP; port 0 takes a free one
	ReturnAddr  netip.AddrPort // address of the fabric that takes answers
	Incarnation uint64
	Slots       int           // requests that run at once
	QueueLimit  int           // requests that may wait for a slot; further ones are shed
	ServiceTime time.Duration // of one request
	SlowStart   time.Duration // time from the start in which requests take longer
	// ReportedLoad, when not nil, is announced in place of the true load.
	ReportedLoad     *uint8
	AnnounceInterval time.Duration // 0 takes a default
	Announce         func(ctx context.Context, a Announcement) error
}

// Upstream answers the requests of callers.
type Upstream struct {
	cfg     UpstreamConfig
	stats   *Stats
	conn    *net.UDPConn
	started time.Time
	slots   chan struct{}
	pending atomic.Int64 // requests that run or wait
	quic    *quicServer
	cancel  context.CancelFunc
	work    sync.WaitGroup

	mu       sync.Mutex
	tcp      tcpServer
	open     int
	draining bool
}

// NewUpstream returns a running Upstream. It announces itself until Drain or
// Close.
func NewUpstream(ctx context.Context, s *Stats, cfg UpstreamConfig) (*Upstream, error) {
	if cfg.AnnounceInterval == 0 {
		cfg.AnnounceInterval = defaultAnnounceEvery
	}
	conn, err := listen(cfg.ListenAddr)
	if err != nil {
		return nil, err
	}
	u := &Upstream{cfg: cfg, stats: s, conn: conn, started: time.Now(), slots: make(chan struct{}, max(cfg.Slots, 1))}
	u.tcp = tcpServer{u: u, conns: make(map[endpoint]*tcpConn)}
	ctx, u.cancel = context.WithCancel(ctx)
	if cfg.Protocol == version.UDP {
		if u.quic, err = newQUICServer(ctx, u); err != nil {
			conn.Close()
			return nil, err
		}
	}
	u.work.Go(u.receive)
	u.work.Go(func() { u.announce(ctx) })
	return u, nil
}

// Addr returns the endpoint for Foo-over-UDP.
func (u *Upstream) Addr() netip.AddrPort { return localAddr(u.conn) }

// Open returns the number of open connections.
func (u *Upstream) Open() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.open
}

// Drain notes that the upstream is leaving: connections that reach it from now
// on are counted as an error. It still serves them and goes on announcing.
func (u *Upstream) MarkDraining() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = true
}

// Close stops the upstream at once, as a failing VM does.
func (u *Upstream) Close() error {
	u.cancel()
	err := u.conn.Close()
	if u.quic != nil {
		u.quic.close()
	}
	u.work.Wait()
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.tcp.conns {
		u.tcp.close(c)
	}
	return err
}

// send sends an answer past the balancers.
func (u *Upstream) send(p *packet) { u.conn.WriteToUDPAddrPort(p.encode(), u.cfg.ReturnAddr) }

func (u *Upstream) receive() {
	b := make([]byte, maxPacketSize)
	for {
		n, _, err := u.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if p := decode(slices.Clone(b[:n])); p != nil {
			u.handle(p)
		}
	}
}

func (u *Upstream) handle(p *packet) {
	if p.dst != u.cfg.ServiceAddr || p.protocol != u.cfg.Protocol {
		u.stats.update(func(r *Report) { r.CrossService++ })
		return
	}
	if u.quic != nil {
		u.quic.conn.deliver(p)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.tcp.handle(p)
}

// answer runs q, or sheds it when too many requests wait.
func (u *Upstream) answer(q request) answer {
	a := answer{Conn: q.Conn, Number: q.Number, Service: u.cfg.Service, Upstream: u.cfg.Name}
	if u.pending.Add(1) > int64(cap(u.slots)+u.cfg.QueueLimit) {
		u.pending.Add(-1)
		a.Shed = true
		return a
	}
	u.slots <- struct{}{}
	time.Sleep(u.serviceTime())
	u.stats.ran(q)
	<-u.slots
	u.pending.Add(-1)
	return a
}

func (u *Upstream) serviceTime() time.Duration {
	if time.Since(u.started) < u.cfg.SlowStart {
		return coldFactor * u.cfg.ServiceTime
	}
	return u.cfg.ServiceTime
}

// announce renews the announcement. One that fails is repeated at the next
// interval.
func (u *Upstream) announce(ctx context.Context) {
	for {
		if u.cfg.Announce != nil {
			_ = u.cfg.Announce(ctx, u.announcement())
		}
		if !sleep(ctx, u.cfg.AnnounceInterval) {
			return
		}
		u.mu.Lock()
		u.tcp.sweep(time.Now())
		u.mu.Unlock()
	}
}

func (u *Upstream) announcement() Announcement {
	return Announcement{
		Name:        u.cfg.Name,
		Service:     u.cfg.Service,
		Addr:        u.Addr(),
		Incarnation: u.cfg.Incarnation,
		Slots:       uint32(cap(u.slots)),
		Load:        u.load(),
	}
}

func (u *Upstream) load() uint8 {
	if u.cfg.ReportedLoad != nil {
		return *u.cfg.ReportedLoad
	}
	const full = 255
	capacity := int64(cap(u.slots) + u.cfg.QueueLimit)
	return uint8(min(u.pending.Load()*full/capacity, full))
}
