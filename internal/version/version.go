// Package version defines the immutable configuration version that the control
// goroutine publishes and the packet-processing goroutines read. A version is
// the state after applying one entry of the replicated log.
package version

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"
)

// ServiceID identifies a service across versions. IDs are never reused.
type ServiceID uint32

// UpstreamID identifies one incarnation of an upstream. IDs are never reused, so
// an upstream that takes over an address has another ID.
type UpstreamID uint32

// MemberID identifies one incarnation of a balancer. IDs are never reused.
// Zero means none.
type MemberID uint32

// Protocol is an IP protocol number.
type Protocol uint8

// The supported protocols.
const (
	TCP Protocol = 6
	UDP Protocol = 17
)

// String returns "tcp" or "udp".
func (p Protocol) String() string {
	switch p {
	case TCP:
		return "tcp"
	case UDP:
		return "udp"
	}
	return "unknown"
}

// UpstreamState is the state that the sheet declares.
type UpstreamState uint8

// The states of an upstream.
const (
	Active  UpstreamState = iota // receives new connections
	Joining                      // receives new connections with a slow-start ramp
	Leaving                      // keeps its connections, receives no new ones
	Paused                       // as Leaving, but expected to return
)

// String returns the sheet's keyword for s.
func (s UpstreamState) String() string {
	return [...]string{"active", "joining", "leaving", "paused"}[s&3]
}

// Version is one immutable configuration. Nothing in it may be changed after
// it is published.
type Version struct {
	Index     uint64 // log index of the last applied entry
	Digest    uint64 // of the whole state; the same on all VMs at the same Index
	Sheet     SheetRef
	Services  []Service  // ordered by ID
	Upstreams []Upstream // ordered by ID
	Members   []Member   // ordered by ID
	Owners    Owners

	serviceIndex  map[ServiceKey]int32 // positions in Services
	upstreamIndex map[UpstreamID]int32 // positions in Upstream
	memberIndex   map[MemberID]int32   // positions in Members
}

// SheetRef identifies an accepted sheet.
type SheetRef struct {
	Number uint64
	Digest [32]byte
}

// ServiceKey is the destination to which callers send packets.
type ServiceKey struct {
	Addr     netip.Addr
	Port     uint16
	Protocol Protocol
}

// Service is one service of the sheet.
type Service struct {
	ID          ServiceID
	Name        string
	Key         ServiceKey
	IdleTimeout time.Duration
	Idempotent  bool
	// Current is the ranking that new connections use.
	Current Ranking
	// Base is the ranking that connections without an exception use.
	Base Ranking
	// NextBase is the base being prepared: owners replicate as exceptions
	// also all connections that deviate from it. Nil when none is prepared.
	NextBase Ranking
	// PreparedAt is the index of the entry that set NextBase.
	PreparedAt uint64
	// Retired is true if the sheet in force no longer lists the service; it
	// is removed with its last upstream.
	Retired bool
}

// Ranking is the set of upstreams that weighted rendezvous hashing ranks for
// each bucket. It is ordered by upstream ID.
type Ranking []WeightedUpstream

// WeightedUpstream is one upstream in a Ranking.
type WeightedUpstream struct {
	Upstream UpstreamID
	Weight   uint32 // result of Upstream.Weight; never zero
}

// Upstream is one incarnation of an upstream.
type Upstream struct {
	ID          UpstreamID
	Name        string
	Incarnation uint64
	Service     ServiceID
	Addr        netip.AddrPort // FOU endpoint of the upstream's VM
	Probe       netip.AddrPort // TCP health-check endpoint, which accepts while the upstream works; zero if none
	State       UpstreamState
	Slots       uint32
	ConnLimit   uint32 // limit on the open connections over all balancers
	Healthy     bool   // false: keeps its connections, receives no new ones
	Leased      bool   // its announcement lease is valid
	LoadFactor  uint8  // reported load hint, 0 = none … 255 = full
	Ramp        uint8  // slow-start step, from 1 to RampFull
	Listed      bool   // the sheet in force lists it for its service
}

// RampFull is the last slow-start step, at which an upstream has its full weight.
const RampFull uint8 = 4

// WeightPerSlot is the weight of one slot of an idle upstream at RampFull.
const WeightPerSlot = 256

// Available reports whether u may receive new connections if it is healthy.
func (u *Upstream) Available() bool {
	return u.Leased && (u.State == Active || u.State == Joining)
}

// Eligible reports whether u may receive new connections.
func (u *Upstream) Eligible() bool { return u.Healthy && u.Available() }

// MaxEjectedDivisor sets the ejection limit: at most one in MaxEjectedDivisor of
// a service's available upstreams may be ejected by health checks.
const MaxEjectedDivisor = 3

// MayEject reports whether the ejection limit allows marking one more of a
// service's available upstreams as unhealthy when ejected of them are already.
func MayEject(available, ejected int) bool { return MaxEjectedDivisor*(ejected+1) <= available }

