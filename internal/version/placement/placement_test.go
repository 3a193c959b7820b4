package placement

import (
	"math"
	"testing"

	"github.com/shoenig/test/must"

	"heatherport/internal/version"
)

func equalWeights(n int) version.Ranking {
	var r version.Ranking
	for i := range n {
		r = append(r, version.WeightedUpstream{Upstream: version.UpstreamID(i + 1), Weight: 768})
	}
	return r
}

func TestNegLog2Accuracy(t *testing.T) {
	for _, h := range []uint64{1, 2, 3, 1 << 20, 0x123456789abcdef, 1 << 63, math.MaxUint64 >> 1, 0xfedcba9876543210} {
		want := -math.Log2(float64(h) / (1 << 63) / 2)
		must.InDelta(t, want, float64(negLog2(h))/(1<<logFracBits), 1e-6)
	}
}

// TestPlacementIsStableAcrossReleases guards against a change of the hash or the
// ranking, after which members of different releases would compute different
// placements.
func TestPlacementIsStableAcrossReleases(t *testing.T) {
	r := equalWeights(5)
	var got []version.UpstreamID
	for _, b := range []uint16{0, 1, 2, 1000, 65535} {
		got = append(got, First(r, b))
	}
	must.Eq(t, []version.UpstreamID{2, 2, 3, 2, 5}, got)
}

func TestShareFollowsWeight(t *testing.T) {
	r := version.Ranking{{Upstream: 1, Weight: 256}, {Upstream: 2, Weight: 768}}
	n := 0
	for b := range Buckets {
		if First(r, uint16(b)) == 2 {
			n++
		}
	}
	must.InDelta(t, 0.75, float64(n)/Buckets, 0.01)
}

func TestRemovedUpstreamMovesOnlyItsBuckets(t *testing.T) {
	r := equalWeights(15)
	for b := range Buckets {
		before := First(r, uint16(b))
		if before != 1 {
			must.Eq(t, before, First(r[1:], uint16(b)))
		}
	}
}

func TestRankVisitsEachUpstreamOnce(t *testing.T) {
	for _, n := range []int{1, 15, MaxCached, MaxCached + 10} {
		r := equalWeights(n)
		for _, b := range []uint16{0, 77} {
			ranked := Rank(nil, r, b)
			must.Len(t, n, ranked)
			must.Eq(t, First(r, b), ranked[0])
			seen := map[version.UpstreamID]bool{}
			for _, id := range ranked {
				seen[id] = true
			}
			must.MapLen(t, n, seen)
		}
	}
}

func TestStandbyReplacesRemovedOwner(t *testing.T) {
	set := []version.MemberID{3, 5, 8, 13}
	all := NewOwnerTable(set)
	without := NewOwnerTable(set[1:])
	for slot := range uint16(Slots) {
		if all.Owner(slot) == 3 {
			must.Eq(t, all.Standby(slot), without.Owner(slot))
		} else {
			must.Eq(t, all.Owner(slot), without.Owner(slot))
		}
	}
}
