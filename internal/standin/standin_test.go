package standin

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"heatherport/internal/connection"
	"heatherport/internal/request/forward"
	"heatherport/internal/request/relay"
	"heatherport/internal/result"
	"heatherport/internal/version"
)

const testTimeout = 30 * time.Second

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// staticEngine forwards the packets of each service with a route to one upstream
// and refuses those of other services.
type staticEngine struct {
	mu    sync.Mutex
	addrs map[version.ServiceKey]netip.AddrPort
}

func (e *staticEngine) setRoute(addr netip.AddrPort, p version.Protocol, to netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addrs[version.ServiceKey{Addr: addr.Addr(), Port: addr.Port(), Protocol: p}] = to
}

func (*staticEngine) Prefetch([]connection.Packet) {}

func (e *staticEngine) Decide(_ time.Duration, p *connection.Packet, _ *connection.Relay) connection.Decision {
	e.mu.Lock()
	defer e.mu.Unlock()
	if to, ok := e.addrs[p.Key.Service()]; ok {
		return connection.Decision{Action: connection.Forward, Addr: to}
	}
	return connection.Decision{Action: connection.Refuse, Code: result.RefusedNoUpstream}
}

func (e *staticEngine) Refresh(time.Duration, *connection.Packet, *connection.Relay) connection.Decision {
	return connection.Decision{}
}

func (e *staticEngine) HandleHint(time.Duration, *connection.Hint) {}

func (e *staticEngine) IsMember(version.MemberID, netip.AddrPort) bool { return true }

// testBed is a fabric in front of balancers that share an engine.
type testBed struct {
	t         *testing.T
	fabric    *Fabric
	stats     *Stats
	engine    *staticEngine
	balancers []*forward.Forwarder
}

func newTestBed(t *testing.T, balancers int) *testBed {
	t.Helper()
	fabric, err := NewFabric(loopback, 1)
	must.NoError(t, err)
	t.Cleanup(func() { fabric.Close() })
	b := &testBed{t: t, fabric: fabric, stats: NewStats(),
		engine: &staticEngine{addrs: make(map[version.ServiceKey]netip.AddrPort)}}
	for range balancers {
		b.addBalancer()
	}
	return b
}

func (b *testBed) addBalancer() {
	b.t.Helper()
	cfg := forward.Config{FabricAddr: loopback, RelayAddr: loopback, ReturnAddr: b.fabric.Addr(), Receivers: 1}
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) }
	ring, err := relay.NewKeyring(relay.Key{ID: 1})
	must.NoError(b.t, err)
	f, err := forward.New(b.t.Context(), cfg, b.engine, ring, clock)
	must.NoError(b.t, err)
	must.NoError(b.t, f.Start(b.t.Context()))
	b.t.Cleanup(func() { f.Stop(context.Background()) })
	b.balancers = append(b.balancers, f)
	b.fabric.Add(f.FabricAddr())
}

func (b *testBed) addUpstream(cfg UpstreamConfig) *Upstream {
	b.t.Helper()
	cfg.ListenAddr = loopback
	cfg.ReturnAddr = b.fabric.Addr()
	u, err := NewUpstream(b.t.Context(), b.stats, cfg)
	must.NoError(b.t, err)
	b.t.Cleanup(func() { u.Close() })
	b.engine.setRoute(cfg.ServiceAddr, cfg.Protocol, u.Addr())
	return u
}

// runCallers runs callers until ok returns true, then stops them and returns the
// final report.
func (b *testBed) runCallers(ok func(r Report) bool, callers ...CallerConfig) Report {
	b.t.Helper()
	ctx, cancel := context.WithCancel(b.t.Context())
	defer cancel()
	var running sync.WaitGroup
	for _, cfg := range callers {
		c := NewCaller(b.fabric, b.stats, cfg)
		running.Go(func() { c.Run(ctx) })
	}
	b.eventually(ok)
	cancel()
	running.Wait()
	return b.stats.Report()
}

