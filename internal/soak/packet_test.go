package soak

import (
	"bytes"
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// The flags of a packet that callers and upstreams use.
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

// packet is a packet as callers and upstreams send and receive it.
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

// checksum returns a nonzero sum over all but the cookie, so that a packet that
// was changed on the way is detected.
func (p *packet) checksum() uint32 {
	h := p.header
	h.Sum, h.Echo = 0, 0
	return uint32(xxhash.Sum64(append(encode(h), p.data...))) | 1
}

func encode(h header) []byte {
	var b bytes.Buffer
	_ = binary.Write(&b, binary.BigEndian, h) // writes to a Buffer do not fail
	return b.Bytes()
}

func (p *packet) encode() []byte {
	p.Sum = p.checksum()
	return append(encode(p.header), p.data...)
}

// decode decodes a packet; isIntact reports whether its checksum is correct. p is
// nil when the packet is malformed.
func decode(b []byte) (p *packet, isIntact bool) {
	p = &packet{}
	if len(b) < headerSize || binary.Read(bytes.NewReader(b), binary.BigEndian, &p.header) != nil || len(b) != headerSize+int(p.Len) {
		return nil, false
	}
	p.data = bytes.Clone(b[headerSize:])
	return p, p.Sum == p.checksum()
}
