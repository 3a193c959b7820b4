package raft

import (
	"math/rand/v2"
	"slices"

	"heatherport/internal/result"
)

// Defaults of the limits in Config.
const (
	defaultMaxEntriesPerMessage  = 1024
	defaultMaxBytesPerMessage    = 256 << 10
	defaultMaxInflight           = 16
	defaultMaxUncommittedBytes   = 4 << 20
	defaultMaxPendingReads       = 1024
	defaultMaxSnapshotPieceBytes = 64 << 10
	defaultMaxSnapshotBytes      = 256 << 20
	defaultMaxLearnerLag         = 64
)

// leaseMarginDivisor gives the default lease margin as a part of the election
// timeout.
const leaseMarginDivisor = 4

func setDefault(v *int, d int) {
	if *v <= 0 {
		*v = d
	}
}

func (c *Config) setDefaults() {
	setDefault(&c.LeaseMarginTicks, max(1, c.ElectionTicks/leaseMarginDivisor))
	setDefault(&c.MaxEntriesPerMessage, defaultMaxEntriesPerMessage)
	setDefault(&c.MaxBytesPerMessage, defaultMaxBytesPerMessage)
	setDefault(&c.MaxInflight, defaultMaxInflight)
	setDefault(&c.MaxUncommittedBytes, defaultMaxUncommittedBytes)
	setDefault(&c.MaxPendingReads, defaultMaxPendingReads)
	setDefault(&c.MaxSnapshotPieceBytes, defaultMaxSnapshotPieceBytes)
	setDefault(&c.MaxSnapshotBytes, defaultMaxSnapshotBytes)
	if c.MaxLearnerLag == 0 {
		c.MaxLearnerLag = defaultMaxLearnerLag
	}
}

func (c *Config) validate() error {
	if c.ID == "" {
		return result.Errorf(result.BadSettings, "raft: empty ID")
	}
	if c.HeartbeatTicks < 1 {
		return result.Errorf(result.BadSettings, "raft: heartbeat interval of %d ticks", c.HeartbeatTicks)
	}
	if c.ElectionTicks < 2*c.HeartbeatTicks {
		return result.Errorf(result.BadSettings,
			"raft: election timeout of %d ticks is under two heartbeat intervals", c.ElectionTicks)
	}
	if c.Rand == nil {
		return result.Errorf(result.BadSettings, "raft: no source of randomness")
	}
	return nil
}

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

// config returns the latest configuration in the log.
func (n *Node) config() Configuration { return n.configs[len(n.configs)-1].config }

func (n *Node) configIndex() uint64 { return n.configs[len(n.configs)-1].index }

func (n *Node) isConfigPending() bool { return n.configIndex() > n.commitIndex }

// mayCampaign reports whether the node may start an election. While the
// configuration that removes it is not known to be committed, its vote may
// still be needed to commit it.
func (n *Node) mayCampaign() bool {
	if !n.joined {
		return false
	}
	if n.config().IsVoter(n.cfg.ID) {
		return true
	}
	if !n.isConfigPending() || len(n.configs) < 2 {
		return false
	}
	return n.configs[len(n.configs)-2].config.IsVoter(n.cfg.ID)
}

// appendEntries appends consecutive entries and adopts the configurations
// among them.
func (n *Node) appendEntries(entries ...Entry) error {
	for _, e := range entries {
		if e.Kind != EntryConfig {
			continue
		}
		c, err := DecodeConfiguration(e.Data)
		if err != nil {
			return err
		}
		n.adoptConfig(e.Index, c)
	}
	n.log.append(entries...)
	return nil
}

func (n *Node) adoptConfig(index uint64, c Configuration) {
	n.configs = append(n.configs, configAt{index: index, config: c})
	if n.role == Leader {
		n.syncProgress()
	}
}

// truncateLog removes the entries from index i on, and their configurations.
func (n *Node) truncateLog(i uint64) {
	n.log.truncate(i)
	for len(n.configs) > 1 && n.configIndex() >= i {
		n.configs = n.configs[:len(n.configs)-1]
	}
}

// trimConfigs drops the configurations that were replaced at or before index.
func (n *Node) trimConfigs(index uint64) {
	for len(n.configs) > 1 && n.configs[1].index <= index {
		n.configs = n.configs[1:]
	}
}

