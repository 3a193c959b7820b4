package affinity

import (
	"time"

	"heatherport/internal/load/spill"
	"heatherport/internal/version/routing"
)

const (
	// maxWorkRatio caps the average of an upstream as a multiple of that of the
	// service, so that a slow upstream is tried now and then.
	maxWorkRatio = 8
	// workWeight averages the last 8 responses of an upstream, timeWeight the last
	// 16 of the service.
	workWeight = 1.0 / 8
	// recoveredRatio is the multiple of the usual service time below which a response of a
	// slower upstream shows that it has recovered, recoveredWeight the weight of such a
	// response. One that is five times slower answers that fast once in a hundred.
	recoveredRatio  = 1.5
	recoveredWeight = 2.0 / 3
	timeWeight      = 1.0 / 16
	// minUsual is the service time that is assumed until it is known, so that the
	// rejections of a busy service do not count as answers.
	minUsual = 5 * time.Millisecond
	// tailRatio is the ratio of a long response time to the average. With the
	// deviation of the deployments, one in 20 responses takes longer.
	tailRatio = 2
	// pendingRatio is the ratio of the time of a pending request to the average from
	// which the upstream counts as slower. With the deviation of the deployments, one
	// request in 300 takes longer.
	pendingRatio = 3.5
	// chanceRatio is the ratio of the average time of an upstream to that of the service
	// up to which the difference may be chance.
	chanceRatio = 2.0
	// calmMaxAge is the time after which service times under load count as usual if
	// there are no others: the service may have become slower.
	calmMaxAge = time.Minute
	// workMaxAge is the time for which the response time of an upstream in another
	// share counts as known, and for which one in the own share that answered late is left
	// out while others are idle.
	workMaxAge = 3 * time.Second
)

// average is an exponential moving average. It is zero before the first sample.
type average time.Duration

func (a *average) add(d time.Duration, weight float64) {
	if *a == 0 {
		*a = average(d)
		return
	}
	*a += average(weight * float64(d-time.Duration(*a)))
}

// serviceTimes holds the average times of the connections to a service.
type serviceTimes struct {
	usual     lowestAverage // service time without queue
	work      average       // from the arrival of a request at an upstream to its answer
	roundTrip average       // from an opening packet to the caller's next packet
	held      average       // from the placement of a connection to its answer
	lastCalm  time.Duration // placement of the last connection while permits were free
}

// expected returns the time from the placement of a connection to its answer if it
// takes ratio times the average work.
func (t *serviceTimes) expected(work time.Duration, ratio float64) time.Duration {
	return time.Duration(2*t.roundTrip) + time.Duration(ratio*float64(work))
}

// upstreamTimes holds the average times of the responses of an upstream.
type upstreamTimes struct {
	work     average
	service  average       // without the queue of own connections
	measured time.Duration // time of the last response
}

// recordWork adds the answer to the first request of a connection that took a
// permit.
func (e *Engine) recordWork(now time.Duration, c *entry, took time.Duration) {
	p := c.permit.pool
	if p == nil || c.opened == 0 || c.requests != 1 {
		return
	}
	t, s := &p.times, e.upstreamState(c.cookie)
	work, usual := max(took-c.opened, 1), t.usual.get()
	if c.permit.spillover && !c.overran {
		p.spillover.Answered(c.permit.domain, work, usual)
	}
	t.roundTrip.add(c.opened, timeWeight)
	s.measured = now
	if spill.IsRejection(work, max(usual, minUsual)) {
		s.work.add(time.Duration(maxWorkRatio*t.work), workWeight)
		return
	}
	service := time.Duration(float64(work) / c.crowd)
	s.add(work, service, usual)
	t.work.add(work, timeWeight)
	t.held.add(now-c.placed, timeWeight)
	slowness := e.slownessOf(c.cookie)
	if slowness == 1 || usual == 0 {
		t.addUsual(now, c, time.Duration(float64(service)/slowness))
	}
}

// add adds a response. Responses far below the average show that a slow upstream has
// recovered.
func (t *upstreamTimes) add(work, service, usual time.Duration) {
	weight := workWeight
	if u := recoveredRatio * float64(usual); float64(work) < u && float64(t.service) > u {
		weight = recoveredWeight
	}
	t.work.add(work, weight)
	t.service.add(service, weight)
}

