package feed

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"heatherport/internal/result"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// text is a Target whose state is the concatenation of all entries.
type text struct {
	index uint64
	data  []byte
}

func (s *text) ApplyEntry(e Entry) error {
	if e.Index <= s.index {
		return result.Errorf(result.Internal, "index %d applied twice", e.Index)
	}
	s.index = e.Index
	s.data = append(s.data, e.Data...)
	return nil
}

func (s *text) Install(index uint64, data []byte) error {
	s.index = index
	s.data = append([]byte(nil), data...)
	return nil
}

func (s *text) Position() (uint64, uint64) { return s.index, xxhash.Sum64(s.data) }

// TestConvergence loses, duplicates and reorders messages while entries are
// applied; a subscriber must follow without ever going back, and reach the
// source's state once the network is quiet.
func TestConvergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var origin, follower text
		_, digest := origin.Position()
		source := NewSource(0, digest, func() []byte { return append([]byte(nil), origin.data...) })
		sink := NewSink(&follower)
		var now time.Duration
		var network []Outgoing
		apply := func(size int) {
			e := Entry{Index: origin.index + uint64(rapid.IntRange(1, 3).Draw(t, "gap")), Data: make([]byte, size)}
			e.Data[0] = byte(e.Index)
			must.NoError(t, origin.ApplyEntry(e))
			_, digest := origin.Position()
			network = append(network, source.Publish(now, e, digest)...)
		}
		deliver := func(i int) {
			before := follower.index
			news, err := sink.Receive(network[i].Message)
			must.NoError(t, err)
			must.GreaterEq(t, before, follower.index)
			if news {
				network = append(network, source.HandlePosition(now, "b", sink.Position())...)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"apply": func(t *rapid.T) { apply(rapid.SampledFrom([]int{1, 100, batchBytes}).Draw(t, "size")) },
			"many": func(*rapid.T) {
				for range historyCapacity + 1 {
					apply(1)
				}
			},
			"heartbeat": func(*rapid.T) { network = append(network, source.HandlePosition(now, "b", sink.Position())...) },
			"wait":      func(*rapid.T) { now += 2 * time.Second },
			"restart": func(*rapid.T) {
				follower = text{}
				sink = NewSink(&follower)
			},
			"deliver": func(t *rapid.T) {
				if len(network) == 0 {
					t.Skip("network empty")
				}
				i := rapid.IntRange(0, len(network)-1).Draw(t, "message")
				deliver(i)
				if rapid.Bool().Draw(t, "consume") {
					network = append(network[:i], network[i+1:]...)
				}
			},
			"lose": func(*rapid.T) { network = nil },
		})
		network = nil
		for range 200 {
			network = append(network, source.HandlePosition(now, "b", sink.Position())...)
			for i := 0; i < len(network); i++ {
				deliver(i)
			}
			network = nil
		}
		must.Eq(t, origin.index, follower.index)
		must.Eq(t, string(origin.data), string(follower.data))
	})
}

// TestDivergedSubscriberGetsSnapshot: a state that differs from the source's
// at the same index is replaced, not extended.
func TestDivergedSubscriberGetsSnapshot(t *testing.T) {
	origin := text{index: 5, data: []byte("right")}
	_, digest := origin.Position()
	source := NewSource(5, digest, func() []byte { return origin.data })
	follower := text{index: 5, data: []byte("wrong")}
	sink := NewSink(&follower)
	out := source.HandlePosition(0, "b", sink.Position())
	must.Len(t, 1, out)
	must.NotNil(t, out[0].Message.Chunk)
	_, err := sink.Receive(out[0].Message)
	must.NoError(t, err)
	must.Eq(t, "right", string(follower.data))
}
