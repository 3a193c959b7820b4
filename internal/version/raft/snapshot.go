package raft

import (
	"hash/crc32"

	"heatherport/internal/result"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Compact records that the application has a snapshot of its state at index,
// which it has applied, and drops the entries that the snapshot covers. It
// returns the snapshot to persist.
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

// startTransfer begins to send the newest snapshot to a peer whose next entry
// the log no longer holds.
func (n *Node) startTransfer(id string, p *progress) {
	t := &transfer{
		snapshot: n.snapshot,
		checksum: crc32.Checksum(n.snapshot.Data, castagnoli),
	}
	p.becomeInstalling(t)
	n.sendPiece(id, p)
}

func (n *Node) sendPiece(id string, p *progress) {
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

// handleSnapshotResponse sends the next piece. An answer that does not move
// the transfer forward only sets where resendPiece resumes, so that duplicated
// answers do not multiply the pieces in flight.
func (n *Node) handleSnapshotResponse(p *progress, m Message) {
	t := p.transfer
	if t == nil || t.snapshot.Index != m.Index || m.Offset < 0 || m.Offset > len(t.snapshot.Data) {
		return
	}
	advanced := m.Offset > t.offset
	t.offset = m.Offset
	if advanced {
		n.sendPiece(m.From, p)
	}
}

// resendPiece repeats a piece that was not answered within a heartbeat.
func (n *Node) resendPiece(id string, p *progress) {
	if n.tick-p.transfer.sentTick >= uint64(n.cfg.HeartbeatTicks) {
		n.sendPiece(id, p)
	}
}

// incomingSnapshot is a snapshot of which pieces have arrived.
type incomingSnapshot struct {
	from     string
	term     uint64 // of the leader
	index    uint64
	checksum uint32
	size     int
	data     []byte
}

func (s *incomingSnapshot) isOf(m Message) bool {
	return s != nil && s.from == m.From && s.term == m.Term && s.index == m.Chunk.Index &&
		s.checksum == m.Chunk.Checksum && s.size == m.Chunk.Size
}

// handleSnapshot is the receiver's part of InstallSnapshot.
func (n *Node) handleSnapshot(m Message) error {
	piece := m.Chunk
	if piece == nil || piece.Offset < 0 || piece.Offset+len(piece.Data) > piece.Size {
		return result.Errorf(result.BadMessage, "raft: snapshot piece out of bounds from %s", m.From)
	}
	if piece.Size > n.cfg.MaxSnapshotBytes {
		return result.Errorf(result.BadMessage, "raft: snapshot of %d bytes from %s", piece.Size, m.From)
	}
	if n.holdsSnapshot(piece) {
		n.incoming = nil
		n.commitTo(piece.Index)
		n.send(Message{Type: MessageAppendResponse, To: m.From, Index: n.commitIndex, Epoch: m.Epoch})
		return nil
	}
	n.addPiece(m)
	if len(n.incoming.data) == piece.Size && n.installIncoming(m) {
		return nil
	}
	n.send(Message{
		Type: MessageSnapshotResponse, To: m.From,
		Index: piece.Index, Offset: len(n.incoming.data), Epoch: m.Epoch,
	})
	return nil
}

// holdsSnapshot reports whether the log covers the snapshot already.
func (n *Node) holdsSnapshot(piece *SnapshotChunk) bool {
	return piece.Index <= n.commitIndex || n.log.matches(piece.Index, piece.Term)
}

func (n *Node) addPiece(m Message) {
	piece := m.Chunk
	if !n.incoming.isOf(m) {
		n.incoming = &incomingSnapshot{
			from: m.From, term: m.Term, index: piece.Index,
			checksum: piece.Checksum, size: piece.Size,
		}
	}
	if piece.Offset == len(n.incoming.data) {
		n.incoming.data = append(n.incoming.data, piece.Data...)
	}
}

// installIncoming installs the complete snapshot; it reports false and starts
// over when the data is damaged.
func (n *Node) installIncoming(m Message) bool {
	data := n.incoming.data
	if crc32.Checksum(data, castagnoli) != m.Chunk.Checksum {
		n.incoming.data = nil
		return false
	}
	n.incoming = nil
	n.install(Snapshot{Index: m.Chunk.Index, Term: m.Chunk.Term, Config: m.Chunk.Config.Clone(), Data: data})
	n.send(Message{Type: MessageAppendResponse, To: m.From, Index: n.commitIndex, Epoch: m.Epoch})
	return true
}

// install replaces the log by a snapshot.
func (n *Node) install(s Snapshot) {
	n.snapshot = s
	n.installed = &s
	n.log.reset(s.Index, s.Term)
	n.configs = []configAt{{index: s.Index, config: s.Config}}
	n.commitIndex = s.Index
	n.appliedIndex = s.Index
}
