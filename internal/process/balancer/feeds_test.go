package balancer

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"

	"heatherport/internal/connection/affinity"
	"heatherport/internal/process/controller"
	"heatherport/internal/process/metrics"
	"heatherport/internal/process/settings"
	"heatherport/internal/process/stream"
	"heatherport/internal/standin/loopback"
	"heatherport/internal/version/directory"
	"heatherport/internal/version/routing"
)

// waitTimeout bounds each wait in these tests.
const waitTimeout = 20 * time.Second

// linkPort is the port of all links.
const linkPort = 7720

// fakeController sends what a test passes to it and records the messages of
// balancers.
type fakeController struct {
	t          *testing.T
	address    netip.AddrPort
	stop       context.CancelFunc
	listener   net.Listener
	subscribed chan *stream.Conn
	suspicions chan controller.SuspicionReport
	pins       chan controller.Pins
	last       atomic.Pointer[controller.Subscribe]
}

// lastSubscribe returns the last subscription.
func (f *fakeController) lastSubscribe() controller.Subscribe { return *f.last.Load() }

// startFakes starts n fake controllers at one port and different addresses.
func startFakes(t *testing.T, n int) []*fakeController {
	var out []*fakeController
	network, err := loopback.Reserve()
	must.NoError(t, err)
	t.Cleanup(network.Release)
	for i := range n {
		address := netip.AddrPortFrom(network.Host(byte(i+1)), linkPort)
		l, err := net.Listen("tcp", address.String())
		must.NoError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		f := &fakeController{t: t, address: address, stop: cancel, listener: l, subscribed: make(chan *stream.Conn, 10), suspicions: make(chan controller.SuspicionReport, 10), pins: make(chan controller.Pins, 10)}
		go stream.Serve(ctx, l, stream.Callbacks{Handle: func(c *stream.Conn, kind stream.Kind, body []byte) {
			var d controller.SuspicionReport
			var s controller.Subscribe
			var p controller.Pins
			switch {
			case kind == controller.KindPins && stream.Decode(body, &p) == nil:
				f.pins <- p
			case kind == controller.KindSubscribe && stream.Decode(body, &s) == nil:
				f.last.Store(&s)
				f.subscribed <- c
			case kind == controller.KindSuspicionReport && stream.Decode(body, &d) == nil:
				f.suspicions <- d
			}
		}})
		t.Cleanup(f.end)
		out = append(out, f)
	}
	return out
}

func (f *fakeController) end() {
	f.stop()
	f.listener.Close()
}

// feed waits for the next subscription and answers it with an update.
func (f *fakeController) feed(m controller.FeedUpdate) *stream.Conn {
	f.t.Helper()
	select {
	case c := <-f.subscribed:
		f.send(c, m)
		return c
	case <-time.After(waitTimeout):
		f.t.Fatal("no subscription")
		return nil
	}
}

func (f *fakeController) send(c *stream.Conn, m controller.FeedUpdate) {
	frame, err := stream.Encode(controller.KindFeedUpdate, m)
	must.NoError(f.t, err)
	must.True(f.t, c.Send(frame))
}

func newBalancer(s *settings.Program) *Balancer {
	return New(Config{Settings: s, Log: hclog.NewNullLogger(), Codec: testCodec{}, Metrics: metrics.NewBalancer(prometheus.NewRegistry())})
}

