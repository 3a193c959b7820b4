package forward

import (
	"encoding/binary"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"

	"heatherport/internal/connection"
	"heatherport/internal/connection/owner"
	"heatherport/internal/version"
)

const (
	benchBatch      = 64
	benchBufferSize = 4 << 20 // bytes
	benchFlows      = 1 << 14
)

// fixedEngine forwards every packet to one address.
type fixedEngine struct{ to netip.AddrPort }

func (*fixedEngine) Prefetch([]connection.Packet) {}

func (e *fixedEngine) Decide(time.Duration, *connection.Packet, *connection.Relay) connection.Decision {
	return connection.Decision{Action: connection.Forward, Addr: e.to}
}

func (e *fixedEngine) Refresh(time.Duration, *connection.Packet, *connection.Relay) connection.Decision {
	return connection.Decision{}
}

func (e *fixedEngine) HandleHint(time.Duration, *connection.Hint) {}

func (e *fixedEngine) IsMember(version.MemberID, netip.AddrPort) bool { return true }

// saturate sends packets to the address to faster than one receiver can forward
// them, until b.N have arrived at sink. It reports the packets that arrive per
// second.
func saturate(b *testing.B, sink *net.UDPConn, to netip.AddrPort) {
	const senders = 3
	var stop atomic.Bool
	var sending sync.WaitGroup
	packets := flowPackets(b)
	for range senders {
		c := benchSocket(b)
		sending.Go(func() { send(c, packets, to, &stop) })
	}
	collect(b, sink, benchBatch*benchBatch) // warm-up, not measured
	b.ResetTimer()
	collect(b, sink, b.N)
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "pps")
	stop.Store(true)
	sending.Wait()
}

// flowPackets returns a packet of each of benchFlows connections.
func flowPackets(b *testing.B) [][]byte {
	const sourcePort = 20 // offset in an IPv4 packet without options
	out := make([][]byte, benchFlows)
	for i := range out {
		out[i] = synPacket(b)
		binary.BigEndian.PutUint16(out[i][sourcePort:], uint16(1+i))
	}
	return out
}

func send(c *net.UDPConn, packets [][]byte, to netip.AddrPort, stop *atomic.Bool) {
	conn := ipv4.NewPacketConn(c)
	out := make([]ipv4.Message, benchBatch)
	for i := range out {
		out[i] = ipv4.Message{Buffers: make([][]byte, 1), Addr: net.UDPAddrFromAddrPort(to)}
	}
	for next := 0; !stop.Load(); {
		for i := range out {
			out[i].Buffers[0] = packets[next%len(packets)]
			next++
		}
		if _, err := conn.WriteBatch(out, 0); err != nil {
			return
		}
	}
}

func collect(b *testing.B, sink *net.UDPConn, packets int) {
	conn := ipv4.NewPacketConn(sink)
	in := make([]ipv4.Message, 4*benchBatch)
	for i := range in {
		in[i].Buffers = [][]byte{make([]byte, defaultPacketSize)}
	}
	for packets > 0 {
		n, err := conn.ReadBatch(in, 0)
		must.NoError(b, err)
		packets -= n
	}
}

func benchSocket(b *testing.B) *net.UDPConn {
	c := udpSocket(b, loopback)
	must.NoError(b, c.SetReadBuffer(benchBufferSize))
	must.NoError(b, c.SetWriteBuffer(benchBufferSize))
	return c
}

// measureThread runs f on a dedicated thread. It returns a function that waits
// until f returns and reports its CPU time per packet.
func measureThread(b *testing.B, f func()) (wait func(packets *uint64)) {
	var used unix.Rusage
	done := make(chan struct{})
	go func() {
		defer close(done)
		runtime.LockOSThread() // not unlocked, so that the thread ends with the goroutine
		f()
		unix.Getrusage(unix.RUSAGE_THREAD, &used)
	}()
	return func(packets *uint64) {
		<-done
		cpu := time.Duration(used.Utime.Nano() + used.Stime.Nano())
		b.ReportMetric(float64(cpu)/float64(*packets), "cpu-ns/packet")
	}
}

