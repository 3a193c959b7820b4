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
	// lowest is the lowest limit as a part of the initial one. It is one at most. A
	// limit below one is the part of the time in which one connection is open.
	lowest = 1.0 / 2
	// maxLimit bounds a limit that no answer lowers.
	maxLimit = 1000
	// usedPart is the part of a limit that must be in use for it to rise: an answer
	// says nothing about a limit that is far away.
	usedPart = 0.5
)

// Limiter holds the limit of each failure domain: additive increase,
// multiplicative decrease. It is not safe for concurrent use.
type Limiter struct {
	initial float64
	minimum float64
	domains map[string]*domain
}

type domain struct {
	limit    float64
	open     int
	lastWork time.Duration // service time of the last answer
	closed   time.Duration // when the last connection ended
}

// New returns a limiter. Each limit begins at initial.
func New(initial float64) *Limiter {
	l := &Limiter{domains: make(map[string]*domain)}
	l.Resize(initial)
	return l
}

// Resize changes the initial limit, and the lowest one with it.
func (l *Limiter) Resize(initial float64) { l.initial, l.minimum = initial, min(lowest*initial, 1) }

func (l *Limiter) domain(name string) *domain {
	d := l.domains[name]
	if d == nil {
		d = &domain{limit: l.initial}
		l.domains[name] = d
	}
	return d
}

// Admits reports whether one more connection to upstreams in a domain is admitted.
func (l *Limiter) Admits(now time.Duration, domain string) bool {
	d := l.domain(domain)
	if d.limit >= 1 {
		return float64(d.open+1) <= d.limit
	}
	pause := time.Duration((1/d.limit - 1) * float64(d.lastWork))
	return d.open == 0 && now-d.closed >= pause
}

// Opened and Closed count the open connections.
func (l *Limiter) Opened(domain string) { l.domain(domain).open++ }

// Closed is the counterpart of Opened.
func (l *Limiter) Closed(now time.Duration, domain string) {
	d := l.domain(domain)
	d.open--
	d.closed = now
}

// Open returns the number of open connections in all domains.
func (l *Limiter) Open() (n int) {
	for _, d := range l.domains {
		n += d.open
	}
	return n
}

// IsRejection reports whether a service time is so short that the upstream rejected
// the request at once.
func IsRejection(work, usual time.Duration) bool { return float64(work) < fastest*float64(usual) }

// IsQueued reports whether a service time is so long that the request waited.
func IsQueued(work, usual time.Duration) bool { return float64(work) > slowest*float64(usual) }

// Answered adjusts the limit of a domain. work is the service time of a spillover
// connection, usual that of the service; zero while it is unknown.
func (l *Limiter) Answered(domain string, work, usual time.Duration) {
	if usual <= 0 {
		return
	}
	d := l.domain(domain)
	d.lastWork = max(work, usual)
	switch {
	case IsRejection(work, usual), IsQueued(work, usual):
		d.limit = max(d.limit/2, l.minimum)
	case float64(d.open) >= usedPart*d.limit:
		d.limit = min(d.limit+1, maxLimit)
	}
}
