package api

import (
	"cmp"
	"log"
	"slices"
	"sync"
	"sync/atomic"

	"heatherport/internal/result"
)

// Counters count what a server answered. The zero value is ready, and safe for
// concurrent use.
type Counters struct {
	mu       sync.Mutex
	requests map[requestKey]uint64
	failures atomic.Uint64
}

type requestKey struct {
	route string
	code  result.Code
}

// RequestCount is the number of requests of one route with one result.
type RequestCount struct {
	Route string
	Code  result.Code
	Count uint64
}

// noRoute is the route of requests that match none.
const noRoute = "none"

func (c *Counters) add(route string, code result.Code) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests == nil {
		c.requests = make(map[requestKey]uint64)
	}
	c.requests[requestKey{route, code}]++
}

// Requests returns the counts ordered by route and code.
func (c *Counters) Requests() []RequestCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]RequestCount, 0, len(c.requests))
	for k, n := range c.requests {
		out = append(out, RequestCount{k.route, k.code, n})
	}
	slices.SortFunc(out, func(a, b RequestCount) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Code, b.Code))
	})
	return out
}

// Failures returns the number of connections that failed before a request,
// most of them in the TLS handshake.
func (c *Counters) ConnectionFailures() uint64 { return c.failures.Load() }

// errorLog returns a log that counts its lines in place of writing them.
func (c *Counters) errorLog() *log.Logger {
	return log.New(lineCounter{&c.failures}, "", 0)
}

// lineCounter counts writes.
type lineCounter struct {
	n *atomic.Uint64
}

// Write implements io.Writer.
func (l lineCounter) Write(b []byte) (int, error) {
	l.n.Add(1)
	return len(b), nil
}