func (b *testBed) eventually(ok func(r Report) bool) {
	b.t.Helper()
	must.Wait(b.t, wait.InitialSuccess(
		wait.BoolFunc(func() bool { return ok(b.stats.Report()) }),
		wait.Timeout(testTimeout),
		wait.Gap(5*time.Millisecond),
	))
}

func mustHaveNoErrors(t *testing.T, r Report) {
	t.Helper()
	must.MapEmpty(t, r.Broken)
	must.Zero(t, r.CrossService)
	must.Zero(t, r.CrossConnection)
	must.Zero(t, r.AffinityViolations)
	must.Zero(t, r.DuplicateAttempts)
	must.Zero(t, r.DuplicateRuns)
	must.Zero(t, r.RefusedButRun)
	must.Zero(t, r.UnmatchedPackets)
}

var (
	tcpService  = netip.MustParseAddrPort("198.51.100.1:443")
	tcpService6 = netip.MustParseAddrPort("[2001:db8::1]:443")
	udpService  = netip.MustParseAddrPort("198.51.100.2:443")
	udpService6 = netip.MustParseAddrPort("[2001:db8::2]:443")
	callerAddr  = netip.MustParseAddr("192.0.2.1")
	callerAddr6 = netip.MustParseAddr("2001:db8:1::1")
)

func tcpUpstream(name string) UpstreamConfig {
	return UpstreamConfig{Name: name, Service: "permits", ServiceAddr: tcpService, Protocol: version.TCP, Slots: 3, QueueLimit: 1000}
}

func tcpCaller() CallerConfig {
	return CallerConfig{Addr: callerAddr, Service: tcpService, Name: "permits", Protocol: version.TCP, LongLived: 20,
		ArrivalRate: 200, MeanLifetime: 50 * time.Millisecond, ThinkTime: 5 * time.Millisecond, Seed: 3}
}

func TestTCP(t *testing.T) {
	b := newTestBed(t, 3)
	u := b.addUpstream(tcpUpstream("permits-1"))
	v6 := tcpUpstream("permits-6")
	v6.ServiceAddr = tcpService6
	b.addUpstream(v6)
	caller6 := tcpCaller()
	caller6.Addr, caller6.Service = callerAddr6, tcpService6

	r := b.runCallers(func(r Report) bool { return r.Opened >= 100 && r.Requests >= 500 }, tcpCaller(), caller6)
	mustHaveNoErrors(t, r)
	must.Eq(t, r.Opened, r.Finished)
	must.Zero(t, u.Open())
	must.Eq(t, r.Opened, r.Accepted["permits-1"]+r.Accepted["permits-6"])
}

func TestQUIC(t *testing.T) {
	const answerSize = 1 << 20 // bytes
	b := newTestBed(t, 3)
	upstreamTLS, callerTLS, err := NewTLS()
	must.NoError(t, err)
	for addr, service := range map[netip.Addr]netip.AddrPort{callerAddr: udpService, callerAddr6: udpService6} {
		b.addUpstream(UpstreamConfig{Name: "rounds-" + addr.String(), Service: "rounds", ServiceAddr: service,
			Protocol: version.UDP, TLS: upstreamTLS, Slots: 3, QueueLimit: 1000})
	}
	b.fabric.SetLossRate(0.01)
	caller := func(addr netip.Addr, service netip.AddrPort) CallerConfig {
		return CallerConfig{Addr: addr, Service: service, Name: "rounds", Protocol: version.UDP,
			TLS: callerTLS, LongLived: 2, ResponseBodySize: answerSize, ThinkTime: time.Millisecond, Seed: 5}
	}
	r := b.runCallers(func(r Report) bool { return r.Requests >= 20 }, caller(callerAddr, udpService), caller(callerAddr6, udpService6))
	mustHaveNoErrors(t, r)
	must.Eq(t, 4, r.Opened)
	must.Eq(t, 4, r.Finished)
}

