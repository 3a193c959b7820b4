package raft

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"heatherport/internal/result"
)

// isolate cuts a VM off from all others.
func (c *cluster) isolate(id string) {
	for _, other := range c.ids {
		if other != id {
			c.cut[link{id, other}] = true
			c.cut[link{other, id}] = true
		}
	}
}

// wipe replaces a VM's disk by an empty one and boots it.
func (c *cluster) wipe(m *member) {
	m.disk = State{}
	c.boot(m)
}

// followers returns the other live voters of the leader's configuration.
func (c *cluster) followers(l *member) []*member {
	var out []*member
	for _, id := range l.node.config().Voters {
		if m := c.members[id]; m != l && !m.down {
			out = append(out, m)
		}
	}
	return out
}

// mustChange makes a membership change and waits until it is committed.
func (c *cluster) mustChange(t *testing.T, kind ChangeKind, id string) {
	t.Helper()
	l := c.elect()
	index, err := l.node.ProposeConfig(ConfigChange{Kind: kind, ID: id})
	must.NoError(t, err)
	c.run(2 * testHeartbeatTicks)
	must.GreaterEq(t, index, c.maxCommit)
}

// replaceVoter removes one voter and adds another VM in its place.
func (c *cluster) replaceVoter(t *testing.T, old, fresh string) {
	t.Helper()
	c.mustChange(t, RemoveMember, old)
	c.mustChange(t, AddLearner, fresh)
	c.run(2 * testElectionTicks)
	c.mustChange(t, PromoteLearner, fresh)
}

func (c *cluster) mustCommit(t *testing.T) {
	t.Helper()
	before := c.maxCommit
	must.NoError(t, c.propose(c.elect()))
	c.run(2 * testHeartbeatTicks)
	must.Greater(t, before, c.maxCommit)
}

func code(err error) result.Code { return result.CodeOf(err) }

func TestCutOffVoterDoesNotDisruptOnReturn(t *testing.T) {
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
	clear(c.cut)
	c.run(3 * testElectionTicks)
	must.Eq(t, l, c.leader())
	must.Eq(t, term, l.node.term)
	must.Eq(t, c.maxCommit, f.applied)
}

func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	c := newCluster(t, 2, 3, 0)
	l := c.elect()
	c.isolate(l.id)
	c.run(testElectionTicks)
	must.NotEq(t, Leader, l.node.role)
	must.Eq(t, result.NoLeader, code(c.propose(l)))
}

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

