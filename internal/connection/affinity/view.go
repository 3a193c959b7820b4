package affinity

import (
	"net/netip"
	"time"

	"heatherport/internal/load/share"
	"heatherport/internal/load/speed"
	"heatherport/internal/version/directory"
	"heatherport/internal/version/routing"
)

// Upstream is an incarnation of an upstream that packets may be sent to.
type Upstream struct {
	directory.Record
	Cookie uint32 // tag of the incarnation
	// LastUpdate is the time at which the balancer last received an update of
	// the record.
	LastUpdate time.Duration
	// Ended reports that the incarnation ended so long ago that none of its
	// packets are in flight. Its connections are lost.
	Ended bool
	// Evacuated reports that the upstream's failure domain is evacuated.
	Evacuated bool
	Region    string // of its failure domain; empty if unknown
	// ColdUntil is the time until which the upstream takes at most ColdRate new
	// connections in any second, and only from the balancer that owns its slow start.
	// It is zero for a service without a limit.
	ColdUntil time.Duration
	ColdRate  int
	Owned     bool // this balancer owns the slow start
	// Slowness is the level that balancers have reported.
	Slowness speed.Level
}

// isEligible reports whether the upstream takes new connections.
func (u *Upstream) isEligible() bool { return u.State == directory.Serving && !u.Evacuated }

// View is an immutable snapshot of routes and upstreams.
type View struct {
	Routes *routing.Table
	// RetiredTargets holds the services that routes allowed recently. It is nil
	// until they are known for the maximum lifetime of a connection.
	RetiredTargets *routing.RetiredTargets
	// Confirmed reports that a leader recently confirmed the state.
	Confirmed bool
	// Current reports that the state is confirmed and complete: an address
	// without a route has none.
	Current bool
	// Balancers holds the balancers that controllers feed, sorted by name. If this
	// balancer is not among them, permits do not apply.
	Balancers []share.Balancer
	// Needs holds the slots that balancers need, by service and name of the balancer.
	// It has only the services of which a balancer needs more than an equal part.
	Needs     map[string]map[string]float64
	byCookie  map[uint32]*Upstream
	byService map[string][]*Upstream
	// evacuated holds the services that have serving upstreams in evacuated failure
	// domains.
	evacuated map[string]bool
}

// Index sets the upstreams of a new view. If two incarnations have the same
// tag, the one that started first keeps it. The other takes no connections
// until the first is removed.
func (v *View) Index(upstreams []Upstream) *View {
	v.byCookie = make(map[uint32]*Upstream, len(upstreams))
	v.byService = make(map[string][]*Upstream)
	v.evacuated = make(map[string]bool)
	for i := range upstreams {
		u := &upstreams[i]
		if holder := v.byCookie[u.Cookie]; holder != nil && holder.StartMillis <= u.StartMillis {
			continue
		}
		v.byCookie[u.Cookie] = u
	}
	for i := range upstreams {
		u := &upstreams[i]
		switch {
		case v.byCookie[u.Cookie] != u:
		case u.isEligible():
			v.byService[u.Service] = append(v.byService[u.Service], u)
		case u.Evacuated && u.State == directory.Serving:
			v.evacuated[u.Service] = true
		}
	}
	return v
}

// Upstream returns the upstream of a cookie, or nil.
func (v *View) Upstream(cookie uint32) *Upstream { return v.byCookie[cookie] }

// route returns the route of an address, or nil.
func (v *View) route(address netip.AddrPort) *routing.Route {
	if v.Routes == nil {
		return nil
	}
	return v.Routes.Route(address)
}

// allows reports whether a connection to address may belong to service.
// Connections of a deleted route stay with their upstreams.
func (v *View) allows(address netip.AddrPort, service string) bool {
	r := v.route(address)
	if r == nil || r.Allows(service) || v.RetiredTargets == nil {
		return true
	}
	return v.RetiredTargets.Allowed(address, service)
}

// SlowStarts returns the number of upstreams in a slow start with a limit, and of
// those that this balancer owns.
func (v *View) SlowStarts(now time.Duration) (cold, owned int) {
	for _, u := range v.byCookie {
		if u.State != directory.Serving || now >= u.ColdUntil {
			continue
		}
		cold++
		if u.Owned {
			owned++
		}
	}
	return cold, owned
}
