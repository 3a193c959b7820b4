// Package spill limits the connections that a balancer opens to upstreams outside
// its share.
//
// It answers uneven demand: a failure domain whose callers ask for more than its
// share serves while others are idle. Its limits shrink when all are busy.
package spill

import "time"

// Limiter holds the limit of each failure domain. It is not safe for concurrent use.
type Limiter struct{}

// New returns a limiter. Each limit begins at initial.
func New(initial float64) *Limiter { return &Limiter{} }

// Admits reports whether one more connection to upstreams in a domain is admitted.
func (l *Limiter) Admits(domain string) bool { return false }

// Opened and Closed count the open connections.
func (l *Limiter) Opened(domain string) {}

// Closed is the counterpart of Opened.
func (l *Limiter) Closed(domain string) {}

// Answered adjusts the limit of a domain. work is the service time of a spillover
// connection, usual the average of the service.
func (l *Limiter) Answered(domain string, work, usual time.Duration) {}
