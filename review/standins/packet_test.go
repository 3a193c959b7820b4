//go:build review

package standins

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Flags of a packet.
const (
	flagSYN = 1
	flagACK = 2
	flagFIN = 32
	flagRST = 64
)

const (
	headerSize = 31
	handleSize = 8
)

// packet is a packet of a flow.
type packet struct {
	flags    uint8
	sum      uint32
	echo     uint32
	from, to netip.AddrPort
	seq, ack uint32
	data     []byte
}

// encode returns the packet with a checksum over all fields but the echo. Resets of the
// system have the sum zero, those of endpoints never.
func (p *packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
	b[0] = p.flags
	src, dst := p.from.Addr().As4(), p.to.Addr().As4()
	copy(b[9:], src[:])
	binary.BigEndian.PutUint16(b[13:], p.from.Port())
	copy(b[15:], dst[:])
	binary.BigEndian.PutUint16(b[19:], p.to.Port())
	binary.BigEndian.PutUint32(b[21:], p.seq)
	binary.BigEndian.PutUint32(b[25:], p.ack)
	binary.BigEndian.PutUint16(b[29:], uint16(len(p.data)))
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b[1:], checksum(b))
	binary.BigEndian.PutUint32(b[5:], p.echo)
	return b
}

// checksum covers all but the fields sum and echo.
func checksum(b []byte) uint32 {
	c := append([]byte{b[0]}, b[9:]...)
	return crc32.ChecksumIEEE(c) | 1
}

// decode returns the packet in b; intact reports whether its checksum is right.
func decode(b []byte) (p *packet, intact bool) {
	if len(b) < headerSize || len(b) != headerSize+int(binary.BigEndian.Uint16(b[29:])) {
		return nil, false
	}
	p = &packet{
		flags: b[0], sum: binary.BigEndian.Uint32(b[1:]), echo: binary.BigEndian.Uint32(b[5:]),
		from: addrPort(b[9:], b[13:]), to: addrPort(b[15:], b[19:]),
		seq: binary.BigEndian.Uint32(b[21:]), ack: binary.BigEndian.Uint32(b[25:]),
		data: append([]byte(nil), b[headerSize:]...),
	}
	return p, p.sum == checksum(b)
}

func addrPort(addr, port []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(addr[:4])), binary.BigEndian.Uint16(port))
}
