package measure

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"heatherport/internal/connection"
	"heatherport/internal/connection/flow"
	"heatherport/internal/connection/owner"
	"heatherport/internal/connection/table"
	"heatherport/internal/measure/fleet"
	"heatherport/internal/version"
	"heatherport/internal/version/placement"
)

const (
	knownConnections = 300_000
	idleTimeout      = 10 * time.Minute
	largeServiceSize = 15
)

// newSoleOwner returns an engine that owns all slots, and the key of a service
// with 15 upstreams.
func newSoleOwner(capacity int) (*owner.Engine, version.ServiceKey) {
	f := fleet.New(fleet.Config{Capacity: capacity})
	s := f.Leader.AddService(true, idleTimeout)
	for range largeServiceSize {
		f.Leader.AddUpstream(s, 3, 0, netip.AddrPort{})
	}
	n := f.Start()
	f.Leader.Join(n)
	f.Leader.Bootstrap()
	f.Run(2 * time.Second)
	return n.Engine, f.Leader.Service(s).Key
}

func keys(s version.ServiceKey, n int) []flow.Key {
	out := make([]flow.Key, n)
	for i := range out {
		out[i] = fleet.Key(s, uint64(i))
	}
	return out
}

// forwardCost measures the decision at the owner about a packet of a known
// connection and about the first packet of a new one.
func forwardCost() []Figure {
	e, s := newSoleOwner(2 * knownConnections)
	known := keys(s, knownConnections)
	now := 3 * time.Second
	for i := range known {
		e.Decide(now, &connection.Packet{Key: known[i], Flags: connection.FlagOpen, Seq: 1}, nil)
	}
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	single := benchmarkHits(e, known, now, 1)
	hit := benchmarkHits(e, known, now, batchSize)
	opened, allocs := newConnectionCost()
	return []Figure{
		{"forward_hit_ns", float64(hit.NsPerOp()), "ns"},
		{"forward_hit_single_ns", float64(single.NsPerOp()), "ns"},
		{"forward_hit_allocs", float64(hit.AllocsPerOp()), "allocations"},
		{"forward_new_ns", opened, "ns"},
		{"forward_new_allocs", allocs, "allocations"},
	}
}

// batchSize is the number of packets that one read of a socket returns.
const batchSize = 32

// benchmarkHits measures decisions about packets of known connections. Batches
// of more than one packet are prefetched.
func benchmarkHits(e *owner.Engine, known []flow.Key, now time.Duration, batch int) testing.BenchmarkResult {
	packets := make([]connection.Packet, batch)
	return testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			at := i % batch
			if at == 0 {
				fillPackets(packets, known, i)
			}
			if at == 0 && batch > 1 {
				e.Prefetch(packets)
			}
			e.Decide(now, &packets[at], nil)
		}
	})
}

func fillPackets(packets []connection.Packet, known []flow.Key, at int) {
	for i := range packets {
		packets[i] = connection.Packet{Key: known[(at+i)%len(known)], Flags: connection.FlagEstablished}
	}
}

// newConnectionCost measures the opening of connections in a table that has held
// as many connections before.
func newConnectionCost() (ns, allocs float64) {
	e, s := newSoleOwner(knownConnections)
	callers := keys(s, knownConnections/2)
	now := 3 * time.Second
	open := func(p *connection.Packet, i int) {
		p.Key = callers[i%len(callers)]
		p.Seq++
		e.Decide(now, p, nil)
	}
	r := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		p := connection.Packet{Flags: connection.FlagOpen}
		for i := range b.N {
			if i%len(callers) == 0 {
				b.StopTimer()
				now += 2 * idleTimeout
				e.Tick(now)
				b.StartTimer()
			}
			open(&p, i)
		}
	})
	return float64(r.NsPerOp()), float64(r.AllocsPerOp())
}

// tableMemory measures the memory of a full table per connection.
func tableMemory() []Figure {
	t := table.New(knownConnections, func(*table.Entry, table.Removal) {})
	key := version.ServiceKey{Addr: netip.AddrFrom4([4]byte{192, 0, 2, 1}), Port: 443, Protocol: version.TCP}
	for i := range uint64(knownConnections) {
		k := fleet.Key(key, i)
		s := t.Lock(k.Hash())
		s.Insert(0, k.Hash(), &k, idleTimeout)
		s.Unlock()
	}
	u := t.Usage()
	return []Figure{{"bytes_per_connection", float64(u.Bytes) / float64(u.Entries), "bytes"}}
}

// placementMoves measures the share of buckets whose first choice changes when
// an upstream joins or leaves, and returns the least possible share beside it.
func placementMoves() []Figure {
	ranking := make(version.Ranking, 0, largeServiceSize)
	for i := range largeServiceSize {
		ranking = append(ranking, version.WeightedUpstream{Upstream: version.UpstreamID(i + 1), Weight: 3 * 256})
	}
	joined := append(ranking[:largeServiceSize:largeServiceSize], version.WeightedUpstream{Upstream: largeServiceSize + 1, Weight: 3 * 256})
	left := ranking[1:]
	return []Figure{
		{"moved_share_join", movedShare(ranking, joined), "share"},
		{"moved_share_join_ideal", 1.0 / (largeServiceSize + 1), "share"},
		{"moved_share_leave", movedShare(ranking, left), "share"},
		{"moved_share_leave_ideal", 1.0 / largeServiceSize, "share"},
	}
}

// movedShare returns the share of buckets whose first choice differs.
func movedShare(a, b version.Ranking) float64 {
	n := 0
	for bucket := range placement.Buckets {
		if placement.First(a, uint16(bucket)) != placement.First(b, uint16(bucket)) {
			n++
		}
	}
	return float64(n) / placement.Buckets
}
