package owner

import (
	"sync"

	"heatherport/internal/connection/table"
	"heatherport/internal/version"
)

// exception is an exception without a table entry: received from an owner, or
// kept after this member's own entry was evicted.
type exception struct {
	upstream  version.UpstreamID
	from      version.MemberID
	alsoFrom  version.MemberID // another member that sent the same exception
	at        table.Time
	confirmed bool // received in a batch, so its removal will also arrive in one
}

const exceptionShards = 64

// exceptionStore is a compact store of exceptions, keyed by connection hash.
type exceptionStore struct {
	shards [exceptionShards]exceptionShard
}

type exceptionShard struct {
	mu sync.Mutex
	m  map[uint64]exception
	_  [48]byte
}

func newExceptions() *exceptionStore {
	x := new(exceptionStore)
	for i := range x.shards {
		x.shards[i].m = make(map[uint64]exception)
	}
	return x
}

func (x *exceptionStore) shard(hash uint64) *exceptionShard { return &x.shards[hash%exceptionShards] }

func (x *exceptionStore) get(hash uint64) (exception, bool) {
	s := x.shard(hash)
	s.mu.Lock()
	h, ok := s.m[hash]
	s.mu.Unlock()
	return h, ok
}

func (x *exceptionStore) put(hash uint64, h exception) {
	s := x.shard(hash)
	s.mu.Lock()
	s.m[hash] = h
	s.mu.Unlock()
}

func (x *exceptionStore) remove(hash uint64) {
	s := x.shard(hash)
	s.mu.Lock()
	delete(s.m, hash)
	s.mu.Unlock()
}

// merge stores an exception that a member sent. While ownership changes, the
// old and the new owner may both send the same one.
func (x *exceptionStore) merge(hash uint64, h exception) {
	s := x.shard(hash)
	s.mu.Lock()
	old := s.m[hash]
	if old.upstream == h.upstream && old.from != h.from {
		h.alsoFrom = old.from
	}
	s.m[hash] = h
	s.mu.Unlock()
}

// removeFrom deletes the exception of hash if sender sent it.
func (x *exceptionStore) removeFrom(hash uint64, sender version.MemberID) {
	s := x.shard(hash)
	s.mu.Lock()
	if h := s.m[hash]; h.from == sender || h.alsoFrom == sender {
		delete(s.m, hash)
	}
	s.mu.Unlock()
}

// sweep deletes the exceptions of the i-th shard for which remove returns true.
func (x *exceptionStore) sweep(i int, remove func(hash uint64, h exception) bool) {
	s := &x.shards[i%exceptionShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	for hash, h := range s.m {
		if remove(hash, h) {
			delete(s.m, hash)
		}
	}
}

func (x *exceptionStore) len() int {
	n := 0
	for i := range x.shards {
		s := &x.shards[i]
		s.mu.Lock()
		n += len(s.m)
		s.mu.Unlock()
	}
	return n
}
