// Package connection defines the input and the output of the forwarding decision
// for a packet. Package owner makes the decision, package forward executes it.
package connection

import (
	"net/netip"

	"heatherport/internal/connection/flow"
	"heatherport/internal/result"
	"heatherport/internal/version"
)

// PacketFlags are the transport-layer properties of a packet that decisions use.
type PacketFlags uint8

// The flags of a packet.
const (
	FlagOpen        PacketFlags = 1 << iota // TCP SYN without ACK, or QUIC long-header Initial
	FlagFin                                 // TCP FIN
	FlagReset                               // TCP RST
	FlagEstablished                         // the connection was opened before: TCP non-SYN, QUIC short header

	packetFlagsEnd
)

// AllPacketFlags are the packet flags that this version supports.
const AllPacketFlags = packetFlagsEnd - 1

// Packet is a decoded packet from a caller.
type Packet struct {
	Key   flow.Key
	Flags PacketFlags
	Seq   uint32 // TCP sequence number; the ISN for an opening packet
	// Hash caches the hash of Key. It is valid if Hashed is set.
	Hash   uint64
	Hashed bool
}

// KeyHash returns the hash of the packet's key.
func (p *Packet) KeyHash() uint64 {
	if p.Hashed {
		return p.Hash
	}
	return p.Key.Hash()
}

// RelayFlags are sent with a relayed packet.
type RelayFlags uint8

// The flags of a relayed packet.
const (
	// RelayHandover: the sender has handed the packet's slot over to the
	// receiver, which must decide.
	RelayHandover RelayFlags = 1 << iota
	// RelayOwnerUnreachable: the sender cannot reach the owner and asks the
	// receiver as the standby to decide.
	RelayOwnerUnreachable
	// RelayRefresh: the sender has already forwarded the packet itself; the
	// message only renews the owner's entry. It contains the packet's key and
	// flags, but not the packet.
	RelayRefresh
	// RelayException: the owner has chosen Upstream, which differs from the first
	// choice of the base ranking. The receiver, the standby, records the
	// exception before it forwards the packet, so that no exception is lost
	// with its owner.
	RelayException
	// RelayAssumed, with RelayRefresh: the sender inferred Upstream from the
	// base ranking and not from an opening packet.
	RelayAssumed
	// RelayPossibleRetransmit, with RelayHandover: an earlier owner of the slot
	// was lost, and the opening packet may be a retransmission.
	RelayPossibleRetransmit

	relayFlagsEnd
)

// AllRelayFlags are the relay flags that this version supports.
const AllRelayFlags = relayFlagsEnd - 1

// Relay is the header of a packet relayed between balancers.
type Relay struct {
	From     version.MemberID // sender
	Hops     uint8            // remaining hops; a packet with none left is not relayed again
	Flags    RelayFlags
	Origin   version.MemberID   // balancer that received the packet from the fabric; hints are sent to it
	Upstream version.UpstreamID // upstream in the origin's own entry; zero if none
	Epoch    uint64             // Owners.Epoch with which the sender chose the receiver
}

// MaxRelayHops is the maximum number of relays of a packet: to the presumed
// owner, back to the previous owner, and on to the new one.
const MaxRelayHops = 3

// Hint informs the origin of a relayed packet of the connection's upstream, so
// that it forwards later packets directly.
type Hint struct {
	From     version.MemberID
	Key      flow.Key
	Upstream version.UpstreamID
	ISN      uint32
	Flags    PacketFlags // flags of the packet that caused the hint
}

// Action is the action for a packet.
type Action uint8

// The actions.
const (
	Drop    Action = iota // drop and count Code
	Forward               // encapsulate to Addr
	RelayTo               // send to Peer with Header
	Refuse                // answer the caller: TCP RST or ICMP port unreachable; count Code
)

// Decision is the result for one packet. It holds no pointers into the engine
// and needs no allocation.
type Decision struct {
	Action   Action
	Code     result.Code        // cause of Drop and Refuse
	Upstream version.UpstreamID // for Forward
	Addr     netip.AddrPort     // FOU endpoint for Forward, relay endpoint for RelayTo
	Peer     version.MemberID   // for RelayTo
	Header   Relay              // for RelayTo

	// HintTo, if not zero, is the member to send Hint to at HintAddr.
	HintTo   version.MemberID
	HintAddr netip.AddrPort
	Hint     Hint

	// RefreshTo, if not zero, is the owner to send Refresh to at RefreshAddr,
	// without the packet (RelayRefresh).
	RefreshTo   version.MemberID
	RefreshAddr netip.AddrPort
	Refresh     Relay
}
