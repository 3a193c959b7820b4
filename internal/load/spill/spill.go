// Package spill limits the connections that a balancer opens to upstreams outside
// its share.
//
// It answers uneven demand: a failure domain whose callers ask for more than its
// share serves while others are idle. Its limits shrink when all are busy.
//
// It fails where response times say nothing of queues: limits then grow until
// upstreams reject requests, or stay small while slots are idle.
package spill

import "time"

const (
	// fastest and slowest bound the service times, as multiples of the usual one,
	// that show an upstream with room. Shorter ones are rejections, longer ones
	// include a queue.
	fastest = 0.15
	slowest = 2.5
	// minLimit is the lowest limit. One connection at a time shows whether there
	// is room again.
	minLimit = 1
	// maxLimit bounds a limit that no answer lowers.
	maxLimit = 1000
)

// Limiter holds the limit of each failure domain: additive increase,
// multiplicative decrease. It is not safe for concurrent use.
type Limiter struct {
	initial float64
	domains map[string]*domain
}

type domain struct {
	limit float64
	open  int
}

// New returns a limiter. Each limit begins at initial.
func New(initial float64) *Limiter {
	return &Limiter{initial: max(initial, minLimit), domains: make(map[string]*domain)}
}

func (l *Limiter) domain(name string) *domain {
	d := l.domains[name]
	if d == nil {
		d = &domain{limit: l.initial}
		l.domains[name] = d
	}
	return d
}

// Admits reports whether one more connection to upstreams in a domain is admitted.
func (l *Limiter) Admits(domain string) bool {
	d := l.domain(domain)
	return float64(d.open+1) <= d.limit
}

// Opened and Closed count the open connections.
func (l *Limiter) Opened(domain string) { l.domain(domain).open++ }

// Closed is the counterpart of Opened.
func (l *Limiter) Closed(domain string) { l.domain(domain).open-- }

// Open returns the number of open connections in all domains.
func (l *Limiter) Open() (n int) {
	for _, d := range l.domains {
		n += d.open
	}
	return n
}

// Answered adjusts the limit of a domain. work is the service time of a spillover
// connection, usual that of the service; zero while it is unknown.
func (l *Limiter) Answered(domain string, work, usual time.Duration) {
	if usual <= 0 {
		return
	}
	d := l.domain(domain)
	if ratio := float64(work) / float64(usual); ratio < fastest || ratio > slowest {
		d.limit = max(d.limit/2, minLimit)
		return
	}
	d.limit = min(d.limit+1, maxLimit)
}
