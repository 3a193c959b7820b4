package owner_test

import (
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"heatherport/internal/connection"
	"heatherport/internal/connection/owner"
	"heatherport/internal/measure/fleet"
	"heatherport/internal/version"
)

// TestConcurrentTraffic decides on several goroutines while versions, ticks and
// messages arrive. Each connection must keep its upstream.
func TestConcurrentTraffic(t *testing.T) {
	const (
		goroutines = 4
		conns      = 2000
		rounds     = 5
	)
	key := version.ServiceKey{Addr: netip.AddrFrom4([4]byte{192, 0, 2, 1}), Port: 443, Protocol: version.TCP}
	e := owner.New(owner.Config{Self: 1, Capacity: 1 << 14})
	e.SetLease(0, true)
	e.Publish(0, singleMemberVersion(1, key, 8))
	var first [conns]sync.Map
	var wg sync.WaitGroup
	for range goroutines {
		wg.Go(func() {
			for round := range rounds {
				for i := range conns {
					p := connection.Packet{Key: fleet.Key(key, uint64(i)), Flags: connection.FlagOpen, Seq: 1}
					if round > 0 {
						p.Flags = connection.FlagEstablished
					}
					batch := []connection.Packet{p}
					e.Prefetch(batch)
					d := e.Decide(time.Second, &batch[0], nil)
					first[i].Store(d.Upstream, d.Action)
				}
			}
		})
	}
	for i := range uint64(50) {
		now := time.Second + time.Duration(i)*100*time.Millisecond
		e.Publish(now, singleMemberVersion(i+2, key, 8+int(i/10)))
		e.Tick(now)
		e.Receive(now, 2, owner.Message{Load: &owner.LoadReport{Seq: i, Counts: []byte{3, 8}}})
		e.Stats()
	}
	wg.Wait()
	for i := range first {
		n := 0
		first[i].Range(func(_, action any) bool {
			must.Eq(t, connection.Forward, action.(connection.Action))
			n++
			return true
		})
		must.Eq(t, 1, n)
	}
}

// singleMemberVersion returns a version with one member and one service, of the
// given number of upstreams. The base ranks the first eight.
func singleMemberVersion(index uint64, key version.ServiceKey, upstreams int) *version.Version {
	v := &version.Version{
		Index:    index,
		Services: []version.Service{{ID: 1, Key: key, IdleTimeout: idleTimeout, Idempotent: true}},
		Members:  []version.Member{{ID: 1, State: version.MemberActive}},
		Owners:   version.Owners{Epoch: 1, Current: []version.MemberID{1}},
	}
	for i := range upstreams {
		id := version.UpstreamID(i + 1)
		v.Upstreams = append(v.Upstreams, version.Upstream{ID: id, Service: 1, Healthy: true})
		v.Services[0].Current = append(v.Services[0].Current, version.WeightedUpstream{Upstream: id, Weight: 256})
	}
	v.Services[0].Base = v.Services[0].Current[:8]
	return v.Seal()
}
