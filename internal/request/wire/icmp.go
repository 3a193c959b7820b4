package wire

import (
	"encoding/binary"

	"github.com/google/gopacket/layers"

	"heatherport/internal/connection"
	"heatherport/internal/result"
	"heatherport/internal/version"
)

const portsSize = 4 // bytes of the two ports that start TCP and UDP headers

// isICMPv4Error reports whether an ICMP message of this type is an error, which
// quotes the packet that caused it (RFC 1122, section 3.2.2).
func isICMPv4Error(messageType byte) bool {
	switch messageType {
	case layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4TypeTimeExceeded,
		layers.ICMPv4TypeParameterProblem:
		return true
	}
	return false
}

// isICMPv6Error is the counterpart of isICMPv4Error for ICMPv6 (RFC 4443,
// section 2.1).
func isICMPv6Error(messageType byte) bool {
	return messageType >= layers.ICMPv6TypeDestinationUnreachable &&
		messageType <= layers.ICMPv6TypeParameterProblem
}

// isICMP reports whether b is an ICMP or ICMPv6 packet. It must hold a complete
// IP header.
func isICMP(b []byte) bool {
	if b[0]>>4 == 4 {
		return b[9] == byte(layers.IPProtocolICMPv4)
	}
	return b[6] == byte(layers.IPProtocolICMPv6)
}

func decodeICMPv4(b []byte, p *connection.Packet) result.Code {
	header := int(b[0]&0x0f) * 4
	message := b[header:binary.BigEndian.Uint16(b[2:4])]
	if len(message) > 0 && !isICMPv4Error(message[0]) {
		return result.DropProtocol
	}
	return decodeICMPError(message, b[16:20], p)
}

func decodeICMPv6(b []byte, p *connection.Packet) result.Code {
	end := ipv6HeaderSize + int(binary.BigEndian.Uint16(b[4:6]))
	message := b[ipv6HeaderSize:end]
	if len(message) > 0 && !isICMPv6Error(message[0]) {
		return result.DropProtocol
	}
	return decodeICMPError(message, b[24:40], p)
}

// decodeICMPError decodes an ICMP error, such as "packet too big", about an
// answer of an upstream. The result is a packet of the answer's established
// connection, so that the error is forwarded to the upstream from any balancer
// at which it arrives. dst is the destination of the error and must be the
// source of the answer that message quotes.
func decodeICMPError(message, dst []byte, p *connection.Packet) result.Code {
	if len(message) < icmpHeaderSize {
		return result.DropTruncated
	}
	quote := message[icmpHeaderSize:]
	if len(quote) == 0 {
		return result.DropTruncated
	}
	switch quote[0] >> 4 {
	case 4:
		return decodeQuotedIPv4(quote, dst, p)
	case 6:
		return decodeQuotedIPv6(quote, dst, p)
	}
	return result.DropMalformed
}

func decodeQuotedIPv4(quote, dst []byte, p *connection.Packet) result.Code {
	if len(quote) < ipv4HeaderSize {
		return result.DropTruncated
	}
	header := int(quote[0]&0x0f) * 4
	if header < ipv4HeaderSize || string(quote[12:16]) != string(dst) {
		return result.DropMalformed
	}
	if len(quote) < header+portsSize {
		return result.DropTruncated
	}
	if binary.BigEndian.Uint16(quote[6:8])&fragmentOffset != 0 {
		return result.DropFragment
	}
	p.Key.Src = mappedAddr(quote[16:20])
	p.Key.Dst = mappedAddr(quote[12:16])
	return decodeQuotedPorts(quote[9], quote[header:], p)
}

func decodeQuotedIPv6(quote, dst []byte, p *connection.Packet) result.Code {
	if len(quote) < ipv6HeaderSize+portsSize {
		return result.DropTruncated
	}
	if string(quote[8:24]) != string(dst) {
		return result.DropMalformed
	}
	copy(p.Key.Src[:], quote[24:40])
	copy(p.Key.Dst[:], quote[8:24])
	return decodeQuotedPorts(quote[6], quote[ipv6HeaderSize:], p)
}

// decodeQuotedPorts sets the ports of the connection from the ports b of a
// quoted answer.
func decodeQuotedPorts(protocol byte, b []byte, p *connection.Packet) result.Code {
	if code := checkProtocol(protocol); code != result.OK {
		return code
	}
	p.Key.Protocol = version.Protocol(protocol)
	p.Key.SrcPort = binary.BigEndian.Uint16(b[2:4])
	p.Key.DstPort = binary.BigEndian.Uint16(b[0:2])
	p.Flags = connection.FlagEstablished
	return checkPorts(p)
}
