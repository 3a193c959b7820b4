package owner_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"heatherport/internal/connection"
	"heatherport/internal/connection/flow"
	"heatherport/internal/measure/fleet"
)

// BenchmarkKnownConnection decides about packets of 300,000 known connections.
func BenchmarkKnownConnection(b *testing.B) {
	f := fleet.New(fleet.Config{Capacity: 600_000})
	s := f.Leader.AddService(true, idleTimeout)
	for range 15 {
		f.Leader.AddUpstream(s, 3, 0, netip.AddrPort{})
	}
	n := f.Start()
	f.Leader.Join(n)
	f.Leader.Bootstrap()
	f.Run(2 * time.Second)
	known := make([]flow.Key, 300_000)
	for i := range known {
		known[i] = fleet.Key(f.Leader.Service(s).Key, uint64(i))
		n.Engine.Decide(f.Now, &connection.Packet{Key: known[i], Flags: connection.FlagOpen, Seq: 1}, nil)
	}
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	for _, batch := range []int{1, 32, 64} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			packets := make([]connection.Packet, batch)
			for i := 0; b.Loop(); i++ {
				at := i % batch
				if at == 0 {
					fillBatch(packets, known, i)
				}
				if at == 0 && batch > 1 {
					n.Engine.Prefetch(packets)
				}
				n.Engine.Decide(f.Now, &packets[at], nil)
			}
		})
	}
}

func fillBatch(packets []connection.Packet, known []flow.Key, at int) {
	for i := range packets {
		packets[i] = connection.Packet{Key: known[(at+i)%len(known)], Flags: connection.FlagEstablished}
	}
}
