package wire

import (
	"math/rand/v2"
	"net"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"
	"github.com/shoenig/test/must"

	"heatherport/internal/connection"
	"heatherport/internal/result"
	"heatherport/internal/version"
)

func build(t testing.TB, l ...gopacket.SerializableLayer) []byte {
	t.Helper()
	buf := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	must.NoError(t, gopacket.SerializeLayers(buf, options, l...))
	return buf.Bytes()
}

func ip4(p layers.IPProtocol) *layers.IPv4 {
	return &layers.IPv4{Version: 4, TTL: 64, Protocol: p,
		SrcIP: net.IP{192, 0, 2, 1}, DstIP: net.IP{198, 51, 100, 7}}
}

func ip6(p layers.IPProtocol) *layers.IPv6 {
	return &layers.IPv6{Version: 6, HopLimit: 64, NextHeader: p,
		SrcIP: net.ParseIP("2001:db8::1"), DstIP: net.ParseIP("2001:db8::7")}
}

func tcpPacket(t testing.TB, v int, tcp layers.TCP, payload string) []byte {
	t.Helper()
	tcp.SrcPort, tcp.DstPort = 40000, 443
	if v == 4 {
		ip := ip4(layers.IPProtocolTCP)
		must.NoError(t, tcp.SetNetworkLayerForChecksum(ip))
		return build(t, ip, &tcp, gopacket.Payload(payload))
	}
	ip := ip6(layers.IPProtocolTCP)
	must.NoError(t, tcp.SetNetworkLayerForChecksum(ip))
	return build(t, ip, &tcp, gopacket.Payload(payload))
}

func udpPacket(t testing.TB, v int, payload []byte) []byte {
	t.Helper()
	udp := layers.UDP{SrcPort: 40000, DstPort: 443}
	if v == 4 {
		ip := ip4(layers.IPProtocolUDP)
		must.NoError(t, udp.SetNetworkLayerForChecksum(ip))
		return build(t, ip, &udp, gopacket.Payload(payload))
	}
	ip := ip6(layers.IPProtocolUDP)
	must.NoError(t, udp.SetNetworkLayerForChecksum(ip))
	return build(t, ip, &udp, gopacket.Payload(payload))
}

// quicLong returns a QUIC packet with a long header of the given type.
func quicLong(v uint32, kind byte, source ...byte) []byte {
	b := []byte{quicLongHeader | quicFixedBit | kind<<4, byte(v >> 24), byte(v >> 16), byte(v >> 8), byte(v)}
	b = append(b, 4, 1, 2, 3, 4)
	b = append(b, byte(len(source)))
	return append(append(b, source...), make([]byte, 1200)...)
}

// quicShort returns a QUIC packet with a short header.
func quicShort() []byte {
	b := make([]byte, 31)
	rand.NewChaCha8([32]byte{1}).Read(b)
	b[0] = quicFixedBit
	return b
}

// dnsQuery returns a DNS query that starts like a QUIC short header.
func dnsQuery(t testing.TB) []byte {
	t.Helper()
	return build(t, &layers.DNS{ID: quicFixedBit << 8, RD: true, Questions: []layers.DNSQuestion{
		{Name: []byte("permits.example.org"), Type: layers.DNSTypeA, Class: layers.DNSClassIN},
	}})
}