func TestTransferToUnreachableVoterIsGivenUp(t *testing.T) {
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

// The message that starts the successor's election may arrive late, so the
// leader must not trust its lease any more.
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

func TestSecondChangeIsRefusedWhilePending(t *testing.T) {
	c := newCluster(t, 8, 3, 2)
	l := c.elect()
	must.NoError(t, c.change(l, "vm4", false))
	must.Eq(t, result.VoterChangePending, code(c.change(l, "vm5", false)))
	_, err := l.node.ProposeConfig(ConfigChange{Kind: AddLearner, ID: "vm4"})
	must.NoError(t, err, must.Sprint("the same change again is idempotent"))
	c.run(testElectionTicks)
	must.NoError(t, c.change(l, "vm5", false))
}

// A leader does not know whether a configuration of an earlier term is
// committed before it has committed an entry of its own.
func TestChangeWaitsForCommitInOwnTerm(t *testing.T) {
	boot := bootstrapped(t, 3)
	n := electedNode(t, boot.HardState, boot.Entries)
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
	clear(c.cut)
	c.run(testElectionTicks)
	must.NoError(t, c.change(l, "vm4", false))
}

// A voter with an empty disk may have voted before; two such voters could elect
// a leader that lacks committed entries.
func TestVoterWithoutItsFolderGrantsNoVote(t *testing.T) {
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

	c.mustChange(t, RemoveMember, lost.id)
	c.wipe(lost)
	c.mustChange(t, AddLearner, lost.id)
	c.run(testElectionTicks)
	c.mustChange(t, PromoteLearner, lost.id)
	must.True(t, lost.node.joined)
	c.crash(l, true)
	must.Eq(t, other, c.elect())
}

func TestRemovedVoterDoesNotDisrupt(t *testing.T) {
	c := newCluster(t, 11, 4, 0)
	l := c.elect()
	removed := c.followers(l)[0]
	c.isolate(removed.id)
	c.mustChange(t, RemoveMember, removed.id)
	term := l.node.term
	clear(c.cut)
	c.run(20 * testElectionTicks)
	must.Eq(t, l, c.leader())
	must.Eq(t, term, l.node.term)

	// Not even when its term is ahead.
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

// bootstrapped returns the boot state of a group of voters vm1 to vmN.
func bootstrapped(t *testing.T, voters int) State {
	t.Helper()
	var config Configuration
	for i := range voters {
		config.Voters = append(config.Voters, fmt.Sprintf("vm%d", i+1))
	}
	s, err := Bootstrap(config)
	must.NoError(t, err)
	return s
}

// drain carries out all effects of a single node and returns its messages.
func drain(n *Node) []Message {
	var out []Message
	for {
		rd, ok := n.Ready()
		if !ok {
			return out
		}
		out = append(out, rd.Messages...)
		n.Advance()
	}
}

func soloNode(t *testing.T, hs HardState, entries []Entry) *Node {
	t.Helper()
	n, err := New(Config{
		ID: "vm1", ElectionTicks: testElectionTicks, HeartbeatTicks: testHeartbeatTicks,
		Rand: rand.New(rand.NewPCG(1, 1)),
	}, State{HardState: hs, Entries: entries})
	must.NoError(t, err)
	return n
}

// electedNode returns vm1 as the leader of its next term.
func electedNode(t *testing.T, hs HardState, entries []Entry) *Node {
	t.Helper()
	n := soloNode(t, hs, entries)
	n.startElection(false)
	drain(n)
	for _, id := range n.config().Voters[1:n.config().Quorum()] {
		must.NoError(t, n.Step(Message{Type: MessageVoteResponse, From: id, To: "vm1", Term: n.term}))
	}
	must.Eq(t, Leader, n.role)
	drain(n)
	return n
}

// The situation of figure 8 of the Raft paper: an entry of an earlier term on a
// majority is not committed by counting.
func TestEntryOfEarlierTermIsNotCommittedByCounting(t *testing.T) {
	boot := bootstrapped(t, 5)
	boot.HardState.Term = 3
	n := electedNode(t, boot.HardState, append(boot.Entries, Entry{Term: 2, Index: 2}))
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

// A response from before a peer's removal must not count for its later self.
func TestResponseOfEarlierMembershipIsIgnored(t *testing.T) {
	boot := bootstrapped(t, 3)
	n := electedNode(t, boot.HardState, boot.Entries)
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

// A restarted voter does not know what it promised before.
func TestRestartedVoterWaitsBeforeItVotes(t *testing.T) {
	boot := bootstrapped(t, 3)
	n := soloNode(t, boot.HardState, boot.Entries)
	ask := Message{Type: MessageVote, From: "vm2", To: "vm1", Term: 2, Index: 1, LogTerm: 1}
	must.NoError(t, n.Step(ask))
	must.Eq(t, "", n.vote)
	for range testElectionTicks {
		n.Tick()
	}
	must.NoError(t, n.Step(ask))
	must.Eq(t, "vm2", n.vote)
}

// TestOwnVoteCountsOnceDurable: found by TestLongRuns with seed 1022. A lone
// voter led a term in memory, lost its vote in a crash, and then voted for
// another node in that term.
func TestOwnVoteCountsOnceDurable(t *testing.T) {
	boot := bootstrapped(t, 1)
	n := soloNode(t, boot.HardState, boot.Entries)
	n.startElection(false)
	must.Eq(t, Candidate, n.role)
	_, ok := n.Ready()
	must.True(t, ok)
	n.Advance()
	must.Eq(t, Leader, n.role)
}

// The lease ends before the voters' promise does.
func TestLeaseKeepsItsMargin(t *testing.T) {
	c := newCluster(t, 22, 3, 0)
	l := c.elect()
	c.isolate(l.id)
	for range testElectionTicks - testMarginTicks {
		l.node.Tick()
	}
	must.Eq(t, Leader, l.node.role)
	must.False(t, l.node.isLeaseValid())
}

// A new leader's commit index may trail that of the group.
func TestReadIndexCoversEarlierTerms(t *testing.T) {
	boot := bootstrapped(t, 3)
	n := electedNode(t, boot.HardState, append(boot.Entries, Entry{Term: 1, Index: 2}))
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

// A node whose term is ahead tells an old leader, or it would stay out.
func TestOldLeaderIsAnswered(t *testing.T) {
	boot := bootstrapped(t, 3)
	boot.HardState.Term = 5
	n := soloNode(t, boot.HardState, boot.Entries)
	must.NoError(t, n.Step(Message{Type: MessageHeartbeat, From: "vm2", To: "vm1", Term: 4}))
	out := drain(n)
	must.Len(t, 1, out)
	must.Eq(t, 5, out[0].Term)
	must.Eq(t, "vm2", out[0].To)
}

func TestResponseOfStrangerDoesNotEndTerm(t *testing.T) {
	boot := bootstrapped(t, 3)
	n := electedNode(t, boot.HardState, boot.Entries)
	m := Message{Type: MessageAppendResponse, From: "vm9", To: "vm1", Term: n.term + 5, Reject: true}
	must.NoError(t, n.Step(m))
	must.Eq(t, Leader, n.role)
	m.From = "vm2"
	must.NoError(t, n.Step(m))
	must.Eq(t, Follower, n.role)
}

// A truncated configuration is no longer in use.
func TestTruncationRestoresConfiguration(t *testing.T) {
	boot := bootstrapped(t, 3)
	n := soloNode(t, boot.HardState, boot.Entries)
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

func TestReadWithoutLeaseNeedsRound(t *testing.T) {
	c := newCluster(t, 13, 3, 0)
	c.adjust = func(cfg *Config) { cfg.DisableLeaseReads = true }
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

func TestSnapshotInPieces(t *testing.T) {
	c := newCluster(t, 15, 3, 0)
	l := c.elect()
	f := c.followers(l)[0]
	c.isolate(f.id)
	for range 20 {
		c.mustCommit(t)
	}
	c.compact(l)
	clear(c.cut)
	pieces := 0
	c.filter = func(m *Message) bool {
		if m.Type != MessageSnapshot {
			return true
		}
		must.LessEq(t, 3, len(m.Piece.Data))
		pieces++
		if pieces == 1 {
			m.Piece.Data[0]++ // found by the checksum when all pieces are there
			return true
		}
		return pieces%2 == 0
	}
	c.run(4 * testElectionTicks)
	must.GreaterEq(t, 3, pieces)
	must.Eq(t, l.node.snapshot.Index, f.disk.Snapshot.Index)
	must.Eq(t, c.maxCommit, f.applied)
}

// Duplicated answers must not multiply the pieces in flight.
func TestDuplicatedSnapshotResponses(t *testing.T) {
	c := newCluster(t, 21, 3, 0)
	l := c.elect()
	f := c.followers(l)[0]
	c.isolate(f.id)
	for range 20 {
		c.mustCommit(t)
	}
	c.compact(l)
	clear(c.cut)
	pieces := 0
	c.filter = func(m *Message) bool {
		switch m.Type {
		case MessageSnapshot:
			pieces++
		case MessageSnapshotResponse:
			c.net = append(c.net, *m)
		}
		return true
	}
	c.run(testElectionTicks)
	must.Eq(t, c.maxCommit, f.applied)
	must.Eq(t, 3, pieces)
}

func TestProposalsAreBounded(t *testing.T) {
	c := newCluster(t, 16, 3, 0)
	c.adjust = func(cfg *Config) { cfg.MaxUncommittedBytes = 1000 }
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
	must.Less(t, 1000/entryOverhead+1, accepted)
	c.settle()
	must.Eq(t, 0, l.node.uncommittedBytes)
	must.NoError(t, c.propose(l))
}

// A silent peer costs heartbeats and at most MaxInflight append messages.
func TestSilentPeerGetsHeartbeatsOnly(t *testing.T) {
	c := newCluster(t, 17, 3, 0)
	l := c.elect()
	f := c.followers(l)[0]
	c.crash(f, false)
	appends := 0
	for range 100 {
		must.NoError(t, c.propose(l))
		c.process(l)
		for _, m := range c.net {
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

// A peer that lost its log rejects what it once acknowledged; the leader must
// not repeat the same message at the speed of the network.
func TestPeerWithoutItsLogIsNotFlooded(t *testing.T) {
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

// The last append message of a busy time is repeated when it is lost.
func TestLostTailIsSentAgain(t *testing.T) {
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

// Proposals between two calls of Ready go out in one message.
func TestProposalsAreBatched(t *testing.T) {
	boot := bootstrapped(t, 3)
	n := electedNode(t, boot.HardState, boot.Entries)
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

// A reordered older append message must not remove entries that a newer one
// brought.
func TestReorderedAppendKeepsSuffix(t *testing.T) {
	boot := bootstrapped(t, 3)
	n := soloNode(t, boot.HardState, boot.Entries)
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

// An old leader with a long uncommitted suffix is brought in line within few
// round trips.
func TestConflictBackoff(t *testing.T) {
	c := newCluster(t, 18, 3, 0)
	old := c.elect()
	c.isolate(old.id)
	for range 200 {
		must.NoError(t, c.propose(old))
	}
	c.run(3 * testElectionTicks)
	must.NotEq(t, old, c.elect())
	c.mustCommit(t)
	rejects := 0
	c.filter = func(m *Message) bool {
		if m.Type == MessageAppendResponse && m.Reject {
			rejects++
		}
		return true
	}
	clear(c.cut)
	c.run(testElectionTicks)
	must.Eq(t, c.maxCommit, old.applied)
	must.LessEq(t, 3, rejects)
}
