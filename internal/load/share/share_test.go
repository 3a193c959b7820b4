package share

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// tolerance covers the rounding of sums of up to 1,200 slots.
const tolerance = 1e-9

var domainNames = []string{"a", "b", "c", "d"}

// fleet draws balancers and upstreams in up to four failure domains.
func fleet(t *rapid.T) ([]Balancer, []Upstream) {
	balancers := make([]Balancer, rapid.IntRange(1, 30).Draw(t, "balancers"))
	for i := range balancers {
		balancers[i] = Balancer{Name: fmt.Sprintf("b%02d", i), Domain: rapid.SampledFrom(domainNames).Draw(t, "domain")}
	}
	upstreams := make([]Upstream, rapid.IntRange(0, 40).Draw(t, "upstreams"))
	for i := range upstreams {
		upstreams[i] = Upstream{fmt.Sprintf("u%02d", i), rapid.SampledFrom(domainNames).Draw(t, "domain"), rapid.IntRange(0, 4).Draw(t, "slots")}
	}
	return balancers, upstreams
}

func sum(shares []float64) (s float64) {
	for _, x := range shares {
		s += x
	}
	return s
}

func totalSlots(upstreams []Upstream, domain string) (n float64) {
	for _, u := range upstreams {
		if domain == "" || u.Domain == domain {
			n += float64(u.Slots)
		}
	}
	return n
}

// Shares that do not add up would leave slots idle or promise them twice.
func TestSharesArePartition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		balancers, upstreams := fleet(t)
		covered := make([]float64, len(upstreams))
		equal := totalSlots(upstreams, "") / float64(len(balancers))
		for _, b := range balancers {
			shares := Of(b.Name, balancers, upstreams)
			must.InDelta(t, equal, sum(shares), tolerance)
			for i, s := range shares {
				must.GreaterEq(t, 0, s)
				covered[i] += s
			}
		}
		for i, u := range upstreams {
			must.InDelta(t, float64(u.Slots), covered[i], tolerance)
		}
	})
}

// A share in another domain while the own one has free slots would cost bytes
// between domains for nothing.
func TestOwnDomainComesFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		balancers, upstreams := fleet(t)
		equal := totalSlots(upstreams, "") / float64(len(balancers))
		count := map[string]int{}
		for _, b := range balancers {
			count[b.Domain]++
		}
		for _, b := range balancers {
			local := 0.0
			for i, s := range Of(b.Name, balancers, upstreams) {
				if upstreams[i].Domain == b.Domain {
					local += s
				}
			}
			must.InDelta(t, min(equal, totalSlots(upstreams, b.Domain)/float64(count[b.Domain])), local, tolerance)
		}
	})
}

// withNeeds draws needs for the balancers.
func withNeeds(t *rapid.T, balancers []Balancer) {
	for i := range balancers {
		balancers[i].Need = rapid.OneOf(rapid.Just(0.0), rapid.Float64Range(0.1, 20)).Draw(t, "need")
	}
}

// Slots that are lent must be in exactly one share, and no balancer gets less than
// another that has more than it needs.
func TestLentSharesArePartitionAndFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		balancers, upstreams := fleet(t)
		withNeeds(t, balancers)
		total := totalSlots(upstreams, "")
		covered := make([]float64, len(upstreams))
		got := make([]float64, len(balancers))
		for i, b := range balancers {
			shares := Of(b.Name, balancers, upstreams)
			got[i] = sum(shares)
			for j, s := range shares {
				must.GreaterEq(t, 0, s)
				covered[j] += s
			}
		}
		for i, u := range upstreams {
			must.InDelta(t, float64(u.Slots), covered[i], tolerance)
		}
		for i, b := range balancers {
			if b.Need == 0 || got[i] >= b.Need-tolerance {
				continue
			}
			for j, o := range balancers {
				if got[j] > got[i]+tolerance {
					t.Fatalf("%s gets %g of %g, %s gets %g", b.Name, got[i], b.Need, o.Name, got[j])
				}
			}
		}
		must.InDelta(t, total, sum(got), tolerance)
	})
}

