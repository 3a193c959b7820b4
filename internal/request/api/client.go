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

// Limits of a client's call.
const (
	connectTimeout = 3 * time.Second
	callTimeout    = requestTimeout + 5*time.Second
	// alertTimeout limits the handshake and the rejection of the certificate
	// by a VM: some round trips and a verification.
	alertTimeout     = time.Second
	maxResponseBytes = 64 << 20
)

// Client calls the API of any of several VMs.
type Client struct {
	addresses []netip.AddrPort
	tls       *tls.Config
	http      *http.Client
}

// NewClient returns a client that tries the addresses in order.
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

// SubmitSheet submits a sheet. OutcomeUnknown means that the response was lost;
// it is safe to submit the same sheet again.
func (c *Client) SubmitSheet(ctx context.Context, csv []byte) (SubmitResponse, error) {
	var out SubmitResponse
	if len(csv) > MaxSheetBytes {
		return out, result.Errorf(result.SheetTooLarge, "sheet of %d bytes exceeds %d bytes", len(csv), MaxSheetBytes)
	}
	return out, c.call(ctx, call{method: http.MethodPost, path: pathSheets, contentType: "text/csv", body: csv}, &out)
}

// Sheet returns the sheet in force.
func (c *Client) Sheet(ctx context.Context) (SheetResponse, error) {
	var out SheetResponse
	return out, c.get(ctx, pathSheet, nil, &out)
}

// Status returns the state of all VMs and upstreams.
func (c *Client) Status(ctx context.Context) (StatusResponse, error) {
	var out StatusResponse
	return out, c.get(ctx, pathStatus, nil, &out)
}

// ExplainConnection returns the upstream of a connection and the reasons.
func (c *Client) ExplainConnection(ctx context.Context, q ConnectionQuery) (ConnectionExplanation, error) {
	var out ConnectionExplanation
	return out, c.get(ctx, pathExplain, q.encode(), &out)
}

// ExplainUpstream returns why an upstream is eligible or not.
func (c *Client) ExplainUpstream(ctx context.Context, q UpstreamQuery) (UpstreamExplanation, error) {
	var out UpstreamExplanation
	return out, c.get(ctx, pathExplain, q.encode(), &out)
}

// ExplainSheet returns the VMs on which the sheet is in force.
func (c *Client) ExplainSheet(ctx context.Context) (SheetExplanation, error) {
	var out SheetExplanation
	return out, c.get(ctx, pathExplain, url.Values{"subject": {subjectSheet}}, &out)
}

// Audit returns audit records.
func (c *Client) Audit(ctx context.Context, q AuditQuery) (AuditResponse, error) {
	var out AuditResponse
	return out, c.get(ctx, pathAudit, q.encode(), &out)
}

// ChangeVoter starts a change of the voters. It is safe to repeat the call.
func (c *Client) ChangeVoter(ctx context.Context, req VoterRequest) (VoterResponse, error) {
	var out VoterResponse
	b, err := json.Marshal(req)
	if err != nil {
		return out, result.Wrapf(err, result.BadArguments, "encode")
	}
	return out, c.call(ctx, call{method: http.MethodPost, path: pathVoters, contentType: "application/json", body: b}, &out)
}

// Announce renews the lease of an upstream.
func (c *Client) Announce(ctx context.Context, a Announcement) (AnnounceResponse, error) {
	var out AnnounceResponse
	b, err := json.Marshal(a)
	if err != nil {
		return out, result.Wrapf(err, result.BadAnnouncement, "encode")
	}
	return out, c.call(ctx, call{method: http.MethodPost, path: pathAnnounce, contentType: "application/json", body: b}, &out)
}

func (c *Client) get(ctx context.Context, path string, q url.Values, out any) error {
	return c.call(ctx, call{method: http.MethodGet, path: path, query: q}, out)
}

// call is a request that may be sent to several addresses.
type call struct {
	method      string
	path        string
	query       url.Values
	contentType string
	body        []byte
}

// isMutating reports whether the call may change state.
func (c call) isMutating() bool { return c.method != http.MethodGet }

