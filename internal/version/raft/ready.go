package raft

// SoftState is the volatile state of a node, which is not persisted.
type SoftState struct {
	Term   uint64
	Leader string // empty when no leader is known
	Role   Role
}

// ReadState is the result of a ReadIndex call. The application may serve the
// read once it has applied Index.
type ReadState struct {
	Context uint64
	Index   uint64
}

// Ready is the pending output of a node. The caller processes it in this order:
// persist Snapshot, persist HardState and Entries with a sync, send Messages,
// restore the application from Snapshot, apply Committed, serve ReadStates;
// then it calls Advance.
type Ready struct {
	// Snapshot, if set, replaces the log and the application's state.
	Snapshot *Snapshot
	// HardState is set if it must be persisted.
	HardState *HardState
	// Entries are to be appended to the log. They replace the stored entries
	// from the index of the first one on.
	Entries []Entry
	// Messages must not be sent before the fields above are durable.
	Messages []Message
	// Committed entries are to be applied in order.
	Committed []Entry
	// ReadStates are the confirmed reads.
	ReadStates []ReadState
	// SoftState is the current volatile state; it is always set.
	SoftState SoftState
}

// Ready returns the pending output, or false if there is none.
func (n *Node) Ready() (Ready, bool) {
	if n.role == Leader {
		n.replicate()
	}
	rd := Ready{
		Snapshot:   n.installedSnapshot,
		HardState:  n.changedHardState(),
		Entries:    n.log.slice(n.log.stableIndex+1, n.log.lastIndex(), 0, 0),
		Messages:   n.messages,
		Committed:  n.log.slice(n.appliedIndex+1, n.commitIndex, 0, 0),
		ReadStates: n.readStates,
		SoftState:  n.softState(),
	}
	isEmpty := rd.Snapshot == nil && rd.HardState == nil && len(rd.Entries) == 0 &&
		len(rd.Messages) == 0 && len(rd.Committed) == 0 && len(rd.ReadStates) == 0
	if isEmpty && rd.SoftState == n.reportedSoftState {
		return Ready{}, false
	}
	return rd, true
}

// changedHardState returns the hard state if it must be persisted, or nil. A
// higher commit index alone needs no sync; it is persisted with other changes.
func (n *Node) changedHardState() *HardState {
	hs := n.hardState()
	isOnlyCommit := hs.Term == n.persistedHardState.Term && hs.Vote == n.persistedHardState.Vote && hs.Joined == n.persistedHardState.Joined
	hasOtherWrites := n.log.stableIndex < n.log.lastIndex() || n.installedSnapshot != nil
	if hs == n.persistedHardState || isOnlyCommit && !hasOtherWrites {
		return nil
	}
	return &hs
}

// Advance reports that the last Ready has been processed.
func (n *Node) Advance() {
	if hs := n.changedHardState(); hs != nil {
		n.persistedHardState = *hs
	}
	n.log.stableIndex = n.log.lastIndex()
	n.appliedIndex = max(n.appliedIndex, n.commitIndex)
	n.installedSnapshot = nil
	n.messages = nil
	n.readStates = nil
	n.reportedSoftState = n.softState()
	switch n.role {
	case Candidate:
		n.recordVote(n.cfg.ID, true)
	case Leader:
		n.maybeCommit()
	}
}