// startBalancer starts a balancer with controllers as seeds.
func startBalancer(t *testing.T, seeds ...*fakeController) *Balancer {
	s := &settings.Program{
		VM:      settings.VM{Name: "akure-1", Domain: "akure", StopTimeout: time.Second},
		Packets: netip.MustParseAddrPort("127.0.0.1:0"), Lifetime: time.Minute, Heartbeat: time.Second,
		Link: settings.Endpoint{Advertise: seeds[0].address},
	}
	for _, seed := range seeds {
		s.Seeds = append(s.Seeds, seed.address)
	}
	b := newBalancer(s)
	must.NoError(t, b.Start(context.Background()))
	t.Cleanup(func() {
		b.cancel()
		_ = b.forwarder.stop()
	})
	return b
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

func routes(t *testing.T, number uint64) *routing.Table {
	table, err := routing.New(number, 0, []string{"permits"}, nil)
	must.NoError(t, err)
	return table
}

func fullUpdate(t *testing.T, number uint64, confirmed bool) controller.FeedUpdate {
	d := routes(t, number).Diff(nil)
	return controller.FeedUpdate{Confirmed: confirmed, Routes: &d}
}

func (b *Balancer) number() uint64 {
	if v := b.view.Load(); v.Routes != nil {
		return v.Routes.Number
	}
	return 0
}

func upstreamRecord(lapsed bool) directory.Record {
	return directory.Record{
		ID: "i-1", Handle: 1, Service: "permits", Address: netip.MustParseAddrPort("192.0.2.1:80"),
		State: directory.Serving, Slots: 1, StartMillis: 1, Seq: 1, Lapsed: lapsed,
	}
}

func TestReadyOnlyWithRoutes(t *testing.T) {
	f := startFakes(t, 1)
	b := startBalancer(t, f...)
	c := f[0].feed(controller.FeedUpdate{Confirmed: true})
	must.False(t, b.Ready())
	f[0].send(c, fullUpdate(t, 3, true))
	eventually(t, "ready", b.Ready)
	must.Eq(t, 3, b.number())
	must.True(t, b.view.Load().Confirmed)
	b.stopping.Store(true)
	must.False(t, b.Ready())
}

func TestReadyWithUnconfirmedStateAfterTimeout(t *testing.T) {
	f := startFakes(t, 1)
	b := startBalancer(t, f...)
	f[0].feed(fullUpdate(t, 3, false))
	eventually(t, "ready", b.Ready)
	must.False(t, b.view.Load().Confirmed)
}

// TestOlderVersionIsIgnored sends an older version after a newer one, from
// another controller and on a new connection.
func TestOlderVersionIsIgnored(t *testing.T) {
	f := startFakes(t, 2)
	b := startBalancer(t, f...)
	first := f[0].feed(fullUpdate(t, 5, true))
	second := f[1].feed(fullUpdate(t, 4, true))
	eventually(t, "the newer version", func() bool { return b.number() == 5 })
	next := routes(t, 6).Diff(routes(t, 4))
	f[1].send(second, controller.FeedUpdate{Confirmed: true, Routes: &next})
	eventually(t, "the newest version", func() bool { return b.number() == 6 })
	first.Close()
	f[0].feed(fullUpdate(t, 5, true))
	delta := routes(t, 7).Diff(routes(t, 6))
	f[1].send(second, controller.FeedUpdate{Confirmed: true, Routes: &delta})
	eventually(t, "version 7", func() bool { return b.number() == 7 })
}

func TestInapplicableDeltaRestartsFeed(t *testing.T) {
	f := startFakes(t, 1)
	b := startBalancer(t, f...)
	c := f[0].feed(fullUpdate(t, 5, true))
	delta := routes(t, 9).Diff(routes(t, 8))
	f[0].send(c, controller.FeedUpdate{Confirmed: true, Routes: &delta})
	f[0].feed(fullUpdate(t, 9, true))
	eventually(t, "version 9", func() bool { return b.number() == 9 })
}

func TestLostFeedIsReplacedByListedController(t *testing.T) {
	f := startFakes(t, 3)
	b := startBalancer(t, f[0])
	m := fullUpdate(t, 1, true)
	for _, other := range f {
		m.Controllers = append(m.Controllers, controller.Member{Link: other.address})
	}
	f[0].feed(m)
	eventually(t, "the first version", func() bool { return b.number() == 1 })
	f[0].end()
	// Both other controllers are known now and feed the balancer.
	f[1].feed(fullUpdate(t, 2, true))
	f[2].feed(fullUpdate(t, 3, true))
	eventually(t, "the newest version", func() bool { return b.number() == 3 })
}

func TestUpstreamLapsesOnlyIfLapsedInAllFeeds(t *testing.T) {
	f := startFakes(t, 2)
	b := startBalancer(t, f...)
	m := fullUpdate(t, 1, true)
	m.Upstreams = []directory.Record{upstreamRecord(true)}
	first := f[0].feed(m)
	m.Upstreams = []directory.Record{upstreamRecord(false)}
	second := f[1].feed(m)
	lapsed := func() bool {
		u := b.view.Load().Upstream((&m.Upstreams[0]).Tag())
		return u != nil && u.Lapsed
	}
	known := func() bool { return b.view.Load().Upstream((&m.Upstreams[0]).Tag()) != nil }
	eventually(t, "the upstream is known", known)
	f[1].send(second, controller.FeedUpdate{Confirmed: true, Upstreams: []directory.Record{upstreamRecord(true)}})
	eventually(t, "lapsed", lapsed)
	f[0].send(first, controller.FeedUpdate{Confirmed: true, Upstreams: []directory.Record{upstreamRecord(false)}})
	eventually(t, "not lapsed", func() bool { return !lapsed() })
}

func TestSuspicionsReachAllFeeds(t *testing.T) {
	f := startFakes(t, 2)
	b := startBalancer(t, f...)
	for _, c := range f {
		c.feed(fullUpdate(t, 1, true))
	}
	eventually(t, "two feeds", func() bool { return b.countOpenFeeds() == 2 })
	suspicions := []affinity.Suspicion{{Upstream: 7, Cause: affinity.Overdue}, {Upstream: 9, Cause: affinity.Abandoned}}
	b.post(func() { b.reportSuspicions(suspicions) })
	for _, c := range f {
		select {
		case got := <-c.suspicions:
			must.Eq(t, controller.SuspicionReport{Tags: []uint32{7, 9}}, got)
		case <-time.After(waitTimeout):
			t.Fatal("no suspicion report")
		}
	}
	// While the balancer drains, routers move its connections away, so missing
	// packets are no sign of a faulty upstream.
	b.stopping.Store(true)
	done := make(chan struct{})
	b.post(func() {
		b.reportSuspicions(suspicions)
		close(done)
	})
	<-done
	time.Sleep(50 * time.Millisecond)
	must.Eq(t, 0, len(f[0].suspicions))
}

// A suspicion may be reported while no feed is open, or before one that opens.
func TestRecentSuspicionsReachNewFeed(t *testing.T) {
	f := startFakes(t, 2)
	b := startBalancer(t, f[0])
	f[0].feed(fullUpdate(t, 1, true))
	eventually(t, "one feed", func() bool { return b.countOpenFeeds() == 1 })
	b.post(func() {
		b.reported = []reportedSuspicion{{tag: 5, at: b.now() - reportRetention - 1}}
		b.reportSuspicions([]affinity.Suspicion{{Upstream: 7, Cause: affinity.Overdue}})
		b.addSource(f[1].address, "")
	})
	f[1].feed(fullUpdate(t, 1, true))
	select {
	case got := <-f[1].suspicions:
		must.Eq(t, []uint32{7}, got.Tags)
		must.Len(t, 1, got.AgesMillis)
	case <-time.After(waitTimeout):
		t.Fatal("no suspicion report")
	}
}

// countOpenFeeds counts the open feeds on the control goroutine.
func (b *Balancer) countOpenFeeds() int {
	count := make(chan int)
	b.post(func() {
		n := 0
		for _, f := range b.feeds {
			if f.conn != nil {
				n++
			}
		}
		count <- n
	})
	return <-count
}

func TestEjectionByOneControllerSuffices(t *testing.T) {
	f := startFakes(t, 2)
	b := startBalancer(t, f...)
	m := fullUpdate(t, 1, true)
	m.Upstreams = []directory.Record{upstreamRecord(false)}
	first := f[0].feed(m)
	f[1].feed(m)
	ejected := func(want bool) func() bool {
		return func() bool {
			r := upstreamRecord(false)
			u := b.view.Load().Upstream(r.Tag())
			return u != nil && u.Ejected == want
		}
	}
	eventually(t, "the upstream", ejected(false))
	r := upstreamRecord(false)
	r.Ejected = true
	f[0].send(first, controller.FeedUpdate{Confirmed: true, Upstreams: []directory.Record{r}})
	eventually(t, "ejected", ejected(true))
	f[0].send(first, controller.FeedUpdate{Confirmed: true, Upstreams: []directory.Record{upstreamRecord(false)}})
	eventually(t, "not ejected", ejected(false))
}

func TestUnreachableControllerDoesNotDelayNextAttempt(t *testing.T) {
	f := startFakes(t, 1)
	// Nothing listens at this address, as if the VM were down.
	unreachable := netip.AddrPortFrom(netip.MustParseAddr("127.251.251.9"), linkPort)
	b := startBalancer(t, f...)
	b.post(func() { b.addSource(unreachable, "") })
	f[0].feed(fullUpdate(t, 1, true))
	eventually(t, "fed", func() bool { return b.number() == 1 })
}

func TestUpstreamIsEndedAfterDelay(t *testing.T) {
	f := startFakes(t, 1)
	b := startBalancer(t, f...)
	m := fullUpdate(t, 1, true)
	gone := upstreamRecord(false)
	gone.State = directory.Gone
	m.Upstreams = []directory.Record{gone}
	f[0].feed(m)
	var u *affinity.Upstream
	eventually(t, "ended", func() bool {
		u = b.view.Load().Upstream(gone.Tag())
		return u != nil && u.Ended
	})
}

// startInvitable starts a balancer that receives invitations at the returned
// address. Its seed is a VM that is off.
func startInvitable(t *testing.T) (*Balancer, netip.AddrPort) {
	network, err := loopback.Reserve()
	must.NoError(t, err)
	t.Cleanup(network.Release)
	off := &fakeController{t: t, address: netip.AddrPortFrom(network.Host(200), linkPort)}
	b := startBalancer(t, off)
	link := netip.AddrPortFrom(network.Host(100), linkPort)
	must.NoError(t, b.listenInvitations(link))
	t.Cleanup(b.invitations.close)
	return b, link
}

// invite sends an invitation on behalf of a controller.
func invite(t *testing.T, from netip.Addr, to, link netip.AddrPort) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(from, 0)))
	must.NoError(t, err)
	defer conn.Close()
	frame, err := stream.Encode(controller.KindInvitation, controller.Invitation{Link: link, Domain: "akure"})
	must.NoError(t, err)
	_, err = conn.WriteToUDPAddrPort(frame, to)
	must.NoError(t, err)
}

