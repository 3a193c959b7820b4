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

// voterRetry is the time between two steps of re-adding a voter.
const voterRetry = time.Second

// leadership is what lives while this VM leads: the roster, and the proposals
// that wait for their entry to be applied.
type leadership struct {
	term    uint64
	roster  *roster.Roster
	ready   bool // an entry of this term is applied: the state is up to date
	waiting []proposal
	joining []joinAttempt
	voterAt time.Duration
}

// proposal is an entry in the log whose outcome somebody waits for.
type proposal struct {
	index, term uint64
	done        func(*state.Outcome) // nil: the entry was lost
}

// joinAttempt guards against proposing the same member twice.
type joinAttempt struct {
	name        string
	incarnation uint64
	until       time.Duration
}

// setSoft follows changes of leadership.
func (c *Controller) setSoft(s raft.SoftState) {
	if s == c.soft {
		return
	}
	c.log.Info("leadership", "role", s.Role, "leader", s.Leader, "term", s.Term)
	if s.Leader != c.soft.Leader {
		c.record(audit.Record{Who: s.Leader, Kind: api.AuditLeadership, Subject: "leader", Before: c.soft.Leader, After: s.Leader})
	}
	c.soft = s
	leads := s.Role == raft.Leader
	if c.leader != nil && (!leads || c.leader.term != s.Term) {
		c.resign()
	}
	if leads && c.leader == nil {
		c.leader = &leadership{term: s.Term, roster: roster.New()}
	}
}

// resign ends leadership. The outcome of waiting proposals is unknown.
func (c *Controller) resign() {
	waiting := c.leader.waiting
	c.leader = nil
	for _, p := range waiting {
		p.done(nil)
	}
}

// committed tells the proposal at index, if any, its outcome.
func (c *Controller) committed(index, term uint64, o *state.Outcome) {
	l := c.leader
	if l == nil {
		return
	}
	if !l.ready && term == l.term {
		l.ready = true
		l.roster.Reset(c.now(), c.machine.Version())
		c.announceLeadership(c.machine.Version())
	}
	i := slices.IndexFunc(l.waiting, func(p proposal) bool { return p.index == index })
	if i < 0 {
		return
	}
	p := l.waiting[i]
	l.waiting = slices.Delete(l.waiting, i, i+1)
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
		c.leader.waiting = append(c.leader.waiting, proposal{index: index, term: term, done: done})
	}
	return nil
}

// tickLeader lets the roster decide and proposes what it decided.
func (c *Controller) tickLeader(now time.Duration) {
	l := c.leader
	if l == nil || !l.ready {
		return
	}
	for _, cmd := range l.roster.Tick(now, c.machine.Version()) {
		if err := c.propose(cmd, nil); err != nil {
			c.log.Debug("proposal refused", "error", err)
			return
		}
	}
	c.tickVoters(now)
}

// heartbeat takes the heartbeat of a VM and returns the lease in milliseconds.
func (l *leadership) heartbeat(c *Controller, hb *heartbeat) uint32 {
	now := c.now()
	if !l.ready {
		return 0
	}
	if hb.Vacant {
		c.replaceVacant(hb.Roster.Name)
	}
	v := c.machine.Version()
	m := v.MemberByID(hb.Roster.Member)
	if m == nil || m.Incarnation != hb.Roster.Incarnation {
		l.join(c, hb, now)
		return 0
	}
	if hb.Leaving && m.State != version.MemberLeaving && l.attempt(now, hb) {
		c.proposeOrLog(state.Command{LeaveMember: &state.LeaveMember{ID: m.ID}})
	}
	if hb.Drained && l.attempt(now, hb) {
		c.proposeOrLog(state.Command{RemoveMember: &state.RemoveMember{ID: m.ID, Cause: state.CauseRequested}})
	}
	return uint32(l.roster.Heartbeat(now, &hb.Roster).Lease / time.Millisecond)
}

// join proposes the sender of hb as a member.
func (l *leadership) join(c *Controller, hb *heartbeat, now time.Duration) {
	if hb.Self == nil || hb.Leaving || !l.attempt(now, hb) {
		return
	}
	c.proposeOrLog(joinCommand(hb))
}

// attempt reports whether a command about the sender of hb is due, and notes
// that it is being made.
func (l *leadership) attempt(now time.Duration, hb *heartbeat) bool {
	l.joining = slices.DeleteFunc(l.joining, func(j joinAttempt) bool { return now >= j.until })
	for _, j := range l.joining {
		if j.name == hb.Roster.Name && j.incarnation == hb.Roster.Incarnation {
			return false
		}
	}
	l.joining = append(l.joining, joinAttempt{
		name:        hb.Roster.Name,
		incarnation: hb.Roster.Incarnation,
		until:       now + heartbeatInterval,
	})
	return true
}

func (c *Controller) proposeOrLog(cmd state.Command) {
	if err := c.propose(cmd, nil); err != nil {
		c.log.Debug("proposal refused", "error", err)
	}
}

// replaceVacant brings a voter that lost its log back: it is removed, added as
// a learner and, once it has caught up, promoted. Only VMs that the settings
// list as voters are brought back.
func (c *Controller) replaceVacant(name string) {
	status := c.replica.Status()
	if status.ConfigPending || !slices.Contains(c.cfg.Voters, name) {
		return
	}
	switch {
	case status.Config.IsVoter(name):
		c.changeVoter(raft.ConfigChange{Kind: raft.RemoveMember, ID: name})
	case !status.Config.IsLearner(name):
		c.changeVoter(raft.ConfigChange{Kind: raft.AddLearner, ID: name})
	}
}

// tickVoters brings learners that have caught up into the voters.
func (c *Controller) tickVoters(now time.Duration) {
	l := c.leader
	if now-l.voterAt < voterRetry {
		return
	}
	l.voterAt = now
	status := c.replica.Status()
	if status.ConfigPending {
		return
	}
	for _, id := range status.Config.Learners {
		if c.changeVoter(raft.ConfigChange{Kind: raft.PromoteLearner, ID: id}) {
			return
		}
	}
}

// changeVoter proposes a change and reports whether that was possible.
func (c *Controller) changeVoter(change raft.ConfigChange) bool {
	if _, err := c.replica.ProposeConfig(change); err != nil {
		c.log.Debug("voter change not possible yet", "voter", change.ID, "error", err)
		return false
	}
	c.log.Info("voter change proposed", "change", changeName(change.Kind), "voter", change.ID)
	c.recordVoter(change)
	return true
}

func (c *Controller) recordVoter(change raft.ConfigChange) {
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

// receiveRaft hands a message to the replica.
func (c *Controller) receiveRaft(m link.Message) {
	var msg raft.Message
	if c.replica == nil || !decode(m.Body, &msg) || msg.From != m.From {
		return
	}
	if err := c.replica.Step(msg); err != nil && c.replica.Err() == nil {
		c.log.Debug("raft message refused", "from", m.From, "error", err)
	}
}
