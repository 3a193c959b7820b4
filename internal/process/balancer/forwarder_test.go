package balancer

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"

	"heatherport/internal/connection/affinity"
	"heatherport/internal/load/share"
	"heatherport/internal/load/uplink"
	"heatherport/internal/process/logging"
	"heatherport/internal/process/metrics"
	"heatherport/internal/process/stall"
	"heatherport/internal/result"
	"heatherport/internal/version/directory"
	"heatherport/internal/version/routing"
)

// testCodec is a packet format for tests: a kind, the port of the caller and a
// cookie.
type testCodec struct{ returnPort uint16 }

const (
	kindOpening = 1
	kindData    = 2
	kindRefusal = 3
	kindEnding  = 4
	packetSize  = 7
)

var serviceAddr = netip.MustParseAddrPort("198.51.100.1:80")

func testPacket(kind byte, port uint16, cookie uint32) []byte {
	b := []byte{kind}
	b = binary.BigEndian.AppendUint16(b, port)
	return binary.BigEndian.AppendUint32(b, cookie)
}

func (testCodec) Decode(b []byte) (affinity.Packet, error) {
	if len(b) != packetSize {
		return affinity.Packet{}, result.Errorf(result.DropTruncated, "%d bytes", len(b))
	}
	return affinity.Packet{
		Caller:  netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), binary.BigEndian.Uint16(b[1:])),
		Service: serviceAddr, Opening: b[0] == kindOpening, Ending: b[0] == kindEnding, Cookie: binary.BigEndian.Uint32(b[3:]), Length: 1, Repeat: time.Minute,
	}, nil
}

func (testCodec) SetCookie(b []byte, cookie uint32) { binary.BigEndian.PutUint32(b[3:], cookie) }
func (testCodec) Headroom() int                     { return 1 }
func (testCodec) Encapsulate(head []byte, u *affinity.Upstream) {
	head[0] = byte(u.Handle)
}

func (testCodec) AppendReset(buf []byte, p *affinity.Packet) []byte {
	return append(buf, testPacket(kindRefusal, p.Caller.Port(), 0)...)
}

func (c testCodec) ReturnAddr(caller netip.Addr) netip.AddrPort {
	return netip.AddrPortFrom(caller, c.returnPort)
}

// harness is a forwarder with the sockets of a caller and an upstream.
type harness struct {
	*forwarder
	t        *testing.T
	caller   *net.UDPConn
	upstream *net.UDPConn
}

// newHarness starts a forwarder with a fixed clock, whose last tick was the
// duration idle ago.
func newHarness(t *testing.T, idle time.Duration) *harness {
	listen := func() *net.UDPConn {
		c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
		must.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		return c
	}
	h := &harness{t: t, caller: listen(), upstream: listen()}
	routes, err := routing.New(1, 0, []string{"permits"}, []routing.Route{{Name: "r", Address: serviceAddr, Targets: []routing.Target{{Service: "permits", Weight: 1}}, Timeout: time.Second}})
	must.NoError(t, err)
	u := affinity.Upstream{Cookie: 9, Record: directory.Record{
		ID: "i-7", Handle: 7, Service: "permits", State: directory.Serving, Slots: 1,
		Address: netip.MustParseAddrPort(h.upstream.LocalAddr().String()),
	}}
	view := &affinity.View{Routes: routes, Current: true}
	var current atomic.Pointer[affinity.View]
	current.Store(view.Index([]affinity.Upstream{u}))
	log := hclog.NewNullLogger()
	link := new(uplink.Link)
	h.forwarder = &forwarder{
		codec: testCodec{netip.MustParseAddrPort(h.caller.LocalAddr().String()).Port()}, listen: netip.MustParseAddrPort("127.0.0.1:0"),
		log: log, flowLog: logging.NewRateLimited(log), metrics: metrics.NewBalancer(prometheus.NewRegistry()), view: &current, started: time.Now(),
		clock:  func() time.Duration { return time.Hour },
		stall:  stall.NewDetector(stallLimit, stallDrain),
		uplink: link,
		engine: affinity.New(affinity.Config{Capacity: 10, Lifetime: time.Minute, Link: link, Rand: rand.New(rand.NewPCG(1, 1))}),
	}
	h.stall.Tick(time.Hour - idle)
	must.NoError(t, h.start())
	t.Cleanup(func() { _ = h.forwarder.stop() })
	return h
}

