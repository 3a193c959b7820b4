// Package share divides the slots of a service among the balancers, so that each
// knows without coordination how many connections it may open to which upstreams.
//
// It answers loads at which upstreams are busy: balancers that choose upstreams
// independently fill the queues of some while slots of others are idle.
package share

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
func Of(self string, balancers []Balancer, upstreams []Upstream) []float64 { return nil }