// TestInvitationOpensFeed checks that a balancer whose seeds are off is fed by a
// controller that it does not know.
func TestInvitationOpensFeed(t *testing.T) {
	f := startFakes(t, 2)
	b, link := startInvitable(t)
	// An invitation in the name of another VM is ignored.
	invite(t, f[1].address.Addr(), link, f[0].address)
	invite(t, f[1].address.Addr(), link, f[1].address)
	f[1].feed(fullUpdate(t, 3, true))
	eventually(t, "in force", func() bool { return b.number() == 3 })
	sources := make(chan int, 1)
	b.post(func() { sources <- len(b.sources) })
	must.Eq(t, 2, <-sources)
}

func TestMalformedInvitationsAreIgnored(t *testing.T) {
	b, link := startInvitable(t)
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(link))
	must.NoError(t, err)
	defer conn.Close()
	for _, datagram := range [][]byte{{}, {1, 2, 3}, {0, 0, 0, 9, byte(controller.KindInvitation), 1}, {0, 0, 0, 1, byte(controller.KindInvitation), 0xff}} {
		_, err := conn.Write(datagram)
		must.NoError(t, err)
	}
	f := startFakes(t, 1)
	invite(t, f[0].address.Addr(), link, f[0].address)
	f[0].feed(fullUpdate(t, 1, true))
	eventually(t, "in force", func() bool { return b.number() == 1 })
}

