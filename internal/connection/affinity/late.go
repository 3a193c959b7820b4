package affinity

import (
	"time"

	"heatherport/internal/result"
	"heatherport/internal/version/routing"
)

// Late openings are those whose callers have waited so long that the answer
// will miss the route's objective. After an outage of all balancers every
// caller of the last second has one, and all arrive within the same few hundred
// milliseconds. Upstreams that take them at once queue the openings that can
// still be answered in time behind them.
//
// Late openings are therefore placed with credits that answers earn: an answer
// in time earns a part of a credit, and a slow one, which shows that upstreams
// queue, takes all. The others wait until there is a credit, the caller repeats
// the opening, or its timeout is too near. Openings that are not late neither
// wait nor need credits.
const (
	// answerCredit is what an answer in time earns. Late openings earn by their
	// answers too, so that they are at most a third of all.
	answerCredit = 1.0 / 3
	// slowRatio is the ratio of answer time to objective from which an answer
	// takes the credits.
	slowRatio = overloadRatio
	// maxCredit bounds the late openings that are placed at once.
	maxCredit = 2.0
	// creditInterval is the time in which a credit is earned without answers, so
	// that an unresponsive service is tried again.
	creditInterval = 200 * time.Millisecond
)

// isLate reports whether the answer to an opening will miss the objective
// because the caller has waited. Slow answers alone make no opening late.
func (e *Engine) isLate(r *routing.Route, p *Packet) bool {
	expected := min(e.expectedAnswer(p), r.LatencyObjective/2)
	return r.LatencyObjective > 0 && p.Waited+expected > r.LatencyObjective
}

// expectedAnswer returns the average time that an answer takes, zero if it is
// unknown.
func (e *Engine) expectedAnswer(p *Packet) time.Duration {
	if a := e.answers[p.Service]; a != nil {
		return a.mean
	}
	return 0
}

// deferLate decides whether a late opening waits or is dropped. It returns nil
// if the opening is placed.
func (e *Engine) deferLate(now time.Duration, r *routing.Route, l *limiter, p *Packet) *Verdict {
	switch {
	case p.Waited > r.Timeout:
		return &Verdict{Code: result.DropExpired}
	case !l.takeCredit(now):
		return &Verdict{Wait: true}
	}
	return nil
}

// takeCredit takes the credit for a late opening, if there is one.
func (l *limiter) takeCredit(now time.Duration) bool {
	l.addCredit(float64(now-l.creditTime) / float64(creditInterval))
	l.creditTime = now
	if l.credits < 1 {
		return false
	}
	l.credits--
	return true
}

func (l *limiter) addCredit(n float64) { l.credits = min(l.credits+n, maxCredit) }

// earnCredit takes an answer that took ratio times the objective.
func (l *limiter) earnCredit(ratio float64) {
	if ratio >= slowRatio {
		l.credits = 0
		return
	}
	l.addCredit(answerCredit)
}
