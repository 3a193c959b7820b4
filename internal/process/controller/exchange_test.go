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
