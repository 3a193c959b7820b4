// Package wire decodes the bare IP packets that Foo-over-UDP datagrams carry and
// builds the packets that refuse them.
package wire

import (
	"encoding/binary"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"

	"heatherport/internal/connection"
	"heatherport/internal/result"
	"heatherport/internal/version"
)

// Sizes of headers, in bytes.
const (
	ipv4HeaderSize = 20
	ipv6HeaderSize = 40
	udpHeaderSize  = 8
)

// Bit masks of the flags and the fragment offset in an IPv4 header.
const (
	moreFragments  = 0x2000
	fragmentOffset = 0x1fff
)

// Decoder decodes packets. It reuses its buffers and is not safe for concurrent
// use.
type Decoder struct {
	ip4     layers.IPv4
	ip6     layers.IPv6
	tcp     layers.TCP
	udp     layers.UDP
	ipv4    *gopacket.DecodingLayerParser
	ipv6    *gopacket.DecodingLayerParser
	decoded []gopacket.LayerType
}

// NewDecoder returns a Decoder.
func NewDecoder() *Decoder {
	d := &Decoder{decoded: make([]gopacket.LayerType, 0, 4)}
	d.ipv4 = newParser(layers.LayerTypeIPv4, &d.ip4, &d.tcp, &d.udp)
	d.ipv6 = newParser(layers.LayerTypeIPv6, &d.ip6, &d.tcp, &d.udp)
	return d
}

func newParser(first gopacket.LayerType, known ...gopacket.DecodingLayer) *gopacket.DecodingLayerParser {
	p := gopacket.NewDecodingLayerParser(first)
	p.SetDecodingLayerContainer(gopacket.DecodingLayerArray(nil))
	for _, l := range known {
		p.AddDecodingLayer(l)
	}
	p.IgnoreUnsupported = true
	return p
}

// Decode decodes the bare IP packet b into p. It returns result.OK, or the
// cause for dropping b; then p is not valid. An ICMP error is decoded as a
// packet of the established connection that it refers to. IPv6 extension headers
// are not supported: a fragment header yields DropFragment, others yield
// DropProtocol.
func (d *Decoder) Decode(b []byte, p *connection.Packet) result.Code {
	if len(b) == 0 {
		return result.DropTruncated
	}
	*p = connection.Packet{}
	switch b[0] >> 4 {
	case 4:
		return d.decodeIPv4(b, p)
	case 6:
		return d.decodeIPv6(b, p)
	}
	return result.DropMalformed
}

func (d *Decoder) decodeIPv4(b []byte, p *connection.Packet) result.Code {
	if code := checkIPv4(b); code != result.OK {
		return code
	}
	if isICMP(b) {
		return decodeICMPv4(b, p)
	}
	if code := d.parse(d.ipv4, b); code != result.OK {
		return code
	}
	p.Key.Src = mappedAddr(d.ip4.SrcIP)
	p.Key.Dst = mappedAddr(d.ip4.DstIP)
	return d.decodeTransport(version.Protocol(d.ip4.Protocol), p)
}

// checkIPv4 returns result.OK, or the cause for dropping b. It covers the faults
// of an IPv4 header that gopacket accepts, or rejects without a distinct cause.
func checkIPv4(b []byte) result.Code {
	if len(b) < ipv4HeaderSize {
		return result.DropTruncated
	}
	header := int(b[0]&0x0f) * 4
	total := int(binary.BigEndian.Uint16(b[2:4]))
	if header < ipv4HeaderSize || total < header {
		return result.DropMalformed
	}
	if total > len(b) {
		return result.DropTruncated
	}
	if checksum(b[:header]) != 0 {
		return result.DropMalformed
	}
	if binary.BigEndian.Uint16(b[6:8])&(moreFragments|fragmentOffset) != 0 {
		return result.DropFragment
	}
	if isICMP(b) {
		return result.OK
	}
	return checkProtocol(b[9])
}

