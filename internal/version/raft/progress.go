package raft

// ProgressState tells how the leader sends entries to a peer.
type ProgressState uint8

// The progress states.
const (
	// Probe: the match index is unknown; one append message per response.
	Probe ProgressState = iota
	// Replicate: append messages are pipelined up to MaxInflight.
	Replicate
	// Installing: a snapshot is in transfer; no append messages.
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

// progress is the leader's view of one member.
//
// Invariant: matchIndex < nextIndex.
type progress struct {
	matchIndex uint64
	nextIndex  uint64
	state      ProgressState
	epoch      uint64
	// probeSent pauses Probe until a response arrives.
	probeSent bool
	// inflight holds the last index of each unacknowledged append message.
	inflight []uint64
	// sentCommit is the commit index last sent.
	sentCommit uint64
	// contactTick is the tick of the last response.
	contactTick uint64
	// ackedRound and ackedTick are the highest heartbeat acknowledged and
	// the tick at which it was sent.
	ackedRound uint64
	ackedTick  uint64
	// unjoined is set while the peer says that it grants no votes.
	unjoined bool
	transfer *transfer
}

// transfer is a snapshot on its way to a peer.
type transfer struct {
	snapshot Snapshot
	checksum uint32
	offset   int    // acknowledged by the peer
	sentTick uint64 // tick of the last piece sent
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

// restart begins anew with a peer that lost its log. What was committed with its
// help stays committed.
func (p *progress) restart() {
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

func (p *progress) becomeInstalling(t *transfer) {
	p.state = Installing
	p.probeSent = false
	p.inflight = p.inflight[:0]
	p.transfer = t
}

// sent records an append message with n entries.
func (p *progress) sent(n int) {
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

// acknowledge records that the peer's log matches up to index; it reports
// whether the match index has grown.
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

// freeOldest makes room for one message, so that a pipeline whose messages
// were all lost starts moving again.
func (p *progress) freeOldest() {
	if len(p.inflight) > 0 {
		p.freeInflight(p.inflight[0])
	}
}

// rejected handles the rejection of the append message after index; next is
// the index to try instead. It reports false for a stale rejection and for one
// by a peer that lost entries it had acknowledged.
func (p *progress) rejected(index, next uint64) bool {
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