func (h *harness) send(packet []byte) {
	_, err := h.caller.WriteTo(packet, h.conn.LocalAddr())
	must.NoError(h.t, err)
}

func (h *harness) receive(c *net.UDPConn) []byte {
	h.t.Helper()
	must.NoError(h.t, c.SetReadDeadline(time.Now().Add(20*time.Second)))
	buf := make([]byte, 100)
	n, err := c.Read(buf)
	must.NoError(h.t, err)
	return buf[:n]
}

func TestForwarderSetsCookieAndEncapsulates(t *testing.T) {
	h := newHarness(t, 0)
	h.send(testPacket(kindOpening, 1000, 0))
	must.Eq(t, append([]byte{7}, testPacket(kindOpening, 1000, 9)...), h.receive(h.upstream))
	h.send([]byte{1, 2}) // malformed: dropped
	h.send(testPacket(kindData, 1000, 9))
	must.Eq(t, append([]byte{7}, testPacket(kindData, 1000, 9)...), h.receive(h.upstream))
}

func TestForwarderRefusesWithoutUpstream(t *testing.T) {
	h := newHarness(t, 0)
	view := &affinity.View{Routes: h.view.Load().Routes, Current: true}
	h.view.Store(view.Index(nil))
	h.send(testPacket(kindOpening, 1000, 0))
	must.Eq(t, testPacket(kindRefusal, 1000, 0), h.receive(h.caller))
}

// TestOpeningPacketQueuedDuringStallIsDropped also checks that packets of open
// connections still pass.
func TestOpeningPacketQueuedDuringStallIsDropped(t *testing.T) {
	h := newHarness(t, time.Minute)
	h.send(testPacket(kindOpening, 1000, 0))
	h.send(testPacket(kindData, 1001, 9))
	must.Eq(t, append([]byte{7}, testPacket(kindData, 1001, 9)...), h.receive(h.upstream))
	h.mu.Lock()
	defer h.mu.Unlock()
	must.Eq(t, 1, h.engine.Len())
}

// TestPacketsBeforeTheFirstRoutesAreForwardedLater checks that the packets that
// arrive at a starting balancer are forwarded when its routes arrive, those of
// open connections first.
func TestPacketsBeforeTheFirstRoutesAreForwardedLater(t *testing.T) {
	h := newHarness(t, 0)
	view := h.view.Load()
	h.view.Store((&affinity.View{}).Index(nil))
	h.send(testPacket(kindOpening, 1000, 0))
	h.send(testPacket(kindData, 1001, 9))
	eventually(t, "packets wait", func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.waiting.Len() == 2
	})
	h.view.Store(view)
	h.release()
	must.Eq(t, append([]byte{7}, testPacket(kindData, 1001, 9)...), h.receive(h.upstream))
	must.Eq(t, append([]byte{7}, testPacket(kindOpening, 1000, 9)...), h.receive(h.upstream))
}

// TestOpeningHeldDuringStallIsDropped replays an opening packet that waited here when
// the process stood still. Its caller has sent copies through other balancers or given
// up; the packets of open connections still pass.
func TestOpeningHeldDuringStallIsDropped(t *testing.T) {
	h := newHarness(t, 0)
	view := h.view.Load()
	h.view.Store((&affinity.View{}).Index(nil))
	h.send(testPacket(kindOpening, 1000, 0))
	h.send(testPacket(kindData, 1001, 9))
	eventually(t, "packets wait", func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.waiting.Len() == 2
	})
	h.view.Store(view)
	h.stall.Tick(time.Hour - time.Minute)
	h.release()
	must.Eq(t, append([]byte{7}, testPacket(kindData, 1001, 9)...), h.receive(h.upstream))
	h.mu.Lock()
	defer h.mu.Unlock()
	must.Zero(t, h.waiting.Len())
	must.Eq(t, 1, h.engine.Len())
}

