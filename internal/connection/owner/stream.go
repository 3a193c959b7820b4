package owner

import (
	"time"

	"heatherport/internal/version"
)

const (
	batchBytes   = 1100 // keeps a message within one datagram
	streamWindow = 16   // batches in flight to one replica
	resendUrgent = 400 * time.Millisecond
	resendAfter  = 1500 * time.Millisecond
)

// stream sends the exceptions of this owner to one replica, in order. shadow
// is what the replica holds once it has applied everything queued.
type stream struct {
	shadow map[uint64]stored
	queue  []change
	flight []batch
	seq    uint64
	stores uint64 // storing items queued so far
	coded  uint64 // storing items put into batches so far
	queued uint64 // items queued so far
	acked  uint64 // items acknowledged so far
}

// stored is what a replica holds for one hash, and the number of the item that
// stored it.
type stored struct {
	upstream version.UpstreamID
	number   uint64
}

// change is a queued item: it stores an exception, or removes what the item of
// a number has stored.
type change struct {
	item
	number uint64
}

type batch struct {
	seq    uint64
	items  []byte
	count  int
	sentAt time.Duration
}

// set makes the replica hold upstream for hash; zero removes. It reports
// whether anything had to be queued.
func (s *stream) set(hash uint64, upstream version.UpstreamID) bool {
	old, held := s.shadow[hash]
	if old.upstream == upstream {
		return false
	}
	if held {
		delete(s.shadow, hash)
		s.push(change{item{hash: hash}, old.number})
	}
	if upstream == 0 {
		return true
	}
	if s.shadow == nil {
		s.shadow = make(map[uint64]stored)
	}
	s.stores++
	s.shadow[hash] = stored{upstream, s.stores}
	s.push(change{item{hash, upstream}, s.stores})
	return true
}

func (s *stream) push(c change) {
	s.queue = append(s.queue, c)
	s.queued++
}

// next returns the batch to send now, or nil.
func (s *stream) next(now time.Duration, urgent bool) *batch {
	if b := s.overdue(now, urgent); b != nil {
		return b
	}
	if len(s.queue) == 0 || len(s.flight) >= streamWindow {
		return nil
	}
	s.flight = append(s.flight, s.cut(now))
	return &s.flight[len(s.flight)-1]
}

// overdue returns the first batch in flight whose acknowledgement is late.
func (s *stream) overdue(now time.Duration, urgent bool) *batch {
	wait := resendAfter
	if urgent {
		wait = resendUrgent
	}
	for i := range s.flight {
		b := &s.flight[i]
		if now-b.sentAt >= wait {
			b.sentAt = now
			return b
		}
	}
	return nil
}

// cut moves items from the queue into a new batch.
func (s *stream) cut(now time.Duration) batch {
	s.seq++
	b := batch{seq: s.seq, sentAt: now}
	for b.count < len(s.queue) && len(b.items) < batchBytes {
		b.items = s.appendChange(b.items, s.queue[b.count])
		b.count++
	}
	rest := copy(s.queue, s.queue[b.count:])
	s.queue = s.queue[:rest]
	return b
}

func (s *stream) appendChange(b []byte, c change) []byte {
	if c.upstream == 0 {
		return appendRemove(b, s.coded-c.number)
	}
	s.coded++
	return appendStore(b, c.item)
}

// ack drops the batches up to seq.
func (s *stream) ack(seq uint64) {
	done := 0
	for done < len(s.flight) && s.flight[done].seq <= seq {
		s.acked += uint64(s.flight[done].count)
		done++
	}
	s.flight = append(s.flight[:0], s.flight[done:]...)
}