func TestLossAndChangingBalancers(t *testing.T) {
	b := newTestBed(t, 3)
	b.addUpstream(tcpUpstream("permits-1"))
	b.fabric.SetLossRate(0.05)
	blackholed := b.balancers[0].FabricAddr()
	step := uint64(100)
	r := b.runCallers(func(r Report) bool {
		switch {
		case r.Requests >= 3*step:
			b.fabric.Remove(blackholed)
		case r.Requests >= step:
			b.fabric.Blackhole(blackholed)
		}
		return r.Requests >= 6*step
	}, tcpCaller())
	mustHaveNoErrors(t, r)
	must.Eq(t, r.Opened, r.Finished)
}

func TestRefusals(t *testing.T) {
	b := newTestBed(t, 2)
	_, callerTLS, err := NewTLS()
	must.NoError(t, err)
	udp := CallerConfig{Addr: callerAddr, Service: udpService, Name: "rounds", Protocol: version.UDP, TLS: callerTLS, LongLived: 2}
	udp6 := udp
	udp6.Addr, udp6.Service = callerAddr6, udpService6
	tcp := tcpCaller()
	tcp.ArrivalRate = 0
	r := b.runCallers(func(r Report) bool { return r.Refused == uint64(tcp.LongLived+udp.LongLived+udp6.LongLived) }, tcp, udp, udp6)
	must.Eq(t, r.Opened, r.Refused)
	must.Zero(t, r.RefusedButRun)
}

func TestMisroutedPacketsAreCounted(t *testing.T) {
	b := newTestBed(t, 1)
	b.addUpstream(tcpUpstream("permits-1"))
	r := b.runCallers(func(r Report) bool { return r.Requests >= 20 }, tcpCaller())
	mustHaveNoErrors(t, r)

	other := tcpUpstream("allocations-1")
	other.ServiceAddr = tcpService6
	b.engine.setRoute(tcpService, version.TCP, b.addUpstream(other).Addr())
	ctx, cancel := context.WithCancel(t.Context())
	c := NewCaller(b.fabric, b.stats, tcpCaller())
	done := make(chan struct{})
	go func() { defer close(done); c.Run(ctx) }()
	b.eventually(func(r Report) bool { return r.CrossService > 0 })

	second := tcpUpstream("permits-2")
	b.addUpstream(second)
	b.eventually(func(r Report) bool { return r.Accepted["permits-2"] > 0 })
	third := tcpUpstream("permits-3")
	b.addUpstream(third)
	b.eventually(func(r Report) bool { return r.Broken[errReset.Error()] > 0 && r.UnmatchedPackets > 0 })
	cancel()
	<-done
}

func TestUpstreamShedsAndAnnounces(t *testing.T) {
	b := newTestBed(t, 1)
	reportedLoad := uint8(7)
	announced := make(chan Announcement, 100)
	cfg := tcpUpstream("permits-1")
	cfg.Slots, cfg.QueueLimit = 1, 1
	cfg.ServiceTime = 20 * time.Millisecond
	cfg.ReportedLoad = &reportedLoad
	cfg.AnnounceInterval = time.Millisecond
	cfg.Announce = func(_ context.Context, a Announcement) error {
		select {
		case announced <- a:
		default:
		}
		return nil
	}
	u := b.addUpstream(cfg)
	u.MarkDraining()
	r := b.runCallers(func(r Report) bool { return r.Shed > 0 && r.Requests > r.Shed }, tcpCaller())
	mustHaveNoErrors(t, r)
	must.Eq(t, r.Accepted["permits-1"], r.AcceptedWhileDraining)
	a := <-announced
	must.Eq(t, Announcement{Name: "permits-1", Service: "permits", Addr: u.Addr(), Slots: 1, Load: reportedLoad}, a)
}
