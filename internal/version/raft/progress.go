package raft

// ProgressState is the mode in which the leader sends entries to a peer.
type ProgressState uint8

// The progress states.
const (
	// Probe is used while the match index is unknown: one append message is
	// sent per response.
	Probe ProgressState = iota
	// Replicate pipelines up to MaxInflight append messages.
	Replicate
	// Installing is used while a snapshot is in transfer: no append messages
	// are sent.
	Installing
)

var progressNames = [...]string{"probe", "replicate", "snapshot"}

// String returns the name of s.
func (s ProgressState) String() string {
	if int(s) < len(progressNames) {
		return progressNames[s]
	}
	return "unknown"
}

// progress is the replication state of one peer on the leader.
//
// Invariant: matchIndex < nextIndex.
type progress struct {
	matchIndex uint64
	nextIndex  uint64
	state      ProgressState
	epoch      uint64
	// probeSent is set in Probe until a response to the append message
	// arrives.
	probeSent bool
	// inflight holds the last index of each unacknowledged append message.
	inflight []uint64
	// sentCommit is the commit index last sent.
	sentCommit uint64
	// lastContactTick is the tick of the last response.
	lastContactTick uint64
	// ackedRound is the latest acknowledged heartbeat round and ackedTick the
	// tick at which its heartbeat was sent.
	ackedRound uint64
	ackedTick  uint64
	// unjoined is set if the last heartbeat response had Unjoined set.
	unjoined bool
	transfer *snapshotTransfer
}

// snapshotTransfer is the state of a snapshot being sent to a peer.
type snapshotTransfer struct {
	snapshot Snapshot
	checksum uint32
	offset   int    // bytes acknowledged by the peer
	sentTick uint64 // tick of the last chunk sent
}

func (p *progress) isPaused(maxInflight int) bool {
	switch p.state {
	case Probe:
		return p.probeSent
	case Replicate:
		return len(p.inflight) >= maxInflight
	}
	return true
}

func (p *progress) becomeProbe() {
	next := p.matchIndex + 1
	if p.transfer != nil {
		next = max(next, p.transfer.snapshot.Index+1)
	}
	p.state = Probe
	p.nextIndex = next
	p.probeSent = false
	p.inflight = p.inflight[:0]
	p.transfer = nil
}

// reset restarts replication to a peer that lost its log. Entries that were
// committed with its acknowledgement stay committed.
func (p *progress) reset() {
	p.matchIndex = 0
	p.transfer = nil
	p.becomeProbe()
}

func (p *progress) becomeReplicate() {
	p.state = Replicate
	p.nextIndex = p.matchIndex + 1
	p.probeSent = false
	p.inflight = p.inflight[:0]
	p.transfer = nil
}

func (p *progress) becomeInstalling(t *snapshotTransfer) {
	p.state = Installing
	p.probeSent = false
	p.inflight = p.inflight[:0]
	p.transfer = t
}

// recordSent records that an append message with n entries was sent.
func (p *progress) recordSent(n int) {
	if p.state == Probe {
		p.probeSent = true
		return
	}
	if n == 0 {
		return
	}
	p.nextIndex += uint64(n)
	p.inflight = append(p.inflight, p.nextIndex-1)
}

// acknowledge records that the peer's log matches up to index. It reports
// whether the match index has advanced.
func (p *progress) acknowledge(index uint64) bool {
	p.freeInflight(index)
	p.nextIndex = max(p.nextIndex, index+1)
	if index <= p.matchIndex {
		return false
	}
	p.matchIndex = index
	return true
}

func (p *progress) freeInflight(index uint64) {
	n := 0
	for n < len(p.inflight) && p.inflight[n] <= index {
		n++
	}
	p.inflight = append(p.inflight[:0], p.inflight[n:]...)
}

// freeOldestInflight frees room for one message in the window of append
// messages, so that replication resumes if all of them were lost.
func (p *progress) freeOldestInflight() {
	if len(p.inflight) > 0 {
		p.freeInflight(p.inflight[0])
	}
}

// handleRejection handles a rejected append message whose entries follow index;
// next is the next index to try. It returns false if the rejection is stale or
// from a peer that lost entries it had acknowledged.
func (p *progress) handleRejection(index, next uint64) bool {
	if index <= p.matchIndex {
		return false
	}
	switch p.state {
	case Replicate:
		p.becomeProbe()
		return true
	case Probe:
		if index != p.nextIndex-1 {
			return false
		}
		p.nextIndex = max(min(index, next), p.matchIndex+1)
		p.probeSent = false
		return true
	}
	return false
}
