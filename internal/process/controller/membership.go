package controller

import (
	"time"

	"heatherport/internal/version/raft"
)

// planMembership proposes the next change of the membership if this controller
// is the leader.
func (c *consensus) planMembership() {
	if c.replica == nil || c.soft.Role != raft.Leader || time.Since(c.lastPlan) < membershipInterval {
		return
	}
	c.lastPlan = time.Now()
	s := c.replica.Status()
	if s.ConfigPending || s.Transferee != "" {
		return
	}
	p := c.newPlan(&s)
	change, ok := p.nextChange()
	if !ok {
		return
	}
	if _, err := c.replica.ProposeConfig(change); err != nil {
		c.cfg.Log.Debug("voter change rejected", "member", change.ID, "error", err)
		return
	}
	c.cfg.Log.Info("voter change proposed", "change", changeNames[change.Kind], "member", change.ID, "voters", s.Config.Voters, "learners", s.Config.Learners)
}

// newPlan returns what this leader knows of the group and of other controllers.
func (c *consensus) newPlan(s *raft.Status) *plan {
	p := &plan{
		self: s.ID, config: s.Config, last: s.LastIndex, toleratedDiskLosses: c.cfg.ToleratedDiskLosses, level: c.register.Level(),
		progress: make(map[string]raft.ProgressStatus, len(s.Progress)), controllers: c.cfg.Controllers(),
	}
	self := c.cfg.Self
	self.ID = s.ID
	p.controllers[s.ID] = candidate{Member: self}
	for _, progress := range s.Progress {
		p.progress[progress.ID] = progress
	}
	return p
}

var changeNames = map[raft.ChangeKind]string{
	raft.AddLearner:     "add learner",
	raft.PromoteLearner: "promote learner",
	raft.RemoveMember:   "remove",
}
