package control

import (
	"slices"
	"time"

	"heatherport/internal/process/audit"
	"heatherport/internal/process/link"
	"heatherport/internal/request/api"
	"heatherport/internal/version"
	"heatherport/internal/version/raft"
	"heatherport/internal/version/roster"
	"heatherport/internal/version/state"
)

// voterChangeInterval is the time between two attempts to promote a learner.
const voterChangeInterval = time.Second

// leaderState is the state of a leader: the roster, and the proposals whose entry
// is not applied yet. It is discarded when leadership ends.
type leaderState struct {
	term          uint64
	roster        *roster.Roster
	ready         bool // an entry of this term is applied, so the state is up to date
	proposals     []proposal
	attempts      []memberAttempt
	lastVoterTick time.Duration
}

// proposal is a proposed log entry whose outcome is awaited.
type proposal struct {
	index, term uint64
	done        func(*state.Outcome) // called with nil if the entry was lost
}

// memberAttempt prevents a second proposal about the same incarnation of a
// member until the first has had time to be applied.
type memberAttempt struct {
	name        string
	incarnation uint64
	until       time.Duration
}

// setSoftState handles a change of Raft's role, leader or term.
func (c *Controller) setSoftState(s raft.SoftState) {
	if s == c.softState {
		return
	}
	c.log.Info("leadership changed", "role", s.Role, "leader", s.Leader, "term", s.Term)
	if s.Leader != c.softState.Leader {
		c.record(audit.Record{Who: s.Leader, Kind: api.AuditLeadership, Subject: "leader", Before: c.softState.Leader, After: s.Leader})
	}
	c.softState = s
	leads := s.Role == raft.Leader
	if c.leader != nil && (!leads || c.leader.term != s.Term) {
		c.stepDown()
	}
	if leads && c.leader == nil {
		c.leader = &leaderState{term: s.Term, roster: roster.New()}
	}
}

// stepDown ends leadership. Pending proposals finish with an unknown outcome.
func (c *Controller) stepDown() {
	proposals := c.leader.proposals
	c.leader = nil
	for _, p := range proposals {
		p.done(nil)
	}
}

// resolveProposal finishes the proposal at index, if any, with its outcome. The
// first entry of the leader's term makes the leader ready.
func (c *Controller) resolveProposal(index, term uint64, o *state.Outcome) {
	l := c.leader
	if l == nil {
		return
	}
	if !l.ready && term == l.term {
		l.ready = true
		l.roster.Reset(c.now(), c.machine.Version())
		c.announceLeadership(c.machine.Version())
	}
	i := slices.IndexFunc(l.proposals, func(p proposal) bool { return p.index == index })
	if i < 0 {
		return
	}
	p := l.proposals[i]
	l.proposals = slices.Delete(l.proposals, i, i+1)
	if p.term != term {
		o = nil
	}
	p.done(o)
}

// propose appends a command to the log and calls done with its outcome, or
// with nil when the entry was lost or leadership ended before it was applied.
func (c *Controller) propose(cmd state.Command, done func(*state.Outcome)) error {
	data, err := state.EncodeCommand(cmd)
	if err != nil {
		return err
	}
	index, term, err := c.replica.Propose(data)
	if err != nil {
		return err
	}
	if done != nil {
		c.leader.proposals = append(c.leader.proposals, proposal{index: index, term: term, done: done})
	}
	return nil
}

// tickLeader advances the roster and proposes the commands that it returns.
func (c *Controller) tickLeader(now time.Duration) {
	l := c.leader
	if l == nil || !l.ready {
		return
	}
	for _, cmd := range l.roster.Tick(now, c.machine.Version()) {
		if err := c.propose(cmd, nil); err != nil {
			c.log.Debug("failed to propose command", "error", err)
			return
		}
	}
	c.tickVoters(now)
}

