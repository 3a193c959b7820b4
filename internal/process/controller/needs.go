package controller

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Balancers that need more than an equal part of a service's slots are lent what others
// do not need (internal/load/demand, internal/load/share). Controllers gather what
// balancers need and feed the union to all.

// Needs lists what balancers need of services, both in order. Balancers send their own
// needs, controllers those of the balancers that they feed.
type Needs struct {
	// Controller is the ID of the controller. It is set between controllers.
	Controller string        `cbor:"1,keyasint,omitempty"`
	Services   []ServiceNeed `cbor:"2,keyasint,omitempty"`
}

// ServiceNeed lists what balancers need of a service.
type ServiceNeed struct {
	Service string `cbor:"1,keyasint"`
	// Hungry reports that one of them needs more than an equal part.
	Hungry bool `cbor:"2,keyasint,omitempty"`
	// Balancers holds the keys of the balancers, Tenths what each needs in tenths of a
	// slot. A balancer that sends its own need leaves the key out.
	Balancers []uint32 `cbor:"3,keyasint,omitempty"`
	Tenths    []uint32 `cbor:"4,keyasint"`
}

// NewServiceNeed returns the need of one balancer.
func NewServiceNeed(service string, slots float64, hungry bool) ServiceNeed {
	return ServiceNeed{Service: service, Hungry: hungry, Tenths: []uint32{uint32(math.Ceil(10 * slots))}}
}

// Slots returns what the balancer with an index needs.
func (s *ServiceNeed) Slots(i int) float64 { return float64(s.Tenths[i]) / 10 }

// isValid reports whether each balancer has a need.
func (s *ServiceNeed) isValid() bool { return len(s.Balancers) == len(s.Tenths) }

func (n *Needs) isEmpty() bool { return n == nil || len(n.Services) == 0 }

func (n *Needs) equal(o *Needs) bool {
	return slices.EqualFunc(n.Services, o.Services, func(a, b ServiceNeed) bool {
		return a.Service == b.Service && a.Hungry == b.Hungry && slices.Equal(a.Balancers, b.Balancers) && slices.Equal(a.Tenths, b.Tenths)
	})
}

// MergeNeeds returns the union of needs; nil ones are left out. Of a balancer that is in
// several the greatest counts: one list may be older.
func MergeNeeds(needs ...*Needs) *Needs {
	tenths := make(map[string]map[uint32]uint32)
	hungry := make(map[string]bool)
	for _, n := range needs {
		if n == nil {
			continue
		}
		for _, s := range n.Services {
			if !s.isValid() {
				continue
			}
			if tenths[s.Service] == nil {
				tenths[s.Service] = make(map[uint32]uint32)
			}
			hungry[s.Service] = hungry[s.Service] || s.Hungry
			for i, key := range s.Balancers {
				tenths[s.Service][key] = max(tenths[s.Service][key], s.Tenths[i])
			}
		}
	}
	out := &Needs{}
	for service, of := range tenths {
		merged := ServiceNeed{Service: service, Hungry: hungry[service], Balancers: slices.Sorted(maps.Keys(of))}
		for _, key := range merged.Balancers {
			merged.Tenths = append(merged.Tenths, of[key])
		}
		out.Services = append(out.Services, merged)
	}
	slices.SortFunc(out.Services, func(a, b ServiceNeed) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// forFeed leaves out the services of which no balancer needs more than its part.
func (n *Needs) forFeed() *Needs {
	out := &Needs{}
	for _, s := range n.Services {
		if s.Hungry {
			out.Services = append(out.Services, s)
		}
	}
	return out
}

// ownNeeds returns what the balancers need that this controller feeds.
func (c *Controller) ownNeeds() *Needs {
	var all []*Needs
	for _, s := range c.subscribers {
		all = append(all, s.needs)
	}
	own := MergeNeeds(all...)
	own.Controller = c.consensus.Status().ID
	return own
}

// handleNeeds takes the needs of another controller, or those of a subscriber.
func (c *Controller) handleNeeds(s *subscriber, n *Needs) {
	if n.Controller != "" {
		c.needs.byController[n.Controller] = n
	} else if s != nil {
		for i := range n.Services {
			n.Services[i].Balancers = []uint32{BalancerKey(s.Name)}
		}
		s.needs = n
	}
	c.refreshNeeds(c.now())
}

// refreshNeeds passes on what balancers need.
func (c *Controller) refreshNeeds(now time.Duration) {
	if c.needs.refresh(now, c.ownNeeds, c.liveControllers, func(n *Needs) { c.broadcast(KindNeeds, n) }) {
		c.log.Info("needs fed", "services", len(c.needs.fed.Services))
	}
}
