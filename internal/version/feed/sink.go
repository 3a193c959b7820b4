package feed

import (
	"slices"

	"heatherport/internal/result"
)

// maxSnapshotBytes bounds the snapshot that a subscriber assembles.
const maxSnapshotBytes = 64 << 20

// StateMachine is the state that a Sink updates.
type StateMachine interface {
	// ApplyEntry applies one entry.
	ApplyEntry(e Entry) error
	// Install replaces the state with a snapshot taken at index.
	Install(index uint64, data []byte) error
	// Position returns the index and digest of the state.
	Position() (index, digest uint64)
}

// Sink applies the messages of a source to a state machine.
type Sink struct {
	machine StateMachine
	partial Chunk // Data holds the bytes received so far
}

// NewSink returns a Sink that updates machine.
func NewSink(machine StateMachine) *Sink { return &Sink{machine: machine} }

// Position returns the position that the subscriber reports to its source.
func (s *Sink) Position() Position {
	index, digest := s.machine.Position()
	p := Position{Applied: index, Digest: digest}
	if len(s.partial.Data) > 0 {
		p.ChunkIndex = s.partial.Index
		p.ChunkOffset = len(s.partial.Data)
	}
	return p
}

// Receive applies a batch or chunk. If it reports progress, the subscriber
// sends its position at once to request more. An error means that the state
// differs from the source's. The source does not know the digest in the next
// position then, and sends a snapshot.
func (s *Sink) Receive(m Message) (progress bool, err error) {
	switch {
	case m.Batch != nil:
		return s.batch(m.Batch)
	case m.Chunk != nil:
		return s.chunk(m.Chunk)
	}
	return false, nil
}

func (s *Sink) batch(b *Batch) (bool, error) {
	index, _ := s.machine.Position()
	i := slices.IndexFunc(b.Entries, func(e Entry) bool { return e.Index > index })
	if i < 0 {
		return false, nil
	}
	prev := b.Prev
	if i > 0 {
		prev = b.Entries[i-1].Index
	}
	if prev != index {
		return false, nil
	}
	for _, e := range b.Entries[i:] {
		if err := s.machine.ApplyEntry(e); err != nil {
			return true, err
		}
	}
	return true, s.checkDigest(b.Digest)
}

// checkDigest compares the digest of the state with the source's.
func (s *Sink) checkDigest(want uint64) error {
	index, digest := s.machine.Position()
	if digest != want {
		return result.Errorf(result.Internal, "state at index %d has digest %x, the source has %x", index, digest, want)
	}
	return nil
}

func (s *Sink) chunk(p *Chunk) (bool, error) {
	index, _ := s.machine.Position()
	if p.Index < index || p.Total <= 0 || p.Total > maxSnapshotBytes {
		return false, nil
	}
	if p.Index != s.partial.Index || p.Digest != s.partial.Digest || p.Total != s.partial.Total {
		s.partial = Chunk{Index: p.Index, Digest: p.Digest, Total: p.Total}
	}
	if p.Offset != len(s.partial.Data) || p.Offset+len(p.Data) > p.Total || len(p.Data) == 0 {
		return false, nil
	}
	s.partial.Data = append(s.partial.Data, p.Data...)
	if len(s.partial.Data) < p.Total {
		return true, nil
	}
	return true, s.install()
}

func (s *Sink) install() error {
	p := s.partial
	s.partial = Chunk{}
	if err := s.machine.Install(p.Index, p.Data); err != nil {
		return err
	}
	return s.checkDigest(p.Digest)
}
