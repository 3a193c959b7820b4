package controller

import (
	"net"
	"net/netip"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"

	"heatherport/internal/process/metrics"
	"heatherport/internal/process/settings"
	"heatherport/internal/process/stream"
	"heatherport/internal/version/directory"
)

// TestPeerGetsFullStateBeforeChanges checks that nothing is broadcast on a
// connection before the whole directory was sent on it. Otherwise the
// acknowledgement of a change would wrongly cover records that the peer does
// not have.
func TestPeerGetsFullStateBeforeChanges(t *testing.T) {
	s := &settings.Program{VM: settings.VM{DataDir: t.TempDir()}, Link: settings.Endpoint{Advertise: linkAt(1)}}
	c := New(Config{Settings: s, Log: hclog.NewNullLogger(), ParseRoutes: parseNumber, Metrics: metrics.NewController(prometheus.NewRegistry())})
	c.links = newLinks(t.Context(), linkAt(1), c.linkCallbacks)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	c.links.connect(netip.MustParseAddrPort(l.Addr().String()))
	frame, err := stream.Encode(KindRecords, Records{})
	must.NoError(t, err)
	sendState := <-c.events // queued when the connection opened
	must.Eq(t, 0, c.links.broadcast(frame))
	sendState()
	must.Eq(t, 1, c.links.broadcast(frame))
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
