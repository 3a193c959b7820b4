package model

import (
	"math"
	"net/netip"
	"time"

	"heatherport/internal/connection/affinity"
)

// copyTimes are the times at which a caller sends an opening packet. After the last one
// it gives up.
var copyTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}

const (
	// headerSize is the size in bytes of a packet without data.
	headerSize = 39
	// firstSequence is the sequence number of opening packets.
	firstSequence = 1
)

// call is a request of a caller, with all attempts.
type call struct {
	at       time.Duration
	route    *Route
	domain   int
	work     time.Duration // service time at full speed
	attempts int
	answered time.Duration // when the caller had its answer; zero for none
}

// isInTime reports whether the caller had its answer within the objective.
func (c *call) isInTime() bool { return c.answered != 0 && c.answered-c.at <= c.route.Objective }

// attempt is a connection of a caller.
type attempt struct {
	call         *call
	caller       netip.AddrPort
	balancer     int
	cookie       uint32
	acknowledged uint32
	opened       bool
	done         bool
	isPlaced     bool // a balancer sent it to an upstream
	refused      bool // a balancer refused it
}

// schedule draws the requests of a route in a failure domain, a millisecond at a time.
func (r *run) schedule(route *Route, domain int, until time.Duration) {
	const step = time.Millisecond
	base := route.Rate / float64(len(r.scenario.Fleet.Domains)) * step.Seconds()
	var draw func()
	draw = func() {
		for range r.poisson(base * r.scenario.factor(route, domain, r.now)) {
			c := &call{route: route, domain: domain, work: r.drawWork(route)}
			r.after(time.Duration(r.arrivals.Int64N(int64(step))), func() {
				c.at = r.now
				r.calls = append(r.calls, c)
				r.begin(c)
			})
		}
		if r.now < until {
			r.after(step, draw)
		}
	}
	r.after(warmUp, draw)
}

// warmUp is the time before the first request.
const warmUp = 100 * time.Millisecond

// factor returns the multiple of a route's rate at a time.
func (s *Scenario) factor(route *Route, domain int, at time.Duration) float64 {
	f := 1.0
	for i := range s.Loads {
		l := &s.Loads[i]
		if at < l.At || at >= l.At+l.For || l.Route != "" && l.Route != route.Name || l.Domain != "" && l.Domain != s.Fleet.Domains[domain] {
			continue
		}
		f *= l.Factor
		if l.Period > 0 {
			phase := 2 * math.Pi * (float64(at)/float64(l.Period) + float64(domain)/float64(len(s.Fleet.Domains)))
			f *= 1 + math.Sin(phase)
		}
	}
	return f
}

// poisson draws the number of events of a Poisson process with a small mean.
func (r *run) poisson(mean float64) (n int) {
	for p := r.arrivals.Float64(); p > math.Exp(-mean); p *= r.arrivals.Float64() {
		n++
	}
	return n
}

// again begins another attempt after one that was not run.
func (r *run) again(c *call) {
	if c.attempts < c.route.Attempts && r.now-c.at < c.route.Timeout {
		r.begin(c)
	}
}

// begin opens a connection from a new port.
func (r *run) begin(c *call) {
	c.attempts++
	r.ports++
	a := &attempt{call: c, balancer: r.pickBalancer(c.domain)}
	address := [4]byte{100, byte(64 + r.ports>>30), byte(r.ports >> 22), byte(r.ports >> 14)}
	a.caller = netip.AddrPortFrom(netip.AddrFrom4(address), uint16(r.ports%(1<<14))+1024)
	r.attempts[a.caller] = a
	r.sendOpening(a, 0)
	r.after(c.at+c.route.Timeout-r.now, func() { r.deadline(a) })
}

// deadline ends an attempt whose caller gives up.
func (r *run) deadline(a *attempt) {
	delete(r.attempts, a.caller)
	if a.done {
		return
	}
	a.done = true
	if a.opened {
		p := r.packet(a, headerSize)
		p.Reset = true
		r.sendEstablished(a, p)
	}
}

// sendOpening sends a copy of an opening packet, or gives up.
func (r *run) sendOpening(a *attempt, copies int) {
	if a.opened || a.done {
		return
	}
	if copies == len(copyTimes)-1 {
		a.done = true
		if !a.call.route.GivesUp {
			r.again(a.call)
		}
		return
	}
	repeat := copyTimes[copies+1] - copyTimes[copies]
	b := r.balancers[a.balancer]
	r.receive(b, headerSize, func() {
		p := &affinity.Packet{
			Caller: a.caller, Service: r.addresses[a.call.route], Opening: true, Sequence: firstSequence, Copies: uint32(copies), Size: headerSize,
			Waited: copyTimes[copies], Repeat: repeat,
		}
		r.decideOpening(b, a, p)
	})
	r.after(repeat, func() { r.sendOpening(a, copies+1) })
}

// opened takes the answer to an opening packet, and sends the request.
func (r *run) opened(a *attempt, cookie uint32) {
	if a.opened || a.done {
		return
	}
	a.opened, a.cookie = true, cookie
	p := r.packet(a, headerSize+max(a.call.route.Request, 1))
	p.Length = max(a.call.route.Request, 1)
	r.sendEstablished(a, p)
}

// packet returns a packet of an open connection.
func (r *run) packet(a *attempt, size int) affinity.Packet {
	return affinity.Packet{
		Caller: a.caller, Service: r.addresses[a.call.route], Cookie: a.cookie, Sequence: firstSequence + 1,
		Acknowledged: a.acknowledged, Size: size,
	}
}
