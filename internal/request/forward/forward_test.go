package forward

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"heatherport/internal/connection"
	"heatherport/internal/connection/flow"
	"heatherport/internal/request/relay"
	"heatherport/internal/result"
	"heatherport/internal/version"
)

const (
	testMember  version.MemberID = 7
	testTimeout                  = 20 * time.Second
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// stubEngine returns the same decision for every packet and records its
// arguments.
type stubEngine struct {
	mu           sync.Mutex
	decision     connection.Decision
	decided      []connection.Packet
	relayHeaders []connection.Relay
	refreshed    []connection.Packet
	hints        []connection.Hint
}

func (e *stubEngine) setDecision(d connection.Decision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.decision = d
}

func (*stubEngine) Prefetch([]connection.Packet) {}

func (e *stubEngine) Decide(_ time.Duration, p *connection.Packet, via *connection.Relay) connection.Decision {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.decided = append(e.decided, *p)
	if via != nil {
		e.relayHeaders = append(e.relayHeaders, *via)
	}
	return e.decision
}

func (e *stubEngine) Refresh(_ time.Duration, p *connection.Packet, _ *connection.Relay) connection.Decision {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refreshed = append(e.refreshed, *p)
	return e.decision
}

func (e *stubEngine) HandleHint(_ time.Duration, h *connection.Hint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hints = append(e.hints, *h)
}

func (e *stubEngine) IsMember(id version.MemberID, from netip.AddrPort) bool {
	return id == testMember && from.Addr().Is4()
}

// fixture is a running forwarder and the socket of a peer.
type fixture struct {
	*Forwarder
	engine *stubEngine
	peer   *net.UDPConn
	codec  *relay.Codec
}

func testKeyring(t testing.TB) *relay.Keyring {
	t.Helper()
	ring, err := relay.NewKeyring(relay.Key{ID: 1})
	must.NoError(t, err)
	return ring
}

func newFixture(t testing.TB) *fixture {
	t.Helper()
	return newFixtureOn(t, loopback)
}

// newFixtureOn returns a fixture whose sockets are bound to addr.
func newFixtureOn(t testing.TB, addr netip.AddrPort) *fixture {
	t.Helper()
	x := &fixture{engine: &stubEngine{}, peer: udpSocket(t, addr)}
	clock := func() time.Duration { return 0 }
	x.codec = relay.NewCodec(testKeyring(t), clock)
	cfg := Config{FabricAddr: addr, RelayAddr: addr, ReturnAddr: x.peerAddr()}
	f, err := New(t.Context(), cfg, x.engine, testKeyring(t), clock)
	must.NoError(t, err)
	must.NoError(t, f.Start(t.Context()))
	t.Cleanup(func() { must.NoError(t, f.Stop(context.Background())) })
	x.Forwarder = f
	return x
}

func udpSocket(t testing.TB, addr netip.AddrPort) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	must.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

func (x *fixture) peerAddr() netip.AddrPort {
	return x.peer.LocalAddr().(*net.UDPAddr).AddrPort()
}

func (x *fixture) send(t testing.TB, to netip.AddrPort, b []byte) {
	t.Helper()
	_, err := x.peer.WriteToUDPAddrPort(b, to)
	must.NoError(t, err)
}

// receive returns the next datagram that the peer's socket receives.
func (x *fixture) receive(t testing.TB) []byte {
	t.Helper()
	b := make([]byte, maxPacketSize)
	must.NoError(t, x.peer.SetReadDeadline(time.Now().Add(testTimeout)))
	n, _, err := x.peer.ReadFromUDPAddrPort(b)
	must.NoError(t, err)
	return b[:n]
}

func (x *fixture) open(t testing.TB, b []byte) *relay.Message {
	t.Helper()
	var m relay.Message
	must.Eq(t, result.OK, x.codec.Open(b, &m))
	return &m
}

// eventually waits until ok holds for the counters.
func (x *fixture) eventually(t testing.TB, ok func(c Counters) bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(
		wait.BoolFunc(func() bool { return ok(x.Counters()) }),
		wait.Timeout(testTimeout),
		wait.Gap(time.Millisecond),
	))
}

func synPacket(t testing.TB) []byte {
	t.Helper()
	ip := &layers.IPv4{Version: 4, TTL: 64, Protocol: layers.IPProtocolTCP,
		SrcIP: net.IP{192, 0, 2, 1}, DstIP: net.IP{198, 51, 100, 7}}
	tcp := &layers.TCP{SrcPort: 40000, DstPort: 443, SYN: true, Seq: 100}
	must.NoError(t, tcp.SetNetworkLayerForChecksum(ip))
	buf := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	must.NoError(t, gopacket.SerializeLayers(buf, options, ip, tcp, gopacket.Payload("hello")))
	return buf.Bytes()
}

func sealPacket(x *fixture, h connection.Relay, packet []byte) []byte {
	b := append(make([]byte, relay.HeaderSize), packet...)
	x.codec.SealPacket(b, &h)
	return b
}

