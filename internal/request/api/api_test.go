package api_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"heatherport/internal/request/api"
	"heatherport/internal/request/identity"
	"heatherport/internal/result"
)

// fakeControl is a Control with fixed responses and an error that a test sets.
type fakeControl struct {
	err     error
	applied atomic.Uint64 // index that b-1 has applied; each status call increments it
	calls   atomic.Int64
	query   api.AuditQuery
}

func (f *fakeControl) SubmitSheet(_ context.Context, req api.SubmitRequest) (api.SubmitResponse, error) {
	f.calls.Add(1)
	return api.SubmitResponse{Number: 7, Index: 3, Pending: []string{req.Operator, string(req.Sheet)}}, f.err
}

func (f *fakeControl) Sheet(context.Context) (api.SheetResponse, error) {
	return api.SheetResponse{Number: 7, Digest: api.Digest{1}, CSV: "version,7\n"}, f.err
}

func (f *fakeControl) Status(context.Context) (api.StatusResponse, error) {
	n := f.applied.Add(1)
	return api.StatusResponse{VM: "a-1", Index: 9, Majority: true, VMs: []api.VMStatus{
		{Name: "a-1", Live: true, AppliedIndex: 9},
		{Name: "b-1", Live: true, AppliedIndex: n},
		{Name: "c-1", Live: false, AppliedIndex: 0},
	}}, f.err
}

func (f *fakeControl) ExplainConnection(_ context.Context, q api.ConnectionQuery) (api.ConnectionExplanation, error) {
	return api.ConnectionExplanation{Service: q.Service.String(), Upstream: q.Protocol, Owner: q.Caller.String()}, f.err
}

func (f *fakeControl) ExplainUpstream(_ context.Context, q api.UpstreamQuery) (api.UpstreamExplanation, error) {
	return api.UpstreamExplanation{UpstreamStatus: api.UpstreamStatus{Name: q.Name}}, f.err
}

func (f *fakeControl) ExplainSheet(context.Context) (api.SheetExplanation, error) {
	return api.SheetExplanation{Number: 7}, f.err
}

func (f *fakeControl) Audit(_ context.Context, q api.AuditQuery) (api.AuditResponse, error) {
	f.query = q
	return api.AuditResponse{Records: []api.AuditRecord{{Kind: api.AuditSheet, Code: result.SheetStale}}}, f.err
}

func (f *fakeControl) ChangeVoter(context.Context, api.VoterRequest) (api.VoterResponse, error) {
	return api.VoterResponse{}, f.err
}

func (f *fakeControl) Announce(_ context.Context, a api.Announcement) (api.AnnounceResponse, error) {
	f.calls.Add(1)
	return api.AnnounceResponse{LeaseSeconds: a.Slots}, f.err
}

// closedAddress returns a loopback address on which nothing listens.
func closedAddress(t *testing.T) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

func announcement(name string) api.Announcement {
	return api.Announcement{
		Name:        name,
		Service:     "permit",
		Address:     netip.MustParseAddrPort("127.0.0.1:5555"),
		Incarnation: 1,
		Slots:       3,
	}
}

func TestClientCalls(t *testing.T) {
	p := newPKI(t)
	f := &fakeControl{}
	ctx := context.Background()
	to := p.serve(f)
	c := p.operator(to)

	submitted, err := c.SubmitSheet(ctx, []byte("version,7"))
	must.NoError(t, err)
	must.Eq(t, []string{"amina", "version,7"}, submitted.Pending)

	sheet, err := c.Sheet(ctx)
	must.NoError(t, err)
	must.Eq(t, api.Digest{1}, sheet.Digest)

	caller, service := netip.MustParseAddrPort("[2001:db8::1]:4000"), netip.MustParseAddrPort("192.0.2.10:443")
	conn, err := c.ExplainConnection(ctx, api.ConnectionQuery{Caller: caller, Service: service, Protocol: "udp"})
	must.NoError(t, err)
	must.Eq(t, api.ConnectionExplanation{
		Service: service.String(), Upstream: "udp", Owner: caller.String(),
		Current: []api.RankedUpstream{}, Base: []api.RankedUpstream{}, Reasons: []string{},
	}, conn)

	up, err := c.ExplainUpstream(ctx, api.UpstreamQuery{Name: "permit-1"})
	must.NoError(t, err)
	must.Eq(t, "permit-1", up.Name)

	_, err = c.ExplainSheet(ctx)
	must.NoError(t, err)

	q := api.AuditQuery{Kind: api.AuditSheet, Who: "amina", Limit: 5, Since: time.Unix(1000, 0).UTC()}
	trail, err := c.Audit(ctx, q)
	must.NoError(t, err)
	must.Eq(t, q, f.query)
	must.Eq(t, result.SheetStale, trail.Records[0].Code)

	lease, err := p.upstream("permit-1", to).Announce(ctx, announcement("permit-1"))
	must.NoError(t, err)
	must.Eq(t, 3, lease.LeaseSeconds)
}

