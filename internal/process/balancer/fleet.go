package balancer

import "heatherport/internal/process/controller"

// updateFleet merges the lists of balancers of all feeds. A controller that is cut off
// from others lists only the balancers that it feeds itself.
func (b *Balancer) updateFleet() {
	var lists []*controller.Fleet
	for _, f := range b.feeds {
		lists = append(lists, f.fleet)
	}
	if merged := controller.MergeFleets(lists...); merged != nil {
		b.fleet = merged
	}
}
