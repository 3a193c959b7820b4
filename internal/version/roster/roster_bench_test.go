package roster_test

import (
	"fmt"
	"testing"

	"heatherport/internal/version/roster"
)

// BenchmarkTick is one tick at rest, after each member has sent a heartbeat
// without observations.
func BenchmarkTick(b *testing.B) {
	for _, size := range []struct{ members, upstreams int }{{8, 19}, {100, 1_000}, {1_000, 10_000}, {6_600, 38_000}} {
		l := newLeader(b, size.members, size.upstreams)
		v := l.machine.Version()
		b.Run(fmt.Sprintf("members=%d/upstreams=%d", size.members, size.upstreams), func(b *testing.B) {
			l.roster.Reset(l.now, v)
			for b.Loop() {
				l.roster.Tick(l.now, v)
			}
		})
	}
}

// BenchmarkHeartbeat is one heartbeat with 19 observations and two renewals.
func BenchmarkHeartbeat(b *testing.B) {
	l := newLeader(b, 8, 19)
	l.roster.Reset(l.now, l.machine.Version())
	hb := &roster.Heartbeat{Member: 1, Name: "lb0", Renewals: []roster.Renewal{{Name: "u0"}, {Name: "u1"}}}
	for _, u := range l.machine.Version().Upstream {
		hb.Observations = append(hb.Observations, roster.Observation{Upstream: u.ID, Passed: 9})
	}
	for b.Loop() {
		l.roster.Heartbeat(l.now, hb)
	}
}
