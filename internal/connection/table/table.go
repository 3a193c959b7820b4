// Package table implements a bounded hash table of connections, sharded for
// concurrent traffic goroutines. Entries are stored in one array and linked by
// number, so that an insertion does not allocate memory. A timing wheel per
// shard finds expired entries without a scan of the table.
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
	shardBits = 8
	shards    = 1 << shardBits
	none      = int32(-1) // end of a list of entries

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
	AtBase                     // the upstream was the first choice of the base ranking when stored
	Assumed                    // inferred from the base ranking, not from an opening packet
	Recorded                   // the standby has acknowledged the exception
)

// Entry holds the state of one connection. It fills one cache line, so that a
// hit reads one cache line of the index and one of the entries.
type Entry struct {
	Key       flow.Key
	Flags     Flags
	used      bool
	Idle      uint16             // idle timeout in seconds
	Epoch     uint16             // low bits of the owner epoch at Refreshed
	Upstream  version.UpstreamID // zero until filled in
	ISN       uint32             // sequence number of the opening packet; zero if not seen
	Seen      Time               // last packet
	Refreshed Time               // last time that the owner was sent a refresh
	// prefetchWord is never written, so that Prefetch may read it without the
	// lock.
	prefetchWord uint32
}

// reset makes e the entry of key, or an unused one if key is zero. It does not
// write prefetchWord.
func (e *Entry) reset(key flow.Key, now Time, idle uint16, used bool) {
	e.Key = key
	e.Flags, e.used = 0, used
	e.Idle, e.Epoch = idle, 0
	e.Upstream, e.ISN = 0, 0
	e.Seen, e.Refreshed = now, now
}

// Hash returns the connection hash of e.
func (e *Entry) Hash() uint64 { return e.Key.Hash() }

// link holds the wheel and free-list links of an entry, which packets do not
// access.
type link struct {
	prev, next int32 // neighbours in the wheel slot; next also links the free list
	slot       int16
}

// Table is a sharded connection table.
type Table struct {
	shards [shards]Shard
	// backing holds the arrays that the shards use slices of. The kernel
	// allocates their pages when entries are first used.
	backing struct {
		entries []Entry
		links   []link
		cells   []cell
	}
}

// Shard is the part of a Table under one lock. Its methods require the lock.
type Shard struct {
	mu         sync.Mutex
	index      index
	entries    []Entry
	links      []link
	freeList   int32 // first unused entry that was used before, or none
	unusedFrom int32 // entries from this number on were never used
	count      int
	limit      int
	evicted    uint64
	wheel      wheel
	onRemove   func(*Entry, Removal)
	_          [64]byte // keeps locks on separate cache lines
}

// Removal is the reason for which the table removed an entry.
type Removal uint8

// The reasons for a removal.
const (
	Expired Removal = iota // idle for longer than its timeout
	Evicted                // removed to make room
)

// MaxCapacity is the largest capacity of a table.
const MaxCapacity = shards * maxLimit * 16 / 17

// New returns a table for capacity entries, at most MaxCapacity. onRemove is
// called, with the shard locked, for every entry that the table expires or
// evicts.
func New(capacity int, onRemove func(*Entry, Removal)) *Table {
	t := new(Table)
	perShard := min(max(capacity/shards+capacity/shards/16, 8), maxLimit)
	cells := indexSize(perShard)
	t.backing.entries = make([]Entry, shards*perShard)
	t.backing.links = make([]link, shards*perShard)
	t.backing.cells = make([]cell, shards*cells)
	adviseHugePages(t.backing.entries)
	adviseHugePages(t.backing.cells)
	for i := range t.shards {
		s := &t.shards[i]
		s.entries = t.backing.entries[i*perShard : (i+1)*perShard]
		s.links = t.backing.links[i*perShard : (i+1)*perShard]
		s.index = index{t.backing.cells[i*cells : (i+1)*cells], uint32(cells - 1)}
		s.freeList, s.limit, s.onRemove = none, perShard, onRemove
		s.wheel.init()
	}
	return t
}

// Lock locks and returns the shard of hash.
func (t *Table) Lock(hash uint64) *Shard {
	s := &t.shards[hash&(shards-1)]
	s.mu.Lock()
	return s
}

// Unlock releases the shard.
func (s *Shard) Unlock() { s.mu.Unlock() }

func (s *Shard) at(i int32) *Entry { return &s.entries[i] }

func (s *Shard) link(i int32) *link { return &s.links[i] }

// Find returns the entry of key, or nil. The entry is valid until Unlock.
func (s *Shard) Find(hash uint64, key *flow.Key) *Entry {
	t := tagOf(hash)
	for at := s.index.home(t); ; at = s.index.nextCell(at) {
		c := s.index.load(at)
		if c == 0 {
			return nil
		}
		if c.tag() != t {
			continue
		}
		if e := s.at(c.entry()); e.Key == *key {
			return e
		}
	}
}

