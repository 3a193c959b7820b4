package wire

import (
	"testing"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"
	"github.com/shoenig/test/must"
)

// transportChecksum returns the Internet checksum of a transport segment with
// its pseudo header. It is zero for a valid segment.
func transportChecksum(src, dst []byte, protocol byte, segment []byte) uint16 {
	b := append([]byte(nil), src...)
	b = append(b, dst...)
	b = append(b, 0, 0, byte(len(segment)>>8), byte(len(segment)), 0, 0, 0, protocol)
	b = append(b, segment...)
	if len(b)%2 != 0 {
		b = append(b, 0)
	}
	return checksum(b)
}

func TestRefuseTCP(t *testing.T) {
	tests := []struct {
		name     string
		in       layers.TCP
		payload  string
		seq, ack uint32
		hasAck   bool
	}{
		{"SYN", layers.TCP{SYN: true, Seq: 100}, "", 0, 101, true},
		{"SYN with data", layers.TCP{SYN: true, Seq: 100}, "abc", 0, 104, true},
		{"SYN with the highest sequence number", layers.TCP{SYN: true, Seq: 0xffffffff}, "", 0, 0, true},
		{"data", layers.TCP{ACK: true, Seq: 100, Ack: 55}, "abc", 55, 0, false},
	}
	for _, tc := range tests {
		for _, v := range []int{4, 6} {
			t.Run(tc.name, func(t *testing.T) {
				refusal, err := NewRefuser().Refuse(tcpPacket(t, v, tc.in, tc.payload))
				must.NoError(t, err)
				p := gopacket.NewPacket(refusal, firstLayer(v), gopacket.Default)
				tcp := p.TransportLayer().(*layers.TCP)
				must.True(t, tcp.RST)
				must.Eq(t, tc.seq, tcp.Seq)
				must.Eq(t, tc.ack, tcp.Ack)
				must.Eq(t, tc.hasAck, tcp.ACK)
				must.Eq(t, 443, tcp.SrcPort)
				flow := p.NetworkLayer().NetworkFlow()
				segment := p.NetworkLayer().LayerPayload()
				must.Zero(t, transportChecksum(flow.Src().Raw(), flow.Dst().Raw(), 6, segment))
			})
		}
	}
}

func firstLayer(v int) gopacket.LayerType {
	if v == 4 {
		return layers.LayerTypeIPv4
	}
	return layers.LayerTypeIPv6
}

func TestResetsAreNotRefused(t *testing.T) {
	refusal, err := NewRefuser().Refuse(tcpPacket(t, 4, layers.TCP{RST: true}, ""))
	must.NoError(t, err)
	must.Nil(t, refusal)
}

func TestRefuseUDP4(t *testing.T) {
	for _, size := range []int{0, 4, 1400} {
		in := udpPacket(t, 4, make([]byte, size))
		refusal, err := NewRefuser().Refuse(in)
		must.NoError(t, err)
		must.LessEq(t, maxICMPv4Size, len(refusal))
		p := gopacket.NewPacket(refusal, layers.LayerTypeIPv4, gopacket.Default)
		icmp := p.Layer(layers.LayerTypeICMPv4).(*layers.ICMPv4)
		must.Eq(t, layers.CreateICMPv4TypeCode(3, 3), icmp.TypeCode)
		must.Eq(t, in[:len(icmp.Payload)], icmp.Payload)
		must.Eq(t, min(len(in), maxICMPv4Size-28), len(icmp.Payload))
		message := refusal[ipv4HeaderSize:]
		must.Zero(t, checksum(message[:len(message)&^1]))
	}
}

func TestRefuseUDP6(t *testing.T) {
	for _, size := range []int{0, 5, 1400} {
		in := udpPacket(t, 6, make([]byte, size))
		refusal, err := NewRefuser().Refuse(in)
		must.NoError(t, err)
		must.LessEq(t, maxICMPv6Size, len(refusal))
		message := refusal[ipv6HeaderSize:]
		must.Eq(t, []byte{1, 4}, message[:2])
		must.Eq(t, []byte{0, 0, 0, 0}, message[4:8])
		must.Eq(t, in[:min(len(in), maxICMPv6Size-48)], message[8:])
		must.Zero(t, transportChecksum(refusal[8:24], refusal[24:40], 58, message))
	}
}
