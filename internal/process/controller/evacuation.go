package controller

import (
	"context"
	"time"

	"heatherport/internal/result"
	"heatherport/internal/version/register"
)

// Evacuate starts or ends the evacuation of a failure domain. by is the address
// that ordered it. It returns nil once the order, or one that asks for the same, is
// durable on a majority. After an error of ClassUnknown or ClassUnavailable the
// order may be given again to any controller.
func (c *Controller) Evacuate(ctx context.Context, domain string, evacuate bool, by string) (err error) {
	defer func() { c.cfg.Metrics.Call("evacuate", err) }()
	if !c.isDomain(domain) {
		return result.Errorf(result.UnknownDomain, "no failure domain %q", domain)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for {
		// An order that arrived while this process stood still may have been given
		// again to another controller, and been taken back, since.
		if !c.stall.IsOver(c.clock()) {
			return result.Errorf(result.NotReady, "the process stood still; the order may be old")
		}
		s := c.consensus.Status()
		order := register.Order{Domain: domain, Evacuate: evacuate, After: s.Evacuations.LastOrder(domain), By: by, AtMillis: time.Now().UnixMilli()}
		data, err := order.Encode()
		if err != nil {
			return err
		}
		if ctx.Err() == nil && c.submitOnce(ctx, &s, data) {
			c.log.Info("evacuation ordered", "failure_domain", domain, "evacuate", evacuate, "by", by, "after", order.After, "leader", s.Leader)
			return nil
		}
		select {
		case <-ctx.Done():
			c.log.Warn("evacuation outcome unknown", "failure_domain", domain, "evacuate", evacuate, "by", by, "leader", s.Leader, "term", s.Term)
			return result.Errorf(result.OutcomeUnknown, "order for %s: not confirmed by leader %q in time", domain, s.Leader)
		case <-time.After(callRetry):
		}
	}
}

// isDomain reports whether a failure domain exists: the settings list it, or, when
// they list none, a known controller is in it.
func (c *Controller) isDomain(name string) bool {
	if domains := c.cfg.Settings.Domains; len(domains) > 0 {
		_, ok := domains[name]
		return ok
	}
	_, ok := c.peers.inDomain(name, peerMaxAge)
	return ok || name == c.self.Domain
}

// Evacuations returns the evacuations in force by a linearizable read.
func (c *Controller) Evacuations(ctx context.Context) (active []register.Evacuation, err error) {
	defer func() { c.cfg.Metrics.Call("read", err) }()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = c.read(ctx, func(state *register.Register) { active = state.Evacuations().Active() })
	return active, err
}

// evacuated takes a change of the evacuations.
func (c *Controller) evacuated(e *register.Evacuations) {
	active := e.Active()
	domains := make([]string, 0, len(active))
	for _, d := range active {
		domains = append(domains, d.Domain)
	}
	c.log.Info("evacuations in force", "index", e.Index(), "failure_domains", domains)
	c.cfg.Metrics.Evacuations.Set(float64(len(domains)))
	c.events <- func() {
		c.recordEnds(e.Ended(), time.Now())
		c.evacuations = &Evacuations{Index: e.Index(), Domains: domains, Ended: c.recentEnds()}
	}
}

const (
	// replayTime is the time after the start in which the end of an evacuation may
	// come from the log on disk, and its age is that of the order.
	replayTime = 5 * time.Second
	// clockTolerance is how much the clocks of two VMs may differ. The age of an
	// order of another process is reduced by it.
	clockTolerance = 10 * time.Second
)

// evacuationEnd is the end of an evacuation.
type evacuationEnd struct {
	index uint64
	at    time.Duration // when this controller learned of it, or earlier
}

// recordEnds records when evacuations ended.
func (c *Controller) recordEnds(ended []register.Evacuation, wall time.Time) {
	for _, d := range ended {
		if d.Index <= c.ends[d.Domain].index {
			continue
		}
		at := c.now()
		if at < replayTime {
			at -= max(wall.Sub(time.UnixMilli(d.SinceMillis))-clockTolerance, 0)
		}
		c.ends[d.Domain] = evacuationEnd{d.Index, at}
	}
}

// recentEnds returns the log index of each end after which upstreams of the domain may
// still be in a slow start. Balancers that start later need not wait for them.
func (c *Controller) recentEnds() map[string]uint64 {
	recent := make(map[string]uint64)
	for domain, end := range c.ends {
		if c.table == nil || c.now()-end.at < c.table.LongestSlowStart() {
			recent[domain] = end.index
		}
	}
	return recent
}

// expireEnds takes ends that are no longer recent out of the feed.
func (c *Controller) expireEnds() {
	if c.evacuations == nil || len(c.evacuations.Ended) == 0 {
		return
	}
	if recent := c.recentEnds(); len(recent) < len(c.evacuations.Ended) {
		c.evacuations = &Evacuations{Index: c.evacuations.Index, Domains: c.evacuations.Domains, Ended: recent}
	}
}
