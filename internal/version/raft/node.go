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
	// snapshot is the newest one; snapshot.Index >= log.prevIndex.
	snapshot Snapshot
	// configs holds the configurations in use from snapshot.Index on, oldest
	// first; it is never empty.
	configs     []configAt
	commitIndex uint64
	// appliedIndex is the last index handed out for application.
	appliedIndex uint64

	// tick counts the calls of Tick; it is the node's only clock.
	tick uint64
	// leaderContact is the tick of the last message from a leader. Until
	// ElectionTicks later the node grants no vote.
	leaderContact    uint64
	electionElapsed  int
	electionTimeout  int
	heartbeatElapsed int

	votes map[string]bool // of the current candidacy

	leaderState

	incoming *incomingSnapshot

	// Effects not yet handed out by Ready.
	messages   []Message
	readStates []ReadState
	installed  *Snapshot
	savedHard  HardState
	shownSoft  SoftState
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
	// leaseRevoked is set once a peer was told to start an election.
	leaseRevoked bool
}

// New returns a node that continues from boot.
func New(cfg Config, boot State) (*Node, error) {
	cfg.setDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, rand: cfg.Rand, snapshot: boot.Snapshot}
	n.log.reset(boot.Snapshot.Index, boot.Snapshot.Term)
	n.configs = []configAt{{index: boot.Snapshot.Index, config: boot.Snapshot.Config.Clone()}}
	if err := n.recover(boot); err != nil {
		return nil, err
	}
	n.resetElectionTimer()
	return n, nil
}

func (n *Node) recover(boot State) error {
	for _, e := range boot.Entries {
		if e.Index != n.log.lastIndex()+1 || e.Term < n.log.lastTerm() {
			return result.Errorf(result.StorageCorrupt,
				"raft: entry %d of term %d follows entry %d of term %d",
				e.Index, e.Term, n.log.lastIndex(), n.log.lastTerm())
		}
		if err := n.appendEntries(e); err != nil {
			return err
		}
	}
	hs := boot.HardState
	n.term = hs.Term
	n.vote = hs.Vote
	n.joined = hs.Joined
	// A snapshot is persisted before the hard state that goes with it.
	if last := n.log.lastTerm(); last > n.term {
		n.term = last
		n.vote = ""
	}
	n.log.stable = n.log.lastIndex()
	n.commitIndex = min(max(hs.Commit, boot.Snapshot.Index), n.log.lastIndex())
	n.appliedIndex = boot.Snapshot.Index
	n.savedHard = n.hardState()
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

// heardFromLeader starts the time in which the node grants no votes.
func (n *Node) heardFromLeader(from string) {
	n.leader = from
	n.leaderContact = n.tick
	n.electionElapsed = 0
}

// isBoundToLeader reports whether the node has promised a leader not to vote.
func (n *Node) isBoundToLeader() bool {
	if n.role == Leader {
		return true
	}
	return n.tick < n.leaderContact+uint64(n.cfg.ElectionTicks)
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
	if n.mayCampaign() {
		n.startPreVote()
	}
}

// Step handles a message from another node.
func (n *Node) Step(m Message) error {
	if m.To != n.cfg.ID {
		return result.Errorf(result.BadMessage, "raft: %s for %q reached %q", m.Type, m.To, n.cfg.ID)
	}
	if m.Term > n.term && !n.acceptTerm(m) {
		return nil
	}
	if m.Term < n.term {
		n.answerOldTerm(m)
		return nil
	}
	return n.dispatch(m)
}

// acceptTerm handles a term newer than the node's; it reports whether the
// message is to be processed.
func (n *Node) acceptTerm(m Message) bool {
	switch {
	case m.Type == MessagePreVote, m.Type == MessageVote:
		if !m.Force && n.isBoundToLeader() {
			return false
		}
	case m.isFromMember() && !n.config().IsMember(m.From):
		// A removed member must not end the leader's term.
		return false
	}
	switch {
	case m.Type == MessagePreVote:
		return n.answerPreVote(m)
	case m.Type == MessagePreVoteResponse && !m.Reject:
		return n.handlePreVoteGrant(m)
	case m.isFromLeader():
		n.becomeFollower(m.Term, m.From)
	default:
		n.becomeFollower(m.Term, "")
	}
	return true
}

// answerOldTerm tells a sender in an older term about the newer one. Messages
// of an old leader are answered too: a node whose term is ahead would otherwise
// stay out of the group, because voters ignore its vote requests.
func (n *Node) answerOldTerm(m Message) {
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
		n.answerPreVote(m)
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
	n.heardFromLeader(m.From)
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

// Propose appends data to the leader's log and returns where. The entry is
// committed once an entry with this index and term shows up in
// Ready.Committed; another term there means it is lost. The node keeps data,
// which must not be changed afterwards.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if err := n.checkProposal(); err != nil {
		return 0, 0, err
	}
	e := Entry{Kind: EntryCommand, Data: data}
	if n.uncommittedBytes > 0 && n.uncommittedBytes+e.size() > n.cfg.MaxUncommittedBytes {
		return 0, 0, result.Errorf(result.Overloaded, "%d bytes of proposals wait for commitment", n.uncommittedBytes)
	}
	return n.appendOwn(e)
}

func (n *Node) checkProposal() error {
	if n.role != Leader {
		return result.Errorf(result.NoLeader, "%s is a %s in term %d, leader %q", n.cfg.ID, n.role, n.term, n.leader)
	}
	if n.transferee != "" {
		return result.Errorf(result.NoLeader, "leadership is on its way to %s", n.transferee)
	}
	return nil
}

// appendOwn appends an entry of the leader's term.
func (n *Node) appendOwn(e Entry) (index, term uint64, err error) {
	e.Term = n.term
	e.Index = n.log.lastIndex() + 1
	if err := n.appendEntries(e); err != nil {
		return 0, 0, err
	}
	n.uncommittedBytes += e.size()
	return e.Index, e.Term, nil
}
