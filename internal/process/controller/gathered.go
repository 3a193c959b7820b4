package controller

import (
	"maps"
	"slices"
	"time"
)

const (
	// gatherInterval is the shortest time between two changes of what balancers need: a
	// crowd changes the reports of many at once.
	gatherInterval = 100 * time.Millisecond
	// speedsInterval is the same for the speeds of upstreams, which concern fewer
	// connections.
	speedsInterval = 300 * time.Millisecond
)

// reports is a list of what balancers report. A nil list is empty.
type reports[T any] interface {
	isEmpty() bool
	equal(T) bool
	// forFeed returns the part that balancers are told.
	forFeed() T
}

// gathered holds what the balancers report that each controller feeds. It is soft state:
// the reports of a balancer go with its feed, those of a controller with its link.
type gathered[T reports[T]] struct {
	merge        func(...T) T
	interval     time.Duration // between two changes
	byController map[string]T
	sent         T // own as last sent to other controllers
	fed          T // union in the feeds; replaced, never modified
	changed      time.Duration
}

func newGathered[T reports[T]](interval time.Duration, merge func(...T) T) gathered[T] {
	return gathered[T]{merge: merge, interval: interval, byController: make(map[string]T)}
}

// refresh passes on what the own balancers report, and reports whether what is fed has
// become empty or has ceased to be.
func (g *gathered[T]) refresh(now time.Duration, ownReports func() T, liveControllers func() map[string]bool, send func(T)) (begunOrEnded bool) {
	if now-g.changed < g.interval {
		return false
	}
	own, live := ownReports(), liveControllers()
	if !sameReports(own, g.sent) {
		g.changed = now
		send(own)
		g.sent = own
	}
	maps.DeleteFunc(g.byController, func(id string, _ T) bool { return !live[id] })
	all := g.merge(append(slices.Collect(maps.Values(g.byController)), own)...).forFeed()
	if sameReports(all, g.fed) {
		return false
	}
	begunOrEnded = all.isEmpty() != g.fed.isEmpty()
	g.fed, g.changed = all, now
	return begunOrEnded
}

func sameReports[T reports[T]](a, b T) bool {
	return a.isEmpty() && b.isEmpty() || !a.isEmpty() && !b.isEmpty() && a.equal(b)
}

// liveControllers returns the IDs of the controllers that were heard of lately.
func (c *Controller) liveControllers() map[string]bool {
	live := make(map[string]bool)
	for _, m := range c.peers.members(peerMaxAge) {
		live[m.ID] = true
	}
	return live
}
