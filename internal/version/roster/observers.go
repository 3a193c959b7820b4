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
	// pointsPerMember is the number of points of a member on the ring.
	pointsPerMember = 8
)

// Observers assigns to each upstream the members that probe it. It is a
// consistent-hash ring: a change of the members moves few assignments, and all
// VMs with the same members agree.
type Observers struct {
	ring    []point // ordered by hash
	starts  []int32 // for each leading part of a hash, the first point not below it
	shift   int     // bits of a hash that follow its leading part
	members int
	domains int
}

type point struct {
	hash   uint64
	member version.MemberID
	domain int32
}

// NewObservers returns the assignment for the members of v that are not
// leaving.
func NewObservers(v *version.Version) *Observers {
	o := &Observers{ring: make([]point, 0, len(v.Members)*pointsPerMember)}
	domains := make(map[string]int32)
	for i := range v.Members {
		b := &v.Members[i]
		if b.State == version.MemberLeaving {
			continue
		}
		domain, ok := domains[b.Domain]
		if !ok {
			domain = int32(len(domains))
			domains[b.Domain] = domain
		}
		o.members++
		for n := range uint32(pointsPerMember) {
			o.ring = append(o.ring, point{hashPair(uint32(b.ID), n+1), b.ID, domain})
		}
	}
	o.domains = len(domains)
	o.sort()
	return o
}

func comparePoints(a, b point) int {
	if a.hash != b.hash {
		return cmp.Compare(a.hash, b.hash)
	}
	return cmp.Compare(a.member, b.member)
}

// sort orders the ring. Hashes are spread evenly, so it places the points by
// the leading part of their hash and sorts the few that share one.
func (o *Observers) sort() {
	width := bits.Len(uint(len(o.ring)))
	o.shift = 64 - width
	o.starts = make([]int32, 1<<width+1)
	for _, p := range o.ring {
		o.starts[p.hash>>o.shift+1]++
	}
	for i := range 1 << width {
		o.starts[i+1] += o.starts[i]
	}
	sorted := make([]point, len(o.ring))
	next := slices.Clone(o.starts)
	for _, p := range o.ring {
		part := p.hash >> o.shift
		sorted[next[part]] = p
		next[part]++
	}
	for i := range 1 << width {
		slices.SortFunc(sorted[o.starts[i]:o.starts[i+1]], comparePoints)
	}
	o.ring = sorted
}

// successor returns the position of the first point not below hash.
func (o *Observers) successor(hash uint64) int {
	i := int(o.starts[hash>>o.shift])
	for i < len(o.ring) && o.ring[i].hash < hash {
		i++
	}
	return i
}

// Of returns the observers of an upstream. They come from as many failure
// domains as possible, so that no single one makes up a quorum.
func (o *Observers) Of(id version.UpstreamID) []version.MemberID {
	var c choice
	o.choose(id, &c)
	return append([]version.MemberID(nil), c.members[:c.n]...)
}

// Observes reports whether member is an observer of an upstream.
func (o *Observers) Observes(member version.MemberID, id version.UpstreamID) bool {
	var c choice
	o.choose(id, &c)
	return slices.Contains(c.members[:c.n], member)
}

// choose walks the ring from the hash of the upstream, again and again with a
// higher quota for each domain until there are enough observers.
func (o *Observers) choose(id version.UpstreamID, c *choice) {
	want := min(ObserversPerUpstream, o.members)
	start := o.successor(hashPair(uint32(id), 0))
	for quota := 1; c.n < want; quota++ {
		enough := min(want, quota*o.domains)
		for i := 0; i < len(o.ring) && c.n < enough; i++ {
			c.offer(&o.ring[(start+i)%len(o.ring)], quota)
		}
	}
}

// choice is a set of observers that grows.
type choice struct {
	members [ObserversPerUpstream]version.MemberID
	domains [ObserversPerUpstream]int32
	n       int
}

// offer adds the member at p unless it is there or its domain has its quota.
func (c *choice) offer(p *point, quota int) {
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
