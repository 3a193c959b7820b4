package raft

import "heatherport/internal/result"

// pendingRead is a read that waits until a quorum confirms that this node was
// still the leader when the read arrived.
type pendingRead struct {
	from    string
	context uint64
	index   uint64
	round   uint64 // heartbeat round; zero until one has started
}

// ReadIndex requests an index that is at least the group's commit index at the
// time of the call. The result is a ReadState with the same context in a later
// Ready. There is none if messages are lost or the leader changes.
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
	// The leader's log holds all entries committed in earlier terms, so the
	// first entry of its own term has a higher index than all of them.
	index := max(n.commitIndex, n.noopIndex)
	if n.isLeaseValid() {
		n.respondToRead(pendingRead{from: from, context: context, index: index})
		return nil
	}
	if len(n.pendingReads) >= n.cfg.MaxPendingReads {
		return result.Errorf(result.Overloaded, "%d reads are pending", len(n.pendingReads))
	}
	n.pendingReads = append(n.pendingReads, pendingRead{from: from, context: context, index: index})
	return nil
}

func (n *Node) respondToRead(r pendingRead) {
	if r.from == n.cfg.ID {
		n.readStates = append(n.readStates, ReadState{Context: r.context, Index: r.index})
		return
	}
	n.send(Message{Type: MessageReadIndexResponse, To: r.from, Context: r.context, Index: r.index})
}

func (n *Node) handleReadIndexResponse(m Message) {
	n.readStates = append(n.readStates, ReadState{Context: m.Context, Index: m.Index})
}

func (n *Node) hasReadsWithoutRound() bool {
	k := len(n.pendingReads)
	return k > 0 && n.pendingReads[k-1].round == 0
}

// confirmReads responds to the reads whose heartbeat round a quorum has
// acknowledged.
func (n *Node) confirmReads() {
	acked := n.quorumValue(n.round, func(p *progress) uint64 { return p.ackedRound })
	done := 0
	for done < len(n.pendingReads) {
		r := n.pendingReads[done]
		if r.round == 0 || r.round > acked {
			break
		}
		n.respondToRead(r)
		done++
	}
	n.pendingReads = n.pendingReads[done:]
}

// isLeaseValid reports whether the read lease holds: no other node can have
// become leader yet.
func (n *Node) isLeaseValid() bool {
	if n.role != Leader || n.cfg.DisableLeaseReads || n.leaseRevoked {
		return false
	}
	acked := n.quorumValue(n.tick, func(p *progress) uint64 { return p.ackedTick })
	lease := uint64(n.cfg.ElectionTicks - n.cfg.LeaseMarginTicks)
	return acked > 0 && n.tick < acked+lease
}
