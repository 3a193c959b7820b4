package raft

import (
	"hash/crc32"

	"heatherport/internal/result"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Compact records data as the snapshot of the application's state at index,
// which must be applied, and removes the covered entries except for the last
// TrailingEntries. It returns the snapshot to persist.
func (n *Node) Compact(index uint64, data []byte) (Snapshot, error) {
	if index > n.appliedIndex || index <= n.snapshot.Index {
		return Snapshot{}, result.Errorf(result.BadArguments,
			"raft: snapshot at %d, applied %d, last snapshot %d", index, n.appliedIndex, n.snapshot.Index)
	}
	term, _ := n.log.term(index)
	n.snapshot = Snapshot{Index: index, Term: term, Config: n.configAtIndex(index).Clone(), Data: data}
	n.trimConfigs(index)
	if index > n.cfg.TrailingEntries {
		n.log.compact(index - n.cfg.TrailingEntries)
	}
	return n.snapshot, nil
}

// startSnapshotTransfer starts to send the latest snapshot to a peer whose next
// entry the log no longer holds.
func (n *Node) startSnapshotTransfer(id string, p *progress) {
	t := &snapshotTransfer{
		snapshot: n.snapshot,
		checksum: crc32.Checksum(n.snapshot.Data, castagnoli),
	}
	p.becomeInstalling(t)
	n.sendChunk(id, p)
}

func (n *Node) sendChunk(id string, p *progress) {
	t := p.transfer
	t.sentTick = n.tick
	data := t.snapshot.Data
	end := min(len(data), t.offset+n.cfg.MaxSnapshotChunkBytes)
	n.send(Message{
		Type: MessageSnapshot, To: id, Epoch: p.epoch, Learner: n.config().IsLearner(id),
		Chunk: &SnapshotChunk{
			Index: t.snapshot.Index, Term: t.snapshot.Term, Config: t.snapshot.Config,
			Offset: t.offset, Size: len(data), Checksum: t.checksum, Data: data[t.offset:end],
		},
	})
}

// handleSnapshotResponse sends the next chunk. A response that does not advance
// the transfer only sets the offset at which resendChunk resumes, so that
// duplicated responses do not multiply the chunks in flight.
func (n *Node) handleSnapshotResponse(p *progress, m Message) {
	t := p.transfer
	if t == nil || t.snapshot.Index != m.Index || m.Offset < 0 || m.Offset > len(t.snapshot.Data) {
		return
	}
	advanced := m.Offset > t.offset
	t.offset = m.Offset
	if advanced {
		n.sendChunk(m.From, p)
	}
}

// resendChunk resends a chunk that was not acknowledged within a heartbeat
// interval.
func (n *Node) resendChunk(id string, p *progress) {
	if n.tick-p.transfer.sentTick >= uint64(n.cfg.HeartbeatTicks) {
		n.sendChunk(id, p)
	}
}

// incomingSnapshot is a partially received snapshot.
type incomingSnapshot struct {
	from     string
	term     uint64 // of the leader
	index    uint64
	checksum uint32
	size     int
	data     []byte
}

func (s *incomingSnapshot) matches(m Message) bool {
	return s != nil && s.from == m.From && s.term == m.Term && s.index == m.Chunk.Index &&
		s.checksum == m.Chunk.Checksum && s.size == m.Chunk.Size
}

// handleSnapshot implements the receiver of InstallSnapshot.
func (n *Node) handleSnapshot(m Message) error {
	chunk := m.Chunk
	if chunk == nil || chunk.Offset < 0 || chunk.Offset+len(chunk.Data) > chunk.Size {
		return result.Errorf(result.BadMessage, "raft: snapshot chunk out of bounds from %s", m.From)
	}
	if chunk.Size > n.cfg.MaxSnapshotBytes {
		return result.Errorf(result.BadMessage, "raft: snapshot of %d bytes from %s exceeds the limit", chunk.Size, m.From)
	}
	if n.coversSnapshot(chunk) {
		n.incoming = nil
		n.commitTo(chunk.Index)
		n.send(Message{Type: MessageAppendResponse, To: m.From, Index: n.commitIndex, Epoch: m.Epoch})
		return nil
	}
	n.addChunk(m)
	if len(n.incoming.data) == chunk.Size && n.installIncoming(m) {
		return nil
	}
	n.send(Message{
		Type: MessageSnapshotResponse, To: m.From,
		Index: chunk.Index, Offset: len(n.incoming.data), Epoch: m.Epoch,
	})
	return nil
}

// coversSnapshot reports whether the log already covers the snapshot.
func (n *Node) coversSnapshot(chunk *SnapshotChunk) bool {
	return chunk.Index <= n.commitIndex || n.log.matches(chunk.Index, chunk.Term)
}

func (n *Node) addChunk(m Message) {
	chunk := m.Chunk
	if !n.incoming.matches(m) {
		n.incoming = &incomingSnapshot{
			from: m.From, term: m.Term, index: chunk.Index,
			checksum: chunk.Checksum, size: chunk.Size,
		}
	}
	if chunk.Offset == len(n.incoming.data) {
		n.incoming.data = append(n.incoming.data, chunk.Data...)
	}
}

// installIncoming installs the completely received snapshot. If its checksum
// is wrong, it discards the data and returns false.
func (n *Node) installIncoming(m Message) bool {
	data := n.incoming.data
	if crc32.Checksum(data, castagnoli) != m.Chunk.Checksum {
		n.incoming.data = nil
		return false
	}
	n.incoming = nil
	n.installSnapshot(Snapshot{Index: m.Chunk.Index, Term: m.Chunk.Term, Config: m.Chunk.Config.Clone(), Data: data})
	n.send(Message{Type: MessageAppendResponse, To: m.From, Index: n.commitIndex, Epoch: m.Epoch})
	return true
}

// installSnapshot replaces the log by the snapshot s.
func (n *Node) installSnapshot(s Snapshot) {
	n.snapshot = s
	n.installedSnapshot = &s
	n.log.reset(s.Index, s.Term)
	n.configs = []indexedConfig{{index: s.Index, config: s.Config}}
	n.commitIndex = s.Index
	n.appliedIndex = s.Index
}
