package affinity

import (
	"net/netip"
	"time"

	"heatherport/internal/load/outlier"
	"heatherport/internal/load/speed"
)

// Cause is the reason for which an upstream is suspected.
type Cause uint8

// The causes.
const (
	Unanswered Cause = iota + 1 // the caller repeated an opening packet
	Abandoned                   // no packet followed an opening packet: the upstream reset it
	Overdue                     // a request has waited for its answer far longer than usual
)

var causeNames = [...]string{"", "unanswered", "abandoned", "overdue"}

// String returns the name of c as used in logs and metrics.
func (c Cause) String() string {
	if int(c) < len(causeNames) {
		return causeNames[c]
	}
	return "unknown"
}

// Suspicion is an observation that an upstream does not answer or answers late.
type Suspicion struct {
	Upstream        uint32 // its cookie
	Cause           Cause
	Caller, Service netip.AddrPort // ends of the connection
	Waited          time.Duration  // time since the opening packet or the request
}

const (
	// suspicionTimeout is the time for which a suspected upstream gets no new
	// connections while others are eligible. Values from 2 to 4 s give similar
	// results.
	suspicionTimeout = 2 * time.Second
	// abandonTimeout is the time within which a caller repeats an unanswered
	// opening packet, with a margin for a late copy.
	abandonTimeout = 300 * time.Millisecond
	// overdueFactor is the multiple of the average answer time from which an
	// answer is overdue. The service times of the deployments are log-normal
	// with a deviation of 0.5; one answer in 1,000 takes four times the average.
	overdueFactor = 4
	// answerSamples is the number of answers from which their average is used.
	answerSamples = 8
	// answerWeight is the weight of a new answer in the moving average.
	answerWeight = 1.0 / 16
	// reuseRetention is the time after a second request on one connection for
	// which callers of the address count as reusing connections. It covers the
	// long pauses of such connections.
	reuseRetention = time.Minute
	// maxSuspicions bounds the suspicions kept between two ticks.
	maxSuspicions = 256
)

// upstreamState holds the observed load and health of an upstream.
type upstreamState struct {
	open      int           // connections counted by this balancer
	own       int           // of these, those that hold a permit
	cause     Cause         // of the last suspicion, or 0
	suspected time.Duration // time of the last suspicion
	openings  outlier.Upstream
	speed     speed.Meter
	placed    time.Duration // time of the last placement
	turn      float64       // see turn.go
	upstreamTimes
}

func (e *Engine) upstreamState(cookie uint32) *upstreamState {
	s := e.upstreams[cookie]
	if s == nil {
		s = &upstreamState{}
		e.upstreams[cookie] = s
	}
	return s
}

// answerTime is a moving average of the time from a request to the
// acknowledgement of its first answer bytes.
type answerTime struct {
	mean      time.Duration
	samples   int
	lastReuse time.Duration // last second or later request on one connection
	size      float64       // average bytes of a connection; zero while unknown
}

func (a *answerTime) add(d time.Duration) {
	if a.samples++; a.samples == 1 {
		a.mean = d
		return
	}
	a.mean += time.Duration(answerWeight * float64(d-a.mean))
}

// isReliable reports whether acknowledgements show when answers arrived. Callers
// that reuse connections may acknowledge an answer only with their next request.
func (a *answerTime) isReliable(now time.Duration) bool {
	return a.lastReuse == 0 || now-a.lastReuse > reuseRetention
}

// answerTime returns the average answer time at an address.
func (e *Engine) answerTime(service netip.AddrPort) *answerTime {
	a := e.answers[service]
	if a == nil {
		a = &answerTime{}
		e.answers[service] = a
	}
	return a
}

// measureAnswer tracks requests and answers by the packets of a caller: new
// data starts a request, and a higher acknowledgement number confirms its
// answer. It returns the time that an answer took, or zero.
func (e *Engine) measureAnswer(now time.Duration, v *View, c *entry, p *Packet) (took time.Duration) {
	r := v.route(p.Service)
	if r == nil {
		return 0
	}
	isNewData := p.Length > 0 && (c.requests == 0 || int32(p.Sequence-c.dataEnd) >= 0)
	if c.requested != 0 && int32(p.Acknowledged-c.requestAck) > 0 {
		if a := e.answerTime(p.Service); !isNewData && !p.Delayed && a.isReliable(now) {
			took = now - c.requested
			a.add(took)
			e.recordAnswer(now, r, c.service, took)
			e.recordWork(now, c, took)
		}
		c.requested = 0
	}
	if isNewData {
		c.dataEnd = p.Sequence + uint32(p.Length)
	}
	switch {
	case p.Ending, p.Reset:
		c.requested = 0
	case isNewData && c.requested == 0:
		if c.requests > 0 {
			e.answerTime(p.Service).lastReuse = now
		}
		c.requests++
		if !p.Delayed {
			c.requested, c.requestAck, c.reported = now, p.Acknowledged, false
		}
	}
	return took
}