// TestSecondFeedIsTakenOnceTheFirstHasSettled checks that a starting balancer
// takes the full state from one controller only, unless that one has none.
func TestSecondFeedIsTakenOnceTheFirstHasSettled(t *testing.T) {
	b := New(Config{Settings: &settings.Program{Lifetime: time.Minute}, Log: hclog.NewNullLogger(), Codec: testCodec{}, Metrics: metrics.NewBalancer(prometheus.NewRegistry())})
	must.Eq(t, 1, b.wantedFeeds()) // none has opened
	b.firstFeed = b.now() + time.Hour
	must.Eq(t, 1, b.wantedFeeds())
	b.firstFeed = b.now() - emptyTime
	must.Eq(t, feedCount, b.wantedFeeds())
	b.table = routes(t, 1)
	b.firstFeed = b.now() + time.Hour
	must.Eq(t, 1, b.wantedFeeds())
	b.firstFeed = b.now() - settleTime
	must.Eq(t, feedCount, b.wantedFeeds())
}

func TestStartingBalancerGetsTwoFeeds(t *testing.T) {
	f := startFakes(t, 3)
	b := startBalancer(t, f...)
	eventually(t, "two feeds", func() bool {
		for _, c := range f {
			if len(c.subscribed) > 0 {
				c.feed(fullUpdate(t, 1, true))
			}
		}
		return b.countOpenFeeds() == 2
	})
}

