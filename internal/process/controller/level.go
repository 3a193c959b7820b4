package controller

import (
	"slices"

	"heatherport/internal/result"
	"heatherport/internal/version/register"
)

// ensureLevel sees to it that an entry of a feature level may follow in the log: it
// proposes to raise the level in force if all members of the group speak the higher one.
// The level is raised only when it is needed: until then all may be rolled back.
func (c *consensus) ensureLevel(level uint64) error {
	if level <= c.register.Level() {
		return nil
	}
	s := c.replica.Status()
	if common := c.newPlan(&s).commonLevel(); common < level {
		return result.Errorf(result.NotReady, "entry needs feature level %d; the members of the group speak %d", level, common)
	}
	data, err := register.EncodeRaise(level)
	if err != nil {
		return err
	}
	if _, _, err := c.replica.Propose(data); err != nil {
		return err
	}
	c.cfg.Log.Info("feature level proposed", "level", level, "in_force", c.register.Level())
	return nil
}

// commonLevel returns the highest level that all voters and learners speak. A member that
// has not been heard of speaks none.
func (p *plan) commonLevel() uint64 {
	level := uint64(register.FeatureLevel)
	for _, id := range slices.Concat(p.config.Voters, p.config.Learners) {
		member, ok := p.controllers[id]
		if !ok || member.inactivity > voterTimeout {
			return 0
		}
		level = min(level, member.Level)
	}
	return level
}
