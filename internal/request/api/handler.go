package api

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"heatherport/internal/request/identity"
	"heatherport/internal/result"
)

// Limits of a request.
const (
	MaxSheetBytes        = 32 << 20
	maxAnnouncementBytes = 4 << 10
	maxHeaderBytes       = 16 << 10
	maxInFlight          = 256

	requestTimeout    = 10 * time.Second
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 20 * time.Second
	writeTimeout      = 30 * time.Second
	idleTimeout       = 2 * time.Minute
)

// Paths of the routes.
const (
	pathSheets   = "/v1/sheets"
	pathSheet    = "/v1/sheet"
	pathStatus   = "/v1/status"
	pathExplain  = "/v1/explain"
	pathAudit    = "/v1/audit"
	pathVoters   = "/v1/voters"
	pathAnnounce = "/v1/announce"
)

// handler serves the API of a Control.
type handler struct {
	control  Control
	counters *Counters
	inFlight chan struct{}
}

// request is an HTTP request of an authenticated peer.
type request struct {
	*http.Request
	peer identity.Identity
}

// action executes a request and returns the response body.
type action func(ctx context.Context, r request) (any, error)

// NewHandler returns a handler for all routes, which calls control.
func NewHandler(control Control, counters *Counters) http.Handler {
	h := &handler{control: control, counters: counters, inFlight: make(chan struct{}, maxInFlight)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathSheets, h.route(pathSheets, identity.Operator, mutating, h.submit))
	mux.HandleFunc("GET "+pathSheet, h.route(pathSheet, identity.Operator, readOnly, h.sheet))
	mux.HandleFunc("GET "+pathStatus, h.route(pathStatus, identity.Operator, readOnly, h.status))
	mux.HandleFunc("GET "+pathExplain, h.route(pathExplain, identity.Operator, readOnly, h.explain))
	mux.HandleFunc("GET "+pathAudit, h.route(pathAudit, identity.Operator, readOnly, h.audit))
	mux.HandleFunc("POST "+pathVoters, h.route(pathVoters, identity.Operator, mutating, h.voter))
	mux.HandleFunc("POST "+pathAnnounce, h.route(pathAnnounce, identity.Upstream, mutating, h.announce))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		h.fail(w, noRoute, result.Errorf(result.NotFound, "no route %s %s", r.Method, r.URL.Path))
	})
	return mux
}

// NewServer returns a server that limits the size and the duration of requests.
// It must serve a TLS listener that requests client certificates.
func NewServer(control Control, counters *Counters) *http.Server {
	return &http.Server{
		Handler:           NewHandler(control, counters),
		ErrorLog:          counters.errorLog(),
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
	}
}

// effect states whether a request can change state.
type effect bool

const (
	readOnly effect = false
	mutating effect = true
)

// route returns the handler of one route. It authenticates the peer, limits the
// requests in number and time, and executes them with do.
func (h *handler) route(route string, role identity.Role, e effect, do action) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		v, err := h.handle(r, role, do)
		if err != nil {
			h.fail(w, route, timeoutError(err, e))
			return
		}
		h.counters.add(route, result.OK)
		writeJSON(w, http.StatusOK, v)
	}
}

// fail counts and writes an error.
func (h *handler) fail(w http.ResponseWriter, route string, err error) {
	h.counters.add(route, result.CodeOf(err))
	writeError(w, err)
}

func (h *handler) handle(r *http.Request, role identity.Role, do action) (any, error) {
	peer, err := identity.FromConnectionState(r.TLS)
	if err != nil {
		return nil, err
	}
	if err := peer.Require(role); err != nil {
		return nil, err
	}
	release, err := h.acquire()
	if err != nil {
		return nil, err
	}
	defer release()
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	return do(ctx, request{r, peer})
}

// acquire reserves one of the maxInFlight places for a request. It returns an
// Overloaded error if none is free. release frees the place.
func (h *handler) acquire() (release func(), err error) {
	select {
	case h.inFlight <- struct{}{}:
		return func() { <-h.inFlight }, nil
	default:
		return nil, result.Errorf(result.Overloaded, "%d requests in flight", maxInFlight)
	}
}

