package raft

// ProgressStatus describes the leader's view of a peer.
type ProgressStatus struct {
	ID                 string
	MatchIndex         uint64
	NextIndex          uint64
	State              ProgressState
	Learner            bool
	Unjoined           bool   // grants no votes: it lost its data folder
	TicksSinceResponse uint64 // ticks since the last response
	Inflight           int
	SnapshotOffset     int // acknowledged bytes of the snapshot in transfer
	SnapshotSize       int
}

// Status describes a node.
type Status struct {
	ID            string
	SoftState     SoftState
	Vote          string
	Joined        bool
	CommitIndex   uint64
	AppliedIndex  uint64 // last index handed out in Ready.Committed
	FirstIndex    uint64
	LastIndex     uint64
	SnapshotIndex uint64
	Config        Configuration
	ConfigIndex   uint64
	ConfigPending bool // the latest configuration is not known to be committed
	LeaseValid    bool
	Transferee    string
	Progress      []ProgressStatus // on the leader only
}

// Status returns a description of the node.
func (n *Node) Status() Status {
	s := Status{
		ID: n.cfg.ID, SoftState: n.softState(), Vote: n.vote, Joined: n.joined,
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
		Learner: n.config().IsLearner(id), TicksSinceResponse: n.tick - p.contactTick, Unjoined: p.unjoined,
		Inflight: len(p.inflight),
	}
	if p.transfer != nil {
		s.SnapshotOffset = p.transfer.offset
		s.SnapshotSize = len(p.transfer.snapshot.Data)
	}
	return s
}