// Weight returns the weight of u in a Ranking: its slots scaled by slow start
// and lowered by reported load to no less than half.
func (u *Upstream) Weight() uint32 {
	w := uint64(u.Slots) * WeightPerSlot
	w = w * uint64(min(u.Ramp, RampFull)) / uint64(RampFull)
	w -= w * uint64(u.LoadFactor) / (2 * math.MaxUint8)
	return uint32(max(w, 1))
}

// MemberState is the life-cycle state of a balancer.
type MemberState uint8

// The states of a member.
const (
	MemberJoining MemberState = iota // owns no slots yet
	MemberActive                     // may own slots
	MemberLeaving                    // hands its slots over
)

// String returns the name of s.
func (s MemberState) String() string {
	return [...]string{"joining", "active", "leaving", "unknown"}[s&3]
}

// Member is one incarnation of a balancer.
type Member struct {
	ID          MemberID
	Name        string
	Incarnation uint64
	Domain      string         // failure domain
	Relay       netip.AddrPort // UDP relay endpoint
	Link        netip.AddrPort // QUIC control endpoint
	API         netip.AddrPort // HTTPS endpoint
	Voter       bool
	State       MemberState
}

// Owners holds the sets of members that own connections.
type Owners struct {
	Epoch   uint64     // increases with every change of Current
	Current []MemberID // ordered
	// Next is the set being prepared; members replicate exceptions also to
	// the owners and standbys under Next. Nil when none is prepared.
	Next []MemberID
	// PreparedAt is the index of the entry that set Next.
	PreparedAt uint64
	// Previous is the set that Current replaced; its live members hand their
	// slots over to the owners under Current.
	Previous []MemberID
}

// Seal builds the lookup tables. It is called once, before publication.
func (v *Version) Seal() *Version { return v.SealFrom(nil) }

// SealFrom is Seal, but shares the lookup tables of prev that are still valid.
// prev is an earlier sealed version, or nil.
func (v *Version) SealFrom(prev *Version) *Version {
	if prev == nil {
		prev = &Version{}
	}
	v.serviceIndex = prev.serviceIndex
	if prev.serviceIndex == nil || !slices.EqualFunc(v.Services, prev.Services, sameServiceKey) {
		v.serviceIndex = make(map[ServiceKey]int32, len(v.Services))
		for i := range v.Services {
			v.serviceIndex[v.Services[i].Key] = int32(i)
		}
	}
	v.upstreamIndex = prev.upstreamIndex
	if prev.upstreamIndex == nil || !slices.EqualFunc(v.Upstreams, prev.Upstreams, sameUpstreamID) {
		v.upstreamIndex = make(map[UpstreamID]int32, len(v.Upstreams))
		for i := range v.Upstreams {
			v.upstreamIndex[v.Upstreams[i].ID] = int32(i)
		}
	}
	v.memberIndex = prev.memberIndex
	if prev.memberIndex == nil || !slices.EqualFunc(v.Members, prev.Members, sameMemberID) {
		v.memberIndex = make(map[MemberID]int32, len(v.Members))
		for i := range v.Members {
			v.memberIndex[v.Members[i].ID] = int32(i)
		}
	}
	return v
}

func sameServiceKey(a, b Service) bool  { return a.Key == b.Key }
func sameUpstreamID(a, b Upstream) bool { return a.ID == b.ID }
func sameMemberID(a, b Member) bool     { return a.ID == b.ID }

// Diverges reports whether a VM with the given digest at the given index has a
// state that differs from v. It is false at any other index than that of v.
func (v *Version) Diverges(index, digest uint64) bool {
	return index == v.Index && digest != v.Digest
}

// Service returns the service at key, or nil.
func (v *Version) Service(key ServiceKey) *Service {
	if i, ok := v.serviceIndex[key]; ok {
		return &v.Services[i]
	}
	return nil
}

// ServiceByID returns the service with the given ID, or nil.
func (v *Version) ServiceByID(id ServiceID) *Service {
	i, ok := slices.BinarySearchFunc(v.Services, id, func(s Service, id ServiceID) int {
		return cmp.Compare(s.ID, id)
	})
	if !ok {
		return nil
	}
	return &v.Services[i]
}

// UpstreamByID returns the upstream with the given ID, or nil.
func (v *Version) UpstreamByID(id UpstreamID) *Upstream {
	if i, ok := v.upstreamIndex[id]; ok {
		return &v.Upstreams[i]
	}
	return nil
}

// MemberByID returns the member with the given ID, or nil.
func (v *Version) MemberByID(id MemberID) *Member {
	if i, ok := v.memberIndex[id]; ok {
		return &v.Members[i]
	}
	return nil
}

// MemberByName returns the newest member with the given name, or nil.
func (v *Version) MemberByName(name string) *Member {
	for i := len(v.Members) - 1; i >= 0; i-- {
		if v.Members[i].Name == name {
			return &v.Members[i]
		}
	}
	return nil
}

// ServiceByName returns the service with the given name, or nil.
func (v *Version) ServiceByName(name string) *Service {
	for i := range v.Services {
		if v.Services[i].Name == name {
			return &v.Services[i]
		}
	}
	return nil
}