func (d *Decoder) decodeIPv6(b []byte, p *connection.Packet) result.Code {
	if code := checkIPv6(b); code != result.OK {
		return code
	}
	if isICMP(b) {
		return decodeICMPv6(b, p)
	}
	if code := d.parse(d.ipv6, b); code != result.OK {
		return code
	}
	copy(p.Key.Src[:], d.ip6.SrcIP)
	copy(p.Key.Dst[:], d.ip6.DstIP)
	return d.decodeTransport(version.Protocol(d.ip6.NextHeader), p)
}

func checkIPv6(b []byte) result.Code {
	if len(b) < ipv6HeaderSize {
		return result.DropTruncated
	}
	payload := int(binary.BigEndian.Uint16(b[4:6]))
	if payload > len(b)-ipv6HeaderSize {
		return result.DropTruncated
	}
	next := b[6]
	if next == byte(layers.IPProtocolIPv6Fragment) {
		return result.DropFragment
	}
	if isICMP(b) {
		return result.OK
	}
	return checkProtocol(next)
}

func checkProtocol(protocol byte) result.Code {
	switch version.Protocol(protocol) {
	case version.TCP, version.UDP:
		return result.OK
	}
	return result.DropProtocol
}

func (d *Decoder) parse(parser *gopacket.DecodingLayerParser, b []byte) result.Code {
	err := parser.DecodeLayers(b, &d.decoded)
	switch {
	case parser.Truncated:
		return result.DropTruncated
	case err != nil:
		return result.DropMalformed
	case len(d.decoded) < 2:
		return result.DropMalformed
	}
	return result.OK
}

func (d *Decoder) decodeTransport(protocol version.Protocol, p *connection.Packet) result.Code {
	p.Key.Protocol = protocol
	if protocol == version.TCP {
		return d.decodeTCP(p)
	}
	return d.decodeUDP(p)
}

func (d *Decoder) decodeTCP(p *connection.Packet) result.Code {
	t := &d.tcp
	p.Key.SrcPort = uint16(t.SrcPort)
	p.Key.DstPort = uint16(t.DstPort)
	p.Seq = t.Seq
	if t.SYN && (t.FIN || t.RST) {
		return result.DropMalformed
	}
	if t.SYN && !t.ACK {
		p.Flags |= connection.FlagOpen
	} else {
		p.Flags |= connection.FlagEstablished
	}
	if t.FIN {
		p.Flags |= connection.FlagFin
	}
	if t.RST {
		p.Flags |= connection.FlagReset
	}
	return checkPorts(p)
}

func (d *Decoder) decodeUDP(p *connection.Packet) result.Code {
	if d.udp.Length < udpHeaderSize {
		return result.DropMalformed
	}
	p.Key.SrcPort = uint16(d.udp.SrcPort)
	p.Key.DstPort = uint16(d.udp.DstPort)
	p.Flags, p.Seq = quicFlags(d.udp.Payload)
	return checkPorts(p)
}

func checkPorts(p *connection.Packet) result.Code {
	if p.Key.SrcPort == 0 || p.Key.DstPort == 0 {
		return result.DropMalformed
	}
	return result.OK
}

// mappedAddr returns the IPv4-mapped IPv6 form of a 4-byte address.
func mappedAddr(addr []byte) (out [16]byte) {
	out[10], out[11] = 0xff, 0xff
	copy(out[12:], addr)
	return out
}

// checksum returns the Internet checksum of b (RFC 1071), which is zero for a
// header that contains its own valid checksum. The length of b is even.
func checksum(b []byte) uint16 {
	var sum uint32
	for i := 0; i+1 < len(b); i += 2 {
		sum += uint32(binary.BigEndian.Uint16(b[i:]))
	}
	for sum > 0xffff {
		sum = sum>>16 + sum&0xffff
	}
	return ^uint16(sum)
}
