// Package share divides the slots of a service among the balancers, so that each
// knows without coordination how many connections it may open to which upstreams.
//
// It answers loads at which upstreams are busy: balancers that choose upstreams
// independently fill the queues of some while slots of others are idle.
//
// It fails where balancers hold different lists: shares then overlap, and some
// slots are in none.
package share

import (
	"cmp"
	"slices"
)

// Balancer is a live balancer.
type Balancer struct {
	Name   string
	Domain string // failure domain
}

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
// The slots of a domain form a line in the order of upstream IDs, and its balancers
// get consecutive intervals in the order of their names. What they do not need is
// the surplus, the end of the line. The surplus of all domains forms another line,
// which is divided among the balancers whose domains have too few slots.
func Of(self string, balancers []Balancer, upstreams []Upstream) []float64 {
	at := slices.IndexFunc(balancers, func(b Balancer) bool { return b.Name == self })
	if at < 0 {
		return nil
	}
	d := newDivision(balancers, upstreams)
	own := balancers[at]
	before := d.balancersBefore(own, balancers)
	local := d.domains[own.Domain]
	shares := make([]float64, len(upstreams))
	from := float64(before) * local.part
	d.addLocal(shares, upstreams, own.Domain, from, from+local.part)
	if missing := d.equal - local.part; missing > 0 {
		start := d.missingBefore(own.Domain) + float64(before)*missing
		d.addSurplus(shares, upstreams, start, start+missing)
	}
	return shares
}

// domain holds what is known of a failure domain.
type domain struct {
	name      string
	balancers int
	slots     float64
	part      float64 // slots of the domain that each of its balancers gets
}

// surplus returns the slots that the balancers of the domain do not need.
func (d *domain) surplus() float64 { return max(d.slots-float64(d.balancers)*d.part, 0) }

// division is the division of a service's slots.
type division struct {
	domains map[string]*domain
	names   []string // of the domains, sorted
	equal   float64  // slots for each balancer
	order   []int    // upstreams in the order of their IDs
}

func newDivision(balancers []Balancer, upstreams []Upstream) *division {
	d := &division{domains: make(map[string]*domain), order: orderByID(upstreams)}
	for _, b := range balancers {
		d.domain(b.Domain).balancers++
	}
	total := 0.0
	for _, u := range upstreams {
		d.domain(u.Domain).slots += float64(u.Slots)
		total += float64(u.Slots)
	}
	d.equal = total / float64(len(balancers))
	for _, x := range d.domains {
		if x.balancers > 0 {
			x.part = min(d.equal, x.slots/float64(x.balancers))
		}
	}
	slices.Sort(d.names)
	return d
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

// balancersBefore returns the number of balancers of the domain of own whose names
// come before it.
func (d *division) balancersBefore(own Balancer, balancers []Balancer) (n int) {
	for _, b := range balancers {
		if b.Domain == own.Domain && b.Name < own.Name {
			n++
		}
	}
	return n
}

// missingBefore returns the slots that domains before the given one get from the
// surplus.
func (d *division) missingBefore(name string) (sum float64) {
	for _, n := range d.names {
		if n >= name {
			break
		}
		x := d.domains[n]
		sum += float64(x.balancers) * (d.equal - x.part)
	}
	return sum
}

// addLocal adds the interval [from, to) of the line of a domain to the shares.
func (d *division) addLocal(shares []float64, upstreams []Upstream, name string, from, to float64) {
	begin := 0.0
	for _, i := range d.order {
		if u := &upstreams[i]; u.Domain == name {
			shares[i] += overlap(begin, begin+float64(u.Slots), from, to)
			begin += float64(u.Slots)
		}
	}
}

// addSurplus adds the interval [from, to) of the line of surplus slots to the
// shares.
func (d *division) addSurplus(shares []float64, upstreams []Upstream, from, to float64) {
	begin := 0.0
	for _, n := range d.names {
		x := d.domains[n]
		surplus := x.surplus()
		if low, high := max(from-begin, 0), min(to-begin, surplus); low < high {
			used := x.slots - surplus
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
