package control

import (
	"context"
	"time"

	"heatherport/internal/result"
	"heatherport/internal/version/raft"
)

// leavePollInterval is the interval at which the progress of a stop is checked.
const leavePollInterval = 50 * time.Millisecond

// Drain hands over the connections that this VM owns. When it returns nil, only
// packets that the fabric still sends to this VM depend on it. The VM relays
// them as a member until EndMembership. Drain returns an error if ctx ends first.
func (c *Controller) Drain(ctx context.Context) error {
	start := func() {
		c.leaving = true
		c.cfg.Engine.Drain()
		c.heartbeatDue = c.now()
	}
	return c.pollUntil(ctx, start, func() bool {
		return c.self == 0 || c.cfg.Engine.Drained()
	})
}

// EndMembership ends the membership of this VM and transfers leadership. It
// returns an error if ctx ends first; the leader then removes the VM once its
// lease has lapsed.
func (c *Controller) EndMembership(ctx context.Context) error {
	start := func() {
		c.drained = true
		c.heartbeatDue = c.now()
	}
	return c.pollUntil(ctx, start, func() bool { return c.self == 0 && c.transferLeadership() })
}

// pollUntil runs start once and then polls done until it returns true, all on
// the control goroutine.
func (c *Controller) pollUntil(ctx context.Context, start func(), done func() bool) error {
	if err := c.runAndWait(ctx, start); err != nil {
		return err
	}
	ticker := time.NewTicker(leavePollInterval)
	defer ticker.Stop()
	for {
		var ok bool
		if err := c.runAndWait(ctx, func() { ok = done() }); err != nil {
			return err
		}
		if ok {
			return nil
		}
		select {
		case <-ctx.Done():
			return result.Errorf(result.NoLeader, "no leader removed this VM in time")
		case <-ticker.C:
		}
	}
}

// transferLeadership transfers leadership to another voter. It reports whether
// this VM no longer leads or has no possible successor.
func (c *Controller) transferLeadership() bool {
	if c.leader == nil || c.softState.Role != raft.Leader {
		return true
	}
	if len(c.replica.Status().Config.Voters) < 2 {
		return true
	}
	if err := c.replica.TransferLeadership(""); err != nil {
		c.log.Debug("cannot transfer leadership yet", "error", err)
	}
	return false
}

// Discard closes a controller that was never started.
func (c *Controller) Discard() {
	c.cancel()
	c.closeReplica()
}