// call tries the addresses in order. It tries the next one only if the previous
// VM cannot have changed any state. If all fail, it returns the last error in a
// response, or the last Unreachable error if there was no response.
func (c *Client) call(ctx context.Context, rq call, out any) error {
	if len(c.addresses) == 0 {
		return result.Errorf(result.BadArguments, "no address to call")
	}
	var responseErr, unreachableErr error
	for _, a := range c.addresses {
		err := c.try(ctx, a, rq, out)
		switch code := result.CodeOf(err); {
		case code == result.Unreachable:
			unreachableErr = err
		case shouldTryNext(code):
			responseErr = err
		default:
			return err
		}
		if ctx.Err() != nil {
			break
		}
	}
	if responseErr != nil {
		return responseErr
	}
	return unreachableErr
}

// shouldTryNext reports whether another VM may succeed after one failed with
// code c without changing any state.
func shouldTryNext(c result.Code) bool {
	switch c {
	case result.NoLeader, result.NotReady, result.Overloaded, result.ShuttingDown, result.BadCertificate:
		return true
	}
	return false
}

// try sends the call to one address. The error is Unreachable if nothing was
// sent or if the response to a read-only call was lost.
func (c *Client) try(ctx context.Context, to netip.AddrPort, rq call, out any) error {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	r, err := rq.request(httptrace.WithClientTrace(ctx, trace), to)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(r)
	if err != nil {
		// A mutating call may have been executed before the VM began to reject
		// the certificate, so its outcome stays unknown.
		if sent.Load() && !rq.isMutating() && !isAlert(err) {
			if alert := c.certificateAlert(ctx, to); alert != nil {
				err = alert
			}
		}
		return noResponseError(err, rq, to, sent.Load())
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return noResponseError(err, rq, to, true)
	}
	if len(b) > maxResponseBytes {
		return result.Errorf(result.BadMessage, "response of %s exceeds %d bytes", to, maxResponseBytes)
	}
	return decodeResponse(resp, b, rq, to, out)
}

func (c call) request(ctx context.Context, to netip.AddrPort) (*http.Request, error) {
	u := url.URL{Scheme: "https", Host: to.String(), Path: c.path, RawQuery: c.query.Encode()}
	r, err := http.NewRequestWithContext(ctx, c.method, u.String(), bytes.NewReader(c.body))
	if err != nil {
		return nil, result.Wrapf(err, result.BadArguments, "address %s", to)
	}
	// If GetBody were set, the transport could resend the request by itself.
	r.GetBody = nil
	if c.contentType != "" {
		r.Header.Set("Content-Type", c.contentType)
	}
	return r, nil
}

// certificateAlert performs another handshake without a request and returns the
// alert of a VM that rejects the client's certificate, or nil. A VM rejects it
// after the client's handshake, when the client is already sending the request.
// The transport may then report the failed request in place of the alert.
func (c *Client) certificateAlert(ctx context.Context, to netip.AddrPort) error {
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

// isAlert reports whether the peer closed the connection with a TLS alert.
func isAlert(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "remote error"
}

// noResponseError returns the error for a call without a response.
func noResponseError(err error, rq call, to netip.AddrPort, sent bool) error {
	switch {
	case isAlert(err):
		return result.Wrapf(err, result.BadCertificate, "%s rejected the certificate", to)
	case result.CodeOf(err).Class() == result.ClassSecurity:
		return result.Wrapf(err, result.CodeOf(err), "connect to %s", to)
	case sent && rq.isMutating():
		return result.Wrapf(err, result.OutcomeUnknown, "response of %s lost; a resend is safe", to)
	}
	return result.Wrapf(err, result.Unreachable, "call %s", to)
}

// decodeResponse decodes a response into out, or returns the error that it
// contains.
func decodeResponse(resp *http.Response, b []byte, rq call, to netip.AddrPort, out any) error {
	if resp.StatusCode == http.StatusOK {
		if err := json.Unmarshal(b, out); err != nil {
			return result.Wrapf(err, invalidResponseCode(rq), "decode response of %s", to)
		}
		return nil
	}
	var e ErrorResponse
	if err := json.Unmarshal(b, &e); err != nil || e.Code == result.OK {
		return result.Errorf(invalidResponseCode(rq), "response of %s with HTTP status %d is not an error of the API", to, resp.StatusCode)
	}
	return e.err()
}

// invalidResponseCode returns the code for a response that cannot be decoded.
func invalidResponseCode(rq call) result.Code {
	if rq.isMutating() {
		return result.OutcomeUnknown
	}
	return result.BadMessage
}
