package soak

import (
	"bytes"
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// The flags that the stand-ins use.
const (
	flagSYN = 1
	flagACK = 2
	flagFIN = 32
	flagRST = 64
)

// header is the header of a packet on the wire, big-endian.
type header struct {
	Flags uint8
	Sum   uint32
	Echo  uint32
	Src   [4]byte
	Sport uint16
	Dst   [4]byte
	Dport uint16
	Seq   uint32
	Ack   uint32
	Len   uint16
}

const headerSize = 31

// packet is a packet as the ends of a connection see it.
type packet struct {
	header
	data []byte
}

func (p *packet) from() netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4(p.Src), p.Sport) }
func (p *packet) to() netip.AddrPort   { return netip.AddrPortFrom(netip.AddrFrom4(p.Dst), p.Dport) }

func newPacket(flags uint8, from, to netip.AddrPort, data []byte) *packet {
	return &packet{header{
		Flags: flags, Src: from.Addr().As4(), Sport: from.Port(), Dst: to.Addr().As4(), Dport: to.Port(), Len: uint16(len(data)),
	}, data}
}

// sum covers all but the cookie, so that a changed packet is found.
func (p *packet) sum() uint32 {
	h := p.header
	h.Sum, h.Echo = 0, 0
	return uint32(xxhash.Sum64(append(encode(h), p.data...))) | 1
}

func encode(h header) []byte {
	var b bytes.Buffer
	_ = binary.Write(&b, binary.BigEndian, h) // a buffer takes all writes
	return b.Bytes()
}

func (p *packet) encode() []byte {
	p.Sum = p.sum()
	return append(encode(p.header), p.data...)
}

// decode reads a packet; isOwn reports whether its sender wrote it so.
func decode(b []byte) (p *packet, isOwn bool) {
	p = &packet{}
	if len(b) < headerSize || binary.Read(bytes.NewReader(b), binary.BigEndian, &p.header) != nil || len(b) != headerSize+int(p.Len) {
		return nil, false
	}
	p.data = bytes.Clone(b[headerSize:])
	return p, p.Sum == p.sum()
}
