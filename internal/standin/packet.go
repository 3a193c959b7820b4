package standin

import (
	"encoding/json"
	"net/netip"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"

	"heatherport/internal/version"
)

const hopLimit = 64

// packet is a decoded IP packet. The fields flags, seq and ack are those of TCP.
type packet struct {
	protocol        version.Protocol
	src, dst        netip.AddrPort
	flags           tcpFlags
	seq, ack        uint32
	payload         []byte
	portUnreachable bool // ICMP port unreachable; src and dst are swapped from the quoted packet
}

type tcpFlags uint8

const (
	flagFIN tcpFlags = 1 << iota
	flagSYN
	flagRST
	flagACK
)

func (p *packet) has(f tcpFlags) bool { return p.flags&f == f }

// sequenceLength returns the number of TCP sequence numbers that p occupies.
func (p *packet) sequenceLength() uint32 {
	n := uint32(len(p.payload))
	if p.has(flagSYN) {
		n++
	}
	if p.has(flagFIN) {
		n++
	}
	return n
}

// reply returns a TCP packet in the opposite direction.
func (p *packet) reply(flags tcpFlags, seq, ack uint32, payload []byte) *packet {
	return &packet{protocol: version.TCP, src: p.dst, dst: p.src, flags: flags, seq: seq, ack: ack, payload: payload}
}

// encode returns the IP packet without a link-layer header.
func (p *packet) encode() []byte {
	network, ip := p.networkLayer()
	transport := p.transportLayer(network)
	buf := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(buf, options, ip, transport, gopacket.Payload(p.payload)); err != nil {
		panic(err) // cannot happen: this package sets all fields
	}
	return buf.Bytes()
}

func (p *packet) networkLayer() (gopacket.NetworkLayer, gopacket.SerializableLayer) {
	src, dst := p.src.Addr(), p.dst.Addr()
	protocol := layers.IPProtocol(p.protocol)
	if src.Is4() {
		ip := &layers.IPv4{Version: 4, TTL: hopLimit, Flags: layers.IPv4DontFragment, Protocol: protocol,
			SrcIP: src.AsSlice(), DstIP: dst.AsSlice()}
		return ip, ip
	}
	ip := &layers.IPv6{Version: 6, HopLimit: hopLimit, NextHeader: protocol,
		SrcIP: src.AsSlice(), DstIP: dst.AsSlice()}
	return ip, ip
}

func (p *packet) transportLayer(network gopacket.NetworkLayer) gopacket.SerializableLayer {
	if p.protocol == version.UDP {
		udp := &layers.UDP{SrcPort: layers.UDPPort(p.src.Port()), DstPort: layers.UDPPort(p.dst.Port())}
		_ = udp.SetNetworkLayerForChecksum(network)
		return udp
	}
	tcp := &layers.TCP{
		SrcPort: layers.TCPPort(p.src.Port()), DstPort: layers.TCPPort(p.dst.Port()),
		Seq: p.seq, Ack: p.ack, Window: 0xffff,
		FIN: p.has(flagFIN), SYN: p.has(flagSYN), RST: p.has(flagRST), ACK: p.has(flagACK),
	}
	_ = tcp.SetNetworkLayerForChecksum(network)
	return tcp
}

// decode decodes an IP packet. It returns nil if b holds neither TCP, UDP nor an
// ICMP port unreachable message.
func decode(b []byte) *packet {
	if len(b) == 0 {
		return nil
	}
	firstLayer := layers.LayerTypeIPv4
	if b[0]>>4 == 6 {
		firstLayer = layers.LayerTypeIPv6
	}
	in := gopacket.NewPacket(b, firstLayer, gopacket.DecodeOptions{NoCopy: true, Lazy: true})
	network := in.NetworkLayer()
	if network == nil {
		return nil
	}
	flow := network.NetworkFlow()
	src, _ := netip.AddrFromSlice(flow.Src().Raw())
	dst, _ := netip.AddrFromSlice(flow.Dst().Raw())
	if quoted := quotedPacket(in); quoted != nil {
		return decodePortUnreachable(quoted)
	}
	switch t := in.TransportLayer().(type) {
	case *layers.TCP:
		return decodeTCP(src, dst, t)
	case *layers.UDP:
		return &packet{protocol: version.UDP, payload: t.Payload,
			src: netip.AddrPortFrom(src, uint16(t.SrcPort)), dst: netip.AddrPortFrom(dst, uint16(t.DstPort))}
	}
	return nil
}

func decodeTCP(src, dst netip.Addr, t *layers.TCP) *packet {
	p := &packet{protocol: version.TCP, seq: t.Seq, ack: t.Ack, payload: t.Payload,
		src: netip.AddrPortFrom(src, uint16(t.SrcPort)), dst: netip.AddrPortFrom(dst, uint16(t.DstPort))}
	for f, set := range map[tcpFlags]bool{flagFIN: t.FIN, flagSYN: t.SYN, flagRST: t.RST, flagACK: t.ACK} {
		if set {
			p.flags |= f
		}
	}
	return p
}

// quotedPacket returns the packet that an ICMP port unreachable message
// quotes, or nil.
func quotedPacket(in gopacket.Packet) []byte {
	if m, ok := in.Layer(layers.LayerTypeICMPv4).(*layers.ICMPv4); ok {
		if m.TypeCode == layers.CreateICMPv4TypeCode(layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4CodePort) {
			return m.Payload
		}
	}
	const unusedSize = 4 // bytes; gopacket leaves the unused ICMPv6 field in the payload
	if m, ok := in.Layer(layers.LayerTypeICMPv6).(*layers.ICMPv6); ok && len(m.Payload) > unusedSize {
		if m.TypeCode == layers.CreateICMPv6TypeCode(layers.ICMPv6TypeDestinationUnreachable, layers.ICMPv6CodePortUnreachable) {
			return m.Payload[unusedSize:]
		}
	}
	return nil
}

func decodePortUnreachable(quoted []byte) *packet {
	p := decode(quoted)
	if p == nil {
		return nil
	}
	return &packet{protocol: p.protocol, src: p.dst, dst: p.src, portUnreachable: true}
}

// request is a caller's message to an upstream.
type request struct {
	Conn   uint64 `json:"conn"`
	Number uint32 `json:"number"`
	Size   int    `json:"size"` // bytes of the body that follows the response
}

// response is an upstream's reply. Conn and Number echo those of the request.
type response struct {
	Conn     uint64 `json:"conn"`
	Number   uint32 `json:"number"`
	Service  string `json:"service"`
	Upstream string `json:"upstream"`
	Shed     bool   `json:"shed,omitempty"` // the upstream rejected the request without running it
}

func marshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // cannot happen: request and response always encode
	}
	return append(b, '\n')
}

// fillBody fills b with the expected body bytes of a connection, starting at
// offset.
func fillBody(b []byte, conn uint64, offset int) {
	for i := range b {
		b[i] = byte(conn) + byte((offset+i)*31)
	}
}