// BenchmarkLoopback sends packets through one receiver with a stub engine.
func BenchmarkLoopback(b *testing.B) {
	sink := benchSocket(b)
	benchForwarder(b, sink, &fixedEngine{to: sink.LocalAddr().(*net.UDPAddr).AddrPort()})
}

// BenchmarkLoopbackOwner sends packets through one receiver with an engine that
// owns all connections.
func BenchmarkLoopbackOwner(b *testing.B) {
	const self, service, upstream = 1, 1, 1
	sink := benchSocket(b)
	ranking := version.Ranking{{Upstream: upstream, Weight: version.WeightPerSlot}}
	v := &version.Version{
		Index: 1,
		Services: []version.Service{{
			ID:          service,
			Key:         version.ServiceKey{Addr: netip.MustParseAddr("198.51.100.7"), Port: 443, Protocol: version.TCP},
			IdleTimeout: time.Hour,
			Current:     ranking,
			Base:        ranking,
		}},
		Upstreams: []version.Upstream{{
			ID: upstream, Service: service, Addr: sink.LocalAddr().(*net.UDPAddr).AddrPort(),
			Slots: 1, ConnLimit: benchFlows, Healthy: true, Leased: true, Ramp: version.RampFull, Listed: true,
		}},
		Members: []version.Member{{ID: self, State: version.MemberActive}},
		Owners:  version.Owners{Epoch: 1, Current: []version.MemberID{self}},
	}
	engine := owner.New(owner.Config{Self: self, Capacity: 2 * benchFlows})
	engine.SetLease(0, true)
	engine.Publish(0, v.Seal())
	benchForwarder(b, sink, engine)
}

func benchForwarder(b *testing.B, sink *net.UDPConn, engine Engine) {
	cfg := Config{FabricAddr: loopback, RelayAddr: loopback, ReturnAddr: loopback, Receivers: 1,
		Batch: benchBatch, ReadBuffer: benchBufferSize, WriteBuffer: benchBufferSize}
	start := time.Now()
	f, err := New(b.Context(), cfg, engine, testKeyring(b), func() time.Duration { return time.Since(start) })
	must.NoError(b, err)
	packets := uint64(0)
	wait := measureThread(b, func() {
		f.receivers[0].run(b.Context())
		packets = f.Counters().PacketsOut
	})
	saturate(b, sink, f.FabricAddr())
	f.stopping.Store(true)
	must.NoError(b, f.fabric[0].UDPConn.SetReadDeadline(time.Now()))
	wait(&packets)
	f.close()
	must.MapEmpty(b, f.Counters().Codes)
}

// BenchmarkCopyLoop sends packets through a loop that only calls ReadBatch and
// WriteBatch, as a reference for the other benchmarks.
func BenchmarkCopyLoop(b *testing.B) {
	sink, c := benchSocket(b), benchSocket(b)
	packets := uint64(0)
	wait := measureThread(b, func() { packets = copyLoop(c, sink.LocalAddr()) })
	saturate(b, sink, c.LocalAddr().(*net.UDPAddr).AddrPort())
	c.Close()
	wait(&packets)
}

// copyLoop sends all packets that c receives to the address to. Once c is
// closed, it returns their number.
func copyLoop(c *net.UDPConn, to net.Addr) (packets uint64) {
	conn := ipv4.NewPacketConn(c)
	in := make([]ipv4.Message, benchBatch)
	out := make([]ipv4.Message, benchBatch)
	for i := range in {
		in[i].Buffers = [][]byte{make([]byte, defaultPacketSize)}
		out[i] = ipv4.Message{Buffers: make([][]byte, 1), Addr: to}
	}
	for {
		n, err := conn.ReadBatch(in, 0)
		if err != nil {
			return packets
		}
		for i := range n {
			out[i].Buffers[0] = in[i].Buffers[0][:in[i].N]
		}
		for sent := 0; sent < n; {
			m, err := conn.WriteBatch(out[sent:n], 0)
			if err != nil {
				return packets
			}
			sent += m
			packets += uint64(m)
		}
	}
}
