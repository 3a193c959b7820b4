package affinity

import (
	"slices"
	"time"

	"heatherport/internal/load/demand"
	"heatherport/internal/load/queue"
	"heatherport/internal/result"
	"heatherport/internal/version/routing"
)

const (
	// maxWait is the longest time for which an attempt is queued that can still be
	// refused: a caller retransmits after 200 ms.
	maxWait = 150 * time.Millisecond
	// maxWaitPart is the part of its objective, 1 / maxWaitPart, that an attempt may wait:
	// a caller that is refused has the rest for another attempt.
	maxWaitPart = 4
	// expirySlack is the time by which an attempt may be refused after its deadline.
	expirySlack = 8 * time.Millisecond
	// refusalMargin is the time before a caller's retransmission in which its
	// attempt is no longer refused, because the retransmitted packet may pass
	// through another balancer.
	refusalMargin = 25 * time.Millisecond
	// lateMargin is the time by which a retransmitted packet may arrive late.
	lateMargin = 50 * time.Millisecond
	// maxWaiting bounds the attempts that wait for all services.
	maxWaiting = 1024
)

// attempt is a connection attempt that waits for room.
type attempt struct {
	packet   Packet
	arrived  time.Duration // when the packet reached this balancer
	queued   time.Duration
	replaced bool // a later packet of the connection took its place
}

// isCertain reports whether it is certain that no balancer forwarded a copy of the
// attempt: it is the first copy, and the caller has not sent another one yet.
func (a *attempt) isCertain(now time.Duration) bool {
	return a.packet.Copies == 0 && now-a.arrived < a.packet.Repeat-refusalMargin
}

// key returns the connection of the attempt.
func (a *attempt) key() key { return key{a.packet.Caller, a.packet.Service} }

// Released is called for an opening packet that waited, with the verdict on it.
type Released func(p *Packet, v Verdict)

// placeShared places an opening packet within permits and spillover limits, or
// queues it.
func (e *Engine) placeShared(now time.Duration, v *View, pl *pool, r *routing.Route, p *Packet) Verdict {
	if p.Waited > r.Timeout {
		return Verdict{Code: result.DropExpired}
	}
	if p.Copies == 0 {
		pl.demand.Arrived()
	}
	l := pl.lane(r)
	if l.Len() == 0 {
		if found := e.findRoom(now, pl, &restriction{route: r}); found.upstream != nil {
			return e.placeIn(now, pl, found, p)
		}
	}
	if !v.hasWarm(now, r, pl.service) {
		return refusal(v.refusalCause(r, pl.service), v.Current && p.isFirst())
	}
	return e.enqueue(now, pl, l, r, p)
}

// hasWarm reports whether a service has an upstream that a route allows and that is
// not in its slow start.
func (v *View) hasWarm(now time.Duration, r *routing.Route, service string) bool {
	return slices.ContainsFunc(v.byService[service], func(u *Upstream) bool { return now >= u.ColdUntil && isInRegion(r, u) })
}

// replaceAttempt takes an attempt out of those that wait, because a later packet of
// its connection has arrived.
func (e *Engine) replaceAttempt(k key) {
	if old := e.attempts[k]; old != nil {
		old.replaced = true
		delete(e.attempts, k)
	}
}

// placeIn places an opening packet at an upstream.
func (e *Engine) placeIn(now time.Duration, pl *pool, found room, p *Packet) Verdict {
	c := &entry{service: pl.service, sequence: p.Sequence, began: now - p.Waited, started: now, reported: p.mayBeGivenUp(), copied: p.Copies > 0}
	e.assign(now, c, found.upstream)
	e.unopened.add(now)
	choice := &Choice{Service: pl.service, Candidates: found.candidates, Load: found.load, Spillover: c.permit.spillover}
	if len(e.table) < e.cfg.Capacity {
		e.table[key{p.Caller, p.Service}] = c
	} else {
		e.uncountLoad(now, c) // its end will not be seen
	}
	return Verdict{Upstream: found.upstream, Choice: choice}
}

// enqueue queues an opening packet, or refuses it if it would wait too long.
func (e *Engine) enqueue(now time.Duration, pl *pool, l *lane, r *routing.Route, p *Packet) Verdict {
	a := &attempt{packet: *p, arrived: now - p.HeldFor, queued: now}
	if len(e.attempts) >= maxWaiting {
		return e.overloaded(now, pl, a)
	}
	item := pl.item(now, r, a)
	last, full := l.Push(item, pl.waitingLimit(item.Deadline-now))
	if full && last.Value == a {
		return e.overloaded(now, pl, a)
	}
	if full {
		e.displaced = append(e.displaced, displaced{pl, last.Value})
	}
	e.attempts[a.key()] = a
	return Verdict{Wait: true, Queued: true}
}

// item returns the queue item of an attempt.
func (p *pool) item(now time.Duration, r *routing.Route, a *attempt) queue.Item[*attempt] {
	item := queue.Item[*attempt]{Priority: r.Priority, Deadline: a.arrived + maxWait, Value: a}
	if r.LatencyObjective > 0 {
		// Slow answers alone make no attempt late.
		expected := min(p.times.expected(time.Duration(p.times.work), tailRatio), r.LatencyObjective/2)
		item.Deadline = min(item.Deadline, now-a.packet.Waited+r.LatencyObjective-expected, a.arrived+maxWaitOf(r))
	}
	if a.packet.Copies > 0 || item.Deadline < now {
		item.Late, item.Deadline = true, a.arrived+a.packet.Repeat+lateMargin
	}
	return item
}

