package wire

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"heatherport/internal/connection"
)

// QUIC packet headers (RFC 9000, section 17, and RFC 9369).
const (
	quicLongHeader   = 0x80
	quicFixedBit     = 0x40
	quicVersion1     = 0x00000001
	quicVersion2     = 0x6b3343cf
	quicMinShortSize = 21 // bytes of the shortest packet with a short header
	quicTagSize      = 16 // bytes of the authentication tag or reset token that ends a packet
)

// Types of QUIC long headers that start a connection, by version.
const (
	quicInitialV1 = 0
	quicInitialV2 = 1
	// quicHandshakeOffset is the distance from the Initial type to the
	// Handshake type, which is the same in both versions.
	quicHandshakeOffset = 2
)

// quicFlags returns the flags of a UDP payload. For an Initial packet it also
// returns a hash of the source connection ID as the counterpart of the ISN of
// TCP: a client keeps this ID during the handshake.
func quicFlags(b []byte) (connection.PacketFlags, uint32) {
	if len(b) == 0 || b[0]&quicFixedBit == 0 {
		return 0, 0
	}
	if b[0]&quicLongHeader != 0 {
		return quicLongHeaderFlags(b)
	}
	if len(b) < quicMinShortSize || !mayBeEncrypted(b[len(b)-quicTagSize:]) {
		return 0, 0
	}
	return connection.FlagEstablished, 0
}

func quicLongHeaderFlags(b []byte) (connection.PacketFlags, uint32) {
	source, ok := quicSourceConnectionID(b)
	if !ok {
		return 0, 0
	}
	initial, ok := quicInitialType(binary.BigEndian.Uint32(b[1:5]))
	if !ok {
		return 0, 0
	}
	switch (b[0] >> 4) & 3 {
	case initial:
		return connection.FlagOpen, uint32(xxhash.Sum64(source))
	case initial + quicHandshakeOffset:
		return connection.FlagEstablished, 0
	}
	return 0, 0
}

func quicInitialType(v uint32) (byte, bool) {
	switch v {
	case quicVersion1:
		return quicInitialV1, true
	case quicVersion2:
		return quicInitialV2, true
	}
	return 0, false
}

// quicSourceConnectionID returns the source connection ID of a long header.
func quicSourceConnectionID(b []byte) ([]byte, bool) {
	const fixedSize = 6 // first byte, version, length of the destination ID
	if len(b) < fixedSize {
		return nil, false
	}
	b = b[fixedSize-1:]
	_, b, ok := splitConnectionID(b)
	if !ok {
		return nil, false
	}
	source, _, ok := splitConnectionID(b)
	return source, ok
}

// splitConnectionID returns the connection ID at the start of b, which is preceded
// by its length byte, and the rest of b.
func splitConnectionID(b []byte) (id, rest []byte, ok bool) {
	const maxSize = 20
	if len(b) == 0 {
		return nil, nil, false
	}
	n := int(b[0])
	if n > maxSize || len(b) < 1+n {
		return nil, nil, false
	}
	return b[1 : 1+n], b[1+n:], true
}

// mayBeEncrypted reports whether b, the end of a UDP payload, may be an
// authentication tag. Payloads of many other protocols start like a QUIC short
// header, but their end is text or contains zero bytes. Fewer than one in ten
// thousand random tags are mistaken for the end of such a payload.
func mayBeEncrypted(b []byte) bool {
	const maxZeros = 2
	zeros, printable := 0, 0
	for _, c := range b {
		if c == 0 {
			zeros++
		}
		if isPrintable(c) {
			printable++
		}
	}
	return zeros <= maxZeros && printable < len(b)
}

func isPrintable(c byte) bool {
	return c >= ' ' && c <= '~' || c == '\t' || c == '\n' || c == '\r'
}
