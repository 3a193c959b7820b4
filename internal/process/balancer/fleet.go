package balancer

import (
	"strconv"

	"heatherport/internal/load/share"
	"heatherport/internal/process/controller"
)

// updateFleet merges the lists of balancers of all feeds. A controller that is cut off
// from others lists only the balancers that it feeds itself.
func (b *Balancer) updateFleet() {
	var lists []*controller.Fleet
	for _, f := range b.feeds {
		lists = append(lists, f.fleet)
	}
	merged := controller.MergeFleets(lists...)
	if merged == nil || !b.shares {
		return
	}
	var all []share.Balancer
	for _, d := range merged.Domains {
		for _, key := range d.Balancers {
			all = append(all, share.Balancer{Name: balancerName(key), Domain: d.Domain})
		}
	}
	b.balancers = all
}

// balancerName returns the name by which balancers know each other.
func balancerName(key uint32) string { return strconv.FormatUint(uint64(key), 36) }
