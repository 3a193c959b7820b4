package forward

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/net/ipv4"

	"heatherport/internal/connection"
	"heatherport/internal/version"
)

const (
	benchBatch      = 64
	benchBufferSize = 4 << 20 // bytes
)

// fixedEngine forwards every packet to one address.
type fixedEngine struct{ to netip.AddrPort }

func (e *fixedEngine) Decide(time.Duration, *connection.Packet, *connection.Relay) connection.Decision {
	return connection.Decision{Action: connection.Forward, Addr: e.to}
}

func (e *fixedEngine) Refresh(time.Duration, *connection.Packet, *connection.Relay) connection.Decision {
	return connection.Decision{}
}

func (e *fixedEngine) Hint(time.Duration, *connection.Hint) {}

func (e *fixedEngine) Member(version.MemberID, netip.AddrPort) bool { return true }

// flood keeps a window of packets in flight through to and counts those that
// come back, until b.N have. Packets that are lost are sent again.
func flood(b *testing.B, packet []byte, c *net.UDPConn, to netip.AddrPort) {
	const window = 4 * benchBatch
	conn := ipv4.NewPacketConn(c)
	out := make([]ipv4.Message, window)
	in := make([]ipv4.Message, window)
	for i := range out {
		out[i] = ipv4.Message{Buffers: [][]byte{packet}, Addr: net.UDPAddrFromAddrPort(to)}
		in[i].Buffers = [][]byte{make([]byte, len(packet))}
	}
	b.ResetTimer()
	for back, inFlight := 0, 0; back < b.N; {
		for inFlight < window {
			n, err := conn.WriteBatch(out[:window-inFlight], 0)
			must.NoError(b, err)
			inFlight += n
		}
		c.SetReadDeadline(time.Now().Add(time.Second))
		n, err := conn.ReadBatch(in, 0)
		if err != nil {
			inFlight = 0
			continue
		}
		back += n
		inFlight -= n
	}
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "pps")
}

func benchSocket(b *testing.B) *net.UDPConn {
	c := udpSocket(b)
	must.NoError(b, c.SetReadBuffer(benchBufferSize))
	must.NoError(b, c.SetWriteBuffer(benchBufferSize))
	return c
}

// BenchmarkLoopback sends packets through one receiver.
func BenchmarkLoopback(b *testing.B) {
	peer := benchSocket(b)
	cfg := Config{FabricAddr: loopback, RelayAddr: loopback, Receivers: 1, Batch: benchBatch,
		ReadBuffer: benchBufferSize, WriteBuffer: benchBufferSize}
	engine := &fixedEngine{to: peer.LocalAddr().(*net.UDPAddr).AddrPort()}
	start := time.Now()
	f, err := New(b.Context(), cfg, engine, testKeyring(), func() time.Duration { return time.Since(start) })
	must.NoError(b, err)
	must.NoError(b, f.Start(b.Context()))
	flood(b, synPacket(b), peer, f.FabricAddr())
	must.NoError(b, f.Stop(context.Background()))
}

// BenchmarkCopyLoop sends packets through a loop of ReadBatch and WriteBatch.
func BenchmarkCopyLoop(b *testing.B) {
	peer, c := benchSocket(b), benchSocket(b)
	done := make(chan struct{})
	go func() {
		defer close(done)
		copyLoop(c, peer.LocalAddr())
	}()
	flood(b, synPacket(b), peer, c.LocalAddr().(*net.UDPAddr).AddrPort())
	c.Close()
	<-done
}

func copyLoop(c *net.UDPConn, to net.Addr) {
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
			return
		}
		for i := range n {
			out[i].Buffers[0] = in[i].Buffers[0][:in[i].N]
		}
		for sent := 0; sent < n; {
			m, err := conn.WriteBatch(out[sent:n], 0)
			if err != nil {
				return
			}
			sent += m
		}
	}
}
