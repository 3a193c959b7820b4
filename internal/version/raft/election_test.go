package raft

import (
	"testing"

	"github.com/shoenig/test/must"

	"heatherport/internal/result"
)

func TestIsolatedVoterDoesNotDisruptOnReturn(t *testing.T) {
	c := newCluster(t, 1, 3, 0)
	l := c.elect()
	term := l.node.term
	f := c.followers(l)[0]
	c.isolate(f.id)
	for range 20 {
		c.mustCommit(t)
		c.run(testElectionTicks)
	}
	must.Eq(t, term, f.node.term)
	must.Eq(t, PreCandidate, f.node.role)
	clear(c.blockedLinks)
	c.run(3 * testElectionTicks)
	must.Eq(t, l, c.leader())
	must.Eq(t, term, l.node.term)
	must.Eq(t, c.maxCommit, f.applied)
}

// TestIsolatedLeaderDoesNotDisruptOnReturn checks in simulated time that a former
// leader that returns after a partition changes neither the term nor the
// leader.
func TestIsolatedLeaderDoesNotDisruptOnReturn(t *testing.T) {
	for seed := range uint64(200) {
		c := newCluster(t, seed, 3, 0)
		old := c.elect()
		c.mustCommit(t)
		c.isolate(old.id)
		c.run(4 * testElectionTicks)
		next := c.leader()
		must.NotNil(t, next, must.Sprintf("seed %d", seed))
		must.NotEq(t, old.id, next.id)
		term := next.node.term
		must.ErrorContains(t, c.propose(old), "in term")
		for range 3 {
			c.mustCommit(t)
			c.run(testElectionTicks)
		}
		clear(c.blockedLinks)
		for range 6 * testElectionTicks {
			c.run(1)
			must.Eq(t, Leader, next.node.role, must.Sprintf("seed %d", seed))
			must.Eq(t, term, next.node.term, must.Sprintf("seed %d", seed))
		}
		must.Eq(t, Follower, old.node.role)
		must.Eq(t, term, old.node.term)
		must.Eq(t, c.maxCommit, old.applied)
	}
}

func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	c := newCluster(t, 2, 3, 0)
	l := c.elect()
	c.isolate(l.id)
	c.run(testElectionTicks)
	must.NotEq(t, Leader, l.node.role)
	must.Eq(t, result.NoLeader, code(c.propose(l)))
}

// TestRestartedVoterWaitsBeforeItVotes guards against a voter that ends a lease
// early: after a restart it does not know when it last had contact to a leader.
func TestRestartedVoterWaitsBeforeItVotes(t *testing.T) {
	boot := bootstrapped(t, 3)
	n := newTestNode(t, boot.HardState, boot.Entries)
	request := Message{Type: MessageVote, From: "vm2", To: "vm1", Term: 2, Index: 1, LogTerm: 1}
	must.NoError(t, n.Step(request))
	must.Eq(t, "", n.vote)
	for range testElectionTicks {
		n.Tick()
	}
	must.NoError(t, n.Step(request))
	must.Eq(t, "vm2", n.vote)
}

// TestOwnVoteCountsOnceDurable guards against two leaders in a term: the only
// voter became leader before its vote was durable, lost the vote in a crash and
// then voted for another node in the same term (TestLongRuns, seed 1022).
func TestOwnVoteCountsOnceDurable(t *testing.T) {
	boot := bootstrapped(t, 1)
	n := newTestNode(t, boot.HardState, boot.Entries)
	n.startElection(false)
	must.Eq(t, Candidate, n.role)
	_, ok := n.Ready()
	must.True(t, ok)
	n.Advance()
	must.Eq(t, Leader, n.role)
}

// TestStaleLeaderReceivesNewerTerm checks that a node with a newer term responds
// to a leader of an older one. Otherwise the node could not rejoin the group.
func TestStaleLeaderReceivesNewerTerm(t *testing.T) {
	boot := bootstrapped(t, 3)
	boot.HardState.Term = 5
	n := newTestNode(t, boot.HardState, boot.Entries)
	must.NoError(t, n.Step(Message{Type: MessageHeartbeat, From: "vm2", To: "vm1", Term: 4}))
	out := drain(n)
	must.Len(t, 1, out)
	must.Eq(t, 5, out[0].Term)
	must.Eq(t, "vm2", out[0].To)
}

func TestResponseFromNonMemberDoesNotEndTerm(t *testing.T) {
	boot := bootstrapped(t, 3)
	n := newLeaderNode(t, boot.HardState, boot.Entries)
	m := Message{Type: MessageAppendResponse, From: "vm9", To: "vm1", Term: n.term + 5, Reject: true}
	must.NoError(t, n.Step(m))
	must.Eq(t, Leader, n.role)
	m.From = "vm2"
	must.NoError(t, n.Step(m))
	must.Eq(t, Follower, n.role)
}
