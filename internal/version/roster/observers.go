package roster

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"heatherport/internal/version"
)

const (
	// ObserversPerUpstream is the number of members that probe an upstream.
	ObserversPerUpstream = 5
	ringPointsPerMember  = 8
)

// Observers assigns to each upstream the members that probe it, by a
// consistent-hash ring: a change of the members moves few assignments, and VMs
// with the same members compute the same ones.
type Observers struct {
	ring         []ringPoint // ordered by hash
	prefixStarts []int32     // for each prefix of a hash, the first point not below it
	shift        int         // bits of a hash after its prefix
	members      int
	domains      int
}

type ringPoint struct {
	hash   uint64
	member version.MemberID
	domain int32
}

// NewObservers returns the assignment for the members of v that are not
// leaving.
func NewObservers(v *version.Version) *Observers {
	o := &Observers{ring: make([]ringPoint, 0, len(v.Members)*ringPointsPerMember)}
	domains := make(map[string]int32)
	for i := range v.Members {
		m := &v.Members[i]
		if m.State == version.MemberLeaving {
			continue
		}
		domain, ok := domains[m.Domain]
		if !ok {
			domain = int32(len(domains))
			domains[m.Domain] = domain
		}
		o.members++
		for n := range uint32(ringPointsPerMember) {
			o.ring = append(o.ring, ringPoint{hashPair(uint32(m.ID), n+1), m.ID, domain})
		}
	}
	o.domains = len(domains)
	o.sort()
	return o
}

func comparePoints(a, b ringPoint) int {
	if a.hash != b.hash {
		return cmp.Compare(a.hash, b.hash)
	}
	return cmp.Compare(a.member, b.member)
}

// sort orders the ring by a bucket sort: hashes are uniformly distributed, so it
// places the points by the prefix of their hash and sorts the few that share a
// prefix.
func (o *Observers) sort() {
	width := bits.Len(uint(len(o.ring)))
	o.shift = 64 - width
	o.prefixStarts = make([]int32, 1<<width+1)
	for _, p := range o.ring {
		o.prefixStarts[p.hash>>o.shift+1]++
	}
	for i := range 1 << width {
		o.prefixStarts[i+1] += o.prefixStarts[i]
	}
	sorted := make([]ringPoint, len(o.ring))
	next := slices.Clone(o.prefixStarts)
	for _, p := range o.ring {
		prefix := p.hash >> o.shift
		sorted[next[prefix]] = p
		next[prefix]++
	}
	for i := range 1 << width {
		slices.SortFunc(sorted[o.prefixStarts[i]:o.prefixStarts[i+1]], comparePoints)
	}
	o.ring = sorted
}

// successor returns the position of the first point not below hash.
func (o *Observers) successor(hash uint64) int {
	i := int(o.prefixStarts[hash>>o.shift])
	for i < len(o.ring) && o.ring[i].hash < hash {
		i++
	}
	return i
}

// Of returns the observers of an upstream. They are from as many failure domains
// as possible, so that no single failure domain holds a quorum.
func (o *Observers) Of(id version.UpstreamID) []version.MemberID {
	var c selection
	o.choose(id, &c)
	return append([]version.MemberID(nil), c.members[:c.n]...)
}

// Observes reports whether member is an observer of an upstream.
func (o *Observers) Observes(member version.MemberID, id version.UpstreamID) bool {
	var c selection
	o.choose(id, &c)
	return slices.Contains(c.members[:c.n], member)
}

// choose walks the ring from the hash of the upstream and repeats this with a
// higher quota for each failure domain until there are enough observers.
func (o *Observers) choose(id version.UpstreamID, c *selection) {
	want := min(ObserversPerUpstream, o.members)
	start := o.successor(hashPair(uint32(id), 0))
	for quota := 1; c.n < want; quota++ {
		target := min(want, quota*o.domains)
		for i := 0; i < len(o.ring) && c.n < target; i++ {
			c.tryAdd(&o.ring[(start+i)%len(o.ring)], quota)
		}
	}
}

// selection is the set of observers chosen so far.
type selection struct {
	members [ObserversPerUpstream]version.MemberID
	domains [ObserversPerUpstream]int32
	n       int
}

// tryAdd adds the member at p unless it is selected already or its failure
// domain has reached the quota.
func (c *selection) tryAdd(p *ringPoint, quota int) {
	used := 0
	for i := range c.n {
		if c.members[i] == p.member {
			return
		}
		if c.domains[i] == p.domain {
			used++
		}
	}
	if used >= quota {
		return
	}
	c.members[c.n] = p.member
	c.domains[c.n] = p.domain
	c.n++
}

func hashPair(a, b uint32) uint64 {
	var buf [8]byte
	binary.BigEndian.PutUint32(buf[:4], a)
	binary.BigEndian.PutUint32(buf[4:], b)
	return xxhash.Sum64(buf[:])
}
