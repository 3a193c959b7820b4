package control

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"heatherport/internal/version"
	"heatherport/internal/version/roster"
)

const (
	probeInterval = time.Second
	probeTimeout  = 800 * time.Millisecond
	// maxConcurrentProbes bounds the concurrent probes of one member.
	maxConcurrentProbes = 64
)

// probeTarget is an upstream that this member probes.
type probeTarget struct {
	id   version.UpstreamID
	addr netip.AddrPort
}

// prober runs the active health checks: it connects to upstreams and passes the
// results to the control goroutine.
type prober struct {
	c       *Controller
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	mu      sync.Mutex
	targets []probeTarget

	// streaks counts consecutive results; only the prober's goroutine uses it.
	streaks map[version.UpstreamID]roster.Observation
}

func newProber(c *Controller) *prober {
	ctx, cancel := context.WithCancel(c.ctx)
	return &prober{c: c, ctx: ctx, cancel: cancel}
}

func (p *prober) start() { p.wg.Go(p.run) }

func (p *prober) stop() {
	p.cancel()
	p.wg.Wait()
}

// setVersion selects the upstreams of v that the member self probes.
func (p *prober) setVersion(v *version.Version, self version.MemberID) {
	var targets []probeTarget
	observers := roster.NewObservers(v)
	for i := range v.Upstreams {
		u := &v.Upstreams[i]
		if u.Probe.IsValid() && slices.Contains(observers.Of(u.ID), self) {
			targets = append(targets, probeTarget{id: u.ID, addr: u.Probe})
		}
	}
	p.mu.Lock()
	p.targets = targets
	p.mu.Unlock()
}

func (p *prober) run() {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-ticker.C:
			p.round()
		}
	}
}

// round probes all targets once and reports the results.
func (p *prober) round() {
	p.mu.Lock()
	targets := p.targets
	p.mu.Unlock()
	if len(targets) == 0 {
		return
	}
	passed := make([]bool, len(targets))
	semaphore := make(chan struct{}, maxConcurrentProbes)
	var wg sync.WaitGroup
	for i, t := range targets {
		semaphore <- struct{}{}
		wg.Go(func() {
			passed[i] = p.probe(t)
			<-semaphore
		})
	}
	wg.Wait()
	p.report(targets, passed)
}

// report passes the streaks after the round to the control goroutine, which
// sends them with each heartbeat until the next round.
func (p *prober) report(targets []probeTarget, passed []bool) {
	streaks := make(map[version.UpstreamID]roster.Observation, len(targets))
	observations := make([]roster.Observation, 0, len(targets))
	for i, t := range targets {
		o := p.extendStreak(t.id, passed[i])
		streaks[t.id] = o
		observations = append(observations, o)
	}
	p.streaks = streaks
	_ = p.c.post(p.ctx, func() { p.c.setObservations(observations) })
}

// probe connects once and reports whether that succeeded.
func (p *prober) probe(t probeTarget) bool {
	ctx, cancel := context.WithTimeout(p.ctx, probeTimeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", t.addr.String())
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// extendStreak adds one result to the streak of the upstream id.
func (p *prober) extendStreak(id version.UpstreamID, passed bool) roster.Observation {
	o := p.streaks[id]
	o.Upstream = id
	if passed {
		o.Passed++
		o.Failed = 0
	} else {
		o.Failed++
		o.Passed = 0
	}
	return o
}

// setObservations stores the streaks of a round for the next heartbeats and adds
// the retransmissions of opening packets since the previous round.
func (c *Controller) setObservations(observations []roster.Observation) {
	counts := make(map[version.UpstreamID]uint32, len(observations))
	for i := range observations {
		o := &observations[i]
		counts[o.Upstream] = c.cfg.Engine.Retransmissions(o.Upstream)
		if previous, ok := c.retransmissions[o.Upstream]; ok {
			o.Retransmissions = counts[o.Upstream] - previous
		}
	}
	c.retransmissions = counts
	c.observations = observations
}
