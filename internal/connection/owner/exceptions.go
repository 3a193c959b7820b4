package owner

import (
	"sync"

	"heatherport/internal/connection/table"
	"heatherport/internal/version"
)

// held is one exception without a table entry: received from an owner, or
// kept after the own entry was evicted.
type held struct {
	upstream  version.UpstreamID
	from      version.MemberID
	also      version.MemberID // another member that sent the same
	at        table.Time
	confirmed bool // came in a batch, so its removal will come in one too
}

const heldShards = 64

// exceptions is a compact store of exceptions by connection hash.
type exceptions struct {
	shards [heldShards]heldShard
}

type heldShard struct {
	mu sync.Mutex
	m  map[uint64]held
	_  [48]byte
}

func newExceptions() *exceptions {
	x := new(exceptions)
	for i := range x.shards {
		x.shards[i].m = make(map[uint64]held)
	}
	return x
}

func (x *exceptions) shard(hash uint64) *heldShard { return &x.shards[hash%heldShards] }

func (x *exceptions) get(hash uint64) (held, bool) {
	s := x.shard(hash)
	s.mu.Lock()
	h, ok := s.m[hash]
	s.mu.Unlock()
	return h, ok
}

func (x *exceptions) put(hash uint64, h held) {
	s := x.shard(hash)
	s.mu.Lock()
	s.m[hash] = h
	s.mu.Unlock()
}

func (x *exceptions) remove(hash uint64) {
	s := x.shard(hash)
	s.mu.Lock()
	delete(s.m, hash)
	s.mu.Unlock()
}

// receive stores what a member sent. While ownership changes, the old and the
// new owner may both send the same.
func (x *exceptions) receive(hash uint64, h held) {
	s := x.shard(hash)
	s.mu.Lock()
	old := s.m[hash]
	if old.upstream == h.upstream && old.from != h.from {
		h.also = old.from
	}
	s.m[hash] = h
	s.mu.Unlock()
}

// removeFrom deletes the exception of hash if it came from the member.
func (x *exceptions) removeFrom(hash uint64, from version.MemberID) {
	s := x.shard(hash)
	s.mu.Lock()
	if h := s.m[hash]; h.from == from || h.also == from {
		delete(s.m, hash)
	}
	s.mu.Unlock()
}

// sweep deletes from the i-th shard what drop selects.
func (x *exceptions) sweep(i int, drop func(hash uint64, h held) bool) {
	s := &x.shards[i%heldShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	for hash, h := range s.m {
		if drop(hash, h) {
			delete(s.m, hash)
		}
	}
}

func (x *exceptions) len() int {
	n := 0
	for i := range x.shards {
		s := &x.shards[i]
		s.mu.Lock()
		n += len(s.m)
		s.mu.Unlock()
	}
	return n
}