// A crowd of nine times in one domain: its balancers get what they need while it fits,
// the others keep what they need.
func TestCrowdIsLentWhatOthersDoNotNeed(t *testing.T) {
	balancers, upstreams := evenFleet(12, 24)
	for i := range balancers {
		balancers[i].Need = 1
		if balancers[i].Domain == "a" {
			balancers[i].Need = 9
		}
	}
	must.InDelta(t, 48*9.0/(4*9+8), sum(Of("b000", balancers, upstreams)), tolerance)
	for i := range balancers {
		balancers[i].Need *= 2 // more than there is
	}
	must.InDelta(t, 2, sum(Of("b001", balancers, upstreams)), tolerance)
	must.InDelta(t, (48-8*2)/4.0, sum(Of("b000", balancers, upstreams)), tolerance)
}

// Balancers receive the lists in different orders.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		balancers, upstreams := fleet(t)
		self := balancers[0].Name
		before := byID(upstreams, Of(self, balancers, upstreams))
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		r.Shuffle(len(balancers), func(i, j int) { balancers[i], balancers[j] = balancers[j], balancers[i] })
		r.Shuffle(len(upstreams), func(i, j int) { upstreams[i], upstreams[j] = upstreams[j], upstreams[i] })
		must.Eq(t, before, byID(upstreams, Of(self, balancers, upstreams)))
	})
}

func byID(upstreams []Upstream, shares []float64) map[string]float64 {
	m := map[string]float64{}
	for i, s := range shares {
		m[upstreams[i].ID] = s
	}
	return m
}

// moved returns the slots whose balancer differs between two lists.
func moved(before, after []Balancer, upstreams []Upstream) (slots float64) {
	for _, b := range after {
		old := Of(b.Name, before, upstreams)
		for i, s := range Of(b.Name, after, upstreams) {
			if old == nil {
				slots += s
			} else {
				slots += max(s-old[i], 0)
			}
		}
	}
	return slots
}

// When intervals shift, their ends move by less than one share each. Consecutive
// equal intervals move half of a line at most, and the joining balancer's part.
func TestMembershipChangeMovesAtMostHalf(t *testing.T) {
	for _, balancers := range []int{12, 76, 300} {
		all, upstreams := evenFleet(balancers, 4*balancers/3)
		slots := totalSlots(upstreams, "")
		worst := 0.0
		for i := 0; i < len(all); i += max(len(all)/20, 1) {
			less := append(append([]Balancer(nil), all[:i]...), all[i+1:]...)
			worst = max(worst, moved(less, all, upstreams), moved(all, less, upstreams))
		}
		t.Logf("%d balancers: at most %.3f of all slots move", balancers, worst/slots)
		must.Less(t, slots/2+slots/float64(balancers), worst)
	}
}

// evenFleet returns balancers and upstreams of two slots spread over three domains.
func evenFleet(balancers, upstreams int) (b []Balancer, u []Upstream) {
	for i := range balancers {
		b = append(b, Balancer{Name: fmt.Sprintf("b%03d", i), Domain: domainNames[i%3]})
	}
	for i := range upstreams {
		u = append(u, Upstream{fmt.Sprintf("u%04d", i), domainNames[i%3], 2})
	}
	return b, u
}

func TestUnknownBalancerHasNoShare(t *testing.T) {
	balancers, upstreams := evenFleet(3, 3)
	must.Nil(t, Of("other", balancers, upstreams))
	must.Nil(t, Of("b000", nil, upstreams))
	must.SliceEmpty(t, Of("b000", balancers, nil))
}

func BenchmarkOf(b *testing.B) {
	balancers, upstreams := evenFleet(300, 600)
	for b.Loop() {
		Of("b150", balancers, upstreams)
	}
}
