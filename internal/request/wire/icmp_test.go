package wire

import (
	"net"
	"testing"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"
	"github.com/shoenig/test/must"

	"heatherport/internal/connection"
	"heatherport/internal/result"
)

// icmpTooBig returns the ICMP or ICMPv6 error that a router sends to the source
// of the packet quote if the packet is too big for the next link.
func icmpTooBig(t testing.TB, v int, quote []byte) []byte {
	t.Helper()
	if v == 4 {
		ip := ip4(layers.IPProtocolICMPv4)
		ip.SrcIP, ip.DstIP = net.IP{203, 0, 113, 1}, net.IP(quote[12:16])
		icmp := &layers.ICMPv4{TypeCode: layers.CreateICMPv4TypeCode(3, layers.ICMPv4CodeFragmentationNeeded)}
		return build(t, ip, icmp, gopacket.Payload(quote))
	}
	ip := ip6(layers.IPProtocolICMPv6)
	ip.SrcIP, ip.DstIP = net.ParseIP("2001:db8::ff"), net.IP(quote[8:24])
	icmp := &layers.ICMPv6{TypeCode: layers.CreateICMPv6TypeCode(layers.ICMPv6TypePacketTooBig, 0)}
	must.NoError(t, icmp.SetNetworkLayerForChecksum(ip))
	return build(t, ip, icmp, gopacket.Payload(append(make([]byte, 4), quote...)))
}

// TestDecodeICMPError checks that an ICMP error about an answer has the flow key
// of the caller's packets although its source is a router.
func TestDecodeICMPError(t *testing.T) {
	d := NewDecoder()
	for _, v := range []int{4, 6} {
		for _, packet := range [][]byte{
			tcpPacket(t, v, layers.TCP{ACK: true}, "data"),
			udpPacket(t, v, quicShort()),
		} {
			var answer, caller connection.Packet
			must.Eq(t, result.OK, d.Decode(packet, &answer))
			must.Eq(t, result.OK, d.Decode(icmpTooBig(t, v, packet), &caller))
			must.Eq(t, connection.FlagEstablished, caller.Flags)
			must.Eq(t, answer.Key.Src, caller.Key.Dst)
			must.Eq(t, answer.Key.Dst, caller.Key.Src)
			must.Eq(t, answer.Key.SrcPort, caller.Key.DstPort)
			must.Eq(t, answer.Key.DstPort, caller.Key.SrcPort)
			must.Eq(t, answer.Key.Protocol, caller.Key.Protocol)
		}
	}
}

func TestDecodeICMPErrorRejects(t *testing.T) {
	data4 := tcpPacket(t, 4, layers.TCP{ACK: true}, "data")
	data6 := tcpPacket(t, 6, layers.TCP{ACK: true}, "data")
	error4, error6 := icmpTooBig(t, 4, data4), icmpTooBig(t, 6, data6)
	const quote4, quote6 = ipv4HeaderSize + icmpHeaderSize, ipv6HeaderSize + icmpHeaderSize
	tests := []struct {
		name string
		b    []byte
		code result.Code
	}{
		{"echo", edit(error4, ipv4HeaderSize, layers.ICMPv4TypeEchoRequest), result.DropProtocol},
		{"ICMPv6 echo", edit(error6, ipv6HeaderSize, layers.ICMPv6TypeEchoRequest), result.DropProtocol},
		{"quote of another source", edit(error4, quote4+15, 99), result.DropMalformed},
		{"IPv6 quote of another source", edit(error6, quote6+23, 99), result.DropMalformed},
		{"quote without ports", icmpTooBig(t, 4, data4[:ipv4HeaderSize]), result.DropTruncated},
		{"IPv6 quote without ports", icmpTooBig(t, 6, data6[:ipv6HeaderSize]), result.DropTruncated},
		{"quoted header length", edit(error4, quote4, 0x41), result.DropMalformed},
		{"quoted IP version", edit(error4, quote4, 0x15), result.DropMalformed},
		{"quoted later fragment", edit(error4, quote4+7, 1), result.DropFragment},
		{"quoted protocol", edit(error4, quote4+9, 47), result.DropProtocol},
		{"no message", edit(error4, 3, ipv4HeaderSize), result.DropTruncated},
		{"header only", edit(edit(error6, 5, icmpHeaderSize), 4, 0), result.DropTruncated},
	}
	d := NewDecoder()
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var p connection.Packet
			must.Eq(t, tc.code, d.Decode(tc.b, &p))
		})
	}
}

func TestICMPErrorsAreNotRefused(t *testing.T) {
	refusal, err := NewRefuser().Refuse(icmpTooBig(t, 4, udpPacket(t, 4, nil)))
	must.NoError(t, err)
	must.Nil(t, refusal)
}