func TestForward(t *testing.T) {
	x := newFixture(t)
	packet := synPacket(t)
	x.engine.setDecision(connection.Decision{Action: connection.Forward, Addr: x.peerAddr()})
	x.send(t, x.FabricAddr(), packet)
	must.Eq(t, packet, x.receive(t))
	x.eventually(t, func(c Counters) bool {
		return c.PacketsIn == 1 && c.PacketsOut == 1 && c.BytesOut == uint64(len(packet))
	})
	must.Eq(t, connection.FlagOpen, x.engine.decided[0].Flags)
	must.Eq(t, 100, x.engine.decided[0].Seq)
}

func TestForwardOverIPv6(t *testing.T) {
	x := newFixtureOn(t, netip.MustParseAddrPort("[::1]:0"))
	packet := synPacket(t)
	x.engine.setDecision(connection.Decision{Action: connection.Forward, Addr: x.peerAddr()})
	x.send(t, x.FabricAddr(), packet)
	must.Eq(t, packet, x.receive(t))
}

// TestOverflowsAreCounted fills the read buffer of a forwarder that has not been
// started.
func TestOverflowsAreCounted(t *testing.T) {
	const packets = 1000
	cfg := Config{FabricAddr: loopback, RelayAddr: loopback, ReturnAddr: loopback, Receivers: 1, ReadBuffer: 1}
	engine := &stubEngine{decision: connection.Decision{Code: result.DropNotReady}}
	f, err := New(t.Context(), cfg, engine, testKeyring(t), func() time.Duration { return 0 })
	must.NoError(t, err)
	x := &fixture{Forwarder: f, peer: udpSocket(t, loopback)}
	for range packets {
		x.send(t, f.FabricAddr(), synPacket(t))
	}
	must.NoError(t, f.Start(t.Context()))
	x.eventually(t, func(c Counters) bool { return c.PacketsIn > 0 })
	before := f.Counters().PacketsIn
	x.send(t, f.FabricAddr(), synPacket(t))
	x.eventually(t, func(c Counters) bool { return c.PacketsIn > before && c.Overflows > 0 })
	must.NoError(t, f.Stop(context.Background()))
	must.Eq(t, packets+1, f.Counters().PacketsIn+f.Counters().Overflows)
}

func TestRelayWithHintAndRefresh(t *testing.T) {
	x := newFixture(t)
	packet := synPacket(t)
	key := flow.Key{SrcPort: 1, DstPort: 2, Protocol: version.TCP}
	header := connection.Relay{From: 1, Hops: 3, Origin: 1, Epoch: 9}
	x.engine.setDecision(connection.Decision{
		Action: connection.RelayTo, Addr: x.peerAddr(), Header: header,
		HintTo: 2, HintAddr: x.peerAddr(), Hint: connection.Hint{From: 1, Key: key, Upstream: 5},
		RefreshTo: 3, RefreshAddr: x.peerAddr(),
		Refresh: connection.Relay{From: 1, Origin: 1, Flags: connection.RelayRefresh},
	})
	x.send(t, x.FabricAddr(), packet)

	m := x.open(t, x.receive(t))
	must.Eq(t, relay.TypePacket, m.Type)
	must.Eq(t, header, m.Header)
	must.Eq(t, packet, m.Body)
	m = x.open(t, x.receive(t))
	must.Eq(t, 5, m.Hint().Upstream)
	m = x.open(t, x.receive(t))
	must.Eq(t, relay.TypeRefresh, m.Type)
	must.Eq(t, 100, m.Packet.Seq)
	must.Eq(t, 40000, m.Packet.Key.SrcPort)
	x.eventually(t, func(c Counters) bool {
		return c.RelaysOut == 1 && c.HintsOut == 1 && c.RefreshesOut == 1 &&
			c.RelayBytesOut == uint64(relay.HeaderSize+len(packet))
	})
}

func TestRefuse(t *testing.T) {
	x := newFixture(t)
	x.engine.setDecision(connection.Decision{Action: connection.Refuse, Code: result.RefusedFull})
	x.send(t, x.FabricAddr(), synPacket(t))
	p := gopacket.NewPacket(x.receive(t), layers.LayerTypeIPv4, gopacket.Default)
	tcp := p.TransportLayer().(*layers.TCP)
	must.True(t, tcp.RST)
	must.Eq(t, 106, tcp.Ack)
	x.eventually(t, func(c Counters) bool { return c.Refusals == 1 && c.Codes[result.RefusedFull] == 1 })
}

func TestDropsFromFabric(t *testing.T) {
	x := newFixture(t)
	x.engine.setDecision(connection.Decision{Code: result.DropInDoubt})
	x.send(t, x.FabricAddr(), synPacket(t))
	x.send(t, x.FabricAddr(), synPacket(t)[:30])
	x.send(t, x.FabricAddr(), make([]byte, defaultPacketSize+1))
	x.eventually(t, func(c Counters) bool {
		return c.Codes[result.DropInDoubt] == 1 && c.Codes[result.DropTruncated] == 1 &&
			c.Codes[result.DropOversize] == 1
	})
}

