// Package relay encodes and authenticates the UDP messages that balancers send
// each other about single packets: a relayed packet, the renewal of an entry,
// and a hint. The control links between balancers are another protocol.
//
// A message is a fixed header followed by its body:
//
//	0  format version   1  type      2  flags     3  hops left
//	4  sender (4)       8  origin (4)            12  upstream (4)
//	16 epoch (8)        24 key ID (4)            28  tag (16)
//	44 body: the bare IP packet, or a flow key, sequence number and marks
//
// All numbers are big-endian. The tag is the HMAC-SHA256 of the header up to
// the tag and of the body, cut to 16 bytes. It proves that a holder of the key
// has made the message, but not when: a message may be replayed while its key
// is accepted.
package relay

import (
	"encoding/binary"

	"heatherport/internal/connection"
	"heatherport/internal/connection/flow"
	"heatherport/internal/result"
	"heatherport/internal/version"
)

// Type is the type of a message.
type Type uint8

// The types of messages.
const (
	TypePacket  Type = 1 // a relayed packet
	TypeRefresh Type = 2 // renews the owner's entry
	TypeHint    Type = 3 // tells the origin a connection's upstream
)

// Sizes in bytes.
const (
	TagSize    = 16
	HeaderSize = offsetTag + TagSize
	// BodySize is the size of the body of a refresh or a hint.
	FlowBodySize = flow.KeySize + 4 + 1
	// SmallSize is the size of a refresh or a hint.
	FlowMessageSize = HeaderSize + FlowBodySize
)

const formatVersion = 1

const (
	offsetVersion  = 0
	offsetType     = 1
	offsetFlags    = 2
	offsetHops     = 3
	offsetFrom     = 4
	offsetOrigin   = 8
	offsetUpstream = 12
	offsetEpoch    = 16
	offsetKeyID    = 24
	offsetTag      = 28
)

// Message is a decoded message.
type Message struct {
	Type   Type
	Header connection.Relay
	Body   []byte            // TypePacket: the bare IP packet, part of the decoded buffer
	Packet connection.Packet // TypeRefresh and TypeHint
}

// Hint returns the hint that a message of TypeHint carries.
func (m *Message) Hint() connection.Hint {
	return connection.Hint{
		From:     m.Header.From,
		Key:      m.Packet.Key,
		Upstream: m.Header.Upstream,
		ISN:      m.Packet.Seq,
		Flags:    m.Packet.Flags,
	}
}

// SealPacket writes the header of a relayed packet into the first HeaderSize
// bytes of b. The bare IP packet follows them in b and is not changed.
func (c *Codec) SealPacket(b []byte, h *connection.Relay) {
	putHeader(b, TypePacket, h)
	c.sign(b)
}

// SealRefresh encodes a refresh into b, which must hold SmallSize bytes, and
// returns the message.
func (c *Codec) SealRefresh(b []byte, h *connection.Relay, p *connection.Packet) []byte {
	b = b[:FlowMessageSize]
	putHeader(b, TypeRefresh, h)
	putBody(b[HeaderSize:], p)
	c.sign(b)
	return b
}

// SealHint encodes h into b, which must hold SmallSize bytes, and returns the
// message.
func (c *Codec) SealHint(b []byte, h *connection.Hint) []byte {
	b = b[:FlowMessageSize]
	putHeader(b, TypeHint, &connection.Relay{From: h.From, Upstream: h.Upstream})
	putBody(b[HeaderSize:], &connection.Packet{Key: h.Key, Seq: h.ISN, Flags: h.Flags})
	c.sign(b)
	return b
}

// Open checks and decodes b into m. It returns result.OK, or the cause for
// dropping b. No field of m is valid then.
func (c *Codec) Open(b []byte, m *Message) result.Code {
	if len(b) < HeaderSize || b[offsetVersion] != formatVersion {
		return result.DropRelayMalformed
	}
	if !c.verify(b) {
		return result.DropRelayAuth
	}
	getHeader(b, m)
	if m.Header.Flags&^connection.AllRelayFlags != 0 || m.Header.From == 0 {
		return result.DropRelayMalformed
	}
	if m.Header.Hops > connection.MaxRelayHops {
		return result.DropRelayHops
	}
	return m.openBody(b[HeaderSize:])
}

func (m *Message) openBody(body []byte) result.Code {
	m.Body = nil
	switch m.Type {
	case TypePacket:
		m.Body = body
		if len(body) == 0 {
			return result.DropRelayMalformed
		}
		return result.OK
	case TypeRefresh, TypeHint:
		return getBody(body, &m.Packet)
	}
	return result.DropRelayMalformed
}

func putHeader(b []byte, t Type, h *connection.Relay) {
	_ = b[HeaderSize-1]
	b[offsetVersion] = formatVersion
	b[offsetType] = byte(t)
	b[offsetFlags] = byte(h.Flags)
	b[offsetHops] = h.Hops
	binary.BigEndian.PutUint32(b[offsetFrom:], uint32(h.From))
	binary.BigEndian.PutUint32(b[offsetOrigin:], uint32(h.Origin))
	binary.BigEndian.PutUint32(b[offsetUpstream:], uint32(h.Upstream))
	binary.BigEndian.PutUint64(b[offsetEpoch:], h.Epoch)
}

func getHeader(b []byte, m *Message) {
	m.Type = Type(b[offsetType])
	m.Header = connection.Relay{
		From:     version.MemberID(binary.BigEndian.Uint32(b[offsetFrom:])),
		Hops:     b[offsetHops],
		Flags:    connection.RelayFlags(b[offsetFlags]),
		Origin:   version.MemberID(binary.BigEndian.Uint32(b[offsetOrigin:])),
		Upstream: version.UpstreamID(binary.BigEndian.Uint32(b[offsetUpstream:])),
		Epoch:    binary.BigEndian.Uint64(b[offsetEpoch:]),
	}
}

func putBody(b []byte, p *connection.Packet) {
	p.Key.Put(b)
	binary.BigEndian.PutUint32(b[flow.KeySize:], p.Seq)
	b[flow.KeySize+4] = byte(p.Flags)
}

func getBody(b []byte, p *connection.Packet) result.Code {
	if len(b) != FlowBodySize {
		return result.DropRelayMalformed
	}
	p.Key.Get(b)
	p.Seq = binary.BigEndian.Uint32(b[flow.KeySize:])
	p.Flags = connection.PacketFlags(b[flow.KeySize+4])
	if p.Flags&^connection.AllPacketFlags != 0 {
		return result.DropRelayMalformed
	}
	switch p.Key.Protocol {
	case version.TCP, version.UDP:
		return result.OK
	}
	return result.DropRelayMalformed
}
