package owner

import (
	"time"

	"heatherport/internal/version"
)

const (
	maxBatchBytes        = 1100 // keeps a message within one datagram
	streamWindow         = 16   // batches in flight to one replica
	urgentResendInterval = 400 * time.Millisecond
	resendInterval       = 1500 * time.Millisecond
)

// stream sends the exceptions of this owner to one replica, in order.
// replicaState is what the replica holds once it has applied all queued items.
type stream struct {
	replicaState  map[uint64]replicaItem
	queue         []queuedItem
	inFlight      []batch
	seq           uint64
	queuedStores  uint64 // storing items queued so far
	encodedStores uint64 // storing items put into batches so far
	queued        uint64 // items queued so far
	acked         uint64 // items acknowledged so far
}

// replicaItem is what a replica holds for one hash, and the number of the item
// that stored it.
type replicaItem struct {
	upstream version.UpstreamID
	number   uint64
}

// queuedItem is an item to send. It stores an exception, or removes the one
// that the storing item of the same number has stored.
type queuedItem struct {
	item
	number uint64
}

type batch struct {
	seq    uint64
	items  []byte
	count  int
	sentAt time.Duration
}

// set makes the replica hold upstream for hash, or nothing if upstream is zero.
// It reports whether anything had to be queued.
func (s *stream) set(hash uint64, upstream version.UpstreamID) bool {
	old, found := s.replicaState[hash]
	if old.upstream == upstream {
		return false
	}
	if found {
		delete(s.replicaState, hash)
		s.push(queuedItem{item{hash: hash}, old.number})
	}
	if upstream == 0 {
		return true
	}
	if s.replicaState == nil {
		s.replicaState = make(map[uint64]replicaItem)
	}
	s.queuedStores++
	s.replicaState[hash] = replicaItem{upstream, s.queuedStores}
	s.push(queuedItem{item{hash, upstream}, s.queuedStores})
	return true
}

func (s *stream) push(it queuedItem) {
	s.queue = append(s.queue, it)
	s.queued++
}

// next returns the batch to send now, or nil.
func (s *stream) next(now time.Duration, urgent bool) *batch {
	if b := s.overdue(now, urgent); b != nil {
		return b
	}
	if len(s.queue) == 0 || len(s.inFlight) >= streamWindow {
		return nil
	}
	s.inFlight = append(s.inFlight, s.newBatch(now))
	return &s.inFlight[len(s.inFlight)-1]
}

// overdue returns the first batch in flight that is due to be resent, and
// restarts its timer.
func (s *stream) overdue(now time.Duration, urgent bool) *batch {
	wait := resendInterval
	if urgent {
		wait = urgentResendInterval
	}
	for i := range s.inFlight {
		b := &s.inFlight[i]
		if now-b.sentAt >= wait {
			b.sentAt = now
			return b
		}
	}
	return nil
}

// newBatch moves items from the queue into a new batch.
func (s *stream) newBatch(now time.Duration) batch {
	s.seq++
	b := batch{seq: s.seq, sentAt: now}
	for b.count < len(s.queue) && len(b.items) < maxBatchBytes {
		b.items = s.appendQueued(b.items, s.queue[b.count])
		b.count++
	}
	rest := copy(s.queue, s.queue[b.count:])
	s.queue = s.queue[:rest]
	return b
}

func (s *stream) appendQueued(b []byte, it queuedItem) []byte {
	if it.upstream == 0 {
		return appendRemove(b, s.encodedStores-it.number)
	}
	s.encodedStores++
	return appendStore(b, it.item)
}

// ack removes the batches up to seq, which are acknowledged.
func (s *stream) ack(seq uint64) {
	done := 0
	for done < len(s.inFlight) && s.inFlight[done].seq <= seq {
		s.acked += uint64(s.inFlight[done].count)
		done++
	}
	s.inFlight = append(s.inFlight[:0], s.inFlight[done:]...)
}