func TestRoles(t *testing.T) {
	p := newPKI(t)
	f := &fakeControl{}
	ctx := context.Background()
	to := p.serve(f)
	cases := []struct {
		name string
		call func() error
		want result.Code
	}{
		{"upstream reads status", func() error { _, err := p.upstream("permit-1", to).Status(ctx); return err }, result.NotAuthorized},
		{"upstream submits", func() error { _, err := p.upstream("permit-1", to).SubmitSheet(ctx, nil); return err }, result.NotAuthorized},
		{"operator announces", func() error { _, err := p.operator(to).Announce(ctx, announcement("amina")); return err }, result.NotAuthorized},
		{"upstream announces another", func() error {
			_, err := p.upstream("permit-1", to).Announce(ctx, announcement("permit-2"))
			return err
		}, result.NotAuthorized},
		{"role of a VM", func() error { _, err := p.client(identity.VM, "b-1", to).Status(ctx); return err }, result.NotAuthorized},
		{"unknown role", func() error { _, err := p.client("root", "b-1", to).Status(ctx); return err }, result.BadCertificate},
		{"certificate of another CA", func() error {
			config := newPKI(t).config(identity.Operator, "amina")
			config.RootCAs = p.config(identity.Operator, "amina").RootCAs
			_, err := api.NewClient([]netip.AddrPort{to}, config).Status(ctx)
			return err
		}, result.BadCertificate},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, result.CodeOf(c.call()))
		})
	}
	must.Eq(t, 0, f.calls.Load())
}

// sendRequest sends a request without using api.Client and returns the response.
func sendRequest(t *testing.T, config *tls.Config, method string, to netip.AddrPort, path, body string) (*http.Response, api.ErrorResponse) {
	c := http.Client{Transport: &http.Transport{TLSClientConfig: config, DisableKeepAlives: true}}
	r, err := http.NewRequest(method, "https://"+to.String()+path, strings.NewReader(body))
	must.NoError(t, err)
	resp, err := c.Do(r)
	must.NoError(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	var e api.ErrorResponse
	must.NoError(t, json.Unmarshal(b, &e))
	return resp, e
}

func TestRejectedRequests(t *testing.T) {
	p := newPKI(t)
	f := &fakeControl{}
	to := p.serve(f)
	operator, upstream := p.config(identity.Operator, "amina"), p.config(identity.Upstream, "permit-1")
	const fields = `"name":"permit-1","service":"permit","address":"127.0.0.1:5555","incarnation":1,"slots":3`
	cases := []struct {
		name         string
		config       *tls.Config
		method, path string
		body         string
		status       int
		code         result.Code
	}{
		{"no route", operator, "GET", "/v2/sheet", "", 404, result.NotFound},
		{"method", operator, "DELETE", "/v1/sheet", "", 404, result.NotFound},
		{"parameter", operator, "GET", "/v1/status?x=1", "", 400, result.BadArguments},
		{"repeated parameter", operator, "GET", "/v1/audit?who=a&who=b", "", 400, result.BadArguments},
		{"audit kind", operator, "GET", "/v1/audit?kind=x", "", 400, result.BadArguments},
		{"audit limit", operator, "GET", "/v1/audit?limit=0", "", 400, result.BadArguments},
		{"audit time", operator, "GET", "/v1/audit?since=today", "", 400, result.BadArguments},
		{"explain nothing", operator, "GET", "/v1/explain", "", 400, result.BadArguments},
		{"explain connection", operator, "GET", "/v1/explain?subject=connection&caller=x&service=192.0.2.1:1&protocol=sctp", "", 400, result.BadArguments},
		{"explain upstream", operator, "GET", "/v1/explain?subject=upstream", "", 400, result.BadArguments},
		{"sheet too large", operator, "POST", "/v1/sheets", strings.Repeat("x", api.MaxSheetBytes+1), 413, result.SheetTooLarge},
		{"unknown field", upstream, "POST", "/v1/announce", "{" + fields + `,"extra":1}`, 400, result.BadAnnouncement},
		{"trailing data", upstream, "POST", "/v1/announce", "{" + fields + `}{}`, 400, result.BadAnnouncement},
		{"no JSON", upstream, "POST", "/v1/announce", "name=permit-1", 400, result.BadAnnouncement},
		{"no fields", upstream, "POST", "/v1/announce", "{}", 400, result.BadAnnouncement},
		{"load", upstream, "POST", "/v1/announce", "{" + fields + `,"load":1.5}`, 400, result.BadAnnouncement},
		{"zone", upstream, "POST", "/v1/announce", `{"name":"permit-1","service":"permit","address":"[fe80::1%eth0]:1","incarnation":1,"slots":3}`, 400, result.BadAnnouncement},
		{"mapped address", upstream, "POST", "/v1/announce", `{"name":"permit-1","service":"permit","address":"[::ffff:127.0.0.1]:1","incarnation":1,"slots":3}`, 400, result.BadAnnouncement},
		{"announcement too large", upstream, "POST", "/v1/announce", `{"name":"` + strings.Repeat("x", 5000) + `"}`, 400, result.BadAnnouncement},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			resp, e := sendRequest(t, c.config, c.method, to, c.path, c.body)
			must.Eq(t, c.status, resp.StatusCode)
			must.Eq(t, c.code, e.Code)
			must.Eq(t, c.code.Name(), e.Name)
		})
	}
	must.Eq(t, 0, f.calls.Load())
}

