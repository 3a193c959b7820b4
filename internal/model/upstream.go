package model

import (
	"math"
	"time"
)

// upstream is an upstream with its slots and queue.
type upstream struct {
	index    int
	service  *Service
	domain   int
	slowness float64
	failing  float64 // part of the requests that it fails
	isDark   bool    // answers nothing
	busy     int
	queue    []*attempt
	arrived  int           // requests in the window
	rejected int           // of these
	worked   time.Duration // of its slots in the window
}

// request receives a request of an open connection: it serves, queues or rejects it.
func (r *run) request(u *upstream, a *attempt) {
	isCounted := r.now >= r.scenario.From && r.now < r.scenario.To
	if isCounted {
		u.arrived++
	}
	switch {
	case u.isDark:
	case u.failing > 0 && r.Float64() < u.failing:
		r.respond(u, a, errorAnswer, func() { r.again(a.call) })
	case u.busy < u.service.Slots:
		r.serve(u, a)
	case len(u.queue) < u.service.Queue:
		u.queue = append(u.queue, a)
	default:
		if isCounted {
			u.rejected++
		}
		r.respond(u, a, errorAnswer, func() { r.again(a.call) })
	}
}

// errorAnswer is the size in bytes of an answer without a result.
const errorAnswer = 100

func (r *run) serve(u *upstream, a *attempt) {
	u.busy++
	begun := r.now
	r.after(time.Duration(float64(a.call.work)*u.slowness), func() {
		u.busy--
		if u.isDark {
			return
		}
		if from, to := max(begun, r.scenario.From), min(r.now, r.scenario.To); to > from {
			u.worked += to - from
		}
		for len(u.queue) > 0 && u.busy < u.service.Slots {
			next := u.queue[0]
			u.queue = u.queue[1:]
			r.serve(u, next)
		}
		r.respond(u, a, a.call.route.Answer, func() { a.call.answered = r.now })
	})
}

const (
	// segment is the data of a packet, flight the packets that are sent before an
	// acknowledgement is needed.
	segment = 1200
	flight  = 16
	// segmentsPerAck is the number of packets that a caller acknowledges at once.
	segmentsPerAck = 2
)

// respond delivers an answer to the caller, which acknowledges it and ends the
// connection. Answers do not pass through balancers, their acknowledgements do.
func (r *run) respond(u *upstream, a *attempt, size int, received func()) {
	segments := (size + segment - 1) / segment
	rounds := (segments + flight - 1) / flight
	roundTrip := 2*r.scenario.Fleet.CallerDelay + r.upstreamDelay(r.balancers[a.balancer], u)
	for round := range rounds {
		inRound := min(segments-round*flight, flight)
		isLast := round == rounds-1
		r.after(r.scenario.Fleet.CallerDelay+time.Duration(round)*roundTrip, func() { r.acknowledge(a, inRound, isLast, received) })
	}
}

// acknowledge acknowledges the packets of a round of an answer.
func (r *run) acknowledge(a *attempt, segments int, isLast bool, received func()) {
	if a.done {
		return
	}
	acks := (segments + segmentsPerAck - 1) / segmentsPerAck
	for i := range acks {
		a.acknowledged += segmentsPerAck * segment
		p := r.packet(a, headerSize)
		p.Acknowledged = a.acknowledged
		p.Ending = isLast && i == acks-1
		a.done = p.Ending
		r.sendEstablished(a, p)
	}
	if isLast {
		received()
	}
}

// drawWork draws a service time.
func (r *run) drawWork(route *Route) time.Duration {
	d := route.Deviation
	return time.Duration(float64(route.Work) * math.Exp(d*r.arrivals.NormFloat64()-d*d/2))
}
