package standins

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Flags of a packet.
const (
	flagSYN     = 1
	flagACK     = 2
	flagBounced = 4
	flagFIN     = 32
	flagRST     = 64
)

const (
	headSize   = 31
	handleSize = 8
)

// packet is a packet of a flow as its two ends write it.
type packet struct {
	flags    byte
	echo     uint32
	src, dst netip.AddrPort
	seq, ack uint32
	data     []byte
}

// sumKey is known to the two ends of a flow only.
var sumKey = []byte("known to both ends of a flow")

func keyedSum(b []byte) uint32 {
	c := append([]byte(nil), b...)
	c[0] &^= flagBounced
	for i := 1; i < 9; i++ { // the sum and the echo
		c[i] = 0
	}
	return crc32.ChecksumIEEE(append(c, sumKey...)) | 1
}

func (p *packet) encode() []byte {
	b := make([]byte, headSize, headSize+len(p.data))
	b[0] = p.flags
	binary.BigEndian.PutUint32(b[5:], p.echo)
	s, d := p.src.Addr().As4(), p.dst.Addr().As4()
	copy(b[9:], s[:])
	binary.BigEndian.PutUint16(b[13:], p.src.Port())
	copy(b[15:], d[:])
	binary.BigEndian.PutUint16(b[19:], p.dst.Port())
	binary.BigEndian.PutUint32(b[21:], p.seq)
	binary.BigEndian.PutUint32(b[25:], p.ack)
	binary.BigEndian.PutUint16(b[29:], uint16(len(p.data)))
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b[1:], keyedSum(b))
	return b
}

// decode returns the packet in b. whole reports that its sender wrote it so; a reset of
// the system has the sum 0.
func decode(b []byte) (p packet, whole, ok bool) {
	if len(b) < headSize || len(b) != headSize+int(binary.BigEndian.Uint16(b[29:])) {
		return p, false, false
	}
	p = packet{
		flags: b[0],
		echo:  binary.BigEndian.Uint32(b[5:]),
		src:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[9:13])), binary.BigEndian.Uint16(b[13:])),
		dst:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[15:19])), binary.BigEndian.Uint16(b[19:])),
		seq:   binary.BigEndian.Uint32(b[21:]),
		ack:   binary.BigEndian.Uint32(b[25:]),
		data:  append([]byte(nil), b[headSize:]...),
	}
	return p, binary.BigEndian.Uint32(b[1:]) == keyedSum(b), true
}
