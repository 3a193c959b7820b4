// Package queue holds the connection attempts that wait for room at the upstreams of
// a service, and decides which is next, which is refused and when.
//
// It answers loads beyond the capacity of a service for longer than its upstreams
// can absorb.
package queue

import "time"

// Item is a connection attempt that waits.
type Item[T any] struct {
	Priority int           // lower is more urgent
	Deadline time.Duration // latest time at which it can be placed
	// Late marks attempts that will not be answered within their objective, and
	// those that may have been forwarded before: they come last and are not refused.
	Late  bool
	Value T
}

// Queue is a queue of a service. It is not safe for concurrent use.
type Queue[T any] struct{}
