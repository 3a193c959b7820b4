package owner_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"heatherport/internal/connection"
	"heatherport/internal/connection/owner"
	"heatherport/internal/measure/fleet"
	"heatherport/internal/version"
)

// A goroutine that loaded its view before a publication meets entries that
// others stored after it, at upstreams that its view does not have.
func TestStaleViewMeetsEntryOfNewerOne(t *testing.T) {
	const older, newer = 8, 16 // upstreams
	key := version.ServiceKey{Addr: netip.AddrFrom4([4]byte{192, 0, 2, 1}), Port: 443, Protocol: version.TCP}
	e := owner.New(owner.Config{Self: 1, Capacity: 1 << 10})
	e.SetLease(0, true)
	e.Publish(time.Second, soleVersion(1, key, older))
	stale := e.CurrentView()
	e.Publish(time.Second, soleVersion(2, key, newer))
	atNew := 0
	for i := range uint64(100) {
		p := connection.Packet{Key: fleet.Key(key, i), Flags: connection.FlagOpen, Seq: 1}
		opened := e.Decide(time.Second, &p, nil)
		must.Eq(t, connection.Forward, opened.Action)
		if opened.Upstream > older {
			atNew++
		}
		p.Flags = connection.FlagEstablished
		later := e.DecideFrom(stale, time.Second, &p)
		must.Eq(t, connection.Forward, later.Action, must.Sprintf("code %d", later.Code))
		must.Eq(t, opened.Upstream, later.Upstream)
	}
	must.Positive(t, atNew)
}
