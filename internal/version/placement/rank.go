// Package placement ranks upstreams for each bucket and members for each slot by
// rendezvous hashing. It uses integer arithmetic only, so every VM computes the
// same placement from the same version. When an upstream joins or leaves, the
// first choice changes only in the buckets in which it is or was that choice.
package placement

import "heatherport/internal/version"

const (
	// Buckets is the number of buckets of a service.
	Buckets = 1 << 16
	// MaxCached is the size up to which an Iterator caches the costs of a
	// ranking. Of a larger ranking it caches the first MaxCached upstreams,
	// and hashes the whole ranking again for each step after them.
	MaxCached = 64

	costFracBits = 24 // keeps the quotient in cost precise for large weights
)

// Bucket returns the bucket of a connection hash.
func Bucket(hash uint64) uint16 { return uint16(hash >> 48) }

// mix is the finalizer of SplitMix64, a bijection on 64 bits.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// cost is exponentially distributed with a rate proportional to the weight. The
// upstream with the lowest cost is the first choice of the bucket.
func cost(w version.WeightedUpstream, bucket uint16) uint64 {
	n := negLog2(mix(uint64(bucket)<<32 | uint64(w.Upstream)))
	return n << costFracBits / uint64(max(w.Weight, 1))
}

// First returns the first upstream of the bucket's ranking, or zero when the
// ranking is empty.
func First(r version.Ranking, bucket uint16) version.UpstreamID {
	var best version.UpstreamID
	least := ^uint64(0)
	for _, w := range r {
		if c := cost(w, bucket); c < least {
			best, least = w.Upstream, c
		}
	}
	return best
}

// Iterator visits the upstreams of a bucket's ranking from first to last. The
// zero value is not usable; call Reset first.
type Iterator struct {
	ranking   version.Ranking
	bucket    uint16
	started   bool
	lastCost  uint64 // cost of the upstream returned last
	lastIndex int    // its index; breaks ties
	costs     [MaxCached]uint64
	// For a ranking larger than MaxCached, costs is sorted, sortedIndexes holds
	// the matching indexes in the ranking, and the first visitedSorted of them
	// have been visited.
	sortedIndexes [MaxCached]int32
	visitedSorted int
}

// Reset positions it before the first upstream of a ranking.
func (it *Iterator) Reset(r version.Ranking, bucket uint16) {
	it.ranking, it.bucket, it.started, it.visitedSorted = r, bucket, false, 0
	if len(r) > MaxCached {
		it.cacheFirst()
		return
	}
	for i := range r {
		it.costs[i] = cost(r[i], bucket)
	}
}

// cacheFirst caches the first MaxCached upstreams in order.
func (it *Iterator) cacheFirst() {
	n := 0
	for i := range it.ranking {
		c := cost(it.ranking[i], it.bucket)
		if n == MaxCached && c >= it.costs[n-1] {
			continue
		}
		n = min(n+1, MaxCached)
		it.insertSorted(n-1, c, int32(i))
	}
}

// insertSorted inserts an upstream into the sorted costs, overwriting index last.
// Of equal costs, the one inserted first stays first.
func (it *Iterator) insertSorted(last int, c uint64, index int32) {
	i := last
	for ; i > 0 && it.costs[i-1] > c; i-- {
		it.costs[i], it.sortedIndexes[i] = it.costs[i-1], it.sortedIndexes[i-1]
	}
	it.costs[i], it.sortedIndexes[i] = c, index
}

// Next returns the index in the ranking of the next upstream, or false at the
// end.
func (it *Iterator) Next() (int, bool) {
	if len(it.ranking) > MaxCached && it.visitedSorted < MaxCached {
		at, c := int(it.sortedIndexes[it.visitedSorted]), it.costs[it.visitedSorted]
		it.visitedSorted++
		it.started, it.lastCost, it.lastIndex = true, c, at
		return at, true
	}
	at, least := -1, ^uint64(0)
	for i := range it.ranking {
		c := it.cost(i)
		if it.visited(c, i) {
			continue
		}
		if at < 0 || c < least {
			at, least = i, c
		}
	}
	if at < 0 {
		return 0, false
	}
	it.started, it.lastCost, it.lastIndex = true, least, at
	return at, true
}

func (it *Iterator) cost(i int) uint64 {
	if len(it.ranking) > MaxCached {
		return cost(it.ranking[i], it.bucket)
	}
	return it.costs[i]
}

func (it *Iterator) visited(c uint64, i int) bool {
	return it.started && (c < it.lastCost || c == it.lastCost && i <= it.lastIndex)
}

// Rank appends the bucket's ranking to buf.
func Rank(buf []version.UpstreamID, r version.Ranking, bucket uint16) []version.UpstreamID {
	var it Iterator
	it.Reset(r, bucket)
	for i, ok := it.Next(); ok; i, ok = it.Next() {
		buf = append(buf, r[i].Upstream)
	}
	return buf
}
