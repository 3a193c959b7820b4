package share

import "slices"

// evenRatio is the ratio of the mean need of a failure domain's balancers to that of all
// up to which needs count as even.
const evenRatio = 1.25

// Smooth returns the balancers with the mean need of their failure domain, or with none if
// the domains differ little. The fabric spreads the callers of a domain evenly over its
// balancers: what differs between these is chance, and each change of a part moves the
// shares of many balancers, whose connections then hold slots that others count as theirs.
func Smooth(balancers []Balancer) []Balancer {
	sums, counts := make(map[string]float64), make(map[string]float64)
	sum, count := 0.0, 0.0
	for _, b := range balancers {
		if b.Need > 0 {
			sums[b.Domain] += b.Need
			counts[b.Domain]++
			sum += b.Need
			count++
		}
	}
	out := slices.Clone(balancers)
	isEven := true
	for i := range out {
		out[i].Need = sums[out[i].Domain] / max(counts[out[i].Domain], 1)
		isEven = isEven && out[i].Need <= evenRatio*sum/max(count, 1)
	}
	if isEven {
		for i := range out {
			out[i].Need = 0
		}
	}
	return out
}
