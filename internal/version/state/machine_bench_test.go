package state_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"

	"heatherport/internal/result"
	"heatherport/internal/version/state"
)

// upstreamsPerService is the size of a service in the benchmarks.
const upstreamsPerService = 2

func upstreamAddr(i int) string { return fmt.Sprintf("10.%d.%d.%d:5555", i>>16, i>>8&255, i&255) }

// fleetRows returns the rows of a sheet with n upstreams; limit is the
// connection limit of the first.
func fleetRows(n, limit int) []string {
	rows := make([]string, 0, 2*n)
	for i := range n / upstreamsPerService {
		rows = append(rows, fmt.Sprintf("service,s%d,192.0.%d.%d,tcp,443,10m,no", i, i>>8, i&255))
	}
	for i := range n {
		rows = append(rows, fmt.Sprintf("upstream,s%d,u%d,active,3,%d", i/upstreamsPerService, i, limit))
		limit = 2000
	}
	return rows
}

// newFilledReplica returns a replica with n registered upstreams.
func newFilledReplica(b *testing.B, n int) *replica {
	r := newReplica(b)
	r.mustApply(result.OK, submit(b, 1, fleetRows(n, 2000)...))
	for i := range n {
		r.mustApply(result.OK, register(fmt.Sprint("s", i/upstreamsPerService), fmt.Sprint("u", i), upstreamAddr(i+1), 1))
	}
	r.Version()
	return r
}

// BenchmarkApplyRegister replaces an upstream with a newer incarnation. With
// version=true it also builds a version after each command.
func BenchmarkApplyRegister(b *testing.B) {
	for _, n := range []int{100, 1_000, 10_000, 38_000} {
		r := newFilledReplica(b, n)
		for _, publish := range []bool{false, true} {
			b.Run(fmt.Sprintf("upstreams=%d/version=%t", n, publish), func(b *testing.B) {
				c := register("s0", "u0", upstreamAddr(1), 1)
				c.RegisterUpstream.Addr = netip.MustParseAddrPort(upstreamAddr(1))
				c.RegisterUpstream.Incarnation = r.Index()
				for b.Loop() {
					c.RegisterUpstream.Incarnation++
					o := r.apply(c)
					must.Eq(b, result.OK, o.Code)
					if publish {
						r.Version()
					}
				}
			})
		}
	}
}

func BenchmarkApplyStatus(b *testing.B) {
	r := newFilledReplica(b, 38_000)
	load := uint8(0)
	id := r.Version().Upstreams[0].ID
	for b.Loop() {
		load++
		o := r.apply(status(state.StatusUpdate{ID: id, LoadFactor: new(load)}))
		must.Eq(b, result.OK, o.Code)
		r.Version()
	}
}

func BenchmarkSnapshot(b *testing.B) {
	r := newFilledReplica(b, 38_000)
	for b.Loop() {
		b.SetBytes(int64(len(r.Snapshot())))
	}
}

// BenchmarkSubmitSheet submits a sheet that changes one upstream.
func BenchmarkSubmitSheet(b *testing.B) {
	r := newFilledReplica(b, 38_000)
	number := 1
	for b.Loop() {
		b.StopTimer()
		number++
		c := submit(b, number, fleetRows(38_000, number)...)
		b.StartTimer()
		r.mustApply(result.OK, c)
		r.Version()
	}
}
