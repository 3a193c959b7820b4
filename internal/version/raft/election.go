package raft

// startPreVote asks the voters whether they would vote for this node. It does
// not increase the term, so that a node that cannot win does not disrupt the
// leader.
func (n *Node) startPreVote() {
	n.role = PreCandidate
	n.leader = ""
	n.votes = make(map[string]bool)
	n.requestVotes(MessagePreVote, n.term+1, false)
	n.recordVote(n.cfg.ID, true)
}

// startElection begins a new term as a candidate. The node's own vote is
// counted in Advance, once it is durable.
func (n *Node) startElection(force bool) {
	n.becomeFollower(n.term+1, "")
	n.role = Candidate
	n.vote = n.cfg.ID
	n.votes = make(map[string]bool)
	n.requestVotes(MessageVote, n.term, force)
}

func (n *Node) requestVotes(t MessageType, term uint64, force bool) {
	for _, id := range n.config().Voters {
		if id == n.cfg.ID {
			continue
		}
		n.send(Message{
			Type: t, To: id, Term: term,
			Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(), Force: force,
		})
	}
}

// recordVote records a vote response and counts the votes. Only voters of the
// latest configuration count.
func (n *Node) recordVote(id string, granted bool) {
	if _, ok := n.votes[id]; !ok {
		n.votes[id] = granted
	}
	yes, no := 0, 0
	for _, voter := range n.config().Voters {
		granted, ok := n.votes[voter]
		switch {
		case ok && granted:
			yes++
		case ok:
			no++
		}
	}
	quorum := n.config().Quorum()
	switch {
	case yes >= quorum && n.role == PreCandidate:
		n.startElection(false)
	case yes >= quorum:
		n.becomeLeader()
	case no >= quorum:
		n.becomeFollower(n.term, "")
	}
}

// respondToPreVote answers a pre-vote request without changing the node's
// state. It always returns false: the message needs no further processing.
func (n *Node) respondToPreVote(m Message) bool {
	if n.hasActiveLeader() {
		return false
	}
	granted := n.joined && n.log.isUpToDate(m.Index, m.LogTerm) && (m.Term > n.term || n.canVoteFor(m.From))
	reply := Message{Type: MessagePreVoteResponse, To: m.From, Term: m.Term}
	if !granted {
		reply.Reject = true
		reply.Term = n.term
	}
	n.send(reply)
	return false
}

// canVoteFor reports whether the node has voted for candidate in this term, or
// has neither voted nor learned of a leader.
func (n *Node) canVoteFor(candidate string) bool {
	return n.vote == candidate || (n.vote == "" && n.leader == "")
}

// handlePreVoteGrant counts a granted pre-vote. It always returns false: the
// term of the message is the proposed one, which no node has reached yet.
func (n *Node) handlePreVoteGrant(m Message) bool {
	if n.role == PreCandidate && m.Term == n.term+1 {
		n.recordVote(m.From, true)
	}
	return false
}

func (n *Node) handleVote(m Message) {
	if !m.Force && n.hasActiveLeader() {
		return
	}
	granted := n.joined && n.canVoteFor(m.From) && n.log.isUpToDate(m.Index, m.LogTerm)
	if granted {
		n.vote = m.From
		n.electionElapsed = 0
	}
	n.send(Message{Type: MessageVoteResponse, To: m.From, Reject: !granted})
}

// handleVoteResponse counts a response to a vote request, or a rejected
// pre-vote in the node's own term.
func (n *Node) handleVoteResponse(m Message) {
	switch {
	case n.role == Candidate && m.Type == MessageVoteResponse:
		n.recordVote(m.From, !m.Reject)
	case n.role == PreCandidate && m.Type == MessagePreVoteResponse && m.Reject:
		n.recordVote(m.From, false)
	}
}

// handleTimeoutNow starts an election at the leader's request.
func (n *Node) handleTimeoutNow() {
	if n.role == Follower && n.canCampaign() {
		n.startElection(true)
	}
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.cfg.ID
	n.votes = nil
	n.leaderState = leaderState{progress: make(map[string]*progress)}
	n.syncProgress()
	for _, e := range n.log.slice(n.commitIndex+1, n.log.lastIndex(), 0, 0) {
		n.uncommittedBytes += e.size()
	}
	n.noopIndex = n.log.lastIndex() + 1
	n.heartbeatElapsed = 0
	noop := Entry{Term: n.term, Index: n.noopIndex, Kind: EntryNoop}
	n.log.append(noop)
	n.uncommittedBytes += noop.size()
	n.startHeartbeatRound()
}
