package raft

import (
	"testing"

	"github.com/shoenig/test/must"

	"heatherport/internal/result"
)

// Figure 8 of the Raft paper: an entry of an earlier term is not committed by
// counting replicas.
func TestEntryOfEarlierTermIsNotCommittedByCounting(t *testing.T) {
	boot := bootstrapped(t, 5)
	boot.HardState.Term = 3
	n := newLeaderNode(t, boot.HardState, append(boot.Entries, Entry{Term: 2, Index: 2}))
	acknowledge := func(index uint64) {
		for _, id := range []string{"vm2", "vm3"} {
			must.NoError(t, n.Step(Message{
				Type: MessageAppendResponse, From: id, To: "vm1", Term: 4, Index: index, Epoch: 1,
			}))
		}
	}
	acknowledge(2)
	must.Eq(t, 1, n.commitIndex)
	acknowledge(3)
	must.Eq(t, 3, n.commitIndex)
}

func TestProposalsAreBounded(t *testing.T) {
	c := newCluster(t, 16, 3, 0)
	c.adjustConfig = func(cfg *Config) { cfg.MaxUncommittedBytes = 1000 }
	for _, id := range c.ids {
		c.boot(c.members[id])
	}
	l := c.elect()
	var err error
	accepted := 0
	for err == nil {
		err = c.propose(l)
		accepted++
	}
	must.Eq(t, result.Overloaded, code(err))
	must.Less(t, 1000/entryOverheadBytes+1, accepted)
	c.settle()
	must.Eq(t, 0, l.node.uncommittedBytes)
	must.NoError(t, c.propose(l))
}

// An unreachable peer is sent heartbeats, and append messages only within the
// limit of MaxInflight, which is 3 here.
func TestUnreachablePeerGetsHeartbeatsOnly(t *testing.T) {
	c := newCluster(t, 17, 3, 0)
	l := c.elect()
	f := c.followers(l)[0]
	c.crash(f, false)
	appends := 0
	for range 100 {
		must.NoError(t, c.propose(l))
		c.process(l)
		for _, m := range c.network {
			if m.To == f.id && m.Type == MessageAppend {
				appends++
			}
		}
		c.run(1)
	}
	must.LessEq(t, 2*3, appends)
	for _, p := range l.node.Status().Progress {
		if p.ID == f.id {
			must.Eq(t, Probe, p.State)
			must.Zero(t, p.Inflight)
		}
	}
}

// A peer that lost its log rejects entries that it had acknowledged. The leader
// must not resend the same message upon each rejection.
func TestPeerThatLostItsLogIsNotFlooded(t *testing.T) {
	c := newCluster(t, 19, 3, 0)
	l := c.elect()
	lost := c.followers(l)[0]
	c.mustCommit(t)
	c.wipe(lost)
	appends := 0
	c.filter = func(m *Message) bool {
		if m.To == lost.id && m.Type == MessageAppend {
			appends++
		}
		return true
	}
	must.NoError(t, c.propose(l))
	c.run(10 * testHeartbeatTicks)
	must.LessEq(t, 2*11, appends)
}

// A lost append message is resent even if no further entry follows it.
func TestLostLastAppendIsResent(t *testing.T) {
	c := newCluster(t, 20, 3, 0)
	l := c.elect()
	f := c.followers(l)[0]
	c.filter = func(m *Message) bool { return m.To != f.id || m.Type != MessageAppend }
	must.NoError(t, c.propose(l))
	c.settle()
	must.Less(t, c.maxCommit, f.applied)
	c.filter = nil
	c.run(3 * testHeartbeatTicks)
	must.Eq(t, c.maxCommit, f.applied)
}

// Proposals between two calls of Ready are sent in one message.
func TestProposalsAreBatched(t *testing.T) {
	boot := bootstrapped(t, 3)
	n := newLeaderNode(t, boot.HardState, boot.Entries)
	must.NoError(t, n.Step(Message{
		Type: MessageAppendResponse, From: "vm2", To: "vm1", Term: n.term, Index: 2, Epoch: 1,
	}))
	drain(n)
	for range 100 {
		_, _, err := n.Propose([]byte("x"))
		must.NoError(t, err)
	}
	rd, ok := n.Ready()
	must.True(t, ok)
	must.Len(t, 100, rd.Entries)
	must.Len(t, 1, rd.Messages)
	must.Len(t, 100, rd.Messages[0].Entries)
}

// A delayed append message must not remove entries appended by a newer one.
func TestReorderedAppendKeepsSuffix(t *testing.T) {
	boot := bootstrapped(t, 3)
	n := newTestNode(t, boot.HardState, boot.Entries)
	appendAfter := func(prev uint64, indexes ...uint64) {
		m := Message{Type: MessageAppend, From: "vm2", To: "vm1", Term: 1, Index: prev, LogTerm: 1}
		for _, i := range indexes {
			m.Entries = append(m.Entries, Entry{Term: 1, Index: i})
		}
		must.NoError(t, n.Step(m))
		drain(n)
	}
	appendAfter(1, 2, 3, 4)
	appendAfter(1, 2)
	must.Eq(t, 4, n.log.lastIndex())
}

// A new leader that does not know where the logs match replaces the long
// uncommitted suffix of a former leader within a few round trips.
func TestConflictBackoff(t *testing.T) {
	c := newCluster(t, 18, 3, 0)
	old := c.elect()
	c.isolate(old.id)
	for range 200 {
		must.NoError(t, c.propose(old))
	}
	c.run(3 * testElectionTicks)
	for range 50 {
		c.mustCommit(t)
	}
	must.NoError(t, c.elect().node.TransferLeadership(""))
	c.settle()
	must.NotEq(t, old, c.elect())
	rejects := 0
	c.filter = func(m *Message) bool {
		if m.Type == MessageAppendResponse && m.Reject {
			rejects++
		}
		return true
	}
	clear(c.blockedLinks)
	c.run(testElectionTicks)
	must.Eq(t, c.maxCommit, old.applied)
	must.LessEq(t, 3, rejects)
}
