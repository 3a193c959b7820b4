package controller

import (
	"fmt"
	"net"
	"net/netip"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/shoenig/test/must"

	"heatherport/internal/process/metrics"
	"heatherport/internal/process/settings"
	"heatherport/internal/process/stream"
	"heatherport/internal/version/directory"
	"heatherport/internal/version/routing"
)

// balancers is the size of the fleet in these tests.
const balancers = 300

// fedController returns a controller, not started, with many subscribers and n
// upstreams. Its feeds end in connections that are discarded.
func fedController(t *testing.T, n int) *Controller {
	address := netip.MustParseAddrPort("127.0.0.1:7720")
	c := New(Config{
		Settings: &settings.Program{VM: settings.VM{Name: "c", Domain: "a", DataDir: t.TempDir()}, Link: settings.Endpoint{Advertise: address}, API: address},
		Log:      hclog.NewNullLogger(), Metrics: metrics.NewController(prometheus.NewRegistry()),
	})
	c.links = newLinks(t.Context(), c.self.Link, c.linkCallbacks)
	var err error
	c.table, err = routing.New(1, 0, nil, nil)
	must.NoError(t, err)
	for i := range n {
		c.directory.Merge(0, directory.Record{
			ID: fmt.Sprint("i-", i), Service: "permits", State: directory.Serving, Slots: 2, StartMillis: 1, Seq: 1,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 80),
		})
	}
	for i := range balancers {
		conn := discardConn(t)
		c.subscribers[conn] = &subscriber{Subscribe: Subscribe{Name: fmt.Sprint("b-", i)}}
	}
	return c
}

func (c *Controller) encodedUpdates() float64 { return testutil.ToFloat64(c.cfg.Metrics.FeedUpdates) }

// TestChangeIsEncodedOnceForAllBalancers bounds the work for a change by counts.
func TestChangeIsEncodedOnceForAllBalancers(t *testing.T) {
	c := fedController(t, 600)
	c.feedAll()
	must.Eq(t, 1, c.encodedUpdates()) // the full state
	full := len(c.fullFeed.frame)
	c.directory.Withdraw(0, "i-7", 1)
	c.lastFeedTime -= urgentFeedInterval
	c.feedAll()
	must.Eq(t, 2, c.encodedUpdates())
	for _, frame := range c.encoded.frames {
		must.Less(t, full/100, len(frame))
	}
	c.feedAll()
	must.Eq(t, 2, c.encodedUpdates())
}

// TestSubscribersOfAnInstantShareTheFullState checks that the full state is not
// encoded again for each subscriber while upstreams change.
func TestSubscribersOfAnInstantShareTheFullState(t *testing.T) {
	c := fedController(t, 600)
	all := c.subscribers
	c.subscribers = make(map[*stream.Conn]*subscriber)
	i := 0
	for conn, s := range all {
		c.subscribers[conn] = s
		c.directory.Withdraw(0, fmt.Sprint("i-", i), 1)
		i++
		c.lastFeedTime -= urgentFeedInterval
		c.feedAll()
	}
	// Each change is encoded for those that hold the state before it, and for the
	// new subscriber, which holds the full state.
	must.LessEq(t, 1+2*balancers, c.encodedUpdates())
	size := 0
	for _, frame := range c.encoded.frames {
		size = max(size, len(frame))
	}
	must.Less(t, len(c.fullFeed.frame), size)
	for _, s := range c.subscribers {
		must.Eq(t, c.directory.Revision(), s.state.revision)
	}
}

// TestResumedFeedCarriesTheDifference checks what a balancer is sent that holds
// most of the state already.
func TestResumedFeedCarriesTheDifference(t *testing.T) {
	f := newCluster(t)
	f.submit(f.vms[0], 7)
	f.announceThree()
	b := f.subscribe(f.vms[0], "balancer-1")
	b.await("the state", func() bool { return b.table != nil && len(b.records) == 3 })

	held := directory.New(directory.Config{})
	for _, id := range []string{"i-1", "i-2"} {
		held.Merge(0, b.records[id])
	}
	resumed := f.subscribeWith(f.vms[0], Subscribe{Name: "balancer-2", Routes: 7, Digests: held.Digests()})
	m := <-resumed.feeds
	must.True(t, m.SameRoutes)
	must.True(t, m.Resumed)
	must.Nil(t, m.Routes)
	for _, r := range m.Upstreams {
		held.Merge(0, r)
	}
	must.Eq(t, 3, held.Len())

	behind := f.subscribeWith(f.vms[0], Subscribe{Name: "balancer-3", Routes: 6, Digests: held.Digests()})
	m = <-behind.feeds
	must.False(t, m.SameRoutes)
	must.Eq(t, 7, m.Routes.Number)
	must.SliceEmpty(t, m.Upstreams)
}

// discardConn returns a connection whose messages nobody reads.
func discardConn(t *testing.T) *stream.Conn {
	conn, other := net.Pipe()
	t.Cleanup(func() { conn.Close(); other.Close() })
	return stream.NewConn(conn)
}
