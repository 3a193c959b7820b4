package controller

import (
	"net"
	"net/netip"
	"slices"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"

	"heatherport/internal/process/metrics"
	"heatherport/internal/process/settings"
	"heatherport/internal/process/stream"
	"heatherport/internal/result"
	"heatherport/internal/version/directory"
)

// TestPeerIsSynchronizedBeforeChanges checks that nothing is broadcast on a
// connection before the records that the peer lacks were sent on it. Otherwise the
// acknowledgement of a change would wrongly cover records that the peer does not
// have.
func TestPeerIsSynchronizedBeforeChanges(t *testing.T) {
	s := &settings.Program{VM: settings.VM{DataDir: t.TempDir()}, Link: settings.Endpoint{Advertise: linkAt(1)}}
	c := New(Config{Settings: s, Log: hclog.NewNullLogger(), ParseRoutes: parseNumber, Metrics: metrics.NewController(prometheus.NewRegistry())})
	c.links = newLinks(t.Context(), linkAt(1), c.linkCallbacks)
	held, lacking, changed := announcement(directory.Serving, 1), announcement(directory.Serving, 1), announcement(directory.Serving, 1)
	lacking.ID, lacking.Address = "i-2", netip.MustParseAddrPort("192.0.2.10:80")
	changed.ID, changed.Address = "i-3", netip.MustParseAddrPort("192.0.2.11:80")
	c.directory.Merge(0, held)
	c.directory.Merge(0, lacking)
	peer := directory.New(directory.Config{})
	peer.Merge(0, held)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	received := make(chan Records, 1)
	go stream.Serve(t.Context(), l, stream.Callbacks{Handle: func(conn *stream.Conn, kind stream.Kind, body []byte) {
		var d Digests
		var r Records
		switch {
		case kind == KindDigests && stream.Decode(body, &d) == nil:
			_, buckets := peer.Differing(d.Digests)
			frame, _ := stream.Encode(KindDiffering, Differing{Revision: d.Revision, Buckets: buckets})
			conn.Send(frame)
		case kind == KindRecords && stream.Decode(body, &r) == nil:
			received <- r
		}
	}})
	c.links.connect(netip.MustParseAddrPort(l.Addr().String()))
	frame, err := stream.Encode(KindRecords, Records{})
	must.NoError(t, err)
	introduce := <-c.events // queued when the connection opened
	must.Eq(t, 0, c.links.broadcast(frame))
	introduce()
	must.Eq(t, 0, c.links.broadcast(frame))
	c.directory.Merge(0, changed) // after the digests were sent
	synchronize := <-c.events     // queued when the peer answered
	synchronize()
	must.Eq(t, 1, c.links.broadcast(frame))
	var ids []string
	for _, r := range (<-received).Records {
		ids = append(ids, r.ID)
	}
	slices.Sort(ids)
	must.Eq(t, []string{"i-2", "i-3"}, ids)
}

// An acknowledgement covers all earlier messages of the connection. One that cannot be
// decoded must end the connection, or the next acknowledgement would confirm to an
// upstream that another controller knows that it leaves.
func TestUndecodableRecordsEndTheConnection(t *testing.T) {
	c := fedController(t, 0)
	ours, theirs := net.Pipe()
	defer theirs.Close()
	conn := stream.NewConn(ours)
	frame, err := stream.Encode(KindRecords, Records{Number: 1, Records: []directory.Record{announcement(directory.Leaving, 1)}})
	must.NoError(t, err)
	_, body, _ := stream.DecodeFrame(frame)
	c.handleMessage(conn, KindRecords, body[:len(body)-1])
	must.False(t, conn.Send(frame))
	c.handleMessage(stream.NewConn(ours), KindRecords, body)
	must.Eq(t, 1, len(c.events))
}

// Guards against one upstream's record that closes the links between controllers: a build
// that took it sends it first on each link.
func TestUnreadableRecordDoesNotEndTheLink(t *testing.T) {
	c := fedController(t, 0)
	ours, theirs := net.Pipe()
	defer theirs.Close()
	conn := stream.NewConn(ours)
	odd, good := announcement(directory.Serving, 1), announcement(directory.Serving, 1)
	odd.ID, odd.Address = "\xff\xfe-2", netip.MustParseAddrPort("192.0.2.10:80")
	frame, err := stream.Encode(KindRecords, Records{Number: 1, Records: []directory.Record{odd, good}})
	must.NoError(t, err)
	_, body, _ := stream.DecodeFrame(frame)
	c.handleMessage(conn, KindRecords, body)
	must.Eq(t, 1, len(c.events))
	(<-c.events)()
	must.Eq(t, 1, c.directory.Len())
	must.NotNil(t, c.directory.Get(good.ID))
	must.True(t, conn.Send(frame), must.Sprint("the link was closed"))
}

// Guards against an announcement that cannot be passed on: it was acknowledged, and no link
// or feed lasted while a controller held it.
func TestAnnouncementThatCannotBePassedOnIsRefused(t *testing.T) {
	c := fedController(t, 1)
	c.table = nil
	c.runControl(t)
	odd := announcement(directory.Serving, 1)
	odd.ID = "\xff\xfe-2"
	_, err := c.Announce(t.Context(), odd)
	must.Eq(t, result.BadAnnouncement, result.CodeOf(err))
}
