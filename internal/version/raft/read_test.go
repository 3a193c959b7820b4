package raft

import (
	"testing"

	"github.com/shoenig/test/must"
)

// The lease ends LeaseMarginTicks before voters may grant votes again.
func TestLeaseExpiresBeforeElectionTimeout(t *testing.T) {
	c := newCluster(t, 22, 3, 0)
	l := c.elect()
	c.isolate(l.id)
	for range testElectionTicks - testMarginTicks {
		l.node.Tick()
	}
	must.Eq(t, Leader, l.node.role)
	must.False(t, l.node.isLeaseValid())
}

// A new leader's commit index may be lower than that of the group, so a read must
// wait for the first entry of its term.
func TestReadIndexCoversEarlierTerms(t *testing.T) {
	boot := bootstrapped(t, 3)
	n := newLeaderNode(t, boot.HardState, append(boot.Entries, Entry{Term: 1, Index: 2}))
	must.NoError(t, n.ReadIndex(7))
	drain(n)
	must.NoError(t, n.Step(Message{
		Type: MessageHeartbeatResponse, From: "vm2", To: "vm1", Term: n.term,
		Round: n.round, SentTick: n.tick, Epoch: 1,
	}))
	rd, ok := n.Ready()
	must.True(t, ok)
	must.Eq(t, []ReadState{{Context: 7, Index: 3}}, rd.ReadStates)
}

func TestReadWithoutLeaseNeedsRound(t *testing.T) {
	c := newCluster(t, 13, 3, 0)
	c.adjustConfig = func(cfg *Config) { cfg.DisableLeaseReads = true }
	for _, id := range c.ids {
		c.boot(c.members[id])
	}
	l := c.elect()
	c.read(l)
	c.process(l)
	must.Eq(t, 0, c.readsDone)
	c.settle()
	must.Eq(t, 1, c.readsDone)
	c.isolate(l.id)
	c.read(l)
	c.run(testElectionTicks / 2)
	must.Eq(t, 1, c.readsDone)
}

func TestFollowerReads(t *testing.T) {
	c := newCluster(t, 14, 3, 0)
	f := c.followers(c.elect())[0]
	c.read(f)
	c.settle()
	must.Eq(t, 1, c.readsDone)
}
