// Package share divides the slots of a service among the balancers, so that each
// knows without coordination how many connections it may open to which upstreams.
//
// It answers loads at which upstreams are busy: balancers that choose upstreams
// independently fill the queues of some while slots of others are idle. It also
// answers a crowd in one failure domain: balancers that need more than an equal part
// are lent what the others do not need.
//
// It fails where balancers hold different lists: shares then overlap, and some
// slots are in none. Needs that change faster than balancers learn of them are met by
// spillover.
package share

import (
	"cmp"
	"math"
	"slices"
)

// Balancer is a live balancer.
type Balancer struct {
	Name   string
	Domain string // failure domain
	// Need is the number of slots that the callers of the balancer need. Zero means
	// unknown.
	Need float64
}

// unknownNeed is the need, as a part of an equal share, of a balancer whose need is
// unknown while that of others is: it has not reported one, because it needs little.
const unknownNeed = 0.5

// Upstream is an upstream that takes new connections.
type Upstream struct {
	ID     string
	Domain string
	Slots  int
}

// Of returns the share of the balancer named self in each upstream, in slots. The
// result has the order of upstreams. It depends only on the sets of balancers and
// upstreams, not on their order; the shares of all balancers add up to all slots.
// It returns nil if self is not among the balancers.
//
// Each balancer gets an equal part or, if needs are known, one by its need (parts).
// The slots of a domain form a line: the first slot of each upstream in the order of
// upstream IDs, then the second of each, and so on. Its balancers get consecutive
// intervals in the order of their names: the share of a balancer is spread over many
// upstreams, so that a slow or busy one weighs on several balancers a little. What they
// do not get is the surplus, the end of the line. The surplus of all domains forms another
// line, which is divided among the balancers whose domains have too few slots.
func Of(self string, balancers []Balancer, upstreams []Upstream) []float64 {
	at := slices.IndexFunc(balancers, func(b Balancer) bool { return b.Name == self })
	if at < 0 {
		return nil
	}
	d := newDivision(balancers, upstreams)
	own := balancers[at]
	local := d.domains[own.Domain]
	before := d.partsBefore(own, balancers)
	shares := make([]float64, len(upstreams))
	fraction := local.localFraction()
	from := before * fraction
	d.addLocal(shares, upstreams, own.Domain, from, from+d.parts[at]*fraction)
	if missing := d.parts[at] * (1 - fraction); missing > 0 {
		start := d.missingBefore(own.Domain) + before*(1-fraction)
		d.addSurplus(shares, upstreams, start, start+missing)
	}
	return shares
}

// domain holds what is known of a failure domain.
type domain struct {
	name  string
	slots float64
	parts float64 // sum of the parts of its balancers
}

// localFraction returns the fraction of their parts that the balancers of the domain
// get from its own slots.
func (d *domain) localFraction() float64 {
	if d.parts <= d.slots {
		return 1
	}
	return d.slots / d.parts
}

// used returns the slots that its balancers get.
func (d *domain) used() float64 { return min(d.slots, d.parts) }

// division is the division of a service's slots.
type division struct {
	domains map[string]*domain
	names   []string  // of the domains, sorted
	parts   []float64 // slots for each balancer
	order   []int     // upstreams in the order of their IDs
}

func newDivision(balancers []Balancer, upstreams []Upstream) *division {
	d := &division{domains: make(map[string]*domain), order: orderByID(upstreams)}
	total := 0.0
	for _, u := range upstreams {
		d.domain(u.Domain).slots += float64(u.Slots)
		total += float64(u.Slots)
	}
	d.parts = parts(balancers, total)
	for i, b := range balancers {
		d.domain(b.Domain).parts += d.parts[i]
	}
	slices.Sort(d.names)
	return d
}

// parts divides the slots of a service. If the needs exceed the slots, no balancer
// gets more than another that does not have what it needs (max-min fairness).
// Otherwise all get the same multiple of their needs.
func parts(balancers []Balancer, total float64) []float64 {
	equal := total / float64(len(balancers))
	out := make([]float64, len(balancers))
	if !slices.ContainsFunc(balancers, func(b Balancer) bool { return b.Need > 0 }) {
		for i := range out {
			out[i] = equal
		}
		return out
	}
	needed := 0.0
	for i, b := range balancers {
		if out[i] = b.Need; out[i] <= 0 {
			out[i] = unknownNeed * equal
		}
		needed += out[i]
	}
	if needed > total {
		level := fairLevel(out, total)
		for i := range out {
			out[i] = min(out[i], level)
		}
		return out
	}
	for i := range out {
		out[i] *= total / needed
	}
	return out
}

// fairLevel returns the level at which needs that exceed total are cut, so that the
// rest adds up to total.
func fairLevel(needs []float64, total float64) float64 {
	sorted := slices.Sorted(slices.Values(needs))
	for i, need := range sorted {
		level := total / float64(len(sorted)-i)
		if need >= level {
			return level
		}
		total -= need
	}
	return math.Inf(1)
}

func (d *division) domain(name string) *domain {
	x := d.domains[name]
	if x == nil {
		x = &domain{name: name}
		d.domains[name] = x
		d.names = append(d.names, name)
	}
	return x
}

// partsBefore returns the sum of the parts of the balancers in the domain of own whose
// names come before it.
func (d *division) partsBefore(own Balancer, balancers []Balancer) (sum float64) {
	for i, b := range balancers {
		if b.Domain == own.Domain && b.Name < own.Name {
			sum += d.parts[i]
		}
	}
	return sum
}

// missingBefore returns the slots that domains before the given one get from the
// surplus.
func (d *division) missingBefore(name string) (sum float64) {
	for _, n := range d.names {
		if n >= name {
			break
		}
		x := d.domains[n]
		sum += x.parts - x.used()
	}
	return sum
}

// addLocal adds the interval [from, to) of the line of a domain to the shares.
func (d *division) addLocal(shares []float64, upstreams []Upstream, name string, from, to float64) {
	begin := 0.0
	for slot := 0; begin < d.domains[name].slots; slot++ {
		for _, i := range d.order {
			if u := &upstreams[i]; u.Domain == name && slot < u.Slots {
				shares[i] += overlap(begin, begin+1, from, to)
				begin++
			}
		}
	}
}

// addSurplus adds the interval [from, to) of the line of surplus slots to the
// shares.
func (d *division) addSurplus(shares []float64, upstreams []Upstream, from, to float64) {
	begin := 0.0
	for _, n := range d.names {
		x := d.domains[n]
		used := x.used()
		surplus := x.slots - used
		if low, high := max(from-begin, 0), min(to-begin, surplus); low < high {
			d.addLocal(shares, upstreams, n, used+low, used+high)
		}
		begin += surplus
	}
}

// overlap returns the length of the intersection of [a, b) and [c, d).
func overlap(a, b, c, d float64) float64 { return max(min(b, d)-max(a, c), 0) }

func orderByID(upstreams []Upstream) []int {
	order := make([]int, len(upstreams))
	for i := range order {
		order[i] = i
	}
	byID := func(a, b int) int { return cmp.Compare(upstreams[a].ID, upstreams[b].ID) }
	if !slices.IsSortedFunc(order, byID) {
		slices.SortFunc(order, byID)
	}
	return order
}
