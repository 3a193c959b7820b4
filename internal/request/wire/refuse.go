package wire

import (
	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"

	"heatherport/internal/connection"
	"heatherport/internal/result"
	"heatherport/internal/version"
)

// Maximum sizes of refusals in bytes: RFC 1812, section 4.3.2.3, for ICMP, and
// RFC 4443, section 2.4, for ICMPv6.
const (
	maxICMPv4Size  = 576
	maxICMPv6Size  = 1280
	icmpHeaderSize = 8
)

// MaxRefusalSize is the maximum size of a refusal in bytes.
const MaxRefusalSize = maxICMPv6Size

// refusalTTL is the time to live of refusals, in hops.
const refusalTTL = 64

// Refuser builds the packets that refuse other packets. It reuses its buffer and
// is not safe for concurrent use.
type Refuser struct {
	decoder *Decoder
	packet  connection.Packet
	buf     gopacket.SerializeBuffer
}

// NewRefuser returns a Refuser.
func NewRefuser() *Refuser {
	return &Refuser{decoder: NewDecoder(), buf: gopacket.NewSerializeBuffer()}
}

// Refuse returns the bare IP packet that refuses b: a TCP reset for TCP, or an
// ICMP port unreachable message for UDP. The result is valid until the next
// call. It is nil if b must not be answered because it is itself a TCP reset or
// an ICMP error.
func (r *Refuser) Refuse(b []byte) ([]byte, error) {
	if code := r.decoder.Decode(b, &r.packet); code != result.OK {
		return nil, result.Errorf(code, "decode packet to refuse")
	}
	if isICMP(b) {
		return nil, nil
	}
	if r.packet.Key.Protocol == version.UDP {
		return r.portUnreachable(b)
	}
	if r.packet.Flags&connection.FlagReset != 0 {
		return nil, nil
	}
	return r.tcpReset(b)
}

// tcpReset builds a TCP reset as RFC 9293, section 3.10.7.1, prescribes for a
// segment to a closed port.
func (r *Refuser) tcpReset(b []byte) ([]byte, error) {
	in := &r.decoder.tcp
	out := &layers.TCP{SrcPort: in.DstPort, DstPort: in.SrcPort, RST: true}
	if in.ACK {
		out.Seq = in.Ack
	} else {
		out.ACK = true
		out.Ack = in.Seq + segmentLength(in)
	}
	ip, network := r.replyHeaders(b, layers.IPProtocolTCP)
	if err := out.SetNetworkLayerForChecksum(network); err != nil {
		return nil, result.Wrapf(err, result.Internal, "TCP reset checksum")
	}
	return r.serialize(ip, out)
}

// segmentLength returns the number of sequence numbers that a segment occupies.
func segmentLength(t *layers.TCP) uint32 {
	n := uint32(len(t.Payload))
	if t.SYN {
		n++
	}
	if t.FIN {
		n++
	}
	return n
}

// portUnreachable builds an ICMP or ICMPv6 port unreachable message, which quotes
// as much of b as its size limit allows.
func (r *Refuser) portUnreachable(b []byte) ([]byte, error) {
	if b[0]>>4 == 4 {
		return r.portUnreachable4(b)
	}
	return r.portUnreachable6(b)
}

func (r *Refuser) portUnreachable4(b []byte) ([]byte, error) {
	ip, _ := r.replyHeaders(b, layers.IPProtocolICMPv4)
	icmp := &layers.ICMPv4{
		TypeCode: layers.CreateICMPv4TypeCode(layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4CodePort),
	}
	quote := gopacket.Payload(b[:min(len(b), maxICMPv4Size-ipv4HeaderSize-icmpHeaderSize)])
	return r.serialize(ip, icmp, quote)
}

func (r *Refuser) portUnreachable6(b []byte) ([]byte, error) {
	ip, network := r.replyHeaders(b, layers.IPProtocolICMPv6)
	icmp := &layers.ICMPv6{
		TypeCode: layers.CreateICMPv6TypeCode(layers.ICMPv6TypeDestinationUnreachable, layers.ICMPv6CodePortUnreachable),
	}
	if err := icmp.SetNetworkLayerForChecksum(network); err != nil {
		return nil, result.Wrapf(err, result.Internal, "ICMPv6 checksum")
	}
	const unusedSize = 4 // gopacket's ICMPv6 header does not contain the unused field
	quote := min(len(b), maxICMPv6Size-ipv6HeaderSize-icmpHeaderSize)
	body := make(gopacket.Payload, unusedSize, unusedSize+quote)
	return r.serialize(ip, icmp, append(body, b[:quote]...))
}

// replyHeaders returns an IP header from the destination of b to its source, as
// a layer to serialize and as the network layer for checksums.
func (r *Refuser) replyHeaders(b []byte, protocol layers.IPProtocol) (gopacket.SerializableLayer, gopacket.NetworkLayer) {
	if b[0]>>4 == 4 {
		in := &r.decoder.ip4
		ip := &layers.IPv4{Version: 4, TTL: refusalTTL, Flags: layers.IPv4DontFragment,
			Protocol: protocol, SrcIP: in.DstIP, DstIP: in.SrcIP}
		return ip, ip
	}
	in := &r.decoder.ip6
	ip := &layers.IPv6{Version: 6, HopLimit: refusalTTL,
		NextHeader: protocol, SrcIP: in.DstIP, DstIP: in.SrcIP}
	return ip, ip
}

func (r *Refuser) serialize(l ...gopacket.SerializableLayer) ([]byte, error) {
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(r.buf, options, l...); err != nil {
		return nil, result.Wrapf(err, result.Internal, "serialize refusal")
	}
	return r.buf.Bytes(), nil
}
