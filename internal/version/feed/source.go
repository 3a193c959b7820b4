package feed

import (
	"slices"
	"time"
)

const (
	subscriptionTimeout = 3 * time.Second
	batchBytes          = 64 << 10 // of entries in one batch
	pieceBytes          = 64 << 10 // of snapshot in one piece
)

// Outgoing is a message to the VM called To.
type Outgoing struct {
	To      string
	Message Message
}

// subscriber is a VM that asked this one for entries.
type subscriber struct {
	name  string
	heard time.Duration
	sent  uint64 // index of the last entry sent
}

// Source feeds subscribers from the state of this VM.
type Source struct {
	// snapshot returns the state at the last applied entry.
	snapshot    func() []byte
	history     history
	subscribers []subscriber
	cached      Chunk // whole snapshot, reused while the history continues it
}

// NewSource returns a Source at the given position. The function snapshot
// returns the encoded state at the last applied entry.
func NewSource(index, digest uint64, snapshot func() []byte) *Source {
	s := &Source{snapshot: snapshot}
	s.history.reset(index, digest)
	return s
}

// Reset moves the source to a state that no entry led to, as after the
// installation of a snapshot.
func (s *Source) Reset(index, digest uint64) {
	s.history.reset(index, digest)
	s.cached = Chunk{}
}

// Applied records an applied entry and returns it for all subscribers that
// have everything before it.
func (s *Source) Publish(now time.Duration, e Entry, digest uint64) []Outgoing {
	prev, _ := s.history.last()
	s.history.append(record{entry: e, digest: digest})
	s.expire(now)
	batch := &Batch{Prev: prev, Entries: []Entry{e}, Digest: digest}
	var out []Outgoing
	for i := range s.subscribers {
		sub := &s.subscribers[i]
		if sub.sent != prev {
			continue
		}
		sub.sent = e.Index
		out = append(out, Outgoing{To: sub.name, Message: Message{Batch: batch}})
	}
	return out
}

// Position takes a subscriber's position and returns what it lacks.
func (s *Source) HandlePosition(now time.Duration, from string, p Position) []Outgoing {
	sub := s.subscribe(now, from)
	last, digest := s.history.last()
	if p.Applied > last || (p.Applied == last && p.Digest == digest) {
		sub.sent = p.Applied
		return nil
	}
	records, ok := s.history.after(p.Applied, p.Digest)
	if !ok {
		return []Outgoing{{To: from, Message: Message{Chunk: s.piece(p)}}}
	}
	batch := newBatch(p.Applied, records)
	sub.sent = batch.Entries[len(batch.Entries)-1].Index
	return []Outgoing{{To: from, Message: Message{Batch: batch}}}
}

func (s *Source) subscribe(now time.Duration, name string) *subscriber {
	i := slices.IndexFunc(s.subscribers, func(sub subscriber) bool { return sub.name == name })
	if i < 0 {
		s.subscribers = append(s.subscribers, subscriber{name: name})
		i = len(s.subscribers) - 1
	}
	s.subscribers[i].heard = now
	return &s.subscribers[i]
}

func (s *Source) expire(now time.Duration) {
	s.subscribers = slices.DeleteFunc(s.subscribers, func(sub subscriber) bool {
		return now-sub.heard > subscriptionTimeout
	})
}

// newBatch returns as many of the records as fit into one batch, at least one.
func newBatch(prev uint64, records []record) *Batch {
	b := &Batch{Prev: prev}
	bytes := 0
	for _, r := range records {
		if bytes > 0 && bytes+len(r.entry.Data) > batchBytes {
			break
		}
		bytes += len(r.entry.Data)
		b.Entries = append(b.Entries, r.entry)
		b.Digest = r.digest
	}
	return b
}

// piece returns the part of a snapshot that follows what the subscriber has.
func (s *Source) piece(p Position) *Chunk {
	if _, ok := s.history.after(s.cached.Index, s.cached.Digest); !ok || s.cached.Data == nil {
		s.cache()
	}
	offset := 0
	if p.ChunkIndex == s.cached.Index && p.ChunkOffset < s.cached.Total {
		offset = p.ChunkOffset
	}
	end := min(offset+pieceBytes, s.cached.Total)
	piece := s.cached
	piece.Offset = offset
	piece.Data = s.cached.Data[offset:end]
	return &piece
}

func (s *Source) cache() {
	index, digest := s.history.last()
	data := s.snapshot()
	s.cached = Chunk{Index: index, Digest: digest, Total: len(data), Data: data}
}
