package slopes

import (
	"time"

	"heatherport/internal/measure"
	"heatherport/internal/version"
	"heatherport/internal/version/feed"
	"heatherport/internal/version/roster"
)

// rosterPolicyCost measures the leader's roster and the heartbeats it receives
// at each size.
func rosterPolicyCost() []measure.Figure {
	var f figures
	for _, s := range sweeps() {
		fx := newFixture(s)
		v := fx.Version()
		r, heap := measureHeap(func() *roster.Roster {
			r := roster.New()
			r.Reset(0, v)
			return r
		})
		now := time.Second
		f.add(s.name("roster_heap"), heap/bytesPerMB, "MB")
		f.add(s.name("roster_tick"), nsPerOp(func() { r.Tick(now, v) })/nsPerUs, "µs")
		hb := s.heartbeat(v)
		f.add(s.name("roster_heartbeat"), nsPerOp(func() { r.Heartbeat(now, hb) })/nsPerUs, "µs")
		f.add(s.name("heartbeat_observations"), float64(len(hb.Observations)), "upstreams")
		f.add(s.name("heartbeat_bytes"), float64(encodedSize(hb)+encodedSize(feed.Position{Applied: v.Index, Digest: fx.Digest()})), "bytes")
		observerCost(&f, s, v)
	}
	return f
}

// observerCost measures the assignment of observers to upstreams, which each VM
// computes for each version.
func observerCost(f *figures, s size, v *version.Version) {
	f.add(s.name("observers_assign"), nsPerOp(func() {
		o := roster.NewObservers(v)
		for i := range v.Upstreams {
			o.Of(v.Upstreams[i].ID)
		}
	})/nsPerMs, "ms")
}

// heartbeat returns the heartbeat of a member with observations of all upstreams
// that it observes.
func (s size) heartbeat(v *version.Version) *roster.Heartbeat {
	hb := &roster.Heartbeat{Member: 1, Name: memberName(0), Incarnation: 1, Applied: v.Index, Settled: v.Index}
	observers := roster.NewObservers(v)
	for i := range v.Upstreams {
		if id := v.Upstreams[i].ID; observers.Observes(1, id) {
			hb.Observations = append(hb.Observations, roster.Observation{Upstream: id, Passed: 1000})
		}
	}
	return hb
}