// TestDelayedPackets checks which packets count as read after a stall: those before the
// first tick after it, and those that were drained then.
func TestDelayedPackets(t *testing.T) {
	f := &forwarder{}
	must.False(t, f.isDelayed(time.Hour)) // before the first tick
	f.ticked(time.Second, 0)
	must.False(t, f.isDelayed(time.Second+stallLimit))
	must.True(t, f.isDelayed(time.Second+stallLimit+1))
	f.ticked(4*time.Second, 3*time.Second)
	must.True(t, f.isDelayed(4*time.Second+stallDrain-1))
	must.False(t, f.isDelayed(4*time.Second+stallDrain))
}

// joinFleet replaces the engine by one that knows another balancer: it has a permit
// for one connection and one of spillover.
func (h *harness) joinFleet() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.engine = affinity.New(affinity.Config{Name: "b1", Capacity: 10, Lifetime: time.Minute, Rand: rand.New(rand.NewPCG(1, 1))})
	view := *h.view.Load()
	view.Balancers = []share.Balancer{{Name: "b1"}, {Name: "b2"}}
	h.view.Store(&view)
}

// fill opens connections until one waits, and returns the number of those placed.
func (h *harness) fill() (placed int) {
	for port := uint16(1000); ; port++ {
		h.send(testPacket(kindOpening, port, 0))
		waits := false
		eventually(h.t, "opening is decided on", func() bool {
			h.mu.Lock()
			defer h.mu.Unlock()
			waits = h.queued.Len() > 0
			return waits || h.engine.Len() > placed
		})
		if waits {
			return placed
		}
		h.receive(h.upstream)
		placed++
	}
}

// An opening packet that waits must be forwarded when a connection ends, not only at
// the next tick.
func TestQueuedOpeningIsForwardedWhenAConnectionEnds(t *testing.T) {
	h := newHarness(t, 0)
	h.joinFleet()
	placed := h.fill()
	h.send(testPacket(kindEnding, 1000, 9))
	must.Eq(t, append([]byte{7}, testPacket(kindEnding, 1000, 9)...), h.receive(h.upstream))
	must.Eq(t, append([]byte{7}, testPacket(kindOpening, 1000+uint16(placed), 9)...), h.receive(h.upstream))
	h.mu.Lock()
	defer h.mu.Unlock()
	must.Eq(t, 0, h.queued.Len())
}

// The reset must be sent before the caller retransmits, although neither a packet
// nor a tick comes.
func TestQueuedOpeningIsRefusedAtItsDeadline(t *testing.T) {
	h := newHarness(t, 0)
	h.joinFleet()
	placed := h.fill()
	must.Eq(t, testPacket(kindRefusal, 1000+uint16(placed), 0), h.receive(h.caller))
}

func TestDeadlineTimerKeepsTheEarliest(t *testing.T) {
	var d deadlineTimer
	fired := make(chan struct{}, 2)
	do := func() { fired <- struct{}{} }
	d.set(0, time.Hour, do)
	d.set(0, time.Millisecond, do)
	must.Eq(t, time.Millisecond+deadlineSlack, d.at)
	d.set(0, time.Minute, do)
	must.Eq(t, time.Millisecond+deadlineSlack, d.at)
	<-fired
	d.set(time.Second, time.Second+1, do) // the timer has fired
	<-fired
}

// What the link cannot carry is refused at the first packet; packets of open connections
// pass.
func TestFullLinkRefusesFirstPackets(t *testing.T) {
	h := newHarness(t, 0)
	h.mu.Lock()
	h.uplink = uplink.New(10) // bytes per second
	h.uplink.Charge(time.Since(h.started), 1000)
	h.engine = affinity.New(affinity.Config{Capacity: 10, Lifetime: time.Minute, Link: h.uplink, Rand: rand.New(rand.NewPCG(1, 1))})
	h.mu.Unlock()
	h.send(testPacket(kindOpening, 1000, 0))
	must.Eq(t, testPacket(kindRefusal, 1000, 0), h.receive(h.caller))
	h.send(testPacket(kindData, 1001, 9))
	must.Eq(t, append([]byte{7}, testPacket(kindData, 1001, 9)...), h.receive(h.upstream))
}