// timeoutError returns err with a result code if it is the error of an ended
// context.
func timeoutError(err error, e effect) error {
	if result.CodeOf(err) != result.Internal {
		return err
	}
	if !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, context.Canceled) {
		return err
	}
	if e == mutating {
		return result.Wrapf(err, result.OutcomeUnknown, "no outcome before the timeout")
	}
	return result.Wrapf(err, result.Overloaded, "no response before the timeout")
}

func (h *handler) submit(ctx context.Context, r request) (any, error) {
	b, err := readBody(r.Request, MaxSheetBytes, result.SheetTooLarge)
	if err != nil {
		return nil, err
	}
	return responseBody(h.control.SubmitSheet(ctx, SubmitRequest{Operator: r.peer.Name, Sheet: b}))
}

func (h *handler) sheet(ctx context.Context, r request) (any, error) {
	if err := noQuery(r.Request); err != nil {
		return nil, err
	}
	return h.control.Sheet(ctx)
}

func (h *handler) status(ctx context.Context, r request) (any, error) {
	if err := noQuery(r.Request); err != nil {
		return nil, err
	}
	return responseBody(h.control.Status(ctx))
}

func (h *handler) explain(ctx context.Context, r request) (any, error) {
	q := newQuery(r.Request)
	switch subject := q.get("subject"); subject {
	case subjectConnection:
		c := q.connection()
		if err := q.err(); err != nil {
			return nil, err
		}
		return responseBody(h.control.ExplainConnection(ctx, c))
	case subjectUpstream:
		u := UpstreamQuery{Name: q.required("name")}
		if err := q.err(); err != nil {
			return nil, err
		}
		return responseBody(h.control.ExplainUpstream(ctx, u))
	case subjectSheet:
		if err := q.err(); err != nil {
			return nil, err
		}
		return responseBody(h.control.ExplainSheet(ctx))
	default:
		return nil, result.Errorf(result.BadArguments, "subject %q is none of %s, %s, %s", subject, subjectConnection, subjectUpstream, subjectSheet)
	}
}

func (h *handler) audit(ctx context.Context, r request) (any, error) {
	q := newQuery(r.Request)
	a := q.audit()
	if err := q.err(); err != nil {
		return nil, err
	}
	return responseBody(h.control.Audit(ctx, a))
}

func (h *handler) voter(ctx context.Context, r request) (any, error) {
	b, err := readBody(r.Request, maxAnnouncementBytes, result.BadArguments)
	if err != nil {
		return nil, err
	}
	var req VoterRequest
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&req); err != nil || req.Name == "" {
		return nil, result.Errorf(result.BadArguments, "body is not a voter change")
	}
	return responseBody(h.control.ChangeVoter(ctx, req))
}

func (h *handler) announce(ctx context.Context, r request) (any, error) {
	b, err := readBody(r.Request, maxAnnouncementBytes, result.BadAnnouncement)
	if err != nil {
		return nil, err
	}
	a, err := decodeAnnouncement(b)
	if err != nil {
		return nil, err
	}
	if a.Name != r.peer.Name {
		return nil, result.Errorf(result.NotAuthorized, "certificate of %q announces %q", r.peer.Name, a.Name)
	}
	return h.control.Announce(ctx, a)
}

// readBody reads a body of at most limit bytes. It returns the code tooLarge for
// a longer body.
func readBody(r *http.Request, limit int64, tooLarge result.Code) ([]byte, error) {
	b, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, limit))
	if err == nil {
		return b, nil
	}
	var max *http.MaxBytesError
	if errors.As(err, &max) {
		return nil, result.Errorf(tooLarge, "body exceeds %d bytes", limit)
	}
	return nil, result.Wrapf(err, result.BadMessage, "read body")
}

func writeError(w http.ResponseWriter, err error) {
	body := NewErrorResponse(err)
	if body.Code == result.NoLeader || body.Code == result.Overloaded {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	writeJSON(w, httpStatus(body.Code), body)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the peer closed the connection; it cannot be
	// reported to the peer.
	_ = json.NewEncoder(w).Encode(v)
}
