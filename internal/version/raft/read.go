package raft

import "heatherport/internal/result"

// pendingRead waits for a quorum to confirm that the leader still led when the
// read arrived.
type pendingRead struct {
	from    string
	context uint64
	index   uint64
	round   uint64 // zero until a heartbeat round has begun
}

// ReadIndex asks for an index that is at least the commit index of the group
// at the time of the call. The answer is a ReadState with the same context; it
// is lost when messages are lost or the leader changes.
func (n *Node) ReadIndex(context uint64) error {
	if n.role == Leader {
		return n.addRead(n.cfg.ID, context)
	}
	if n.leader == "" {
		return result.Errorf(result.NoLeader, "%s knows no leader in term %d", n.cfg.ID, n.term)
	}
	n.send(Message{Type: MessageReadIndex, To: n.leader, Context: context})
	return nil
}

func (n *Node) addRead(from string, context uint64) error {
	// The leader's log holds all entries committed before its term, so its
	// first own entry bounds their commit index.
	index := max(n.commitIndex, n.noopIndex)
	if n.isLeaseValid() {
		n.answerRead(pendingRead{from: from, context: context, index: index})
		return nil
	}
	if len(n.pendingReads) >= n.cfg.MaxPendingReads {
		return result.Errorf(result.Overloaded, "%d reads wait for confirmation", len(n.pendingReads))
	}
	n.pendingReads = append(n.pendingReads, pendingRead{from: from, context: context, index: index})
	return nil
}

func (n *Node) answerRead(r pendingRead) {
	if r.from == n.cfg.ID {
		n.readStates = append(n.readStates, ReadState{Context: r.context, Index: r.index})
		return
	}
	n.send(Message{Type: MessageReadIndexResponse, To: r.from, Context: r.context, Index: r.index})
}

func (n *Node) handleReadIndexResponse(m Message) {
	n.readStates = append(n.readStates, ReadState{Context: m.Context, Index: m.Index})
}

func (n *Node) hasUnroundedReads() bool {
	k := len(n.pendingReads)
	return k > 0 && n.pendingReads[k-1].round == 0
}

// confirmReads answers the reads whose round a quorum has acknowledged.
func (n *Node) confirmReads() {
	acked := n.quorumValue(n.round, func(p *progress) uint64 { return p.ackedRound })
	done := 0
	for done < len(n.pendingReads) {
		r := n.pendingReads[done]
		if r.round == 0 || r.round > acked {
			break
		}
		n.answerRead(r)
		done++
	}
	n.pendingReads = n.pendingReads[done:]
}

// isLeaseValid reports whether no other node can have become leader yet.
func (n *Node) isLeaseValid() bool {
	if n.role != Leader || n.cfg.DisableLeaseReads || n.leaseRevoked {
		return false
	}
	acked := n.quorumValue(n.tick, func(p *progress) uint64 { return p.ackedTick })
	lease := uint64(n.cfg.ElectionTicks - n.cfg.LeaseMarginTicks)
	return acked > 0 && n.tick < acked+lease
}
