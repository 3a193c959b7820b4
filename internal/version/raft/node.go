package raft

import (
	"math/rand/v2"

	"heatherport/internal/result"
)

// Node is one member of a Raft group.
type Node struct {
	cfg  Config
	rand *rand.Rand

	role   Role
	term   uint64
	vote   string
	joined bool
	leader string

	log raftLog
	// snapshot is the latest snapshot; snapshot.Index >= log.prevIndex.
	snapshot Snapshot
	// configs holds the configurations in use from snapshot.Index on, oldest
	// first; it is never empty.
	configs     []indexedConfig
	commitIndex uint64
	// appliedIndex is the last index returned in Ready.Committed.
	appliedIndex uint64

	// tick counts the calls of Tick and is the node's only clock.
	tick uint64
	// leaderContactTick is the tick of the last message from a leader, or zero
	// after a start. The node grants no vote until ElectionTicks later.
	leaderContactTick uint64
	electionElapsed   int
	electionTimeout   int
	heartbeatElapsed  int

	votes map[string]bool // responses in the current election

	leaderState

	incoming *incomingSnapshot

	// Output for the next Ready, and the state that earlier ones reported.
	messages           []Message
	readStates         []ReadState
	installedSnapshot  *Snapshot
	persistedHardState HardState
	reportedSoftState  SoftState
}

// leaderState is reset at each election.
type leaderState struct {
	progress map[string]*progress
	// noopIndex is the index of the first entry of the leader's term.
	noopIndex        uint64
	uncommittedBytes int
	round            uint64
	pendingReads     []pendingRead
	transferee       string
	transferElapsed  int
	// leaseRevoked is set once MessageTimeoutNow has been sent.
	leaseRevoked bool
}

// New returns a node that continues from the state initial.
func New(cfg Config, initial State) (*Node, error) {
	cfg.setDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, rand: cfg.Rand, snapshot: initial.Snapshot}
	n.log.reset(initial.Snapshot.Index, initial.Snapshot.Term)
	n.configs = []indexedConfig{{index: initial.Snapshot.Index, config: initial.Snapshot.Config.Clone()}}
	if err := n.recover(initial); err != nil {
		return nil, err
	}
	n.resetElectionTimer()
	return n, nil
}

func (n *Node) recover(initial State) error {
	for _, e := range initial.Entries {
		if e.Index != n.log.lastIndex()+1 || e.Term < n.log.lastTerm() {
			return result.Errorf(result.StorageCorrupt,
				"raft: entry %d of term %d follows entry %d of term %d",
				e.Index, e.Term, n.log.lastIndex(), n.log.lastTerm())
		}
		if err := n.appendEntries(e); err != nil {
			return err
		}
	}
	hs := initial.HardState
	n.term = hs.Term
	n.vote = hs.Vote
	n.joined = hs.Joined
	// A snapshot is persisted before the hard state of the same Ready, so
	// after a crash the stored term may be older than the log.
	if last := n.log.lastTerm(); last > n.term {
		n.term = last
		n.vote = ""
	}
	n.log.stableIndex = n.log.lastIndex()
	n.commitIndex = min(max(hs.Commit, initial.Snapshot.Index), n.log.lastIndex())
	n.appliedIndex = initial.Snapshot.Index
	n.persistedHardState = n.hardState()
	return nil
}

func (n *Node) hardState() HardState {
	return HardState{Term: n.term, Vote: n.vote, Commit: n.commitIndex, Joined: n.joined}
}

func (n *Node) softState() SoftState {
	return SoftState{Term: n.term, Leader: n.leader, Role: n.role}
}

func (n *Node) send(m Message) {
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}

func (n *Node) becomeFollower(term uint64, leader string) {
	if term > n.term {
		n.term = term
		n.vote = ""
	}
	n.role = Follower
	n.leader = leader
	n.votes = nil
	n.leaderState = leaderState{}
	n.resetElectionTimer()
}

func (n *Node) resetElectionTimer() {
	n.electionElapsed = 0
	n.electionTimeout = n.cfg.ElectionTicks + n.rand.IntN(n.cfg.ElectionTicks)
}

// recordLeaderContact restarts the period in which the node grants no votes.
func (n *Node) recordLeaderContact(from string) {
	n.leader = from
	n.leaderContactTick = n.tick
	n.electionElapsed = 0
}

// hasActiveLeader reports whether the node is the leader, or received a message
// from a leader or was started within the minimum election timeout. It then
// grants no votes, except in a leadership transfer.
func (n *Node) hasActiveLeader() bool {
	if n.role == Leader {
		return true
	}
	return n.tick < n.leaderContactTick+uint64(n.cfg.ElectionTicks)
}

