package placement

import (
	"math"
	"testing"

	"github.com/shoenig/test/must"

	"heatherport/internal/version"
)

func equalRanking(n int) version.Ranking {
	var r version.Ranking
	for i := range n {
		r = append(r, version.WeightedUpstream{Upstream: version.UpstreamID(i + 1), Weight: 768})
	}
	return r
}

func TestNegLog2IsCloseToTheLogarithm(t *testing.T) {
	for _, h := range []uint64{1, 2, 3, 1 << 20, 0x123456789abcdef, 1 << 63, math.MaxUint64 >> 1, 0xfedcba9876543210} {
		want := -math.Log2(float64(h) / (1 << 63) / 2)
		must.InDelta(t, want, float64(negLog2(h))/(1<<logFracBits), 1e-6)
	}
}

// TestPlacementIsFixed guards against a change that would let members of
// different releases disagree.
func TestPlacementIsFixed(t *testing.T) {
	r := equalRanking(5)
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

func TestLeavingMovesOnlyItsBuckets(t *testing.T) {
	r := equalRanking(15)
	for b := range Buckets {
		before := First(r, uint16(b))
		if before != 1 {
			must.Eq(t, before, First(r[1:], uint16(b)))
		}
	}
}

func TestRankVisitsAllOnce(t *testing.T) {
	for _, n := range []int{1, 15, MaxCached, MaxCached + 10} {
		r := equalRanking(n)
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

func TestStandbyOwnsWithoutTheOwner(t *testing.T) {
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
