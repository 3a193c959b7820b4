package raft

import (
	"testing"

	"github.com/shoenig/test/must"

	"heatherport/internal/result"
)

func TestTransferLeadership(t *testing.T) {
	c := newCluster(t, 3, 3, 0)
	l := c.elect()
	target := c.followers(l)[1]
	must.NoError(t, c.propose(l))
	must.NoError(t, l.node.TransferLeadership(target.id))
	must.Eq(t, result.NoLeader, code(c.propose(l)))
	c.settle()
	must.Eq(t, Leader, target.node.role)
	must.Eq(t, Follower, l.node.role)
	must.Eq(t, result.MemberUnknown, code(target.node.TransferLeadership("vm9")))
	must.NoError(t, target.node.TransferLeadership(""))
	c.settle()
	must.NotEq(t, target, c.leader())
}

func TestTransferToUnreachableVoterTimesOut(t *testing.T) {
	c := newCluster(t, 4, 3, 0)
	l := c.elect()
	target := c.followers(l)[0]
	c.isolate(target.id)
	must.NoError(t, c.propose(l))
	must.NoError(t, l.node.TransferLeadership(target.id))
	c.run(testElectionTicks)
	must.Eq(t, l, c.leader())
	must.NoError(t, c.propose(l))
}

// MessageTimeoutNow may arrive late and voters grant the forced vote at once,
// so the leader must not use its lease after it has sent the message.
func TestTransferRevokesLease(t *testing.T) {
	c := newCluster(t, 5, 3, 0)
	l := c.elect()
	must.True(t, l.node.isLeaseValid())
	must.NoError(t, l.node.TransferLeadership(c.followers(l)[0].id))
	must.False(t, l.node.isLeaseValid())
	l.node.messages = nil
	c.run(2 * testElectionTicks)
	must.Eq(t, l, c.leader())
	must.False(t, l.node.isLeaseValid())
	c.read(l)
	c.settle()
	must.Eq(t, 1, c.readsDone)
}

func TestTwoVotersReplacedInARow(t *testing.T) {
	c := newCluster(t, 6, 3, 2)
	c.elect()
	c.mustCommit(t)
	for _, pair := range [][2]string{{"vm2", "vm4"}, {"vm3", "vm5"}} {
		c.crash(c.members[pair[0]], false)
		c.replaceVoter(t, pair[0], pair[1])
		c.mustCommit(t)
	}
	must.Eq(t, []string{"vm1", "vm4", "vm5"}, c.elect().node.config().Voters)
	c.crash(c.leader(), false)
	c.mustCommit(t)
}

func TestSecondVoterFailsAfterRepair(t *testing.T) {
	c := newCluster(t, 7, 3, 1)
	c.elect()
	c.crash(c.members["vm2"], false)
	c.replaceVoter(t, "vm2", "vm4")
	c.crash(c.members["vm3"], false)
	c.mustCommit(t)
	c.run(testElectionTicks)
	l := c.elect()
	_, err := l.node.ProposeConfig(ConfigChange{Kind: RemoveMember, ID: c.followers(l)[0].id})
	must.Eq(t, result.QuorumAtRisk, code(err))
	c.mustChange(t, RemoveMember, "vm3")
}

func TestSecondChangeIsRejectedWhilePending(t *testing.T) {
	c := newCluster(t, 8, 3, 2)
	l := c.elect()
	must.NoError(t, c.change(l, "vm4", false))
	must.Eq(t, result.VoterChangePending, code(c.change(l, "vm5", false)))
	_, err := l.node.ProposeConfig(ConfigChange{Kind: AddLearner, ID: "vm4"})
	must.NoError(t, err, must.Sprint("a repeated change is idempotent"))
	c.run(testElectionTicks)
	must.NoError(t, c.change(l, "vm5", false))
}

// A leader does not know whether a configuration of an earlier term is
// committed before it has committed an entry of its own.
func TestChangeWaitsForCommitInOwnTerm(t *testing.T) {
	boot := bootstrapped(t, 3)
	n := newLeaderNode(t, boot.HardState, boot.Entries)
	_, err := n.ProposeConfig(ConfigChange{Kind: AddLearner, ID: "vm4"})
	must.Eq(t, result.VoterChangePending, code(err))
	must.NoError(t, n.Step(Message{
		Type: MessageAppendResponse, From: "vm2", To: "vm1", Term: n.term,
		Index: n.log.lastIndex(), Epoch: 1,
	}))
	_, err = n.ProposeConfig(ConfigChange{Kind: AddLearner, ID: "vm4"})
	must.NoError(t, err)
}

func TestLaggingLearnerIsNotPromoted(t *testing.T) {
	c := newCluster(t, 9, 3, 1)
	l := c.elect()
	c.mustChange(t, AddLearner, "vm4")
	c.isolate("vm4")
	for range 10 {
		c.mustCommit(t)
	}
	must.Eq(t, result.LearnerBehind, code(c.change(l, "vm4", false)))
	clear(c.blockedLinks)
	c.run(testElectionTicks)
	must.NoError(t, c.change(l, "vm4", false))
}

