package raft

// startPreVote asks the voters whether they would vote for this node. The term
// stays as it is, so that a node that can not win disturbs nobody.
func (n *Node) startPreVote() {
	n.role = PreCandidate
	n.leader = ""
	n.votes = make(map[string]bool)
	n.requestVotes(MessagePreVote, n.term+1, false)
	n.recordVote(n.cfg.ID, true)
}

// startElection begins a new term as a candidate. Advance counts the own vote,
// once it is durable.
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

// recordVote counts an answer; only voters of the latest configuration count.
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

// answerPreVote answers without a change of state. It always returns false:
// the message needs no further processing.
func (n *Node) answerPreVote(m Message) bool {
	if n.isBoundToLeader() {
		return false
	}
	granted := n.joined && n.log.isUpToDate(m.Index, m.LogTerm) && (m.Term > n.term || n.isVoteFree(m.From))
	reply := Message{Type: MessagePreVoteResponse, To: m.From, Term: m.Term}
	if !granted {
		reply.Reject = true
		reply.Term = n.term
	}
	n.send(reply)
	return false
}

func (n *Node) isVoteFree(candidate string) bool {
	return n.vote == candidate || (n.vote == "" && n.leader == "")
}

// handlePreVoteGrant counts a granted pre-vote. It always returns false: the
// term of the message is not a term that anyone has reached.
func (n *Node) handlePreVoteGrant(m Message) bool {
	if n.role == PreCandidate && m.Term == n.term+1 {
		n.recordVote(m.From, true)
	}
	return false
}

func (n *Node) handleVote(m Message) {
	if !m.Force && n.isBoundToLeader() {
		return
	}
	granted := n.joined && n.isVoteFree(m.From) && n.log.isUpToDate(m.Index, m.LogTerm)
	if granted {
		n.vote = m.From
		n.electionElapsed = 0
	}
	n.send(Message{Type: MessageVoteResponse, To: m.From, Reject: !granted})
}

// handleVoteResponse counts an answer to a vote request, or a refusal of a
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
	if n.role == Follower && n.mayCampaign() {
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
	n.startRound()
}
