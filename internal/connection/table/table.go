// Package table is a bounded hash table of connections, sharded for many
// traffic goroutines. Entries live in slabs and are linked by index, so that
// an insertion allocates nothing in steady state. A timing wheel per shard
// finds expired entries without scanning the table.
//
// Keys are compared in full: two connections never share an entry.
package table

import (
	"sync"
	"time"
	"unsafe"

	"heatherport/internal/connection/flow"
	"heatherport/internal/version"
)

const (
	shardBits   = 7
	shards      = 1 << shardBits
	slabBits    = 9 // log2 of the entries in a slab
	slabEntries = 1 << slabBits
	none        = int32(-1)

	// Unit is the resolution of the times in an Entry.
	Unit = 10 * time.Millisecond
)

// Time is a time in units of Unit since the start.
type Time uint32

// At converts a duration since the start.
func At(now time.Duration) Time { return Time(now / Unit) }

// Flags describe an entry.
type Flags uint8

// The flags of an entry.
const (
	Closed   Flags = 1 << iota // a FIN or RST was seen
	Counted                    // counted in the load of the upstream
	AtBase                     // the upstream was the base's first choice when stored
	Assumed                    // inferred from the base, not from an opening packet
	Recorded                   // the standby has confirmed the exception
)

// Entry is what is known of one connection.
type Entry struct {
	Hash     uint64
	Key      flow.Key
	Flags    Flags
	Upstream version.UpstreamID
	ISN      uint32 // sequence number of the opening packet; zero if not seen
	Seen     Time   // last packet
	Told     Time   // last time the owner was told of the connection
	Idle     uint16 // idle timeout in seconds
	Epoch    uint16 // low bits of the owner epoch at Told

	chain                int32
	wheelPrev, wheelNext int32
	wheelSlot            int16
	used                 bool
}

// Table is a sharded connection table.
type Table struct {
	shards [shards]Shard
}

// Shard is one lock's share of a Table. Its methods need the lock.
type Shard struct {
	mu      sync.Mutex
	heads   []int32
	slabs   []*[slabEntries]Entry
	free    int32
	used    int
	limit   int
	evicted uint64
	wheel   wheel
	onLost  func(*Entry, Loss)
	_       [64]byte // keeps locks on separate cache lines
}

// Loss says why an entry was removed by the table.
type Loss uint8

// The reasons for a loss.
const (
	Expired Loss = iota // idle for longer than its timeout
	Evicted             // removed to make room
)

// New returns a table for capacity entries. lost is called, with the shard
// locked, for every entry that the table removes by itself.
func New(capacity int, lost func(*Entry, Loss)) *Table {
	t := new(Table)
	per := max(capacity/shards+capacity/shards/16, 8)
	for i := range t.shards {
		t.shards[i].init(per, lost)
	}
	return t
}

func (s *Shard) init(limit int, lost func(*Entry, Loss)) {
	size := 8
	for size < limit {
		size <<= 1
	}
	s.heads = make([]int32, size)
	for i := range s.heads {
		s.heads[i] = none
	}
	s.free, s.limit, s.onLost = none, limit, lost
	s.wheel.init()
}

// Lock locks and returns the shard of hash.
func (t *Table) Lock(hash uint64) *Shard {
	s := &t.shards[hash&(shards-1)]
	s.mu.Lock()
	return s
}

// Unlock releases the shard.
func (s *Shard) Unlock() { s.mu.Unlock() }

func (s *Shard) at(i int32) *Entry { return &s.slabs[i>>slabBits][i&(slabEntries-1)] }

func (s *Shard) head(hash uint64) *int32 {
	return &s.heads[hash>>shardBits&uint64(len(s.heads)-1)]
}

// Find returns the entry of key, or nil. It is valid until Unlock.
func (s *Shard) Find(hash uint64, key *flow.Key) *Entry {
	for i := *s.head(hash); i != none; {
		e := s.at(i)
		if e.Hash == hash && e.Key == *key {
			return e
		}
		i = e.chain
	}
	return nil
}

// Insert adds an entry for key, which must not be present, and makes room by
// eviction when the shard is full. It returns nil when no entry may go.
func (s *Shard) Insert(now time.Duration, hash uint64, key *flow.Key, idle time.Duration) *Entry {
	if s.used >= s.limit && !s.evict(now) {
		return nil
	}
	i := s.take()
	e := s.at(i)
	head := s.head(hash)
	*e = Entry{Hash: hash, Key: *key, Seen: At(now), Told: At(now), Idle: seconds(idle), chain: *head, used: true}
	*head = i
	s.used++
	s.wheel.add(s, i, due(e))
	return e
}

func seconds(d time.Duration) uint16 {
	return uint16(min(max(d/time.Second, 1), 1<<16-1))
}

// take returns the index of an unused entry, from a new slab if need be.
func (s *Shard) take() int32 {
	if s.free == none {
		s.grow()
	}
	i := s.free
	s.free = s.at(i).chain
	return i
}

func (s *Shard) grow() {
	base := int32(len(s.slabs)) << slabBits
	s.slabs = append(s.slabs, new([slabEntries]Entry))
	for i := base + slabEntries - 1; i >= base; i-- {
		s.at(i).chain = s.free
		s.free = i
	}
}

// Remove deletes the entry e.
func (s *Shard) Remove(e *Entry) {
	p := s.head(e.Hash)
	for *p != none && s.at(*p) != e {
		p = &s.at(*p).chain
	}
	if *p == none {
		return
	}
	i := *p
	*p = e.chain
	s.wheel.remove(s, i)
	*e = Entry{chain: s.free}
	s.free = i
	s.used--
}

// evictionSample bounds the entries that one eviction looks at.
const evictionSample = 16

// evict removes the entry that has been idle longest among the next ones of
// the wheel, and prefers closed ones and those that the base can recompute.
func (s *Shard) evict(now time.Duration) bool {
	var victim *Entry
	var worst uint64
	seen := 0
	s.wheel.visit(s, func(e *Entry) bool {
		if v := evictionValue(now, e); victim == nil || v > worst {
			victim, worst = e, v
		}
		seen++
		return seen < evictionSample
	})
	if victim == nil {
		return false
	}
	s.evicted++
	s.onLost(victim, Evicted)
	s.Remove(victim)
	return true
}

func evictionValue(now time.Duration, e *Entry) uint64 {
	v := uint64(At(now) - e.Seen)
	if e.Flags&AtBase != 0 {
		v |= 1 << 32
	}
	if e.Flags&Closed != 0 {
		v |= 1 << 33
	}
	return v
}

// Expire removes the entries whose idle timeout has passed. It looks only at
// the wheel slots that have come due.
func (t *Table) Expire(now time.Duration) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		s.wheel.advance(s, now)
		s.mu.Unlock()
	}
}

// ShardCount is the number of shards, for Scan.
const ShardCount = shards

// Scan calls f for every entry of the i-th shard with the shard locked.
func (t *Table) Scan(i int, f func(*Entry)) {
	s := &t.shards[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, slab := range s.slabs {
		for j := range slab {
			if slab[j].used {
				f(&slab[j])
			}
		}
	}
}

// Usage is the size of a table.
type Usage struct {
	Entries int
	Evicted uint64
	Bytes   int // memory held by slabs, heads and wheels
}

// Usage returns the size of t.
func (t *Table) Usage() Usage {
	var u Usage
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		u.Entries += s.used
		u.Evicted += s.evicted
		u.Bytes += len(s.heads)*4 + len(s.slabs)*int(unsafe.Sizeof([slabEntries]Entry{})) + int(unsafe.Sizeof(*s))
		s.mu.Unlock()
	}
	return u
}