func TestControlErrors(t *testing.T) {
	p := newPKI(t)
	operator := p.config(identity.Operator, "amina")
	cases := []struct {
		err    error
		status int
		code   result.Code
		retry  string
	}{
		{result.Errorf(result.SheetConflict, "digest in force is 01"), 409, result.SheetConflict, ""},
		{result.Errorf(result.BadSheet, "line 1"), 400, result.BadSheet, ""},
		{result.Errorf(result.NoLeader, "election"), 503, result.NoLeader, "1"},
		{result.Errorf(result.Overloaded, "queue"), 429, result.Overloaded, "1"},
		{result.Errorf(result.StorageFailed, "sync"), 500, result.StorageFailed, ""},
		{result.Errorf(result.OutcomeUnknown, "leader lost"), 504, result.OutcomeUnknown, ""},
		{context.DeadlineExceeded, 504, result.OutcomeUnknown, ""},
		{io.ErrUnexpectedEOF, 500, result.Internal, ""},
	}
	for _, c := range cases {
		t.Run(c.code.Name(), func(t *testing.T) {
			to := p.serve(&fakeControl{err: c.err})
			resp, e := sendRequest(t, operator, "POST", to, "/v1/sheets", "version,7")
			must.Eq(t, c.status, resp.StatusCode)
			must.Eq(t, c.code, e.Code)
			must.Eq(t, c.retry, resp.Header.Get("Retry-After"))

			_, err := p.operator(to).SubmitSheet(context.Background(), nil)
			must.Eq(t, c.code, result.CodeOf(err))
			must.Eq(t, 1, strings.Count(err.Error(), c.code.Name()))
		})
	}
}

func TestClientTriesAddressesInOrder(t *testing.T) {
	p := newPKI(t)
	ctx := context.Background()
	closed := closedAddress(t)
	noLeader := p.serve(&fakeControl{err: result.Errorf(result.NoLeader, "none")})
	stale := p.serve(&fakeControl{err: result.Errorf(result.SheetStale, "8 is in force")})
	good := p.serve(&fakeControl{})
	refusing := p.config(identity.VM, serverName)
	refusing.ClientCAs = newPKI(t).config(identity.VM, serverName).ClientCAs
	otherCA := p.serveWith(&fakeControl{}, new(api.Counters), refusing)
	cases := []struct {
		name string
		to   []netip.AddrPort
		want result.Code
	}{
		{"first unreachable", []netip.AddrPort{closed, good}, result.OK},
		{"first without leader", []netip.AddrPort{noLeader, good}, result.OK},
		{"first trusts another CA", []netip.AddrPort{otherCA, good}, result.OK},
		{"only one, which trusts another CA", []netip.AddrPort{otherCA}, result.BadCertificate},
		{"refusal is final", []netip.AddrPort{stale, good}, result.SheetStale},
		{"response takes precedence over unreachable", []netip.AddrPort{noLeader, closed}, result.NoLeader},
		{"none reachable", []netip.AddrPort{closed, closed}, result.Unreachable},
		{"no address", nil, result.BadArguments},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := p.operator(c.to...).SubmitSheet(ctx, nil)
			must.Eq(t, c.want, result.CodeOf(err))
		})
	}
}