func TestSendFailureIsCounted(t *testing.T) {
	x := newFixture(t)
	x.engine.setDecision(connection.Decision{Action: connection.Forward, Addr: netip.MustParseAddrPort("127.0.0.1:0")})
	x.send(t, x.FabricAddr(), synPacket(t))
	x.eventually(t, func(c Counters) bool { return c.Codes[result.DropSendFailed] == 1 })
	x.engine.setDecision(connection.Decision{Action: connection.Forward}) // without an address
	x.send(t, x.FabricAddr(), synPacket(t))
	x.eventually(t, func(c Counters) bool { return c.Codes[result.DropSendFailed] == 2 })
	x.engine.setDecision(connection.Decision{Action: connection.Forward, Addr: x.peerAddr()})
	x.send(t, x.FabricAddr(), synPacket(t))
	must.Eq(t, synPacket(t), x.receive(t))
}

func TestReceiveRelayMessages(t *testing.T) {
	x := newFixture(t)
	packet := synPacket(t)
	header := connection.Relay{From: testMember, Hops: 2, Origin: testMember}
	key := flow.Key{SrcPort: 1, DstPort: 2, Protocol: version.TCP}
	x.engine.setDecision(connection.Decision{Action: connection.Forward, Addr: x.peerAddr()})

	x.send(t, x.RelayAddr(), sealPacket(x, header, packet))
	must.Eq(t, packet, x.receive(t))
	buf := make([]byte, relay.FlowMessageSize)
	x.send(t, x.RelayAddr(), x.codec.SealRefresh(buf, &header, &connection.Packet{Key: key, Seq: 8}))
	x.send(t, x.RelayAddr(), x.codec.SealHint(buf, &connection.Hint{From: testMember, Key: key, Upstream: 4}))
	x.eventually(t, func(c Counters) bool {
		return c.RelaysIn == 1 && c.RefreshesIn == 1 && c.HintsIn == 1 && c.PacketsOut == 1
	})
	must.NoError(t, x.Stop(context.Background()))
	must.Eq(t, []connection.Relay{header}, x.engine.relayHeaders)
	must.Eq(t, 8, x.engine.refreshed[0].Seq)
	must.Eq(t, 4, x.engine.hints[0].Upstream)
}

func TestDropsFromRelay(t *testing.T) {
	x := newFixture(t)
	packet := synPacket(t)
	member := connection.Relay{From: testMember, Hops: 1}
	x.engine.setDecision(connection.Decision{
		Action: connection.RelayTo, Addr: x.peerAddr(), Header: connection.Relay{From: 1, Hops: 1}})

	changed := sealPacket(x, member, packet)
	changed[len(changed)-1] ^= 1
	x.send(t, x.RelayAddr(), changed)
	x.send(t, x.RelayAddr(), sealPacket(x, connection.Relay{From: testMember + 1}, packet))
	x.send(t, x.RelayAddr(), sealPacket(x, member, packet))
	x.send(t, x.RelayAddr(), sealPacket(x, member, packet[:30]))
	x.send(t, x.RelayAddr(), []byte("noise"))
	x.eventually(t, func(c Counters) bool {
		return c.Codes[result.DropRelayAuth] == 1 && c.Codes[result.DropNotMember] == 1 &&
			c.Codes[result.DropRelayHops] == 1 && c.Codes[result.DropTruncated] == 1 &&
			c.Codes[result.DropRelayMalformed] == 1
	})
	must.NoError(t, x.Stop(context.Background()))
	must.Len(t, 1, x.engine.decided)
}

func TestStopDrainsWaitingPackets(t *testing.T) {
	const packets = 100
	x := newFixture(t)
	x.engine.setDecision(connection.Decision{Action: connection.Forward, Addr: x.peerAddr()})
	for range packets {
		x.send(t, x.FabricAddr(), synPacket(t))
	}
	must.NoError(t, x.Stop(context.Background()))
	must.NoError(t, x.Stop(context.Background()))
	must.Eq(t, packets, x.Counters().PacketsOut)
	must.Eq(t, result.ShuttingDown, result.CodeOf(x.Start(t.Context())))
}

func TestConfigIsChecked(t *testing.T) {
	good := Config{FabricAddr: loopback, RelayAddr: loopback, ReturnAddr: loopback}
	bad := []func(c *Config){
		func(c *Config) { c.FabricAddr = netip.AddrPort{} },
		func(c *Config) { c.RelayAddr = netip.AddrPort{} },
		func(c *Config) { c.ReturnAddr = netip.AddrPort{} },
		func(c *Config) { c.Receivers = maxReceivers + 1 },
		func(c *Config) { c.Batch = -1 },
		func(c *Config) { c.PacketSize = 100 },
		func(c *Config) { c.ReadBuffer = -1 },
		func(c *Config) { c.RelayAddr = netip.MustParseAddrPort("192.0.2.1:1") },
	}
	for _, change := range bad {
		c := good
		change(&c)
		_, err := New(t.Context(), c, &stubEngine{}, testKeyring(t), nil)
		must.Eq(t, result.BadSettings, result.CodeOf(err))
	}
}
