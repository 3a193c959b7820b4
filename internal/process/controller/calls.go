package controller

import (
	"context"
	"net/netip"
	"time"

	"heatherport/internal/result"
	"heatherport/internal/version/directory"
	"heatherport/internal/version/register"
)

// Submit puts a valid document in force. It returns nil once the document, or
// one with a higher number, is durable on a majority. After any error the
// outcome is unknown; the same document may be submitted again to any
// controller.
func (c *Controller) Submit(ctx context.Context, d register.Document) (err error) {
	if err := c.calls.begin(); err != nil {
		return err
	}
	defer c.calls.end()
	begun := time.Now()
	defer func() {
		c.cfg.Metrics.SubmitTime.Observe(time.Since(begun).Seconds())
		c.cfg.Metrics.Call("submit", err)
	}()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	data, err := d.Encode()
	if err != nil {
		return err
	}
	for {
		s := c.consensus.Status()
		if d.Number <= s.Number {
			return nil
		}
		if c.submitOnce(ctx, &s, data) {
			c.log.Info("configuration accepted", "number", d.Number, "leader", s.Leader)
			return nil
		}
		select {
		case <-ctx.Done():
			c.log.Warn("configuration outcome unknown", "number", d.Number, "leader", s.Leader, "term", s.Term)
			return result.Errorf(result.OutcomeUnknown, "configuration %d: not confirmed by leader %q in time", d.Number, s.Leader)
		case <-time.After(callRetry):
		}
	}
}

// submitOnce submits to the current leader and reports whether it accepted.
func (c *Controller) submitOnce(ctx context.Context, s *replicaStatus, data []byte) bool {
	outcome := make(chan bool, 1)
	done := func(accepted bool) { outcome <- accepted }
	switch {
	case s.IsLeader:
		c.consensus.propose(data, done)
	case s.Leader != "":
		c.links.submit(linkOf(s.Leader), data, done)
	default:
		return false
	}
	select {
	case accepted := <-outcome:
		return accepted
	case <-ctx.Done():
		return false
	}
}

// Latest returns the document in force by a linearizable read: no newer document
// was acknowledged before the call. It fails when that cannot be confirmed.
func (c *Controller) Latest(ctx context.Context) (d register.Document, err error) {
	if err := c.calls.begin(); err != nil {
		return d, err
	}
	defer c.calls.end()
	begun := time.Now()
	defer func() {
		c.cfg.Metrics.ReadTime.Observe(time.Since(begun).Seconds())
		c.cfg.Metrics.Call("read", err)
	}()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = c.read(ctx, func(state *register.Register) { d = state.Document() })
	if err == nil && d.Number == 0 {
		err = result.Errorf(result.NoLeader, "no configuration yet")
	}
	return d, err
}

// read calls take with the state after a linearizable read. It fails when the read
// cannot be confirmed.
func (c *Controller) read(ctx context.Context, take func(state *register.Register)) error {
	done := make(chan bool, 1)
	c.consensus.readLatest(func(state *register.Register) {
		if state != nil && ctx.Err() == nil {
			take(state)
		}
		done <- state != nil
	})
	select {
	case confirmed := <-done:
		if !confirmed {
			return result.Errorf(result.NoLeader, "cannot confirm that the state is the newest")
		}
		return nil
	case <-ctx.Done():
		return result.Errorf(result.NoLeader, "cannot confirm in time that the state is the newest")
	}
}

// Announce takes the announcement of an upstream. If this controller is in
// another failure domain than the upstream, it returns the API address of a
// controller in the upstream's failure domain, if there is one. An announcement
// that the upstream is leaving is accepted only once another controller has it
// too.
func (c *Controller) Announce(ctx context.Context, r directory.Record) (nearerAPI netip.AddrPort, err error) {
	defer func() { c.cfg.Metrics.Call("announce", err) }()
	if err := c.calls.begin(); err != nil {
		return nearerAPI, err
	}
	defer c.calls.end()
	callConnOf(ctx).note(r.ID, r.StartMillis)
	err = c.change(ctx, r.ID, func() (bool, error) {
		if !c.stall.IsOver(c.clock()) {
			return false, result.Errorf(result.NotReady, "the process stood still; the announcement may be old")
		}
		if c.table != nil && !c.table.HasService(r.Service) && !c.isKnown(&r) {
			return false, result.Errorf(result.BadAnnouncement, "upstream %s announces unknown service %q", r.ID, r.Service)
		}
		c.assignOwner(&r)
		changed, err := c.directory.Announce(c.now(), r)
		if err != nil {
			return false, err
		}
		c.renewed = append(c.renewed, r.Tag())
		c.noteEndedAnnouncement(&r)
		if changed {
			c.log.Info("upstream announced", "upstream", r.ID, "service", r.Service, "address", r.Address, "state", r.State.String(), "born", r.StartMillis, "seq", r.Seq)
		}
		return changed && r.State == directory.Leaving, nil
	})
	if err != nil || r.Domain == c.self.Domain {
		return netip.AddrPort{}, err
	}
	if m, ok := c.peers.inDomain(r.Domain, peerMaxAge); ok {
		nearerAPI = m.API
	}
	return nearerAPI, nil
}

