package api

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"heatherport/internal/result"
)

// The bounds of a client's call.
const (
	connectTimeout = 3 * time.Second
	callTimeout    = requestTimeout + 5*time.Second
	// alertTimeout is how long a VM may take to shake hands and to refuse the
	// certificate: some round trips and a verification.
	alertTimeout     = time.Second
	maxResponseBytes = 64 << 20
)

// Client calls the API of any of several VMs.
type Client struct {
	addresses []netip.AddrPort
	tls       *tls.Config
	http      *http.Client
}

// NewClient returns a client that tries the addresses in turn.
func NewClient(addresses []netip.AddrPort, config *tls.Config) *Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &Client{
		addresses: addresses,
		tls:       config,
		http: &http.Client{
			Timeout: callTimeout,
			Transport: &http.Transport{
				DialContext:         dialer.DialContext,
				TLSClientConfig:     config,
				TLSHandshakeTimeout: connectTimeout,
				DisableKeepAlives:   true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// SubmitSheet submits a sheet. OutcomeUnknown means that the answer was lost;
// submitting the same sheet again is safe.
func (c *Client) SubmitSheet(ctx context.Context, csv []byte) (SubmitResponse, error) {
	var out SubmitResponse
	if len(csv) > MaxSheetBytes {
		return out, result.Errorf(result.SheetTooLarge, "%d bytes instead of at most %d", len(csv), MaxSheetBytes)
	}
	return out, c.call(ctx, call{method: http.MethodPost, path: pathSheets, kind: "text/csv", body: csv}, &out)
}

// Sheet returns the sheet in force.
func (c *Client) Sheet(ctx context.Context) (SheetResponse, error) {
	var out SheetResponse
	return out, c.get(ctx, pathSheet, nil, &out)
}

// Status returns the state of the fleet.
func (c *Client) Status(ctx context.Context) (StatusResponse, error) {
	var out StatusResponse
	return out, c.get(ctx, pathStatus, nil, &out)
}

// ExplainConnection says where a connection goes.
func (c *Client) ExplainConnection(ctx context.Context, q ConnectionQuery) (ConnectionExplanation, error) {
	var out ConnectionExplanation
	return out, c.get(ctx, pathExplain, q.encode(), &out)
}

// ExplainUpstream says why an upstream is eligible or not.
func (c *Client) ExplainUpstream(ctx context.Context, q UpstreamQuery) (UpstreamExplanation, error) {
	var out UpstreamExplanation
	return out, c.get(ctx, pathExplain, q.encode(), &out)
}

// ExplainSheet says where the sheet is in force.
func (c *Client) ExplainSheet(ctx context.Context) (SheetExplanation, error) {
	var out SheetExplanation
	return out, c.get(ctx, pathExplain, url.Values{"subject": {subjectSheet}}, &out)
}

// Audit returns audit records.
func (c *Client) Audit(ctx context.Context, q AuditQuery) (AuditResponse, error) {
	var out AuditResponse
	return out, c.get(ctx, pathAudit, q.encode(), &out)
}

// ChangeVoter starts a change of the voters. It is safe to repeat.
func (c *Client) ChangeVoter(ctx context.Context, req VoterRequest) (VoterResponse, error) {
	var out VoterResponse
	b, err := json.Marshal(req)
	if err != nil {
		return out, result.Wrapf(err, result.BadArguments, "encode")
	}
	return out, c.call(ctx, call{method: http.MethodPost, path: pathVoters, kind: "application/json", body: b}, &out)
}

// Announce renews the lease of an upstream.
func (c *Client) Announce(ctx context.Context, a Announcement) (AnnounceResponse, error) {
	var out AnnounceResponse
	b, err := json.Marshal(a)
	if err != nil {
		return out, result.Wrapf(err, result.BadAnnouncement, "encode")
	}
	return out, c.call(ctx, call{method: http.MethodPost, path: pathAnnounce, kind: "application/json", body: b}, &out)
}

func (c *Client) get(ctx context.Context, path string, q url.Values, out any) error {
	return c.call(ctx, call{method: http.MethodGet, path: path, query: q}, out)
}

// call is one request, which may be tried at several addresses.
type call struct {
	method string
	path   string
	query  url.Values
	kind   string // content type
	body   []byte
}

// changes reports whether the call may change state.
func (c call) changes() bool { return c.method != http.MethodGet }

// call tries the addresses in turn. It goes on to the next one only while
// nothing can have been changed. Of several errors, the last that a VM
// answered is returned.
func (c *Client) call(ctx context.Context, rq call, out any) error {
	if len(c.addresses) == 0 {
		return result.Errorf(result.BadArguments, "no address to call")
	}
	var answered, failed error
	for _, a := range c.addresses {
		err := c.try(ctx, a, rq, out)
		switch code := result.CodeOf(err); {
		case code == result.Unreachable:
			failed = err
		case tryNext(code):
			answered = err
		default:
			return err
		}
		if ctx.Err() != nil {
			break
		}
	}
	if answered != nil {
		return answered
	}
	return failed
}

// tryNext reports whether another VM may answer better, given that this one
// changed nothing.
func tryNext(c result.Code) bool {
	switch c {
	case result.NoLeader, result.NotReady, result.Overloaded, result.ShuttingDown, result.BadCertificate:
		return true
	}
	return false
}

// try sends the call to one address. The error is Unreachable when nothing was
// sent, or when an answer to a call that changes nothing was lost.
func (c *Client) try(ctx context.Context, to netip.AddrPort, rq call, out any) error {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	r, err := rq.request(httptrace.WithClientTrace(ctx, trace), to)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(r)
	if err != nil {
		// A call that changes something may have run before the VM began to
		// refuse the certificate.
		if sent.Load() && !rq.changes() && !isAlert(err) {
			if alert := c.refusal(ctx, to); alert != nil {
				err = alert
			}
		}
		return lost(err, rq, to, sent.Load())
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return lost(err, rq, to, true)
	}
	if len(b) > maxResponseBytes {
		return result.Errorf(result.BadMessage, "answer of %s exceeds %d bytes", to, maxResponseBytes)
	}
	return decodeResponse(resp, b, rq, to, out)
}

func (c call) request(ctx context.Context, to netip.AddrPort) (*http.Request, error) {
	u := url.URL{Scheme: "https", Host: to.String(), Path: c.path, RawQuery: c.query.Encode()}
	r, err := http.NewRequestWithContext(ctx, c.method, u.String(), bytes.NewReader(c.body))
	if err != nil {
		return nil, result.Wrapf(err, result.BadArguments, "address %s", to)
	}
	// Without it the transport would send the call a second time by itself.
	r.GetBody = nil
	if c.kind != "" {
		r.Header.Set("Content-Type", c.kind)
	}
	return r, nil
}

// refusal shakes hands once more, without a request, and returns the alert of
// a VM that refuses the certificate, or nil. A VM refuses it after the
// handshake, when the request is under way already; the transport may then
// report the failure of the request in place of the alert.
func (c *Client) refusal(ctx context.Context, to netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, alertTimeout)
	defer cancel()
	conn, err := (&tls.Dialer{Config: c.tls}).DialContext(ctx, "tcp", to.String())
	if err == nil {
		defer conn.Close()
		stop := context.AfterFunc(ctx, func() { conn.Close() })
		defer stop()
		_, err = conn.Read(make([]byte, 1))
	}
	if isAlert(err) {
		return err
	}
	return nil
}

// isAlert reports whether the other side ended the connection with an alert.
func isAlert(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "remote error"
}

// lost returns the error for a call without an answer.
func lost(err error, rq call, to netip.AddrPort, sent bool) error {
	switch {
	case isAlert(err):
		return result.Wrapf(err, result.BadCertificate, "%s refused the certificate", to)
	case result.CodeOf(err).Class() == result.ClassSecurity:
		return result.Wrapf(err, result.CodeOf(err), "connect to %s", to)
	case sent && rq.changes():
		return result.Wrapf(err, result.OutcomeUnknown, "answer of %s lost; a resend is safe", to)
	}
	return result.Wrapf(err, result.Unreachable, "call %s", to)
}

// decodeResponse fills out, or returns the error that the VM answered.
func decodeResponse(resp *http.Response, b []byte, rq call, to netip.AddrPort, out any) error {
	if resp.StatusCode == http.StatusOK {
		if err := json.Unmarshal(b, out); err != nil {
			return result.Wrapf(err, answerCode(rq), "answer of %s", to)
		}
		return nil
	}
	var e ErrorResponse
	if err := json.Unmarshal(b, &e); err != nil || e.Code == result.OK {
		return result.Errorf(answerCode(rq), "answer of %s with HTTP status %d", to, resp.StatusCode)
	}
	return e.err()
}

// answerCode is the code for an answer that cannot be understood.
func answerCode(rq call) result.Code {
	if rq.changes() {
		return result.OutcomeUnknown
	}
	return result.BadMessage
}