// handleHeartbeat processes the heartbeat of a VM and returns the lease in
// milliseconds.
func (l *leaderState) handleHeartbeat(c *Controller, hb *heartbeat) uint32 {
	now := c.now()
	if !l.ready {
		return 0
	}
	if hb.LogMissing {
		c.restoreVoter(hb.Roster.Name)
	}
	v := c.machine.Version()
	m := v.MemberByID(hb.Roster.Member)
	if m == nil || m.Incarnation != hb.Roster.Incarnation {
		l.proposeJoin(c, hb, now)
		return 0
	}
	if hb.Leaving && m.State != version.MemberLeaving && l.startAttempt(now, hb) {
		c.proposeOrLog(state.Command{LeaveMember: &state.LeaveMember{ID: m.ID}})
	}
	if hb.Drained && l.startAttempt(now, hb) {
		c.proposeOrLog(state.Command{RemoveMember: &state.RemoveMember{ID: m.ID, Cause: state.CauseRequested}})
	}
	return uint32(l.roster.Heartbeat(now, &hb.Roster).Lease / time.Millisecond)
}

// proposeJoin proposes to add the sender of hb as a member.
func (l *leaderState) proposeJoin(c *Controller, hb *heartbeat, now time.Duration) {
	if hb.Self == nil || hb.Leaving || !l.startAttempt(now, hb) {
		return
	}
	c.proposeOrLog(joinCommand(hb))
}

// startAttempt reports whether a command about the sender of hb may be proposed
// now, and if so records the attempt.
func (l *leaderState) startAttempt(now time.Duration, hb *heartbeat) bool {
	l.attempts = slices.DeleteFunc(l.attempts, func(a memberAttempt) bool { return now >= a.until })
	for _, a := range l.attempts {
		if a.name == hb.Roster.Name && a.incarnation == hb.Roster.Incarnation {
			return false
		}
	}
	l.attempts = append(l.attempts, memberAttempt{
		name:        hb.Roster.Name,
		incarnation: hb.Roster.Incarnation,
		until:       now + heartbeatInterval,
	})
	return true
}

func (c *Controller) proposeOrLog(cmd state.Command) {
	if err := c.propose(cmd, nil); err != nil {
		c.log.Debug("failed to propose command", "error", err)
	}
}

// restoreVoter proposes the next step to restore a voter that lost its log. The
// voter is removed, added as a learner and, once it has caught up, promoted.
// Only VMs that the settings list as voters are restored.
func (c *Controller) restoreVoter(name string) {
	status := c.replica.Status()
	if status.ConfigPending || !slices.Contains(c.cfg.Voters, name) {
		return
	}
	switch {
	case status.Config.IsVoter(name):
		c.proposeVoterChange(raft.ConfigChange{Kind: raft.RemoveMember, ID: name})
	case !status.Config.IsLearner(name):
		c.proposeVoterChange(raft.ConfigChange{Kind: raft.AddLearner, ID: name})
	}
}

// tickVoters promotes learners that have caught up.
func (c *Controller) tickVoters(now time.Duration) {
	l := c.leader
	if now-l.lastVoterTick < voterChangeInterval {
		return
	}
	l.lastVoterTick = now
	status := c.replica.Status()
	if status.ConfigPending {
		return
	}
	for _, id := range status.Config.Learners {
		if c.proposeVoterChange(raft.ConfigChange{Kind: raft.PromoteLearner, ID: id}) {
			return
		}
	}
}

// proposeVoterChange proposes change and reports whether it was accepted into
// the log.
func (c *Controller) proposeVoterChange(change raft.ConfigChange) bool {
	if _, err := c.replica.ProposeConfig(change); err != nil {
		c.log.Debug("voter change rejected", "voter", change.ID, "error", err)
		return false
	}
	c.log.Info("voter change proposed", "change", changeName(change.Kind), "voter", change.ID)
	c.recordVoterChange(change)
	return true
}

func (c *Controller) recordVoterChange(change raft.ConfigChange) {
	c.record(audit.Record{Who: c.cfg.Name, Kind: api.AuditMember, Subject: "voter " + change.ID, After: changeName(change.Kind)})
}

func changeName(k raft.ChangeKind) string {
	switch k {
	case raft.AddLearner:
		return "learner added"
	case raft.PromoteLearner:
		return "learner promoted"
	}
	return "removed"
}

// receiveRaft passes a Raft message to the replica.
func (c *Controller) receiveRaft(m link.Message) {
	var msg raft.Message
	if c.replica == nil || !decode(m.Body, &msg) || msg.From != m.From {
		return
	}
	if err := c.replica.Step(msg); err != nil && c.replica.Err() == nil {
		c.log.Debug("raft message rejected", "from", m.From, "error", err)
	}
}
