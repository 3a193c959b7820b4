package controller

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Balancers divide the slots of upstreams among themselves (internal/load/share).
// Each controller tells the others which balancers it feeds, and all feeds carry the
// union, so that balancers work with the same list soon after a change.
const (
	// fleetInterval is the shortest time between two changes of the list. A restart of
	// many balancers changes it with each of them, and each change goes to all
	// balancers.
	fleetInterval = time.Second
	// fleetRefresh is the interval at which a controller repeats its list to others.
	fleetRefresh = 5 * time.Second
)

// Fleet lists balancers by failure domain, both in order.
type Fleet struct {
	// Controller is the ID of the controller that feeds them. It is set between
	// controllers.
	Controller string        `cbor:"1,keyasint,omitempty"`
	Domains    []FleetDomain `cbor:"2,keyasint"`
}

// FleetDomain lists the balancers of a failure domain by their keys.
type FleetDomain struct {
	Domain    string   `cbor:"1,keyasint"`
	Balancers []uint32 `cbor:"2,keyasint"`
}

// BalancerKey returns the key of a balancer in a Fleet. Names would be four times as
// long.
func BalancerKey(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

func (f *Fleet) equal(o *Fleet) bool {
	if f == nil || o == nil {
		return f == o
	}
	return slices.EqualFunc(f.Domains, o.Domains, func(a, b FleetDomain) bool {
		return a.Domain == b.Domain && slices.Equal(a.Balancers, b.Balancers)
	})
}

// MergeFleets returns the union of fleets; nil ones are left out. It returns nil if
// none is left.
func MergeFleets(fleets ...*Fleet) *Fleet {
	keys := make(map[string][]uint32)
	known := false
	for _, f := range fleets {
		if f == nil {
			continue
		}
		known = true
		for _, d := range f.Domains {
			keys[d.Domain] = append(keys[d.Domain], d.Balancers...)
		}
	}
	if !known {
		return nil
	}
	out := &Fleet{}
	for domain, balancers := range keys {
		slices.Sort(balancers)
		out.Domains = append(out.Domains, FleetDomain{Domain: domain, Balancers: slices.Compact(balancers)})
	}
	slices.SortFunc(out.Domains, func(a, b FleetDomain) int { return cmp.Compare(a.Domain, b.Domain) })
	return out
}

// fleetTable holds the balancers that each controller feeds.
type fleetTable struct {
	byController map[string]*Fleet
	sent         *Fleet // own list as last sent to other controllers
	sentAt       time.Duration
	fed          *Fleet // union in the feeds
	fedAt        time.Duration
}

// ownFleet returns the balancers that this controller feeds.
func (c *Controller) ownFleet() *Fleet {
	domains := make(map[string][]uint32)
	for _, s := range c.subscribers {
		domains[s.Domain] = append(domains[s.Domain], BalancerKey(s.Name))
	}
	own := &Fleet{}
	for domain, keys := range domains {
		own.Domains = append(own.Domains, FleetDomain{Domain: domain, Balancers: keys})
	}
	own = MergeFleets(own)
	own.Controller = c.consensus.Status().ID
	return own
}

// handleFleet takes the list of another controller.
func (c *Controller) handleFleet(f *Fleet) { c.fleets.byController[f.Controller] = f }

// refreshFleet passes on which balancers are fed.
func (c *Controller) refreshFleet(now time.Duration) {
	t := &c.fleets
	own := c.ownFleet()
	if since := now - t.sentAt; since >= fleetRefresh || since >= fleetInterval && !own.equal(t.sent) {
		t.sent, t.sentAt = own, now
		c.broadcast(KindFleet, own)
	}
	if now-t.fedAt < fleetInterval {
		return
	}
	live := map[string]bool{}
	for _, m := range c.peers.members(peerMaxAge) {
		live[m.ID] = true
	}
	maps.DeleteFunc(t.byController, func(id string, _ *Fleet) bool { return !live[id] })
	all := MergeFleets(append(slices.Collect(maps.Values(t.byController)), own)...)
	if !all.equal(t.fed) {
		t.fed, t.fedAt = all, now
	}
}