// configAtIndex returns the configuration in use at index.
func (n *Node) configAtIndex(index uint64) Configuration {
	c := n.configs[0].config
	for _, at := range n.configs[1:] {
		if at.index <= index {
			c = at.config
		}
	}
	return c
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
// Ready.Committed; another term there means it is lost.
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

// Ready returns the effects that wait, or false when there are none.
func (n *Node) Ready() (Ready, bool) {
	if n.role == Leader {
		n.replicate()
	}
	rd := Ready{
		Snapshot:   n.installed,
		HardState:  n.changedHardState(),
		Entries:    n.log.slice(n.log.stable+1, n.log.lastIndex(), 0, 0),
		Messages:   n.messages,
		Committed:  n.log.slice(n.appliedIndex+1, n.commitIndex, 0, 0),
		ReadStates: n.readStates,
		Soft:       n.softState(),
	}
	isEmpty := rd.Snapshot == nil && rd.HardState == nil && len(rd.Entries) == 0 &&
		len(rd.Messages) == 0 && len(rd.Committed) == 0 && len(rd.ReadStates) == 0
	if isEmpty && rd.Soft == n.shownSoft {
		return Ready{}, false
	}
	return rd, true
}

// changedHardState returns the hard state when it must be persisted. A higher
// commit index alone is not worth a sync; it goes along with other changes.
func (n *Node) changedHardState() *HardState {
	hs := n.hardState()
	isOnlyCommit := hs.Term == n.savedHard.Term && hs.Vote == n.savedHard.Vote && hs.Joined == n.savedHard.Joined
	hasOtherWrites := n.log.stable < n.log.lastIndex() || n.installed != nil
	if hs == n.savedHard || isOnlyCommit && !hasOtherWrites {
		return nil
	}
	return &hs
}

// Advance tells the node that the effects of the last Ready are carried out.
func (n *Node) Advance() {
	if hs := n.changedHardState(); hs != nil {
		n.savedHard = *hs
	}
	n.log.stable = n.log.lastIndex()
	n.appliedIndex = max(n.appliedIndex, n.commitIndex)
	n.installed = nil
	n.messages = nil
	n.readStates = nil
	n.shownSoft = n.softState()
	switch n.role {
	case Candidate:
		n.recordVote(n.cfg.ID, true)
	case Leader:
		n.maybeCommit()
	}
}

// Compact records that the application has a snapshot of its state at index,
// which it has applied, and drops the entries that the snapshot covers. It
// returns the snapshot to persist.
func (n *Node) Compact(index uint64, data []byte) (Snapshot, error) {
	if index > n.appliedIndex || index <= n.snapshot.Index {
		return Snapshot{}, result.Errorf(result.BadArguments,
			"raft: snapshot at %d, applied %d, last snapshot %d", index, n.appliedIndex, n.snapshot.Index)
	}
	term, _ := n.log.term(index)
	n.snapshot = Snapshot{Index: index, Term: term, Config: n.configAtIndex(index).Clone(), Data: data}
	n.trimConfigs(index)
	if index > n.cfg.TrailingEntries {
		n.log.compact(index - n.cfg.TrailingEntries)
	}
	return n.snapshot, nil
}

// Status returns a description of the node.
func (n *Node) Status() Status {
	s := Status{
		ID: n.cfg.ID, Soft: n.softState(), Vote: n.vote, Joined: n.joined,
		CommitIndex: n.commitIndex, AppliedIndex: n.appliedIndex,
		FirstIndex: n.log.firstIndex(), LastIndex: n.log.lastIndex(), SnapshotIndex: n.snapshot.Index,
		Config: n.config().Clone(), ConfigIndex: n.configIndex(), ConfigPending: n.isConfigPending(),
		LeaseValid: n.isLeaseValid(), Transferee: n.transferee,
	}
	for _, id := range n.peers() {
		s.Progress = append(s.Progress, n.progressStatus(id))
	}
	return s
}

func (n *Node) progressStatus(id string) ProgressStatus {
	p := n.progress[id]
	s := ProgressStatus{
		ID: id, MatchIndex: p.matchIndex, NextIndex: p.nextIndex, State: p.state,
		Learner: n.config().IsLearner(id), SilentTicks: n.tick - p.contactTick, Inflight: len(p.inflight),
	}
	if p.transfer != nil {
		s.PieceOffset = p.transfer.offset
		s.SnapshotSize = len(p.transfer.snapshot.Data)
	}
	return s
}

// peers returns the members that the leader replicates to, in order.
func (n *Node) peers() []string {
	ids := make([]string, 0, len(n.progress))
	for id := range n.progress {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
