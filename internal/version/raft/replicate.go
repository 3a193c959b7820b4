package raft

import (
	"slices"

	"heatherport/internal/result"
)

// syncProgress makes the leader's progress follow its latest configuration.
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
			nextIndex:   n.log.lastIndex() + 1,
			epoch:       n.configIndex(),
			contactTick: n.tick,
		}
	}
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

func (n *Node) tickLeader() {
	if n.silentTicks() >= uint64(n.cfg.ElectionTicks) {
		n.becomeFollower(n.term, "")
		return
	}
	n.tickTransfer()
	n.pauseSilentPeers()
	n.heartbeatElapsed++
	if n.heartbeatElapsed >= n.cfg.HeartbeatTicks {
		n.startRound()
	}
}

// silentTicks returns the time since a quorum was last in contact.
func (n *Node) silentTicks() uint64 {
	contact := n.quorumValue(n.tick, func(p *progress) uint64 { return p.contactTick })
	return n.tick - contact
}

// pauseSilentPeers stops the pipeline to peers that do not answer, so that they
// cost heartbeats only.
func (n *Node) pauseSilentPeers() {
	for _, p := range n.progress {
		if p.state != Replicate || n.tick-p.contactTick < uint64(n.cfg.ElectionTicks) {
			continue
		}
		p.becomeProbe()
		p.probeSent = true
	}
}

// quorumValue returns the largest value that a quorum of voters has reached.
// own is this node's value, which counts only when it is a voter.
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

// startRound sends heartbeats. Their answers renew the lease and confirm the
// reads that wait.
func (n *Node) startRound() {
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

// handleHeartbeat answers a heartbeat. Its commit index is one that this node
// has acknowledged, so a shorter log means that entries were lost.
func (n *Node) handleHeartbeat(m Message) {
	hasLostEntries := m.Commit > n.log.lastIndex()
	n.commitTo(min(m.Commit, n.log.lastIndex()))
	n.send(Message{
		Type: MessageHeartbeatResponse, To: m.From, Reject: hasLostEntries,
		Round: m.Round, SentTick: m.SentTick, Epoch: m.Epoch, Unjoined: !n.joined,
	})
}

// stepLeader handles messages that only a leader acts on.
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
	p.contactTick = n.tick
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
		p.restart()
	}
	n.confirmReads()
	switch {
	case p.state == Installing:
		n.resendPiece(m.From, p)
	case p.matchIndex < n.log.lastIndex():
		n.nudge(m.From, p)
	}
}

// nudge sends an append message to a peer that trails the log although its
// pipeline may be full or drained, in case the earlier messages were lost.
func (n *Node) nudge(id string, p *progress) {
	if p.state == Replicate && p.isPaused(n.cfg.MaxInflight) {
		p.freeOldest()
	}
	if n.canSend(p) {
		return // replicate sends it
	}
	if !p.isPaused(n.cfg.MaxInflight) {
		n.sendAppend(id, p)
	}
}

// replicate sends each peer what it lacks, as far as flow control allows.
func (n *Node) replicate() {
	if n.hasUnroundedReads() {
		n.startRound()
	}
	for _, id := range n.peers() {
		p := n.progress[id]
		for n.canSend(p) {
			n.sendAppend(id, p)
		}
	}
}

// canSend reports whether the peer may be sent entries or a new commit index.
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
		n.startTransfer(id, p)
		return
	}
	entries := n.log.slice(p.nextIndex, n.log.lastIndex(), n.cfg.MaxEntriesPerMessage, n.cfg.MaxBytesPerMessage)
	n.send(Message{
		Type: MessageAppend, To: id, Index: prev, LogTerm: prevTerm, Entries: entries,
		Commit: n.commitIndex, Epoch: p.epoch, Learner: n.config().IsLearner(id),
	})
	p.sent(len(entries))
	p.sentCommit = n.commitIndex
}

// handleAppend is the receiver's part of AppendEntries.
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
		reply.HintIndex, reply.HintTerm = n.log.agreementBound(m.Index, m.LogTerm)
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
	entries := n.log.firstConflict(m.Entries)
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
// that their terms do not fall, and that configurations can be decoded.
func checkEntries(m Message) error {
	term := m.LogTerm
	for i, e := range m.Entries {
		if e.Index != m.Index+1+uint64(i) || e.Term < term || e.Term > m.Term {
			return result.Errorf(result.BadMessage, "raft: entry %d of term %d out of place from %s",
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
		bound, _ := n.log.agreementBound(m.HintIndex, m.HintTerm)
		p.rejected(m.Index, bound+1)
		return
	}
	if m.Index > n.log.lastIndex() {
		return // not an answer to what this leader sent
	}
	grown := p.acknowledge(m.Index)
	switch {
	case p.state == Probe:
		p.becomeReplicate()
	case p.state == Installing && p.matchIndex >= p.transfer.snapshot.Index:
		p.becomeProbe()
	}
	if grown {
		n.maybeCommit()
	}
	n.maybeTimeoutNow(m.From, p)
}

// maybeCommit advances the commit index to the largest entry of the leader's
// own term that a quorum holds.
func (n *Node) maybeCommit() {
	index := n.quorumValue(n.log.stable, func(p *progress) uint64 { return p.matchIndex })
	if !n.log.matches(index, n.term) {
		return
	}
	n.commitTo(index)
	if !n.isConfigPending() && !n.config().IsVoter(n.cfg.ID) {
		n.leaveOffice()
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
