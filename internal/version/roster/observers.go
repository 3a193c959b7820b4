package roster

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"heatherport/internal/version"
)

const (
	// ObserversPerUpstream is the number of members that probe an upstream.
	ObserversPerUpstream = 5
	// pointsPerMember is the number of points of a member on the ring.
	pointsPerMember = 8
)

// Observers assigns to each upstream the members that probe it. It is a
// consistent-hash ring: a change of the members moves few assignments, and all
// VMs with the same members agree.
type Observers struct {
	ring    []point // ordered by hash
	members int
	domains int
}

type point struct {
	hash   uint64
	member version.MemberID
	domain string
}

// NewObservers returns the assignment for the members of v that are not
// leaving.
func NewObservers(v *version.Version) *Observers {
	o := &Observers{}
	domains := make(map[string]bool)
	for i := range v.Members {
		b := &v.Members[i]
		if b.State == version.MemberLeaving {
			continue
		}
		o.members++
		domains[b.Domain] = true
		for n := range uint32(pointsPerMember) {
			o.ring = append(o.ring, point{hashPair(uint32(b.ID), n+1), b.ID, b.Domain})
		}
	}
	o.domains = len(domains)
	slices.SortFunc(o.ring, func(a, b point) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.member, b.member))
	})
	return o
}

// Of returns the observers of an upstream. They come from as many failure
// domains as possible, so that no single one makes up a quorum.
func (o *Observers) Of(id version.UpstreamID) []version.MemberID {
	want := min(ObserversPerUpstream, o.members)
	chosen := make([]version.MemberID, 0, want)
	perDomain := make(map[string]int, want)
	start := o.successor(hashPair(uint32(id), 0))
	for quota := 1; len(chosen) < want; quota++ {
		for i := range o.ring {
			if len(chosen) == want || len(chosen) == quota*o.domains {
				break
			}
			p := &o.ring[(start+i)%len(o.ring)]
			if perDomain[p.domain] >= quota || slices.Contains(chosen, p.member) {
				continue
			}
			perDomain[p.domain]++
			chosen = append(chosen, p.member)
		}
	}
	return chosen
}

// Observes reports whether member is an observer of an upstream.
func (o *Observers) Observes(member version.MemberID, id version.UpstreamID) bool {
	return slices.Contains(o.Of(id), member)
}

func (o *Observers) successor(hash uint64) int {
	i, _ := slices.BinarySearchFunc(o.ring, hash, func(p point, hash uint64) int {
		return cmp.Compare(p.hash, hash)
	})
	return i
}

func hashPair(a, b uint32) uint64 {
	var buf [8]byte
	binary.BigEndian.PutUint32(buf[:4], a)
	binary.BigEndian.PutUint32(buf[4:], b)
	return xxhash.Sum64(buf[:])
}