// startClosingServer starts a server that reads a request, writes answer and
// closes the connection.
func startClosingServer(t *testing.T, config *tls.Config, answer string) netip.AddrPort {
	l, err := tls.Listen("tcp", "127.0.0.1:0", config)
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			buf := make([]byte, 4096)
			if n, _ := c.Read(buf); bytes.Contains(buf[:n], []byte("/v1/")) {
				io.WriteString(c, answer)
			}
			c.Close()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

func TestLostResponse(t *testing.T) {
	p := newPKI(t)
	ctx := context.Background()
	config := p.config(identity.VM, serverName)
	good := p.serve(&fakeControl{})
	for _, answer := range []string{
		"",
		"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{",
		"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n",
	} {
		closing := startClosingServer(t, config, answer)
		_, err := p.operator(closing, good).SubmitSheet(ctx, []byte("version,7"))
		must.Eq(t, result.OutcomeUnknown, result.CodeOf(err), must.Sprint(answer))
	}
	// A read-only call is retried at the next address.
	_, err := p.operator(startClosingServer(t, config, ""), good).Status(ctx)
	must.NoError(t, err)
}

func TestWaitInForce(t *testing.T) {
	p := newPKI(t)
	c := p.operator(p.serve(&fakeControl{}))
	pending, err := c.WaitInForce(context.Background(), 3, time.Millisecond)
	must.NoError(t, err)
	must.Len(t, 0, pending)

	f := &fakeControl{err: result.Errorf(result.NotReady, "starting")}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = p.operator(p.serve(f)).WaitInForce(ctx, 3, time.Millisecond)
	must.Eq(t, result.NotInForceYet, result.CodeOf(err))

	f = &fakeControl{err: result.Errorf(result.NotAuthorized, "role")}
	_, err = p.operator(p.serve(f)).WaitInForce(context.Background(), 3, time.Millisecond)
	must.Eq(t, result.NotAuthorized, result.CodeOf(err))
}

func TestPending(t *testing.T) {
	vms := []api.VMStatus{{Name: "a", Live: true, AppliedIndex: 5}, {Name: "b", Live: true, AppliedIndex: 4}, {Name: "c"}}
	cases := []struct {
		name   string
		status api.StatusResponse
		index  uint64
		want   []string
		done   bool
	}{
		{"all", api.StatusResponse{Index: 5, Majority: true, VMs: vms}, 4, nil, true},
		{"no majority", api.StatusResponse{Index: 5}, 4, nil, false},
		{"one behind", api.StatusResponse{Index: 5, Majority: true, VMs: vms}, 5, []string{"b"}, false},
		{"stale", api.StatusResponse{Index: 5, Majority: true, VMs: vms, Stale: true}, 4, nil, false},
		{"answering VM behind", api.StatusResponse{VM: "d", Index: 3, Majority: true, VMs: vms}, 4, []string{"d"}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := c.status.Pending(c.index)
			must.Eq(t, c.want, got)
			must.Eq(t, c.done, err == nil)
		})
	}
}

func TestLoadFactor(t *testing.T) {
	load := func(f float64) *float64 { return &f }
	for _, c := range []struct {
		load *float64
		want uint8
	}{{nil, 0}, {load(0), 1}, {load(0.5), 128}, {load(1), 255}} {
		a := api.Announcement{Load: c.load}
		must.Eq(t, c.want, a.LoadFactor())
	}
}

func TestCounters(t *testing.T) {
	p := newPKI(t)
	ctx := context.Background()
	counters := new(api.Counters)
	to := p.serveWith(&fakeControl{}, counters, p.config(identity.VM, serverName))
	for range 2 {
		_, err := p.operator(to).Status(ctx)
		must.NoError(t, err)
	}
	_, err := p.upstream("permit-1", to).Status(ctx)
	must.Eq(t, result.NotAuthorized, result.CodeOf(err))
	sendRequest(t, p.config(identity.Operator, "amina"), "GET", to, "/v1/none", "")
	want := []api.RequestCount{
		{Route: "/v1/status", Code: result.OK, Count: 2},
		{Route: "/v1/status", Code: result.NotAuthorized, Count: 1},
		{Route: "none", Code: result.NotFound, Count: 1},
	}
	must.Eq(t, want, counters.Requests())

	must.Eq(t, 0, counters.ConnectionFailures())
	_, err = p.untrustedClient(to).Status(ctx)
	must.Error(t, err)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return counters.ConnectionFailures() == 1 })))
}

func TestAuditQueryMatch(t *testing.T) {
	r := api.AuditRecord{Kind: api.AuditRoster, Subject: "upstream_added permit-1", Who: "permit-1"}
	cases := []struct {
		query api.AuditQuery
		want  bool
	}{
		{api.AuditQuery{}, true},
		{api.AuditQuery{Subject: "permit-1"}, true},
		{api.AuditQuery{Subject: "permit"}, false},
		{api.AuditQuery{Who: "permit-1", Kind: api.AuditRoster}, true},
		{api.AuditQuery{Who: "permit-1", Kind: api.AuditSheet}, false},
	}
	for _, c := range cases {
		must.Eq(t, c.want, c.query.Match(&r), must.Sprint(c))
	}
}
