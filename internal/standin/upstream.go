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

// slowStartFactor multiplies the service time during UpstreamConfig.SlowStart.
const slowStartFactor = 5

const defaultAnnounceInterval = time.Second

// Announcement is the message by which an upstream registers with the system.
type Announcement struct {
	Name        string
	Service     string
	Addr        netip.AddrPort // Foo-over-UDP endpoint
	Incarnation uint64
	Slots       uint32
	Load        uint8 // from 0 (idle) to 255 (full)
}

// UpstreamConfig is the configuration of an Upstream.
type UpstreamConfig struct {
	Name        string
	Service     string         // name of the service
	ServiceAddr netip.AddrPort // virtual address of the service
	Protocol    version.Protocol
	TLS         *tls.Config    // for UDP
	ListenAddr  netip.AddrPort // Foo-over-UDP endpoint; port 0 selects a free port
	ReturnAddr  netip.AddrPort // address of the fabric, to which responses are sent
	Incarnation uint64
	Slots       int           // maximum number of concurrent requests
	QueueLimit  int           // maximum number of requests waiting for a slot; further ones are shed
	ServiceTime time.Duration // of one request
	SlowStart   time.Duration // time after the start in which requests take longer
	// ReportedLoad, if not nil, is announced in place of the actual load.
	ReportedLoad     *uint8
	AnnounceInterval time.Duration // 0 selects the default
	Announce         func(ctx context.Context, a Announcement) error
}

// Upstream serves the requests of callers.
type Upstream struct {
	cfg     UpstreamConfig
	stats   *Stats
	conn    *net.UDPConn
	started time.Time
	slots   chan struct{}
	pending atomic.Int64 // running and queued requests
	quic    *quicServer
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu        sync.Mutex
	tcp       tcpServer
	openConns int
	draining  bool
}

// NewUpstream returns a running Upstream. It announces itself until it is closed
// or ctx is done.
func NewUpstream(ctx context.Context, s *Stats, cfg UpstreamConfig) (*Upstream, error) {
	if cfg.AnnounceInterval == 0 {
		cfg.AnnounceInterval = defaultAnnounceInterval
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
	u.wg.Go(u.receive)
	u.wg.Go(func() { u.announce(ctx) })
	return u, nil
}

// Addr returns the Foo-over-UDP endpoint.
func (u *Upstream) Addr() netip.AddrPort { return localAddr(u.conn) }

// Open returns the number of open connections.
func (u *Upstream) Open() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.openConns
}

// MarkDraining marks the upstream as draining. Connections accepted from now on
// are counted in Report.AcceptedWhileDraining. They are still served, and the
// upstream still announces itself.
func (u *Upstream) MarkDraining() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = true
}

// Close stops the upstream without draining, like the failure of its VM.
func (u *Upstream) Close() error {
	u.cancel()
	err := u.conn.Close()
	if u.quic != nil {
		u.quic.close()
	}
	u.wg.Wait()
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.tcp.conns {
		u.tcp.close(c)
	}
	return err
}

// send sends p to the fabric directly, bypassing the balancers.
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

// respond runs req and returns the response. It sheds req if the queue is full.
func (u *Upstream) respond(req request) response {
	resp := response{Conn: req.Conn, Number: req.Number, Service: u.cfg.Service, Upstream: u.cfg.Name}
	if u.pending.Add(1) > int64(cap(u.slots)+u.cfg.QueueLimit) {
		u.pending.Add(-1)
		resp.Shed = true
		return resp
	}
	u.slots <- struct{}{}
	time.Sleep(u.serviceTime())
	u.stats.recordRun(req)
	<-u.slots
	u.pending.Add(-1)
	return resp
}

func (u *Upstream) serviceTime() time.Duration {
	if time.Since(u.started) < u.cfg.SlowStart {
		return slowStartFactor * u.cfg.ServiceTime
	}
	return u.cfg.ServiceTime
}

// announce sends announcements periodically and removes expired TCP connections.
// A failed announcement is not retried before the next interval.
func (u *Upstream) announce(ctx context.Context) {
	for {
		if u.cfg.Announce != nil {
			_ = u.cfg.Announce(ctx, u.announcement())
		}
		if !sleep(ctx, u.cfg.AnnounceInterval) {
			return
		}
		u.mu.Lock()
		u.tcp.removeExpired(time.Now())
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
