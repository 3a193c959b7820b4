// Package flow identifies connections by their 5-tuple.
package flow

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"heatherport/internal/version"
)

// KeySize is the encoded size of a Key in bytes.
const KeySize = 37

// Key is the 5-tuple of a connection in the direction from the caller. IPv4
// addresses are stored in their IPv4-mapped IPv6 form. Keys are comparable: two
// connections never share one.
type Key struct {
	Src, Dst         [16]byte
	SrcPort, DstPort uint16
	Protocol         version.Protocol
}

// Service returns the destination part of k.
func (k *Key) Service() version.ServiceKey {
	return version.ServiceKey{
		Addr:     netip.AddrFrom16(k.Dst).Unmap(),
		Port:     k.DstPort,
		Protocol: k.Protocol,
	}
}

// Caller returns the source address and port of k.
func (k *Key) Caller() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(k.Src).Unmap(), k.SrcPort)
}

// Put encodes k into b, which must hold KeySize bytes.
func (k *Key) Put(b []byte) {
	_ = b[KeySize-1]
	copy(b[0:16], k.Src[:])
	copy(b[16:32], k.Dst[:])
	binary.BigEndian.PutUint16(b[32:34], k.SrcPort)
	binary.BigEndian.PutUint16(b[34:36], k.DstPort)
	b[36] = byte(k.Protocol)
}

// Get decodes k from b, which must hold KeySize bytes.
func (k *Key) Get(b []byte) {
	_ = b[KeySize-1]
	copy(k.Src[:], b[0:16])
	copy(k.Dst[:], b[16:32])
	k.SrcPort = binary.BigEndian.Uint16(b[32:34])
	k.DstPort = binary.BigEndian.Uint16(b[34:36])
	k.Protocol = version.Protocol(b[36])
}

// Hash returns the hash of k, which is the same on all VMs. The bucket, the
// owner and the exception of a connection are derived from it.
func (k *Key) Hash() uint64 {
	var b [KeySize]byte
	k.Put(b[:])
	return xxhash.Sum64(b[:])
}
