// Package routing holds the operators' routes: the services that connections to
// an address may go to. A Table is immutable; Diff and Apply carry the
// difference between two tables to balancers.
package routing

import (
	"net/netip"
	"slices"
	"time"

	"heatherport/internal/result"
)

// Target is a service that receives a weighted share of a route's new
// connections.
type Target struct {
	Service string `cbor:"1,keyasint"`
	Weight  uint32 `cbor:"2,keyasint"`
}

// Route maps the new connections to an address to services.
type Route struct {
	Name    string         `cbor:"1,keyasint"`
	Address netip.AddrPort `cbor:"2,keyasint"`
	Targets []Target       `cbor:"3,keyasint"`
	Timeout time.Duration  `cbor:"4,keyasint"` // of a single request
	// LatencyObjective is the time within which requests are expected to be
	// answered.
	LatencyObjective time.Duration `cbor:"5,keyasint,omitempty"`
	// Priority orders routes under overload; zero is the highest priority.
	Priority int `cbor:"6,keyasint,omitempty"`
	// Regions are those whose upstreams may take the connections. All may if it is
	// empty.
	Regions []string `cbor:"7,keyasint,omitempty"`
}

// SlowStart limits the new connections to the upstreams of a service that have just
// started.
type SlowStart struct {
	Duration time.Duration `cbor:"1,keyasint"`
	Rate     float64       `cbor:"2,keyasint"` // connections per second that an upstream can serve
}

// Allows reports whether the route sends connections to service.
func (r *Route) Allows(service string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service })
}

// PickService picks a target in proportion to its weight. The value of point
// modulo the sum of all weights selects it.
func (r *Route) PickService(point uint64) string {
	sum := uint64(0)
	for _, t := range r.Targets {
		sum += uint64(t.Weight)
	}
	if sum == 0 {
		return ""
	}
	point %= sum
	for _, t := range r.Targets {
		if point < uint64(t.Weight) {
			return t.Service
		}
		point -= uint64(t.Weight)
	}
	return ""
}

func (r *Route) equal(o *Route) bool {
	return r.Name == o.Name && r.Address == o.Address && slices.Equal(r.Targets, o.Targets) && slices.Equal(r.Regions, o.Regions) &&
		r.Timeout == o.Timeout && r.LatencyObjective == o.LatencyObjective && r.Priority == o.Priority
}

// Table is one version of the routes.
type Table struct {
	Number      uint64
	IdleTimeout time.Duration // after which an idle connection may be evicted
	Services    []string      // sorted
	// SlowStarts holds the limit of each service that has one.
	SlowStarts map[string]SlowStart
	routes     map[netip.AddrPort]*Route
}

// New returns a table of the given routes. It fails if they are inconsistent.
func New(number uint64, idle time.Duration, services []string, routes []Route) (*Table, error) {
	t := &Table{Number: number, IdleTimeout: idle, Services: slices.Clone(services), routes: make(map[netip.AddrPort]*Route, len(routes))}
	slices.Sort(t.Services)
	if len(slices.Compact(slices.Clone(t.Services))) != len(t.Services) {
		return nil, result.Errorf(result.BadRoutes, "a service is listed more than once")
	}
	for i := range routes {
		if err := t.add(&routes[i]); err != nil {
			return nil, err
		}
	}
	return t, nil
}

func (t *Table) add(r *Route) error {
	if _, ok := t.routes[r.Address]; ok {
		return result.Errorf(result.BadRoutes, "route %s: address %s already has a route", r.Name, r.Address)
	}
	if r.Timeout <= 0 {
		return result.Errorf(result.BadRoutes, "route %s: timeout %s is not positive", r.Name, r.Timeout)
	}
	sum := uint64(0)
	for _, target := range r.Targets {
		if !t.HasService(target.Service) {
			return result.Errorf(result.BadRoutes, "route %s: unknown service %q", r.Name, target.Service)
		}
		sum += uint64(target.Weight)
	}
	if sum == 0 {
		return result.Errorf(result.BadRoutes, "route %s: all targets have weight zero", r.Name)
	}
	t.routes[r.Address] = r
	return nil
}

// HasService reports whether the table lists a service.
func (t *Table) HasService(name string) bool {
	_, ok := slices.BinarySearch(t.Services, name)
	return ok
}

// LongestSlowStart returns the longest slow start of a service that has a limit.
func (t *Table) LongestSlowStart() (longest time.Duration) {
	for _, s := range t.SlowStarts {
		longest = max(longest, s.Duration)
	}
	return longest
}

// Route returns the route of an address, or nil.
func (t *Table) Route(address netip.AddrPort) *Route { return t.routes[address] }

// Len returns the number of routes.
func (t *Table) Len() int { return len(t.routes) }

// Delta is the difference between two tables. From is the number of the table
// that it applies to, or zero when Set holds all routes.
type Delta struct {
	From        uint64               `cbor:"1,keyasint,omitempty"`
	Number      uint64               `cbor:"2,keyasint"`
	IdleTimeout time.Duration        `cbor:"3,keyasint"`
	Services    []string             `cbor:"4,keyasint"`
	Set         []Route              `cbor:"5,keyasint,omitempty"`
	Drop        []netip.AddrPort     `cbor:"6,keyasint,omitempty"`
	SlowStarts  map[string]SlowStart `cbor:"7,keyasint,omitempty"`
}

// Diff returns the delta from old, which may be nil, to t.
func (t *Table) Diff(old *Table) Delta {
	d := Delta{Number: t.Number, IdleTimeout: t.IdleTimeout, Services: t.Services, SlowStarts: t.SlowStarts}
	if old != nil {
		d.From = old.Number
	}
	for address, r := range t.routes {
		if old == nil || old.routes[address] == nil || !old.routes[address].equal(r) {
			d.Set = append(d.Set, *r)
		}
	}
	if old == nil {
		return d
	}
	for address := range old.routes {
		if t.routes[address] == nil {
			d.Drop = append(d.Drop, address)
		}
	}
	return d
}

// Apply returns the result of applying d to t, which may be nil. It fails with
// VersionStale when d starts from another table.
func (t *Table) Apply(d Delta) (*Table, error) {
	next := &Table{Number: d.Number, IdleTimeout: d.IdleTimeout, Services: d.Services, SlowStarts: d.SlowStarts, routes: make(map[netip.AddrPort]*Route, len(d.Set))}
	if d.From != 0 {
		if t == nil || t.Number != d.From {
			return nil, result.Errorf(result.VersionStale, "delta from configuration %d does not apply to this table", d.From)
		}
		for address, r := range t.routes {
			next.routes[address] = r
		}
	}
	for _, address := range d.Drop {
		delete(next.routes, address)
	}
	for i := range d.Set {
		next.routes[d.Set[i].Address] = &d.Set[i]
	}
	return next, nil
}
