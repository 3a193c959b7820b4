package control

import (
	"time"

	"heatherport/internal/process/audit"
	"heatherport/internal/process/link"
	"heatherport/internal/request/api"
	"heatherport/internal/result"
	"heatherport/internal/version/feed"
	"heatherport/internal/version/raft"
	"heatherport/internal/version/state"
)

// feedStateMachine applies the entries and snapshots of a feed.Sink to a
// controller.
type feedStateMachine struct{ c *Controller }

// ApplyEntry implements feed.StateMachine.
func (t feedStateMachine) ApplyEntry(e feed.Entry) error { return t.c.applyEntry(e, 0) }

// Install implements feed.StateMachine.
func (t feedStateMachine) Install(_ uint64, data []byte) error { return t.c.install(data) }

// Position implements feed.StateMachine.
func (t feedStateMachine) Position() (index, digest uint64) {
	return t.c.machine.Index(), t.c.machine.Digest()
}

// process handles the output of the replica and publishes a changed version.
func (c *Controller) process() {
	if c.replica != nil {
		c.processReplica()
	}
	c.publish()
}

func (c *Controller) processReplica() {
	alreadyFailed := c.replica.Err() != nil
	out, err := c.replica.Process()
	if err != nil {
		c.handleStorageError(alreadyFailed, err)
		return
	}
	for _, m := range out.Messages {
		c.cfg.Links.Send(m.To, link.KindRaft, encode(m))
	}
	if out.Snapshot != nil {
		if err := c.restore(out.Snapshot); err != nil {
			c.log.Error("failed to restore snapshot", "index", out.Snapshot.Index, "error", err)
		}
	}
	if out.SoftState.Role == raft.Leader {
		// Set the leader state first: the committed entries may include the first
		// of the new term.
		c.setSoftState(out.SoftState)
	}
	for _, e := range out.Committed {
		c.applyCommitted(e)
	}
	c.reads.confirm(out.ReadStates)
	c.setSoftState(out.SoftState)
	c.reads.complete(c)
	c.compact()
}

// handleStorageError gives up leadership. The VM continues as a balancer without a vote
// until the data folder can be written again.
func (c *Controller) handleStorageError(alreadyFailed bool, err error) {
	if alreadyFailed {
		return
	}
	c.log.Error("replicated log failed; this VM does not vote until it is open again", "error", err)
	c.reopenDue = c.now() + reopenInterval
	c.record(audit.Record{Kind: api.AuditLeadership, Subject: c.cfg.Name, Cause: "storage", After: "no vote", Code: result.CodeOf(err)})
	c.setSoftState(raft.SoftState{Term: c.softState.Term})
}

// applyCommitted applies a committed log entry.
func (c *Controller) applyCommitted(e raft.Entry) {
	c.raftApplied = e.Index
	if e.Kind != raft.EntryCommand || e.Index <= c.machine.Index() {
		c.resolveProposal(e.Index, e.Term, nil)
		return
	}
	if err := c.applyEntry(feed.Entry{Index: e.Index, Data: e.Data}, e.Term); err != nil {
		c.log.Error("invalid log entry skipped", "index", e.Index, "error", err)
	}
}

// applyEntry applies one entry to the state machine, forwards it to the
// subscribers of the feed and resolves the proposal that waits for it.
func (c *Controller) applyEntry(e feed.Entry, term uint64) error {
	cmd, err := state.DecodeCommand(e.Data)
	if err != nil {
		// All replicas apply the same empty command in place of an entry that
		// cannot be decoded.
		cmd = state.Command{}
	}
	outcome := c.machine.Apply(e.Index, cmd)
	for _, out := range c.source.Publish(c.now(), e, c.machine.Digest()) {
		c.sendFeed(out)
	}
	c.auditOutcome(&outcome)
	c.resolveProposal(e.Index, term, &outcome)
	return err
}