func TestDecode(t *testing.T) {
	const (
		open        = connection.FlagOpen
		established = connection.FlagEstablished
	)
	sourceHash := uint32(xxhash.Sum64([]byte{9}))
	tests := []struct {
		name  string
		b     []byte
		flags connection.PacketFlags
		seq   uint32
		proto version.Protocol
	}{
		{"SYN over IPv4", tcpPacket(t, 4, layers.TCP{SYN: true, Seq: 7}, ""), open, 7, version.TCP},
		{"SYN over IPv6", tcpPacket(t, 6, layers.TCP{SYN: true, Seq: 7}, ""), open, 7, version.TCP},
		{"SYN with ACK", tcpPacket(t, 4, layers.TCP{SYN: true, ACK: true}, ""), established, 0, version.TCP},
		{"data", tcpPacket(t, 6, layers.TCP{ACK: true, Seq: 9}, "data"), established, 9, version.TCP},
		{"FIN", tcpPacket(t, 4, layers.TCP{ACK: true, FIN: true}, ""), established | connection.FlagFin, 0, version.TCP},
		{"RST", tcpPacket(t, 4, layers.TCP{RST: true}, ""), established | connection.FlagReset, 0, version.TCP},
		{"DNS", udpPacket(t, 4, []byte{0x12, 0x34, 1, 0}), 0, 0, version.UDP},
		{"empty UDP", udpPacket(t, 6, nil), 0, 0, version.UDP},
		{"QUIC v1 Initial", udpPacket(t, 4, quicLong(quicVersion1, 0, 9)), open, sourceHash, version.UDP},
		{"QUIC v2 Initial", udpPacket(t, 6, quicLong(quicVersion2, 1, 9)), open, sourceHash, version.UDP},
		{"QUIC 0-RTT", udpPacket(t, 4, quicLong(quicVersion1, 1)), 0, 0, version.UDP},
		{"QUIC v1 Handshake", udpPacket(t, 4, quicLong(quicVersion1, 2)), established, 0, version.UDP},
		{"QUIC v2 Handshake", udpPacket(t, 4, quicLong(quicVersion2, 3)), established, 0, version.UDP},
		{"QUIC unknown version", udpPacket(t, 4, quicLong(0xabad1dea, 0)), 0, 0, version.UDP},
		{"QUIC short header", udpPacket(t, 4, quicShort()), established, 0, version.UDP},
		{"DNS like a QUIC short header", udpPacket(t, 4, dnsQuery(t)), 0, 0, version.UDP},
		{"text like a QUIC short header", udpPacket(t, 6, []byte("REGISTER sip:permits.example.org SIP/2.0\r\n")), 0, 0, version.UDP},
		{"too short for QUIC", udpPacket(t, 4, quicShort()[:quicMinShortSize-1]), 0, 0, version.UDP},
	}
	d := NewDecoder()
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var p connection.Packet
			must.Eq(t, result.OK, d.Decode(tc.b, &p))
			must.Eq(t, tc.flags, p.Flags)
			must.Eq(t, tc.seq, p.Seq)
			must.Eq(t, tc.proto, p.Key.Protocol)
			must.Eq(t, 40000, p.Key.Caller().Port())
			must.Eq(t, 443, p.Key.Service().Port)
			must.Eq(t, tc.b[0]>>4 == 4, p.Key.Caller().Addr().Is4())
		})
	}
}

// edit returns a copy of b with b[i] set to v, and a correct IPv4 checksum.
func edit(b []byte, i int, v byte) []byte {
	b = append([]byte(nil), b...)
	b[i] = v
	if b[0]>>4 == 4 {
		b[10], b[11] = 0, 0
		sum := checksum(b[:ipv4HeaderSize])
		b[10], b[11] = byte(sum>>8), byte(sum)
	}
	return b
}

