// Package standin simulates a fabric, callers and upstreams for the demo command
// and for tests. They exchange real IP packets, encapsulated in UDP, over
// loopback sockets. Only the fabric, the balancers and the upstreams have
// sockets; addresses of callers and services exist only inside the packets.
package standin

import (
	"maps"
	"net/netip"
	"sync"
)

// Report is a snapshot of the counters of callers and upstreams.
type Report struct {
	Opened     uint64            // connections attempted
	Finished   uint64            // connections that got responses to all requests
	Refused    uint64            // connections refused by a reset or an ICMP port unreachable message
	Unanswered uint64            // connections that failed in the handshake, such as by a timeout
	Broken     map[string]uint64 // established connections that failed, by cause
	Requests   uint64            // requests with a response
	Shed       uint64            // requests that an upstream rejected without running them

	CrossService          uint64 // packets that reached an upstream of another service
	CrossConnection       uint64 // responses of another connection or service
	AffinityViolations    uint64 // responses from another upstream than the connection's previous one
	DuplicateAttempts     uint64 // SYNs that also reached a second upstream
	DuplicateRuns         uint64 // requests run more than once
	RefusedButRun         uint64 // refused connections that reached an upstream, and shed requests that ran
	UnmatchedPackets      uint64 // packets without a connection at the upstream that received them
	AcceptedWhileDraining uint64 // connections accepted by a draining upstream

	OpenConnections map[string]int    // open connections by upstream
	Accepted        map[string]uint64 // connections by upstream since the start
}

// BrokenTotal returns the number of broken connections.
func (r *Report) BrokenTotal() uint64 {
	var n uint64
	for _, count := range r.Broken {
		n += count
	}
	return n
}

// Stats collects the counters of callers and upstreams. Its methods are safe
// for concurrent use.
type Stats struct {
	mu       sync.Mutex
	report   Report
	attempts map[connectionAttempt]string // upstream that received it, or refusedAttempt
	lastRuns map[uint64]uint32            // number of the last request that ran, by connection
	lastID   uint64
}

// refusedAttempt is the value in Stats.attempts for a refused connection.
const refusedAttempt = ""

// connectionAttempt identifies an attempt to open a TCP connection.
type connectionAttempt struct {
	src, dst netip.AddrPort
	isn      uint32
}

// NewStats returns Stats with all counters at zero.
func NewStats() *Stats {
	return &Stats{
		report: Report{
			Broken:          make(map[string]uint64),
			OpenConnections: make(map[string]int),
			Accepted:        make(map[string]uint64),
		},
		attempts: make(map[connectionAttempt]string),
		lastRuns: make(map[uint64]uint32),
	}
}

// Report returns the current counters.
func (s *Stats) Report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.report
	r.Broken = maps.Clone(r.Broken)
	r.OpenConnections = maps.Clone(r.OpenConnections)
	r.Accepted = maps.Clone(r.Accepted)
	return r
}

func (s *Stats) update(f func(r *Report)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.report)
}

// nextID returns the ID of a new connection.
func (s *Stats) nextID() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	return s.lastID
}

// recordAccepted counts a connection that upstream accepted.
func (s *Stats) recordAccepted(upstream string, draining bool) {
	s.update(func(r *Report) {
		r.OpenConnections[upstream]++
		r.Accepted[upstream]++
		if draining {
			r.AcceptedWhileDraining++
		}
	})
}

func (s *Stats) recordClosed(upstream string) {
	s.update(func(r *Report) { r.OpenConnections[upstream]-- })
}

// recordAttempt records that the SYN of a connection attempt reached upstream.
func (s *Stats) recordAttempt(p connectionAttempt, upstream string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous, ok := s.attempts[p]
	switch {
	case ok && previous == refusedAttempt:
		s.report.RefusedButRun++
		return
	case ok && previous != upstream:
		s.report.DuplicateAttempts++
	}
	s.attempts[p] = upstream
}

// recordRefusal records that a connection attempt was refused.
func (s *Stats) recordRefusal(p connectionAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.attempts[p]; ok {
		s.report.RefusedButRun++
	}
	s.attempts[p] = refusedAttempt
}

func (s *Stats) removeAttempt(p connectionAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.attempts, p)
}

// recordRun records that an upstream ran a request. A connection numbers its
// requests from 1 and sends them one after the other.
func (s *Stats) recordRun(req request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if req.Number <= s.lastRuns[req.Conn] {
		s.report.DuplicateRuns++
		return
	}
	s.lastRuns[req.Conn] = req.Number
}

// recordShed records that an upstream shed a request.
func (s *Stats) recordShed(req request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Shed++
	if req.Number <= s.lastRuns[req.Conn] {
		s.report.RefusedButRun++
	}
}

func (s *Stats) removeLastRun(conn uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.lastRuns, conn)
}
