package fleet

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"heatherport/internal/version"
)

// start returns a settled fleet of members and one service of upstreams.
func start(cfg Config, members, upstreams int) (*Fleet, version.ServiceID) {
	f := New(cfg)
	s := f.Leader.AddService(false, 10*time.Minute)
	for range upstreams {
		f.Leader.AddUpstream(s, 3, 0, netip.AddrPort{})
	}
	for range members {
		f.Leader.Join(f.Start())
	}
	f.Leader.Bootstrap()
	f.Run(2 * time.Second)
	return f, s
}

var typical = Config{Seed: 1, Delay: 1500 * time.Microsecond, Jitter: time.Millisecond, MaxApplyDelay: 300 * time.Millisecond, Capacity: 1 << 15}

func TestSteadyTrafficIsNotBroken(t *testing.T) {
	f, s := start(typical, 8, 15)
	tr := &Traffic{Service: s, ConnectionRate: 300, MeanLifetime: 5 * time.Second, PacketsPerConnection: 100}
	tr.Attach(f)
	f.Run(20 * time.Second)
	t.Logf("opened %d open %d packets %d relays %d records %d refreshes %d hints %d lost %d imbalance %.3f",
		tr.Opened, tr.OpenConnections(), f.Packets, f.Relays, f.ExceptionRelays, f.Refreshes, f.Hints, tr.Dropped, tr.Imbalance(f.Leader.Upstreams(s, version.Active)))
	for _, n := range f.Nodes {
		st := n.Engine.Stats()
		t.Logf("%d bytes/s %d limit %.3f %+v", n.ID, n.ControlBytes/22, st.Limit, st)
	}
	must.Eq(t, 0, tr.Broken)
	must.Eq(t, 0, tr.Refused)
}
