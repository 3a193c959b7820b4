package roster

import (
	"net/netip"
	"time"

	"heatherport/internal/result"
	"heatherport/internal/version"
	"heatherport/internal/version/state"
)

// Heartbeat renews the lease of a member and carries its observations. A
// balancer sends one to the leader every HeartbeatInterval.
type Heartbeat struct {
	Member       version.MemberID `cbor:"1,keyasint"`
	Name         string           `cbor:"2,keyasint"`
	Incarnation  uint64           `cbor:"3,keyasint"`
	Applied      uint64           `cbor:"4,keyasint"` // index of its version
	Settled      uint64           `cbor:"5,keyasint"` // all exceptions under the version of this index are replicated
	Digest       uint64           `cbor:"6,keyasint"` // of the version at Applied; zero if unknown
	Observations []Observation    `cbor:"7,keyasint,omitempty"`
	Renewals     []Renewal        `cbor:"8,keyasint,omitempty"`
	SettledBase  uint64           `cbor:"9,keyasint"` // as Settled, and the member also knows all connections of its slots
}

// Observation is the result of one member's probes of one upstream. It counts
// the latest consecutive failures or successes, not the changes since the last
// heartbeat, so that nothing is lost with a heartbeat.
type Observation struct {
	Upstream        version.UpstreamID `cbor:"1,keyasint"`
	Failed          uint32             `cbor:"2,keyasint,omitempty"` // consecutive failed probes; zero after a success
	Passed          uint32             `cbor:"3,keyasint,omitempty"` // consecutive passed probes; zero after a failure
	Retransmissions uint32             `cbor:"4,keyasint,omitempty"` // SYN retransmissions in the last second
}

// Renewal renews the lease of an announced upstream.
type Renewal struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	LoadFactor  uint8  `cbor:"3,keyasint,omitempty"`
}

// HeartbeatReply answers a Heartbeat.
type HeartbeatReply struct {
	// Code is result.OK; result.MemberUnknown if the member must join again;
	// result.NotInForceYet if the leader's version does not contain it yet;
	// result.StateDiverged if it must restore the leader's snapshot first;
	// result.NoLeader if the receiver is not the leader. The lease is renewed
	// only with result.OK.
	Code  result.Code   `cbor:"1,keyasint"`
	Lease time.Duration `cbor:"2,keyasint"` // counts from when the heartbeat was sent
	Index uint64        `cbor:"3,keyasint"` // index of the leader's version
}

// Announcement registers an upstream or renews its lease. The upstream sends it.
type Announcement struct {
	Name        string         `cbor:"1,keyasint" json:"name"`
	Service     string         `cbor:"2,keyasint" json:"service"`
	Addr        netip.AddrPort `cbor:"3,keyasint" json:"address"`
	Probe       netip.AddrPort `cbor:"7,keyasint" json:"probe,omitzero"`
	Incarnation uint64         `cbor:"4,keyasint" json:"incarnation"`
	Slots       uint32         `cbor:"5,keyasint,omitempty" json:"slots"`
	LoadFactor  uint8          `cbor:"6,keyasint,omitempty" json:"load"`
}

// AnnounceReply answers an Announcement. When Command is set, the caller
// proposes it and answers with its outcome.
type AnnounceReply struct {
	Code          result.Code
	Detail        string
	Upstream      version.UpstreamID // zero until the upstream is registered
	Lease         time.Duration
	RenewInterval time.Duration
	Command       *state.Command
}

// Registrar checks a registration without applying it.
type Registrar interface {
	CheckRegister(*state.RegisterUpstream) state.Outcome
}