// Prefetch loads the memory that look-ups of these hashes will read into the CPU
// cache. Its memory accesses overlap, while those of look-ups under the shard
// locks are serialised. It takes no lock and does not change the result of
// look-ups. The returned sum depends on all reads and has no other meaning.
func (t *Table) Prefetch(hashes []uint64) uint32 {
	var sum uint32
	for _, h := range hashes {
		x := &t.shards[h&(shards-1)].index
		sum += uint32(x.load(x.home(tagOf(h))))
	}
	for _, h := range hashes {
		sum += t.shards[h&(shards-1)].prefetch(tagOf(h))
	}
	return sum
}

// prefetch reads the first entry that Find would compare.
func (s *Shard) prefetch(tag uint32) uint32 {
	at := s.index.home(tag)
	for range prefetchProbes {
		c := s.index.load(at)
		if c == 0 {
			return 0
		}
		if c.tag() == tag {
			return s.at(c.entry()).prefetchWord
		}
		at = s.index.nextCell(at)
	}
	return 0
}

// prefetchProbes is the maximum number of cells that Prefetch reads for one
// hash.
const prefetchProbes = 8

// Insert adds an entry for key, which must not be present. It evicts an entry if
// the shard is full and returns nil if none can be evicted.
func (s *Shard) Insert(now time.Duration, hash uint64, key *flow.Key, idle time.Duration) *Entry {
	if s.count >= s.limit && !s.evict(now) {
		return nil
	}
	i := s.allocate()
	e := s.at(i)
	e.reset(*key, At(now), seconds(idle), true)
	s.index.add(tagOf(hash), i)
	s.count++
	s.wheel.add(s, i, expiry(e))
	return e
}

func seconds(d time.Duration) uint16 {
	return uint16(min(max(d/time.Second, 1), 1<<16-1))
}

// allocate returns the number of an unused entry.
func (s *Shard) allocate() int32 {
	i := s.freeList
	if i == none {
		s.unusedFrom++
		return s.unusedFrom - 1
	}
	s.freeList = s.link(i).next
	return i
}

// Remove deletes the entry e.
func (s *Shard) Remove(e *Entry) {
	at := s.index.home(tagOf(e.Hash()))
	for s.index.load(at) == 0 || s.at(s.index.load(at).entry()) != e {
		at = s.index.nextCell(at)
	}
	i := s.index.load(at).entry()
	s.index.remove(at)
	s.wheel.remove(s, i)
	e.reset(flow.Key{}, 0, 0, false)
	s.link(i).next = s.freeList
	s.freeList = i
	s.count--
}

// evictionSample is the maximum number of entries that one eviction compares.
const evictionSample = 16

// evict removes one of the next entries of the wheel: the one that has been idle
// longest. Closed entries are preferred, then entries that can be recomputed
// from the base ranking.
func (s *Shard) evict(now time.Duration) bool {
	var victim *Entry
	var highest uint64
	sampled := 0
	s.wheel.visit(s, func(e *Entry) bool {
		if v := evictionRank(now, e); victim == nil || v > highest {
			victim, highest = e, v
		}
		sampled++
		return sampled < evictionSample
	})
	if victim == nil {
		return false
	}
	s.evicted++
	s.onRemove(victim, Evicted)
	s.Remove(victim)
	return true
}

func evictionRank(now time.Duration, e *Entry) uint64 {
	v := uint64(At(now) - e.Seen)
	if e.Flags&AtBase != 0 {
		v |= 1 << 32
	}
	if e.Flags&Closed != 0 {
		v |= 1 << 33
	}
	return v
}

// Expire removes the entries whose idle timeout has passed. It reads only the
// wheel slots that are due.
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

// Scan calls f for every entry of shard i with the shard locked.
func (t *Table) Scan(i int, f func(*Entry)) {
	s := &t.shards[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	for j := range s.entries[:s.unusedFrom] {
		if s.entries[j].used {
			f(&s.entries[j])
		}
	}
}

// Usage describes the size of a table.
type Usage struct {
	Entries int
	Evicted uint64
	Bytes   int // memory allocated for all entries, indexes and wheels
}

const entryBytes = int(unsafe.Sizeof(Entry{}) + unsafe.Sizeof(link{}))

// Usage returns the current size of t.
func (t *Table) Usage() Usage {
	var u Usage
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		u.Entries += s.count
		u.Evicted += s.evicted
		u.Bytes += len(s.index.cells)*int(unsafe.Sizeof(cell(0))) + len(s.entries)*entryBytes + int(unsafe.Sizeof(*s))
		s.mu.Unlock()
	}
	return u
}