// A voter with an empty disk may have voted before, and it has lost entries that
// it acknowledged. With its vote a leader could be elected that lacks committed
// entries.
func TestVoterWithoutDataFolderGrantsNoVote(t *testing.T) {
	c := newCluster(t, 10, 3, 0)
	l := c.elect()
	c.mustCommit(t)
	lost, other := c.followers(l)[0], c.followers(l)[1]
	c.wipe(lost)
	c.run(testElectionTicks)
	c.crash(l, true)
	c.run(10 * testElectionTicks)
	must.Nil(t, c.leader())
	c.boot(l)
	l = c.elect()
	must.False(t, lost.node.joined)
	must.Eq(t, c.maxCommit, lost.applied, must.Sprint("it still receives the log"))
	_, err := l.node.ProposeConfig(ConfigChange{Kind: RemoveMember, ID: other.id})
	must.Eq(t, result.QuorumAtRisk, code(err))

	c.mustChange(t, RemoveMember, lost.id)
	c.wipe(lost)
	c.mustChange(t, AddLearner, lost.id)
	c.run(testElectionTicks)
	c.mustChange(t, PromoteLearner, lost.id)
	must.True(t, lost.node.joined)
	c.crash(l, true)
	must.Eq(t, other, c.elect())
}

func TestUnjoinedNodeNeitherVotesNorCampaigns(t *testing.T) {
	boot := bootstrapped(t, 3)
	boot.HardState.Joined = false
	n := newTestNode(t, boot.HardState, boot.Entries)
	must.NoError(t, n.Step(Message{
		Type: MessageVote, From: "vm2", To: "vm1", Term: 2, Index: 1, LogTerm: 1, Force: true,
	}))
	out := drain(n)
	must.Len(t, 1, out)
	must.True(t, out[0].Reject)
	must.NoError(t, n.Step(Message{Type: MessageTimeoutNow, From: "vm2", To: "vm1", Term: 2}))
	for range 10 * testElectionTicks {
		n.Tick()
	}
	must.Eq(t, Follower, n.role)
	must.Eq(t, 2, n.term)
}

func TestRemovedVoterDoesNotDisrupt(t *testing.T) {
	c := newCluster(t, 11, 4, 0)
	l := c.elect()
	removed := c.followers(l)[0]
	c.isolate(removed.id)
	c.mustChange(t, RemoveMember, removed.id)
	term := l.node.term
	clear(c.blockedLinks)
	c.run(20 * testElectionTicks)
	must.Eq(t, l, c.leader())
	must.Eq(t, term, l.node.term)

	// The same holds if its term is newer.
	removed.node.startElection(true)
	for range 10 {
		c.run(testElectionTicks)
		removed.node.term += 5
		removed.node.startPreVote()
	}
	must.Eq(t, l, c.leader())
}

func TestLeaderRemovesItself(t *testing.T) {
	c := newCluster(t, 12, 3, 0)
	l := c.elect()
	must.NoError(t, c.change(l, l.id, true))
	c.settle()
	must.NotEq(t, l, c.elect())
	must.False(t, c.leader().node.config().IsVoter(l.id))
	c.mustCommit(t)
}

// A response sent before a peer's removal must not count after the peer has been
// added again.
func TestResponseOfEarlierMembershipIsIgnored(t *testing.T) {
	boot := bootstrapped(t, 3)
	n := newLeaderNode(t, boot.HardState, boot.Entries)
	stale := Message{
		Type: MessageAppendResponse, From: "vm2", To: "vm1", Term: n.term,
		Index: n.log.lastIndex(), Epoch: 7,
	}
	must.NoError(t, n.Step(stale))
	must.Eq(t, 1, n.commitIndex)
	stale.Epoch = 1
	must.NoError(t, n.Step(stale))
	must.Eq(t, 2, n.commitIndex)
}

// When a configuration entry is truncated, the previous configuration is in use
// again.
func TestTruncationRestoresConfiguration(t *testing.T) {
	boot := bootstrapped(t, 3)
	n := newTestNode(t, boot.HardState, boot.Entries)
	data, err := Configuration{Voters: []string{"vm1", "vm2"}}.Encode()
	must.NoError(t, err)
	must.NoError(t, n.Step(Message{
		Type: MessageAppend, From: "vm2", To: "vm1", Term: 2, Index: 1, LogTerm: 1,
		Entries: []Entry{{Term: 2, Index: 2, Kind: EntryConfig, Data: data}},
	}))
	must.Len(t, 2, n.Status().Config.Voters)
	must.True(t, n.Status().ConfigPending)
	must.NoError(t, n.Step(Message{
		Type: MessageAppend, From: "vm3", To: "vm1", Term: 3, Index: 1, LogTerm: 1,
		Entries: []Entry{{Term: 3, Index: 2, Kind: EntryNoop}},
	}))
	must.Len(t, 3, n.Status().Config.Voters)
	must.False(t, n.Status().ConfigPending)
}