// Tick advances the node's clock by one tick.
func (n *Node) Tick() {
	n.tick++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	n.electionElapsed++
	if n.electionElapsed < n.electionTimeout {
		return
	}
	n.resetElectionTimer()
	n.leader = ""
	if n.canCampaign() {
		n.startPreVote()
	}
}

// Step handles a message from another node.
func (n *Node) Step(m Message) error {
	if m.To != n.cfg.ID {
		return result.Errorf(result.BadMessage, "raft: %s for %q received by %q", m.Type, m.To, n.cfg.ID)
	}
	if m.Term > n.term && !n.acceptTerm(m) {
		return nil
	}
	if m.Term < n.term {
		n.respondToStaleTerm(m)
		return nil
	}
	return n.dispatch(m)
}

// acceptTerm handles a message with a newer term than the node's. It reports
// whether the message needs further processing.
func (n *Node) acceptTerm(m Message) bool {
	switch {
	case m.Type == MessagePreVote, m.Type == MessageVote:
		if !m.Force && n.hasActiveLeader() {
			return false
		}
	case m.isFromMember() && !n.config().IsMember(m.From):
		// A removed member must not end the leader's term.
		return false
	}
	switch {
	case m.Type == MessagePreVote:
		return n.respondToPreVote(m)
	case m.Type == MessagePreVoteResponse && !m.Reject:
		return n.handlePreVoteGrant(m)
	case m.isFromLeader():
		n.becomeFollower(m.Term, m.From)
	default:
		n.becomeFollower(m.Term, "")
	}
	return true
}

// respondToStaleTerm reports the newer term to a sender with an older one. A
// leader of an older term is answered too: otherwise a node with a newer term
// could not rejoin the group, because voters ignore its vote requests.
func (n *Node) respondToStaleTerm(m Message) {
	switch {
	case m.isFromLeader():
		n.send(Message{Type: MessageAppendResponse, To: m.From, Reject: true})
	case m.Type == MessagePreVote:
		n.send(Message{Type: MessagePreVoteResponse, To: m.From, Reject: true})
	}
}

func (n *Node) dispatch(m Message) error {
	switch m.Type {
	case MessagePreVote:
		n.respondToPreVote(m)
	case MessageVote:
		n.handleVote(m)
	case MessagePreVoteResponse, MessageVoteResponse:
		n.handleVoteResponse(m)
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		return n.stepFromLeader(m)
	case MessageTimeoutNow:
		n.handleTimeoutNow()
	case MessageReadIndexResponse:
		n.handleReadIndexResponse(m)
	case MessageAppendResponse, MessageHeartbeatResponse, MessageSnapshotResponse, MessageReadIndex:
		n.stepLeader(m)
	default:
		return result.Errorf(result.BadMessage, "raft: message of unknown type %d from %s", m.Type, m.From)
	}
	return nil
}

func (n *Node) stepFromLeader(m Message) error {
	if n.role == Leader {
		return result.Errorf(result.Internal, "raft: %s also leads term %d", m.From, n.term)
	}
	if n.role != Follower {
		n.becomeFollower(m.Term, m.From)
	}
	n.recordLeaderContact(m.From)
	if m.Learner {
		n.joined = true
	}
	switch m.Type {
	case MessageAppend:
		return n.handleAppend(m)
	case MessageSnapshot:
		return n.handleSnapshot(m)
	}
	n.handleHeartbeat(m)
	return nil
}

// Propose appends data to the leader's log and returns the entry's index and
// term. The proposal is committed once Ready.Committed has an entry with this
// index and term, and lost if the entry at this index has another term. The
// node keeps data, which must not be modified afterwards.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if err := n.checkProposal(); err != nil {
		return 0, 0, err
	}
	e := Entry{Kind: EntryCommand, Data: data}
	if n.uncommittedBytes > 0 && n.uncommittedBytes+e.size() > n.cfg.MaxUncommittedBytes {
		return 0, 0, result.Errorf(result.Overloaded, "%d bytes of proposals are uncommitted", n.uncommittedBytes)
	}
	return n.appendProposal(e)
}

func (n *Node) checkProposal() error {
	if n.role != Leader {
		return result.Errorf(result.NoLeader, "%s is a %s in term %d, leader %q", n.cfg.ID, n.role, n.term, n.leader)
	}
	if n.transferee != "" {
		return result.Errorf(result.NoLeader, "leadership is being transferred to %s", n.transferee)
	}
	return nil
}

// appendProposal appends an entry of the leader's term.
func (n *Node) appendProposal(e Entry) (index, term uint64, err error) {
	e.Term = n.term
	e.Index = n.log.lastIndex() + 1
	if err := n.appendEntries(e); err != nil {
		return 0, 0, err
	}
	n.uncommittedBytes += e.size()
	return e.Index, e.Term, nil
}
