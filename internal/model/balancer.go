package model

import (
	"net/netip"
	"time"

	"heatherport/internal/connection/affinity"
	"heatherport/internal/connection/backlog"
	"heatherport/internal/load/demand"
	"heatherport/internal/load/speed"
)

const (
	// tick is the interval of the control loop of a balancer.
	tick = 100 * time.Millisecond
	// lateMargin is the time by which the copy of a waiting packet may arrive late.
	lateMargin = 50 * time.Millisecond
	// releaseSlack is the time after its deadline at which a waiting attempt is refused.
	releaseSlack = time.Millisecond
	// tableCapacity bounds the connection table of a balancer.
	tableCapacity = 60_000
)

// balancer is an engine with the queues of a forwarder.
type balancer struct {
	*affinity.Engine
	config  affinity.Config
	index   int
	domain  int
	in, out link
	waiting backlog.Queue
	late    map[netip.AddrPort]*affinity.Packet // packets in the backlog
	view    *affinity.View
	// viewNumber is the number of the view: a later one may arrive before it.
	viewNumber int
	down       bool // reads no packets
	left       bool // gets no new connections, and is not listed
	// needs and speeds are what it reported last, speeds at reported.
	needs    map[string]demand.Need
	speeds   map[uint32]speed.Level
	reported time.Duration
	// nextRelease is the time at which waiting attempts are decided on again.
	nextRelease time.Duration
}

// restart returns a balancer without its state.
func (b *balancer) restart() {
	b.Engine, b.needs, b.speeds = affinity.New(b.config), nil, nil
	b.waiting = backlog.Queue{}
}

// receive delivers a packet of a caller to a balancer through its link.
func (r *run) receive(b *balancer, size int, do func()) {
	r.after(r.scenario.Fleet.CallerDelay, func() {
		wait, ok := b.in.pass(r.now, size)
		if !ok {
			return
		}
		r.after(wait, func() {
			if b.down {
				return
			}
			b.config.Link.Received(r.now, size)
			do()
		})
	})
}

// forward sends a packet of a balancer through its link.
func (r *run) forward(b *balancer, size int, delay time.Duration, do func()) {
	b.config.Link.Sent(r.now, size)
	if wait, ok := b.out.pass(r.now, size); ok {
		r.after(wait+delay, do)
	}
}

// decideOpening lets a balancer decide on an opening packet.
func (r *run) decideOpening(b *balancer, a *attempt, p *affinity.Packet) {
	r.carryOut(b, a, p, b.Decide(r.now, b.view, p))
	r.release(b)
}

// carryOut does what a forwarder does with the verdict on an opening packet.
func (r *run) carryOut(b *balancer, a *attempt, p *affinity.Packet, v affinity.Verdict) (released bool) {
	switch {
	case v.Queued:
	case v.Wait && !p.Held:
		b.late[p.Caller] = p
		b.waiting.Add(backlog.Item{
			Caller: p.Caller, Service: p.Service, Opening: true, Began: r.now - p.Waited, Expires: r.now + p.Repeat + lateMargin,
		})
	case v.Wait:
		return false
	case a == nil: // the caller has given up
	case v.Upstream != nil:
		r.place(b, a, v.Upstream)
	case v.Refuse:
		r.refuse(b, a)
	}
	return true
}

// place forwards an opening packet to an upstream, which answers it.
func (r *run) place(b *balancer, a *attempt, chosen *affinity.Upstream) {
	u, cookie := r.byCookie[chosen.Cookie], chosen.Cookie
	r.placed(b, u, a)
	if r.isCut(b.domain, u.domain) {
		return
	}
	r.forward(b, headerSize, r.upstreamDelay(b, u), func() {
		if !u.isDark {
			r.after(r.scenario.Fleet.CallerDelay, func() { r.opened(a, cookie) })
		}
	})
}

// refuse sends a reset to a caller.
func (r *run) refuse(b *balancer, a *attempt) {
	r.refused++
	r.refusing(b, a)
	r.forward(b, headerSize, r.scenario.Fleet.CallerDelay, func() {
		if !a.opened && !a.done {
			a.done = true
			r.again(a.call)
		}
	})
}

// sendEstablished sends a packet of an open connection.
func (r *run) sendEstablished(a *attempt, p affinity.Packet) {
	b := r.balancers[a.balancer]
	r.receive(b, p.Size, func() {
		v := b.Decide(r.now, b.view, &p)
		if v.Upstream != nil {
			r.checkService(a, v.Upstream)
			u := r.byCookie[v.Upstream.Cookie]
			if !r.isCut(b.domain, u.domain) {
				r.forward(b, p.Size, r.upstreamDelay(b, u), func() {
					if p.Length > 0 {
						r.request(u, a)
					}
				})
			}
		}
		r.release(b)
	})
}

// release decides again on the packets that wait.
func (r *run) release(b *balancer) {
	if b.waiting.Len() > 0 {
		b.waiting.Release(r.now, func(i backlog.Item) bool {
			p := *b.late[i.Caller]
			p.Held, p.Waited, p.HeldFor = true, r.now-i.Began, r.now-(i.Expires-p.Repeat-lateMargin)
			return r.carryOut(b, r.attempts[i.Caller], &p, b.Decide(r.now, b.view, &p))
		})
	}
	r.releaseQueued(b)
	r.scheduleRelease(b)
}

// scheduleRelease sees to it that waiting attempts are refused at their deadlines.
func (r *run) scheduleRelease(b *balancer) {
	at, ok := b.NextDeadline()
	if !ok || b.nextRelease > r.now && b.nextRelease <= at+releaseSlack {
		return
	}
	next := max(at, r.now) + releaseSlack
	b.nextRelease = next
	r.after(next-r.now, func() {
		if b.nextRelease != next {
			return
		}
		r.releaseQueued(b)
		r.scheduleRelease(b)
	})
}

func (r *run) releaseQueued(b *balancer) {
	b.Release(r.now, b.view, func(p *affinity.Packet, v affinity.Verdict) { r.carryOut(b, r.attempts[p.Caller], p, v) })
}

// upstreamDelay returns the time from a balancer to an upstream.
func (r *run) upstreamDelay(b *balancer, u *upstream) time.Duration {
	if b.domain == u.domain {
		return r.scenario.Fleet.LocalDelay
	}
	return r.scenario.Fleet.RemoteDelay
}

// isCut reports whether no packet passes between two failure domains.
func (r *run) isCut(a, b int) bool { return a != b && (r.cut[a] || r.cut[b]) }

// pickBalancer returns a balancer in the failure domain of a caller.
func (r *run) pickBalancer(domain int) int {
	n := r.scenario.Fleet.Balancers
	first := r.IntN(n)
	for i := range n {
		index := domain*n + (first+i)%n
		if !r.balancers[index].left {
			return index
		}
	}
	return domain*n + first
}