// maxWaitOf returns the time that an attempt may wait. Half of it is left where the
// slack is longer.
func maxWaitOf(r *routing.Route) time.Duration {
	part := r.LatencyObjective / maxWaitPart
	return max(part-expirySlack, part/2)
}

// waitingLimit returns the number of attempts that can be placed within a time,
// given the rate of responses.
func (p *pool) waitingLimit(within time.Duration) int {
	if p.times.held == 0 {
		return p.permits
	}
	return max(int(float64(p.open())*float64(within)/float64(p.times.held)), 1)
}

// displaced is an attempt that a more urgent one displaced from the queue.
type displaced struct {
	pool    *pool
	attempt *attempt
}

// overloaded returns the verdict on an attempt that does not wait any longer.
func (e *Engine) overloaded(now time.Duration, p *pool, a *attempt) Verdict {
	v := refusal(result.RefusedOverloaded, a.isCertain(now))
	e.refundLink(now, e.poolView, &a.packet)
	v.Overload = &Overload{Permits: p.permits, Open: p.ownOpen, Spillover: p.spillover.Open(), Queued: p.queued()}
	return v
}

// Release decides on the opening packets that wait in queues: it places those for
// which there is room, and refuses or drops those that were displaced or whose wait
// is over. It is called after each packet and tick.
func (e *Engine) Release(now time.Duration, v *View, released Released) {
	e.refreshPools(now, v)
	for _, d := range e.displaced {
		e.giveUp(now, d.pool, d.attempt, released)
	}
	e.displaced = e.displaced[:0]
	for _, p := range e.poolOrder {
		e.releasePool(now, v, p, released)
	}
}

func (e *Engine) releasePool(now time.Duration, v *View, p *pool, released Released) {
	for _, l := range p.lanes {
		for item, ok := l.Expire(now); ok; item, ok = l.Expire(now) {
			e.giveUp(now, p, item.Value, released)
		}
	}
	for _, l := range p.lanes {
		e.releaseLane(now, v, p, l, released)
	}
}

// releaseLane places waiting attempts while there is room.
func (e *Engine) releaseLane(now time.Duration, v *View, p *pool, l *lane, released Released) {
	for next, ok := l.Peek(); ok; next, ok = l.Peek() {
		a := next.Value
		if a.replaced {
			l.Pop()
			continue
		}
		found := e.findRoom(now, p, &restriction{route: v.route(a.packet.Service)})
		if found.upstream == nil {
			return
		}
		l.Pop()
		e.releaseTo(now, p, found, a, released)
	}
}

// releaseTo places an attempt that waited.
func (e *Engine) releaseTo(now time.Duration, p *pool, found room, a *attempt, released Released) {
	e.leave(now, a)
	released(&a.packet, e.placeIn(now, p, found, &a.packet))
}

// giveUp refuses an attempt that waited, or drops it if it may have been forwarded.
func (e *Engine) giveUp(now time.Duration, p *pool, a *attempt, released Released) {
	if a.replaced {
		return
	}
	verdict := e.overloaded(now, p, a)
	e.leave(now, a)
	released(&a.packet, verdict)
}

// leave takes an attempt out of those that wait.
func (e *Engine) leave(now time.Duration, a *attempt) {
	delete(e.attempts, a.key())
	a.packet.Held = true
	a.packet.HeldFor = now - a.arrived
	a.packet.Waited += now - a.queued
}

// NextDeadline returns the time at which the first of the waiting attempts has
// waited too long.
func (e *Engine) NextDeadline() (at time.Duration, ok bool) {
	for _, p := range e.poolOrder {
		for _, l := range p.lanes {
			if d, waits := l.NextDeadline(); waits && (!ok || d < at) {
				at, ok = d, true
			}
		}
	}
	return at, ok
}

// Needs returns what the callers of this balancer need of the services, as far as others
// are to know it.
func (e *Engine) Needs() map[string]demand.Need {
	out := make(map[string]demand.Need)
	for _, p := range e.poolOrder {
		_, lent := e.poolView.Needs[p.service]
		if need := p.demand.Report(p.times.usual.get(), p.division.equalPart(), lent); need.Slots > 0 {
			out[p.service] = need
		}
	}
	return out
}

// equalPart returns the slots of each balancer if all need the same.
func (d *division) equalPart() float64 {
	slots := 0
	for i := range d.upstreams {
		slots += d.upstreams[i].Slots
	}
	return float64(slots) / float64(max(len(d.balancers), 1))
}

// Usage is the use of permits, spillover and queues of all services.
type Usage struct {
	Permits   int // connections that the own shares admit
	Own       int // connections open that hold a permit
	Spillover int // connections open to upstreams in other shares
	Queued    int // connection attempts that wait
}

// Usage returns the current use.
func (e *Engine) Usage() (u Usage) {
	for _, p := range e.poolOrder {
		u.Permits += p.permits
		u.Own += p.ownOpen
		u.Spillover += p.spillover.Open()
		u.Queued += p.queued()
	}
	return u
}