// install replaces the state with a snapshot.
func (c *Controller) install(data []byte) error {
	if err := c.machine.Restore(data); err != nil {
		return err
	}
	c.source.Reset(c.machine.Index(), c.machine.Digest())
	c.log.Info("state restored from a snapshot", "index", c.machine.Index())
	return nil
}

// publish makes the newest version available to the traffic goroutines.
func (c *Controller) publish() {
	prev := c.published.Load()
	if prev != nil && prev.Index == c.machine.Index() || c.machine.Index() == 0 {
		return
	}
	v := c.machine.Version()
	c.updateSelf(v)
	c.cfg.Engine.Publish(c.now(), v)
	c.published.Store(v)
	c.setPeers(v)
	c.prober.setVersion(v, c.self)
	c.heartbeatDue = min(c.heartbeatDue, c.now()+heartbeatDelay)
}

// compact takes a snapshot once the log has grown by compactionInterval
// entries. It waits while entries from a feed have advanced the state beyond
// raftApplied, because the snapshot must hold the state at that index.
func (c *Controller) compact() {
	if c.raftApplied < c.compactedIndex+compactionInterval || c.machine.Index() > c.raftApplied {
		return
	}
	if err := c.replica.Compact(c.raftApplied, c.machine.Snapshot()); err != nil {
		c.log.Error("failed to compact replicated log", "error", err)
		return
	}
	c.compactedIndex = c.raftApplied
}

// receiveFeed handles a message of the feed.
func (c *Controller) receiveFeed(m link.Message) {
	var msg feed.Message
	if !decode(m.Body, &msg) {
		return
	}
	if msg.Position != nil {
		c.sendMissing(m.From, *msg.Position)
		return
	}
	if c.voting() {
		return
	}
	progressed, err := c.sink.Receive(msg)
	if err != nil {
		c.log.Error("failed to apply feed message", "from", m.From, "error", err)
	}
	if progressed {
		position := c.sink.Position()
		c.cfg.Links.Send(m.From, link.KindFeed, encode(feed.Message{Position: &position}))
	}
}

// sendMissing sends the entries or the snapshot chunk that the VM called to
// needs after position p.
func (c *Controller) sendMissing(to string, p feed.Position) {
	for _, out := range c.source.HandlePosition(c.now(), to, p) {
		c.sendFeed(out)
	}
}

func (c *Controller) sendFeed(out feed.Outgoing) {
	kind := link.KindFeed
	if out.Message.Chunk != nil {
		kind = link.KindSnapshot
	}
	c.cfg.Links.Send(out.To, kind, encode(out.Message))
}

// voting reports whether this VM is a voter whose state comes from its replica
// of the log and not from a feed.
func (c *Controller) voting() bool {
	return c.replica != nil && c.replica.Err() == nil && c.replica.Status().Joined
}

// auditOutcome appends the changes of one command to the audit trail.
func (c *Controller) auditOutcome(o *state.Outcome) {
	for _, change := range o.Changes {
		c.record(audit.Record{
			Who:     change.Actor,
			Kind:    auditKind(change.Kind),
			Subject: change.Kind.String() + " " + change.Subject,
			Cause:   change.Cause.String(),
			Before:  change.Before,
			After:   change.After,
			Code:    o.Code,
			Index:   o.Index,
		})
	}
}

func (c *Controller) record(r audit.Record) {
	r.Time = time.Now().UTC()
	r.VM = c.cfg.Name
	c.cfg.Audit.Append(r)
}

func auditKind(k state.ChangeKind) api.AuditKind {
	switch k {
	case state.SheetAccepted, state.ServiceAdded, state.ServiceChanged, state.ServiceRetired, state.ServiceRemoved:
		return api.AuditSheet
	case state.MemberJoined, state.MemberChanged, state.MemberRemoved:
		return api.AuditMember
	case state.UpstreamRegistered, state.UpstreamChanged, state.UpstreamRemoved:
		return api.AuditRoster
	default:
		return api.AuditPlacement
	}
}
