package raft

import (
	"slices"

	"heatherport/internal/result"
)

// syncProgress updates the set of peers that the leader tracks to its latest
// configuration.
func (n *Node) syncProgress() {
	members := n.config().Members()
	for id := range n.progress {
		if !slices.Contains(members, id) {
			delete(n.progress, id)
		}
	}
	for _, id := range members {
		if _, ok := n.progress[id]; ok || id == n.cfg.ID {
			continue
		}
		n.progress[id] = &progress{
			nextIndex:       n.log.lastIndex() + 1,
			epoch:           n.configIndex(),
			lastContactTick: n.tick,
		}
	}
}

// peers returns the members that the leader replicates to, in sorted order.
func (n *Node) peers() []string {
	ids := make([]string, 0, len(n.progress))
	for id := range n.progress {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (n *Node) tickLeader() {
	if n.ticksSinceQuorumContact() >= uint64(n.cfg.ElectionTicks) {
		n.becomeFollower(n.term, "")
		return
	}
	n.tickLeadershipTransfer()
	n.pauseUnreachablePeers()
	n.heartbeatElapsed++
	if n.heartbeatElapsed >= n.cfg.HeartbeatTicks {
		n.startHeartbeatRound()
	}
}

// ticksSinceQuorumContact returns the number of ticks since a quorum was last
// in contact.
func (n *Node) ticksSinceQuorumContact() uint64 {
	contact := n.quorumValue(n.tick, func(p *progress) uint64 { return p.lastContactTick })
	return n.tick - contact
}

// pauseUnreachablePeers stops sending entries to peers that have not responded
// within the election timeout, so that they receive heartbeats only.
func (n *Node) pauseUnreachablePeers() {
	for _, p := range n.progress {
		if p.state != Replicate || n.tick-p.lastContactTick < uint64(n.cfg.ElectionTicks) {
			continue
		}
		p.becomeProbe()
		p.probeSent = true
	}
}

// quorumValue returns the largest value that a quorum of voters has reached.
// own is this node's value, which counts only if the node is a voter.
func (n *Node) quorumValue(own uint64, value func(*progress) uint64) uint64 {
	voters := n.config().Voters
	if len(voters) == 0 {
		return 0
	}
	values := make([]uint64, 0, len(voters))
	for _, id := range voters {
		switch p := n.progress[id]; {
		case id == n.cfg.ID:
			values = append(values, own)
		case p != nil:
			values = append(values, value(p))
		}
	}
	slices.Sort(values)
	return values[len(values)-n.config().Quorum()]
}

// startHeartbeatRound sends heartbeats. The responses renew the lease and
// confirm the pending reads.
func (n *Node) startHeartbeatRound() {
	n.heartbeatElapsed = 0
	n.round++
	for i := range n.pendingReads {
		if n.pendingReads[i].round == 0 {
			n.pendingReads[i].round = n.round
		}
	}
	for _, id := range n.peers() {
		p := n.progress[id]
		n.send(Message{
			Type: MessageHeartbeat, To: id, Commit: min(n.commitIndex, p.matchIndex),
			Round: n.round, SentTick: n.tick, Epoch: p.epoch,
		})
	}
	n.confirmReads()
}

// handleHeartbeat responds to a heartbeat. The leader sends no commit index
// beyond what this node has acknowledged, so a shorter log means that entries
// were lost.
func (n *Node) handleHeartbeat(m Message) {
	hasLostEntries := m.Commit > n.log.lastIndex()
	n.commitTo(min(m.Commit, n.log.lastIndex()))
	n.send(Message{
		Type: MessageHeartbeatResponse, To: m.From, Reject: hasLostEntries,
		Round: m.Round, SentTick: m.SentTick, Epoch: m.Epoch, Unjoined: !n.joined,
	})
}

// stepLeader handles messages that only a leader processes.
func (n *Node) stepLeader(m Message) {
	if n.role != Leader {
		return
	}
	p := n.progress[m.From]
	if p == nil {
		return
	}
	if m.Type == MessageReadIndex {
		n.addRead(m.From, m.Context)
		return
	}
	if m.Epoch != p.epoch {
		return
	}
	p.lastContactTick = n.tick
	switch m.Type {
	case MessageAppendResponse:
		n.handleAppendResponse(p, m)
	case MessageHeartbeatResponse:
		n.handleHeartbeatResponse(p, m)
	case MessageSnapshotResponse:
		n.handleSnapshotResponse(p, m)
	}
}

func (n *Node) handleHeartbeatResponse(p *progress, m Message) {
	p.ackedRound = max(p.ackedRound, m.Round)
	p.ackedTick = max(p.ackedTick, m.SentTick)
	p.unjoined = m.Unjoined
	p.probeSent = false
	if m.Reject {
		p.reset()
	}
	n.confirmReads()
	switch {
	case p.state == Installing:
		n.resendChunk(m.From, p)
	case p.matchIndex < n.log.lastIndex():
		n.retryAppend(m.From, p)
	}
}

// retryAppend sends an append message to a peer that lags behind, in case
// earlier messages were lost. It does so even if the peer's window of
// unacknowledged messages is full or all entries have been sent.
func (n *Node) retryAppend(id string, p *progress) {
	if p.state == Replicate && p.isPaused(n.cfg.MaxInflight) {
		p.freeOldestInflight()
	}
	if n.canSend(p) {
		return // replicate sends the message
	}
	if !p.isPaused(n.cfg.MaxInflight) {
		n.sendAppend(id, p)
	}
}

// replicate sends each peer the entries that it lacks, within the limits of
// flow control.
func (n *Node) replicate() {
	if n.hasReadsWithoutRound() {
		n.startHeartbeatRound()
	}
	for _, id := range n.peers() {
		p := n.progress[id]
		for n.canSend(p) {
			n.sendAppend(id, p)
		}
	}
}

// canSend reports whether there is something to send to the peer and flow
// control allows it.
func (n *Node) canSend(p *progress) bool {
	if p.isPaused(n.cfg.MaxInflight) {
		return false
	}
	if p.nextIndex <= n.log.lastIndex() || p.state == Probe && p.matchIndex < n.log.lastIndex() {
		return true
	}
	return p.state == Replicate && p.sentCommit < n.commitIndex
}

func (n *Node) sendAppend(id string, p *progress) {
	prev := p.nextIndex - 1
	prevTerm, ok := n.log.term(prev)
	if !ok {
		n.startSnapshotTransfer(id, p)
		return
	}
	entries := n.log.slice(p.nextIndex, n.log.lastIndex(), n.cfg.MaxEntriesPerMessage, n.cfg.MaxBytesPerMessage)
	n.send(Message{
		Type: MessageAppend, To: id, Index: prev, LogTerm: prevTerm, Entries: entries,
		Commit: n.commitIndex, Epoch: p.epoch, Learner: n.config().IsLearner(id),
	})
	p.recordSent(len(entries))
	p.sentCommit = n.commitIndex
}

// handleAppend implements the receiver of AppendEntries.
func (n *Node) handleAppend(m Message) error {
	reply := Message{Type: MessageAppendResponse, To: m.From, Epoch: m.Epoch}
	if m.Index < n.commitIndex {
		reply.Index = n.commitIndex
		n.send(reply)
		return nil
	}
	if !n.log.matches(m.Index, m.LogTerm) {
		reply.Reject = true
		reply.Index = m.Index
		reply.HintIndex, reply.HintTerm = n.log.findConflictByTerm(m.Index, m.LogTerm)
		n.send(reply)
		return nil
	}
	if err := n.acceptEntries(m); err != nil {
		return err
	}
	reply.Index = m.Index + uint64(len(m.Entries))
	n.commitTo(min(m.Commit, reply.Index))
	n.send(reply)
	return nil
}

func (n *Node) acceptEntries(m Message) error {
	if err := checkEntries(m); err != nil {
		return err
	}
	entries := n.log.missingSuffix(m.Entries)
	if len(entries) == 0 {
		return nil
	}
	first := entries[0].Index
	if first <= n.commitIndex {
		return result.Errorf(result.Internal, "raft: %s would replace committed entry %d", m.From, first)
	}
	if first <= n.log.lastIndex() {
		n.truncateLog(first)
	}
	return n.appendEntries(entries...)
}

// checkEntries checks that the entries of an append message are consecutive,
// that their terms do not decrease, and that configurations can be decoded.
func checkEntries(m Message) error {
	term := m.LogTerm
	for i, e := range m.Entries {
		if e.Index != m.Index+1+uint64(i) || e.Term < term || e.Term > m.Term {
			return result.Errorf(result.BadMessage, "raft: unexpected entry %d of term %d from %s",
				e.Index, e.Term, m.From)
		}
		term = e.Term
		if e.Kind != EntryConfig {
			continue
		}
		if _, err := DecodeConfiguration(e.Data); err != nil {
			return err
		}
	}
	return nil
}

func (n *Node) handleAppendResponse(p *progress, m Message) {
	if m.Reject {
		bound, _ := n.log.findConflictByTerm(m.HintIndex, m.HintTerm)
		p.handleRejection(m.Index, bound+1)
		return
	}
	if m.Index > n.log.lastIndex() {
		return // not a response to a message of this leader
	}
	advanced := p.acknowledge(m.Index)
	switch {
	case p.state == Probe:
		p.becomeReplicate()
	case p.state == Installing && p.matchIndex >= p.transfer.snapshot.Index:
		p.becomeProbe()
	}
	if advanced {
		n.maybeCommit()
	}
	n.maybeSendTimeoutNow(m.From, p)
}

// maybeCommit advances the commit index to the last entry that a quorum holds,
// if it is of the leader's own term.
func (n *Node) maybeCommit() {
	index := n.quorumValue(n.log.stableIndex, func(p *progress) uint64 { return p.matchIndex })
	if !n.log.matches(index, n.term) {
		return
	}
	n.commitTo(index)
	if !n.isConfigPending() && !n.config().IsVoter(n.cfg.ID) {
		n.stepDown()
	}
}

// commitTo advances the commit index.
func (n *Node) commitTo(index uint64) {
	if index <= n.commitIndex {
		return
	}
	if n.role == Leader {
		for _, e := range n.log.slice(n.commitIndex+1, index, 0, 0) {
			n.uncommittedBytes -= e.size()
		}
	}
	n.commitIndex = index
}
