package roster_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"heatherport/internal/version"
	"heatherport/internal/version/roster"
)

// benchStart is the leader's time at the start of a benchmark.
const benchStart = time.Second

// stableVersion returns a version for which the roster proposes nothing, with
// two upstreams in each service.
func stableVersion(members, upstreams int) *version.Version {
	v := &version.Version{Index: 1}
	for i := range members {
		id := version.MemberID(i + 1)
		v.Members = append(v.Members, version.Member{ID: id, Name: fmt.Sprint("lb", i), State: version.MemberActive})
		v.Owners.Current = append(v.Owners.Current, id)
	}
	for i := range upstreams {
		id := version.ServiceID(i/2 + 1)
		u := version.Upstream{
			ID:      version.UpstreamID(i + 1),
			Name:    fmt.Sprint("u", i),
			Service: id,
			Slots:   2,
			Healthy: true,
			Leased:  true,
			Ramp:    version.RampFull,
			Listed:  true,
		}
		v.Upstreams = append(v.Upstreams, u)
		if i%2 == 0 {
			key := version.ServiceKey{Addr: netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), Port: 1}
			v.Services = append(v.Services, version.Service{ID: id, Key: key, IdleTimeout: time.Minute})
		}
		s := &v.Services[len(v.Services)-1]
		s.Current = append(s.Current, version.WeightedUpstream{Upstream: u.ID, Weight: u.Weight()})
		s.Base = s.Current
	}
	return v.Seal()
}

// BenchmarkTick is one tick that proposes nothing.
func BenchmarkTick(b *testing.B) {
	for _, size := range []struct{ members, upstreams int }{{8, 19}, {100, 1_000}, {1_000, 10_000}, {6_600, 38_000}} {
		v := stableVersion(size.members, size.upstreams)
		b.Run(fmt.Sprintf("members=%d/upstreams=%d", size.members, size.upstreams), func(b *testing.B) {
			r := roster.New()
			r.Reset(benchStart, v)
			for b.Loop() {
				must.Len(b, 0, r.Tick(benchStart, v))
			}
		})
	}
}

// BenchmarkHeartbeat is one heartbeat with 29 observations and six renewals,
// the share of one of 6,600 members with 38,000 upstreams.
func BenchmarkHeartbeat(b *testing.B) {
	v := stableVersion(6_600, 38_000)
	r := roster.New()
	r.Reset(benchStart, v)
	hb := &roster.Heartbeat{Member: 1, Name: "lb0"}
	for i := range 29 {
		hb.Observations = append(hb.Observations, roster.Observation{Upstream: version.UpstreamID(i*1300 + 1), Passed: 9})
	}
	for i := range 6 {
		hb.Renewals = append(hb.Renewals, roster.Renewal{Name: fmt.Sprint("u", i*6000)})
	}
	for b.Loop() {
		r.Heartbeat(benchStart, hb)
	}
}

// BenchmarkSync is one tick with a newer version.
func BenchmarkSync(b *testing.B) {
	versions := [2]*version.Version{stableVersion(6_600, 38_000), stableVersion(6_600, 38_000)}
	r := roster.New()
	r.Reset(benchStart, versions[0])
	n := 0
	for b.Loop() {
		n++
		r.Tick(benchStart, versions[n%2])
	}
}

// BenchmarkObservers computes the observers of all upstreams.
func BenchmarkObservers(b *testing.B) {
	v := stableVersion(6_600, 38_000)
	for b.Loop() {
		o := roster.NewObservers(v)
		for i := range v.Upstreams {
			o.Observes(1, v.Upstreams[i].ID)
		}
	}
}
