package owner_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"heatherport/internal/connection"
	"heatherport/internal/measure/fleet"
	"heatherport/internal/version"
)

// TestChoiceAmongManyUpstreams opens connections to a service with more
// upstreams than one choice examines. They spread evenly, and none is refused
// while any upstream is below its limit.
func TestChoiceAmongManyUpstreams(t *testing.T) {
	const upstreams, each = 200, 10
	f := fleet.New(fleet.Config{Capacity: 4 * upstreams * each})
	s := f.Leader.AddService(false, idleTimeout)
	for range upstreams {
		f.Leader.AddUpstream(s, 1, each, netip.AddrPort{})
	}
	n := f.Start()
	f.Leader.Join(n)
	f.Leader.Bootstrap()
	f.Run(2 * time.Minute)
	open := func(i uint64) connection.Decision {
		p := connection.Packet{Key: fleet.Key(f.Leader.Service(s).Key, i), Flags: connection.FlagOpen, Seq: 1}
		return n.Engine.Decide(f.Now, &p, nil)
	}
	for i := range uint64(upstreams * each / 2) {
		must.Eq(t, connection.Forward, open(i).Action)
	}
	for id := range version.UpstreamID(upstreams) {
		must.Between(t, each/2-1, n.Engine.OpenConnections(id+1), each/2+1)
	}
	for i := range uint64(upstreams * each / 2) {
		must.Eq(t, connection.Forward, open(upstreams*each/2+i).Action)
	}
	must.Eq(t, connection.Refuse, open(upstreams*each).Action)
}