func TestDecodeRejects(t *testing.T) {
	syn4 := tcpPacket(t, 4, layers.TCP{SYN: true}, "")
	syn6 := tcpPacket(t, 6, layers.TCP{SYN: true}, "")
	udp4 := udpPacket(t, 4, []byte("data"))
	badSum := append([]byte(nil), syn4...)
	badSum[10]++
	tests := []struct {
		name string
		b    []byte
		code result.Code
	}{
		{"empty", nil, result.DropTruncated},
		{"version 5", []byte{0x50, 0}, result.DropMalformed},
		{"short IPv4 header", syn4[:19], result.DropTruncated},
		{"short IPv6 header", syn6[:39], result.DropTruncated},
		{"short TCP header over IPv4", syn4[:39], result.DropTruncated},
		{"short TCP header over IPv6", syn6[:59], result.DropTruncated},
		{"truncated payload", udp4[:len(udp4)-1], result.DropTruncated},
		{"IPv4 header length", edit(syn4, 0, 0x44), result.DropMalformed},
		{"IPv4 header beyond packet", edit(syn4, 3, 19), result.DropMalformed},
		{"IPv4 length zero", edit(edit(syn4, 3, 0), 2, 0), result.DropMalformed},
		{"IPv4 checksum", badSum, result.DropMalformed},
		{"first IPv4 fragment", edit(syn4, 6, 0x20), result.DropFragment},
		{"later IPv4 fragment", edit(syn4, 7, 8), result.DropFragment},
		{"IPv6 fragment", edit(syn6, 6, 44), result.DropFragment},
		{"IPv6 hop-by-hop", edit(syn6, 6, 0), result.DropProtocol},
		{"GRE", edit(syn4, 9, 47), result.DropProtocol},
		{"IPv6 without payload", edit(edit(syn6, 4, 0), 5, 0), result.DropMalformed},
		{"TCP data offset small", edit(syn4, 32, 0x40), result.DropMalformed},
		{"TCP data offset large", edit(syn4, 32, 0xf0), result.DropTruncated},
		{"SYN with FIN", tcpPacket(t, 4, layers.TCP{SYN: true, FIN: true}, ""), result.DropMalformed},
		{"SYN with RST", tcpPacket(t, 6, layers.TCP{SYN: true, RST: true}, ""), result.DropMalformed},
		{"UDP length zero", edit(edit(udp4, 24, 0), 25, 0), result.DropMalformed},
		{"UDP length beyond packet", edit(udp4, 25, 200), result.DropTruncated},
		{"source port zero", edit(edit(udp4, 20, 0), 21, 0), result.DropMalformed},
	}
	d := NewDecoder()
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var p connection.Packet
			must.Eq(t, tc.code, d.Decode(tc.b, &p))
		})
	}
}

func TestDecodeDoesNotAllocate(t *testing.T) {
	packets := [][]byte{
		tcpPacket(t, 4, layers.TCP{SYN: true}, ""),
		tcpPacket(t, 6, layers.TCP{ACK: true}, "data"),
		udpPacket(t, 4, quicLong(quicVersion1, 0, 9)),
		udpPacket(t, 6, quicShort()),
		icmpTooBig(t, 4, udpPacket(t, 4, quicShort())),
	}
	d := NewDecoder()
	var p connection.Packet
	for _, b := range packets {
		must.Zero(t, testing.AllocsPerRun(100, func() { d.Decode(b, &p) }))
	}
}

func FuzzDecodePacket(f *testing.F) {
	for _, v := range []int{4, 6} {
		f.Add(tcpPacket(f, v, layers.TCP{SYN: true, Seq: 1}, ""))
		f.Add(tcpPacket(f, v, layers.TCP{ACK: true, FIN: true}, "data"))
		f.Add(udpPacket(f, v, quicLong(quicVersion1, 0, 9)))
		f.Add(udpPacket(f, v, quicShort()))
		f.Add(udpPacket(f, v, nil))
		f.Add(icmpTooBig(f, v, tcpPacket(f, v, layers.TCP{ACK: true}, "")))
	}
	d := NewDecoder()
	r := NewRefuser()
	f.Fuzz(func(t *testing.T, b []byte) {
		var p connection.Packet
		code := d.Decode(b, &p)
		if code != result.OK {
			must.Eq(t, result.ClassPacket, code.Class())
			return
		}
		must.NotEq(t, 0, p.Key.SrcPort)
		checkRefusal(t, r, b, &p)
	})
}

// checkRefusal checks that the refusal of b, if any, is sent to the source of b.
func checkRefusal(t *testing.T, r *Refuser, b []byte, p *connection.Packet) {
	t.Helper()
	refusal, err := r.Refuse(b)
	must.NoError(t, err)
	if refusal == nil {
		must.True(t, isICMP(b) || p.Flags&connection.FlagReset != 0)
		return
	}
	must.LessEq(t, MaxRefusalSize, len(refusal))
	if p.Key.Protocol != version.TCP {
		return
	}
	var q connection.Packet
	must.Eq(t, result.OK, NewDecoder().Decode(refusal, &q))
	must.Eq(t, p.Key.Src, q.Key.Dst)
	must.Eq(t, p.Key.Dst, q.Key.Src)
	must.Eq(t, p.Key.SrcPort, q.Key.DstPort)
}

func BenchmarkDecode(b *testing.B) {
	packet := tcpPacket(b, 4, layers.TCP{ACK: true}, "data")
	d := NewDecoder()
	var p connection.Packet
	b.ReportAllocs()
	for b.Loop() {
		d.Decode(packet, &p)
	}
}
