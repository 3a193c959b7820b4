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
	if merged := controller.MergeFleets(lists...); merged != nil && b.shares {
		b.balancers = listBalancers(merged)
	}
}

// listBalancers returns the balancers of a fleet. Their names are their keys.
func listBalancers(f *controller.Fleet) (out []share.Balancer) {
	for _, d := range f.Domains {
		for _, key := range d.Balancers {
			out = append(out, share.Balancer{Name: keyName(key), Domain: d.Domain})
		}
	}
	return out
}

func keyName(key uint32) string { return strconv.FormatUint(uint64(key), 16) }
