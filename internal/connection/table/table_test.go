package table

import (
	"testing"
	"time"
	"unsafe"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"heatherport/internal/connection/flow"
)

const idle = 30 * time.Second

func key(i int) *flow.Key { return &flow.Key{SrcPort: uint16(i), DstPort: 443, Protocol: 6} }

func TestEntryFillsOneCacheLine(t *testing.T) {
	must.Eq(t, 64, unsafe.Sizeof(Entry{}))
}

// TestAgainstMap compares a table with a map under insertions, packets, removals
// and expiry.
func TestAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		expired := make(map[flow.Key]bool)
		tab := New(shards*64, func(e *Entry, why Removal) {
			if why == Expired {
				expired[e.Key] = true
			}
		})
		seen := make(map[flow.Key]time.Duration)
		var now time.Duration
		t.Repeat(map[string]func(*rapid.T){
			"insert": func(t *rapid.T) {
				k := key(rapid.IntRange(0, 500).Draw(t, "key"))
				s := tab.Lock(k.Hash())
				defer s.Unlock()
				if e := s.Find(k.Hash(), k); e != nil {
					e.Seen = At(now)
				} else {
					s.Insert(now, k.Hash(), k, idle)
				}
				seen[*k] = now
			},
			"remove": func(t *rapid.T) {
				k := key(rapid.IntRange(0, 500).Draw(t, "key"))
				s := tab.Lock(k.Hash())
				defer s.Unlock()
				if e := s.Find(k.Hash(), k); e != nil {
					s.Remove(e)
				}
				delete(seen, *k)
			},
			"wait": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 40_000).Draw(t, "ms")) * time.Millisecond
				tab.Expire(now)
				for k, at := range seen {
					if expired[k] && now-at < idle {
						t.Fatalf("expired %v after %v", k.SrcPort, now-at)
					}
					if now-at > idle+2*wheelStep {
						delete(seen, k)
					}
				}
				clear(expired)
			},
			"": func(t *rapid.T) {
				for k, at := range seen {
					s := tab.Lock(k.Hash())
					found := s.Find(k.Hash(), &k) != nil
					s.Unlock()
					if !found && now-at < idle {
						t.Fatalf("lost %v", k.SrcPort)
					}
				}
			},
		})
	})
}

func TestFullTableEvictsOldestAtBaseFirst(t *testing.T) {
	var evicted []*flow.Key
	tab := New(shards, func(e *Entry, why Removal) {
		if why == Evicted {
			k := e.Key
			evicted = append(evicted, &k)
		}
	})
	s := tab.Lock(0)
	defer s.Unlock()
	for i := range s.limit {
		e := s.Insert(time.Duration(i)*time.Second, uint64(i)<<shardBits, key(i), idle)
		if i >= 3 {
			e.Flags |= AtBase
		}
	}
	must.NotNil(t, s.Insert(20*time.Second, 1<<40, key(1000), idle))
	must.Len(t, 1, evicted)
	must.Eq(t, *key(3), *evicted[0])
}