// isKnown reports whether the incarnation of an announcement is known and has not ended. The
// service of one that is known may be missing in the configuration for a while.
func (c *Controller) isKnown(r *directory.Record) bool {
	e := c.directory.Get(r.ID)
	return e != nil && e.StartMillis == r.StartMillis && e.State != directory.Gone
}

// Withdraw ends the incarnation of an upstream that withdraws. The call does not name it: a
// call that arrives late, or is read late, must not end an incarnation that started since.
func (c *Controller) Withdraw(ctx context.Context, id string) (err error) {
	defer func() { c.cfg.Metrics.Call("withdraw", err) }()
	if err := c.calls.begin(); err != nil {
		return err
	}
	defer c.calls.end()
	return c.change(ctx, id, func() (bool, error) {
		if !c.stall.IsOver(c.clock()) {
			return false, result.Errorf(result.NotReady, "the process stood still; the withdrawal may be old")
		}
		return c.withdraw(callConnOf(ctx), id)
	})
}

// withdraw ends the incarnation that withdraws on a connection, and reports whether it did.
func (c *Controller) withdraw(conn *callConn, id string) (ended bool, err error) {
	e := c.directory.Get(id)
	if e == nil {
		c.log.Info("withdrawal of an unknown upstream", "upstream", id)
		return false, nil
	}
	if conn != nil {
		start, announced := conn.incarnation(id)
		switch {
		case announced && start != e.StartMillis:
			c.log.Info("late withdrawal ignored", "upstream", id, "born", start, "current_born", e.StartMillis)
			return false, nil
		case !announced && conn.accepted.Before(c.started.Add(e.Known)):
			c.log.Info("withdrawal rejected: its connection is older than the incarnation", "upstream", id, "born", e.StartMillis, "connection_age", time.Since(conn.accepted).String())
			return false, result.Errorf(result.NotReady, "%s: the withdrawal may be of an earlier incarnation", id)
		}
	}
	if ended = c.directory.Withdraw(c.now(), id, e.StartMillis); ended {
		c.log.Info("upstream withdrew", "upstream", id, "service", e.Service, "address", e.Address, "born", e.StartMillis)
	}
	return ended, nil
}

// change applies a change to an upstream on the control goroutine. A change
// that ends the upstream, also when it is repeated, waits until another
// controller acknowledges it, because balancers must learn of it even if this
// controller fails.
func (c *Controller) change(ctx context.Context, id string, apply func() (ends bool, err error)) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	applied := make(chan error, 1)
	acked := make(chan struct{})
	posted := c.post(func() {
		if ctx.Err() != nil {
			return // the caller has given up and called another controller
		}
		ends, err := apply()
		if err == nil && ends {
			c.shareChanges()
			c.unacked[id] = c.recordsNumber
		}
		number, isUnacked := c.unacked[id]
		if err != nil || !isUnacked || c.links.hasNoPeers() {
			close(acked)
		} else {
			c.ackWaiters[number] = append(c.ackWaiters[number], acked)
		}
		applied <- err
	})
	if !posted {
		return result.Errorf(result.Overloaded, "event queue is full (%d events)", eventQueue)
	}
	select {
	case err := <-applied:
		if err != nil {
			return err
		}
	case <-ctx.Done():
		return result.Errorf(result.OutcomeUnknown, "control goroutine did not apply the change in time")
	}
	select {
	case <-acked:
		return nil
	case <-ctx.Done():
		return result.Errorf(result.OutcomeUnknown, "no other controller acknowledged the change in time")
	}
}