// TestSecondFeedResumes checks that a balancer tells its second feed what it
// holds, and applies deltas to the routes that it offered.
func TestSecondFeedResumes(t *testing.T) {
	f := startFakes(t, 2)
	b := startBalancer(t, f[0])
	m := fullUpdate(t, 3, true)
	m.Upstreams = []directory.Record{upstreamRecord(true)}
	first := f[0].feed(m)
	eventually(t, "in force", func() bool { return b.number() == 3 })
	digests := make(chan []uint64, 1)
	b.post(func() {
		digests <- b.directory.Digests()
		b.addSource(f[1].address, "")
	})
	second := f[1].feed(controller.FeedUpdate{Confirmed: true, SameRoutes: true, Resumed: true})
	must.Eq(t, controller.Subscribe{Name: b.name, Domain: b.domain, Routes: 3, Digests: <-digests}, f[1].lastSubscribe())
	// The upstream is not lapsed at the second controller.
	eventually(t, "not lapsed", func() bool {
		r := upstreamRecord(false)
		u := b.view.Load().Upstream(r.Tag())
		return u != nil && !u.Lapsed
	})
	first.Close()
	next := routes(t, 4).Diff(routes(t, 3))
	f[1].send(second, controller.FeedUpdate{Confirmed: true, Routes: &next})
	eventually(t, "version 4", func() bool { return b.number() == 4 })
}

// TestForgottenUpstreamLapses checks that an upstream which the only controller
// no longer knows is the last choice: it ended while the balancer was cut off.
func TestForgottenUpstreamLapses(t *testing.T) {
	f := startFakes(t, 2)
	b := startBalancer(t, f[0])
	m := fullUpdate(t, 3, true)
	m.Upstreams = []directory.Record{upstreamRecord(false)}
	f[0].feed(m)
	eventually(t, "in force", func() bool { return b.number() == 3 })
	f[0].end()
	b.post(func() { b.addSource(f[1].address, "") })
	var all []int
	for bucket := range directory.DigestBuckets {
		all = append(all, bucket)
	}
	f[1].feed(controller.FeedUpdate{Confirmed: true, SameRoutes: true, Resumed: true, DifferingBuckets: all})
	eventually(t, "lapsed", func() bool {
		r := upstreamRecord(false)
		u := b.view.Load().Upstream(r.Tag())
		return u != nil && u.Lapsed
	})
}

// Guards against one upstream's record that closes the feeds: acknowledged configurations
// reached no balancer.
func TestUnreadableRecordDoesNotEndTheFeed(t *testing.T) {
	fakes := startFakes(t, 1)
	b := startBalancer(t, fakes...)
	update := fullUpdate(t, 1, true)
	odd, good := upstreamRecord(false), upstreamRecord(false)
	odd.ID, good.ID = "\xff\xfe-2", "i-good"
	update.Upstreams = []directory.Record{odd, good}
	conn := fakes[0].feed(update)
	eventually(t, "first version", func() bool { return b.number() == 1 })
	eventually(t, "the other upstream", func() bool { return b.view.Load().Upstream(good.Tag()) != nil })
	must.Nil(t, b.view.Load().Upstream(odd.Tag()))
	must.True(t, conn.Send(nil), must.Sprint("the feed was closed"))
}

// An update that cannot be decoded leaves a gap: later updates carry the changes since
// it. The feed is closed, and the next one starts from what the balancer holds.
func TestUndecodableUpdateRestartsFeed(t *testing.T) {
	fakes := startFakes(t, 1)
	b := startBalancer(t, fakes...)
	conn := fakes[0].feed(fullUpdate(t, 1, true))
	eventually(t, "first version", func() bool { return b.number() == 1 })
	whole, err := stream.Encode(controller.KindFeedUpdate, controller.FeedUpdate{Confirmed: true, Upstreams: []directory.Record{{ID: "i-1"}}})
	must.NoError(t, err)
	// The length of the frame is right, but its body lacks the end.
	cut := append([]byte(nil), whole[:len(whole)-3]...)
	cut[3] -= 3
	must.True(t, conn.Send(cut))
	next := fakes[0].feed(fullUpdate(t, 2, true))
	must.NotNil(t, next)
	eventually(t, "second version", func() bool { return b.number() == 2 })
}
