package owner

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"heatherport/internal/connection"
	"heatherport/internal/connection/flow"
	"heatherport/internal/version"
)

// A goroutine that loaded its view before a publication meets entries that
// others stored after it, at upstreams that its view does not have.
func TestStaleViewMeetsEntryOfNewerOne(t *testing.T) {
	key := version.ServiceKey{Addr: netip.AddrFrom4([4]byte{192, 0, 2, 1}), Port: 443, Protocol: version.TCP}
	publish := func(e *Engine, index uint64, upstreams int) {
		v := &version.Version{
			Index:    index,
			Services: []version.Service{{ID: 1, Key: key, IdleTimeout: time.Minute, Idempotent: true}},
			Members:  []version.Member{{ID: 1, State: version.MemberActive}},
			Owners:   version.Owners{Epoch: 1, Current: []version.MemberID{1}},
		}
		for i := range upstreams {
			id := version.UpstreamID(i + 1)
			v.Upstream = append(v.Upstream, version.Upstream{ID: id, Service: 1, Healthy: true})
			v.Services[0].Current = append(v.Services[0].Current, version.Weighted{Upstream: id, Weight: 256})
		}
		v.Services[0].Base = v.Services[0].Current[:1]
		e.Publish(time.Second, v.Seal())
	}
	e := New(Config{Self: 1, Capacity: 1 << 10})
	e.SetLease(0, true)
	publish(e, 1, 1)
	stale := e.view.Load()
	publish(e, 2, 8)
	moved := 0
	for port := range uint16(100) {
		p := connection.Packet{
			Key:   flow.Key{Src: netip.AddrFrom4([4]byte{203, 0, 113, 1}).As16(), Dst: key.Addr.As16(), SrcPort: 1000 + port, DstPort: key.Port, Protocol: key.Protocol},
			Marks: connection.MarkOpen, Seq: 1,
		}
		opened := e.Decide(time.Second, &p, nil)
		must.Eq(t, connection.Forward, opened.Action)
		if opened.Upstream > 1 {
			moved++
		}
		p.Marks = connection.MarkLater
		later := e.decideFrom(stale, time.Second, &p, nil)
		must.Eq(t, connection.Forward, later.Action, must.Sprintf("code %d", later.Code))
		must.Eq(t, opened.Upstream, later.Upstream)
	}
	must.Positive(t, moved)
}
