package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"heatherport/internal/version"
)

// TestRankOrdersByCost compares Rank with a stable sort by cost, for rankings
// smaller and larger than MaxCached.
func TestRankOrdersByCost(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, n := range []int{0, 1, 2, MaxCached - 1, MaxCached, MaxCached + 1, 200} {
		ranking := make(version.Ranking, n)
		for i := range ranking {
			ranking[i] = version.WeightedUpstream{Upstream: version.UpstreamID(i + 1), Weight: uint32(1 + random.IntN(2000))}
		}
		for range 50 {
			bucket := uint16(random.IntN(Buckets))
			want := slices.Clone(ranking)
			slices.SortStableFunc(want, func(a, b version.WeightedUpstream) int {
				return cmp.Compare(cost(a, bucket), cost(b, bucket))
			})
			got := Rank(nil, ranking, bucket)
			must.Len(t, n, got)
			for i := range want {
				must.Eq(t, want[i].Upstream, got[i])
			}
			if n > 0 {
				must.Eq(t, got[0], First(ranking, bucket))
			}
		}
	}
}

// TestRankKeepsOrderOfEqualCosts iterates over a ranking that repeats one
// upstream, so that all costs are equal.
func TestRankKeepsOrderOfEqualCosts(t *testing.T) {
	ranking := make(version.Ranking, 2*MaxCached)
	for i := range ranking {
		ranking[i] = version.WeightedUpstream{Upstream: 1, Weight: 256}
	}
	var it Iterator
	it.Reset(ranking, 7)
	for i := range ranking {
		at, ok := it.Next()
		must.True(t, ok)
		must.Eq(t, i, at)
	}
	_, ok := it.Next()
	must.False(t, ok)
}