// slownessOf returns how slow all balancers know an upstream to be. The service times of a
// slow one say nothing of the usual one.
func (e *Engine) slownessOf(cookie uint32) float64 {
	if u := e.poolView.Upstream(cookie); u != nil {
		return u.Slowness.Slowness()
	}
	return 1
}

// addUsual adds a service time to the usual one, if half of the permits were free.
// Under load, the connections that other balancers spill over lengthen it by an
// unknown time, and a long overload would become usual.
func (t *serviceTimes) addUsual(now time.Duration, c *entry, service time.Duration) {
	isCalm := c.calm && !c.permit.spillover
	if isCalm {
		t.lastCalm = now
	}
	isUnknown := t.usual.get() == 0
	isStale := !c.permit.spillover && (t.lastCalm == 0 || now-t.lastCalm > calmMaxAge)
	if isCalm || isUnknown || isStale {
		t.usual.add(now, service)
	}
}

// learnFromPending raises the service time of an upstream by a request that it has not
// answered for far longer than usual. The average of answers shows that it has become
// slow only after several of them.
func (e *Engine) learnFromPending(now time.Duration, c *entry) {
	p := c.permit.pool
	if p == nil || c.requested == 0 || c.requests != 1 || c.opened == 0 {
		return
	}
	s := e.upstreamState(c.cookie)
	work := now - c.requested - c.opened
	if service := average(float64(work) / c.crowd); s.service > 0 && float64(service) > pendingRatio*float64(s.service) {
		s.service, s.work, s.measured = service, max(s.work, average(work)), now
	}
}

// checkOverrun lowers the limit of spillover for a connection that is taking too
// long. Its answer may come much later if the upstream has a long queue.
func (e *Engine) checkOverrun(now time.Duration, c *entry) {
	if !c.permit.spillover || c.overran || c.requested == 0 || c.requests != 1 {
		return
	}
	p := c.permit.pool
	if work, usual := now-c.requested-c.opened, p.times.usual.get(); spill.IsQueued(work, usual) {
		c.overran = true
		p.spillover.Answered(c.permit.domain, work, usual)
	}
}

// workOf returns the average response time of an upstream, capped at a multiple of
// that of the service. While this balancer has not measured it lately, what others
// measured counts.
func (e *Engine) workOf(now time.Duration, p *pool, u *Upstream) float64 {
	usual := float64(max(p.times.work, 1))
	s := e.upstreams[u.Cookie]
	switch {
	case u.Slowness > 0 && (s == nil || s.work == 0 || now-s.measured > workMaxAge):
		return min(u.Slowness.Slowness()*float64(p.times.usual.get()), maxWorkRatio*usual)
	case s == nil || s.work == 0:
		return usual
	}
	return min(float64(s.work), maxWorkRatio*usual)
}

// comparableWork returns workOf, or the usual time while the difference may be chance, or
// be over: an upstream that is left out because it answered late is not measured again.
func (e *Engine) comparableWork(now time.Duration, p *pool, u *Upstream) float64 {
	usual := float64(max(p.times.work, 1))
	work := e.workOf(now, p, u)
	s := e.upstreams[u.Cookie]
	isKnown := u.Slowness > 0 || s != nil && now-s.measured < workMaxAge
	if isKnown && work > chanceRatio*usual {
		return work
	}
	return usual
}

// answersInTime reports whether an upstream of the own share is likely to answer
// one more connection within the objective of a route. One connection is always
// tried.
func (e *Engine) answersInTime(p *pool, r *routing.Route, o *ownUpstream) bool {
	s := e.upstreams[o.Cookie]
	if s == nil || s.open == 0 || r == nil || r.LatencyObjective == 0 {
		return true
	}
	work := float64(s.service) * o.crowd(s.open+1)
	return p.times.expected(time.Duration(work), tailRatio) <= r.LatencyObjective
}

// answersLate reports whether an upstream in another share recently took so long
// that one more connection would not be answered within the objective of a route.
func (e *Engine) answersLate(now time.Duration, p *pool, r *routing.Route, u *Upstream) bool {
	if r == nil || r.LatencyObjective == 0 {
		return false
	}
	s := e.upstreams[u.Cookie]
	if s == nil || now-s.measured > workMaxAge {
		return u.Slowness > 0 && p.times.expected(time.Duration(u.Slowness.Slowness()*float64(p.times.usual.get())), tailRatio) > r.LatencyObjective
	}
	return p.times.expected(time.Duration(s.work), tailRatio) > r.LatencyObjective
}
