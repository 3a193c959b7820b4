package slopes

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"heatherport/internal/measure"
	"heatherport/internal/process/keys"
	"heatherport/internal/request/api"
	"heatherport/internal/request/identity"
	"heatherport/internal/version/roster"
)

// announceCost measures the renewal of an upstream's lease: the time of the
// leader's decision by the number of upstreams, and the cost of the request.
func announceCost() []measure.Figure {
	var f figures
	for _, s := range upstreamSizes {
		renewalCost(&f, s)
	}
	a := api.Announcement{
		Name: upstreamName(37_999), Service: serviceName(21_999), Address: address(11, 37_999, fouPort),
		Incarnation: uint64(time.Date(2026, time.December, 1, 0, 0, 0, 0, time.UTC).Unix()), Slots: 3,
	}
	f.add("announce_forward_bytes", float64(linkHeaderSize+encodedSize(a)), "bytes")
	f.add("renewal_record_bytes", float64(encodedSize(roster.Renewal{Name: a.Name, Incarnation: a.Incarnation})), "bytes")
	f.add("announce_renew_every", roster.RenewInterval.Seconds(), "s")
	f.add("announce_lease", roster.AnnounceLease.Seconds(), "s")
	requestCost(&f, a)
	return f
}

func renewalCost(f *figures, s size) {
	fx := newFixture(s)
	r := roster.New()
	r.Reset(0, fx.Version())
	i := 0
	f.add(s.name("announce_renewal"), nsPerOp(func() {
		c := fx.register(i%s.upstreams, 1)
		i++
		r.Announce(time.Second, fx.Machine, &roster.Announcement{
			Name: c.Name, Service: c.Service, Addr: c.Addr, Incarnation: c.Incarnation, Slots: c.Slots, Probe: c.Probe,
		})
	})/nsPerUs, "µs")
}

// stubControl implements api.Control; it accepts every announcement at once.
type stubControl struct{ api.Control }

// Announce implements api.Control.
func (stubControl) Announce(context.Context, api.Announcement) (api.AnnounceResponse, error) {
	return api.AnnounceResponse{
		Upstream: 37_999, Index: 1_000_000,
		LeaseSeconds: uint32(roster.AnnounceLease / time.Second),
		RenewSeconds: uint32(roster.RenewInterval / time.Second),
	}, nil
}

const requestVM = "vm-1"

// requestCost sends announcements over mutual TLS, first on one kept connection
// and then on a new connection for each. The time includes client and server.
func requestCost(f *figures, a api.Announcement) {
	ca, err := keys.NewEphemeral()
	check(err)
	vmKeys, err := ca.Issue(identity.VM, requestVM)
	check(err)
	upstreamKeys, err := ca.Issue(identity.Upstream, a.Name)
	check(err)
	server := httptest.NewUnstartedServer(nil)
	server.Config = api.NewServer(stubControl{}, new(api.Counters))
	server.TLS = vmKeys.ServerTLS(identity.Upstream)
	server.StartTLS()
	defer server.Close()
	addr := netip.MustParseAddrPort(server.Listener.Addr().String())
	for _, keepAlive := range []bool{true, false} {
		var bytes atomic.Int64
		client := &http.Client{Transport: &http.Transport{
			TLSClientConfig:   upstreamKeys.ClientTLS(requestVM),
			DisableKeepAlives: !keepAlive,
			DialContext:       countingDialer(&bytes),
		}}
		send := func() { post(client, addr, a) }
		send()
		bytes.Store(0)
		const count = 50
		for range count {
			send()
		}
		name := "announce_request_new"
		if keepAlive {
			name = "announce_request_kept"
		}
		f.add(name+"_bytes", float64(bytes.Load())/count, "bytes")
		f.add(name+"_time", nsPerOp(send)/nsPerUs, "µs")
	}
}

func check(err error) {
	if err != nil {
		panic(err)
	}
}

func post(c *http.Client, addr netip.AddrPort, a api.Announcement) {
	body, err := json.Marshal(a)
	check(err)
	r, err := c.Post("https://"+addr.String()+"/v1/announce", "application/json", strings.NewReader(string(body)))
	check(err)
	var out api.AnnounceResponse
	check(json.NewDecoder(r.Body).Decode(&out))
	check(r.Body.Close())
}

// countingDialer adds the bytes that its connections send and receive to bytes,
// excluding the headers of TCP and IP.
func countingDialer(bytes *atomic.Int64) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, network, addr)
		return countingConn{c, bytes}, err
	}
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
