package controller

import (
	"time"

	"heatherport/internal/result"
	"heatherport/internal/version/raft"
	"heatherport/internal/version/register"
)

// proposal is an entry in the log with a caller that waits for the outcome.
type proposal struct {
	index, term uint64
	done        func(accepted bool)
}

// read is a linearizable read that waits for its index to be applied.
type read struct {
	index uint64 // zero until leadership is confirmed
	since time.Time
	// done is called with the state, or with nil if it cannot be confirmed. It must
	// not keep the state.
	done func(state *register.Register)
}

// failProposals reports an unknown outcome for all pending proposals.
func (c *consensus) failProposals() {
	waiting := c.proposals
	c.proposals = nil
	for _, p := range waiting {
		p.done(false)
	}
}

// propose appends an encoded entry to the log if this member leads. done is
// called with the outcome; false means that it is unknown.
func (c *consensus) propose(data []byte, done func(accepted bool)) {
	ok := c.post(func() {
		if err := c.checkVoterCount(); err != nil {
			c.cfg.Log.Info("failed to propose entry", "error", err)
			done(false)
			return
		}
		if err := c.ensureLevel(register.Requires(data)); err != nil {
			c.cfg.Log.Info("failed to propose entry", "error", err)
			done(false)
			return
		}
		index, term, err := c.replica.Propose(data)
		if err != nil {
			c.cfg.Log.Info("failed to propose entry", "error", err)
			done(false)
			return
		}
		c.proposals = append(c.proposals, proposal{index: index, term: term, done: done})
	})
	if !ok {
		done(false)
	}
}

// checkVoterCount rejects documents on a new leader while the group has fewer
// voters than it needs to tolerate the configured losses and more are about to
// join.
func (c *consensus) checkVoterCount() error {
	if c.replica == nil {
		return result.Errorf(result.NotReady, "replicated log is not open")
	}
	s := c.replica.Status()
	if s.SoftState.Role != raft.Leader {
		return result.Errorf(result.NoLeader, "not the leader; the leader is %q", s.SoftState.Leader)
	}
	if have, want := len(s.Config.Voters), voterTarget(c.cfg.ToleratedDiskLosses); have < want && time.Since(c.leaderSince) < bootstrapWait {
		return result.Errorf(result.NotReady, "group has %d of %d voters", have, want)
	}
	return nil
}

// readLatest calls done with the state, once it is confirmed that it holds all that
// was acknowledged before the call.
func (c *consensus) readLatest(done func(state *register.Register)) {
	ok := c.post(func() {
		if c.replica == nil {
			done(nil)
			return
		}
		c.nextRead++
		if err := c.replica.ReadIndex(c.nextRead); err != nil {
			done(nil)
			return
		}
		c.reads[c.nextRead] = read{since: time.Now(), done: done}
	})
	if !ok {
		done(nil)
	}
}

func (c *consensus) confirmRead(s raft.ReadState) {
	if r, ok := c.reads[s.Context]; ok {
		r.index = max(s.Index, 1)
		c.reads[s.Context] = r
	}
}

func (c *consensus) answerReads() {
	for context, r := range c.reads {
		if r.index != 0 && r.index <= c.register.Index() {
			delete(c.reads, context)
			r.done(&c.register)
		}
	}
}

// expireReads fails reads that were not confirmed within callTimeout.
func (c *consensus) expireReads() {
	for context, r := range c.reads {
		if time.Since(r.since) > callTimeout {
			delete(c.reads, context)
			r.done(nil)
		}
	}
}

func (c *consensus) failReads() {
	reads := c.reads
	c.reads = make(map[uint64]read)
	for _, r := range reads {
		r.done(nil)
	}
}
