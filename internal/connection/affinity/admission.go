package affinity

import (
	"time"

	"heatherport/internal/version/routing"
)

// Admission control refuses new connections while a service is overloaded, so
// that the open ones are answered within their objective. Balancers do not see
// the queues at upstreams, but queueing delays answers. The latency ratio of a
// service is the average answer time divided by the route's objective. From
// overloadRatio on, a concurrency limit bounds the open connections. Each
// answer raises the limit while the ratio is below targetRatio and lowers it
// while the ratio is above.
const (
	// overloadRatio is the latency ratio from which the limit is enforced.
	// Without queues the ratio is about 0.2 where objectives are five times the
	// service time.
	overloadRatio = 0.5
	// targetRatio is the latency ratio that the limit is adjusted towards. It
	// leaves room for the longest service times, six times the average.
	targetRatio = 0.6
	// ratioWeight is the weight of a new answer in the moving average.
	ratioWeight = 1.0 / 8
	// maxRatio caps the ratio of a single answer, because some answers are late
	// for reasons other than load.
	maxRatio = 1.2
	// ratioMaxAge is the time without an answer after which the ratio is
	// unknown.
	ratioMaxAge = time.Second
	// limitGain is the change of the limit by one answer for a ratio that is
	// off its target by 1. limitMaxStep is the greatest change by one answer.
	limitGain    = 1.0
	limitMaxStep = 0.5
	// minLimit keeps some connections open, whose answers update the ratio.
	minLimit = 2.0
	// startupGrace is the time after the start in which all connections are
	// admitted: callers that waited while no balancer ran reconnect at once and
	// have already waited too long to be refused.
	startupGrace = 4 * time.Second
	// prioritySurplus is the share by which the limit is higher for each step
	// of a route's priority above the lowest one of its service.
	// maxPrioritySteps bounds the steps that count.
	prioritySurplus  = 0.5
	maxPrioritySteps = 2
)

// limiter is the adaptive concurrency limiter of a service.
type limiter struct {
	ratio          float64 // moving average of answer time / objective
	lastAnswer     time.Duration
	open           int // connections counted here
	limit          float64
	lowestPriority int     // greatest priority number of a route seen; lower is more urgent
	credits        float64 // for late openings
	creditTime     time.Duration
}

func (l *limiter) isOverloaded(now time.Duration) bool {
	return now > startupGrace && now-l.lastAnswer <= ratioMaxAge && l.ratio >= overloadRatio
}

func (l *limiter) add(now time.Duration, ratio float64) {
	l.earnCredit(ratio)
	if now-l.lastAnswer > ratioMaxAge {
		l.ratio = 0
	}
	l.ratio += ratioWeight * (min(ratio, maxRatio) - l.ratio)
	l.lastAnswer = now
	if !l.isOverloaded(now) {
		l.limit = float64(l.open)
		return
	}
	change := limitGain * (targetRatio - l.ratio)
	l.limit = max(l.limit+min(max(change, -limitMaxStep), limitMaxStep), minLimit)
}

// Overload holds the state of the limiter, or of the permits and the queue, that
// refused a new connection.
type Overload struct {
	LatencyRatio float64 // average answer time / objective
	Limit        float64 // concurrency limit at this balancer
	Open         int     // connections that count against the limit or the permits
	Permits      int     // zero if the limit applies
	Spillover    int     // connections open to upstreams in other shares
	Queued       int     // connection attempts that wait
	LinkUse      float64 // part of the balancer's link in use, if that is the cause
}

func (l *limiter) overload() *Overload {
	return &Overload{LatencyRatio: l.ratio, Limit: l.limit, Open: l.open}
}

// admits reports whether a new connection to a route is admitted.
func (l *limiter) admits(now time.Duration, r *routing.Route) bool {
	l.lowestPriority = max(l.lowestPriority, r.Priority)
	if !l.isOverloaded(now) {
		return true
	}
	steps := min(l.lowestPriority-r.Priority, maxPrioritySteps)
	return float64(l.open) < max(l.limit, minLimit)*(1+prioritySurplus*float64(steps))
}

// limiter returns the limiter of a service.
func (e *Engine) limiter(service string) *limiter {
	l := e.limiters[service]
	if l == nil {
		l = &limiter{}
		e.limiters[service] = l
	}
	return l
}

// recordAnswer adds an answer at a route to the latency ratio of a service.
func (e *Engine) recordAnswer(now time.Duration, r *routing.Route, service string, took time.Duration) {
	if r.LatencyObjective > 0 && service != "" {
		e.limiter(service).add(now, float64(took)/float64(r.LatencyObjective))
	}
}