// checkPending suspects the upstream of a connection whose opening was
// abandoned or whose answer is overdue.
func (e *Engine) checkPending(now time.Duration, v *View, k key, c *entry) {
	switch {
	case c.reported:
	case e.openings.IsDelayed():
		// The answers to what is pending now say nothing of the upstreams.
		c.reported = c.requested != 0 || !c.pinned
	case c.awaited && c.lastPacket == c.started && e.isAbandoned(now, c):
		e.suspect(now, c, k, Abandoned)
		if c.permit.pool != nil {
			e.uncountLoad(now, c) // the upstream reset the connection
		}
	case c.requested != 0 && now-c.requested > e.overdueTimeout(now, v, k.service):
		e.suspect(now, c, k, Overdue)
	}
}

// isAbandoned reports whether a connection that has not opened and that the caller has
// not repeated does not open because of its upstream.
func (e *Engine) isAbandoned(now time.Duration, c *entry) bool {
	s := e.upstreamState(c.cookie)
	isOverdue := e.openings.IsSilent(&s.openings) || now-c.started > abandonTimeout
	return isOverdue && e.openings.IsAtFault(&s.openings, c.placed)
}

// removeStale deletes the answer times of deleted routes, and the limiters of
// services without open connections and recent answers.
func (e *Engine) removeStale(now time.Duration, v *View) {
	for address := range e.answers {
		if v.route(address) == nil {
			delete(e.answers, address)
		}
	}
	for service, l := range e.limiters {
		if l.open == 0 && now-l.lastAnswer > ratioMaxAge {
			delete(e.limiters, service)
		}
	}
}

// IgnorePending raises no suspicions for the requests and openings that are
// pending, and does not measure their answers. It is called after a stall of the
// balancer, during which packets were not read: the waiting time is then not that
// of the upstreams. Suspicions that were not reported before the stall are old.
func (e *Engine) IgnorePending() {
	for _, c := range e.table {
		c.reported, c.requested = true, 0
		e.stopAwaiting(c)
	}
	e.suspicions = nil
}

// overdueTimeout returns the time after which an answer at an address is
// overdue: the route's objective or a multiple of the average answer time,
// whichever is longer.
func (e *Engine) overdueTimeout(now time.Duration, v *View, service netip.AddrPort) time.Duration {
	const never = time.Duration(1<<63 - 1)
	r := v.route(service)
	a := e.answers[service]
	if r == nil || a == nil || a.samples < answerSamples || !a.isReliable(now) {
		return never
	}
	return max(r.LatencyObjective, overdueFactor*a.mean)
}

// suspect records a suspicion of the upstream of a connection.
func (e *Engine) suspect(now time.Duration, c *entry, k key, cause Cause) {
	c.reported = true
	isNew := !e.isSuspect(now, c.cookie)
	s := e.upstreamState(c.cookie)
	s.cause, s.suspected = cause, now
	if isNew && len(e.suspicions) < maxSuspicions {
		since := c.started
		if cause == Overdue {
			since = c.requested
		}
		e.suspicions = append(e.suspicions, Suspicion{Upstream: c.cookie, Cause: cause, Caller: k.caller, Service: k.service, Waited: now - since})
	}
}

func (e *Engine) isSuspect(now time.Duration, cookie uint32) bool {
	s := e.upstreams[cookie]
	return s != nil && s.cause != 0 && now-s.suspected < suspicionTimeout
}

// isUnresponsive reports whether an upstream recently left an opening packet
// unanswered or reset the connection, or seems to leave one unanswered now.
func (e *Engine) isUnresponsive(now time.Duration, cookie uint32) bool {
	s := e.upstreams[cookie]
	return s != nil && (e.isSuspect(now, cookie) && s.cause != Overdue || e.openings.IsSilent(&s.openings))
}

// isSlow reports whether an upstream answers late or not at all: this balancer
// has waited for an answer of it for too long, or it is ejected after the suspicions of several balancers.
func (e *Engine) isSlow(now time.Duration, u *Upstream) bool {
	return u.Ejected || e.isSuspect(now, u.Cookie) && !e.isUnresponsive(now, u.Cookie)
}
