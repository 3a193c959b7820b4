package controller

import (
	"math/rand/v2"

	"heatherport/internal/version/directory"
)

// assignOwner names the balancer that alone opens connections to an upstream in its
// slow start. It keeps the owner that an earlier announcement got. Balancers that do
// not know of each other's connections would exceed the limit of the service.
func (c *Controller) assignOwner(r *directory.Record) {
	if c.table == nil || r.SlowStart <= 0 || r.State != directory.Serving {
		return
	}
	if _, limited := c.table.SlowStarts[r.Service]; !limited {
		return
	}
	known := c.directory.Get(r.ID)
	if known != nil && known.StartMillis == r.StartMillis && known.Owner != "" && c.now() < known.ColdUntil {
		r.Owner = known.Owner
		return
	}
	r.Owner = c.pickOwner(r.Domain)
	c.log.Info("slow start", "upstream", r.ID, "service", r.Service, "failure_domain", r.Domain, "cold_ms", r.SlowStart.Milliseconds(), "owner", r.Owner)
}

// pickOwner returns a random balancer that this controller feeds, in the given
// failure domain if there is one, or "".
func (c *Controller) pickOwner(domain string) string {
	var local, all []string
	for _, s := range c.subscribers {
		all = append(all, s.Name)
		if s.Domain == domain {
			local = append(local, s.Name)
		}
	}
	switch {
	case len(local) > 0:
		return local[rand.IntN(len(local))]
	case len(all) > 0:
		return all[rand.IntN(len(all))]
	}
	return ""
}
