package app

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.uber.org/fx"

	"heatherport/internal/process/audit"
	"heatherport/internal/process/control"
	"heatherport/internal/process/keys"
	"heatherport/internal/process/link"
	"heatherport/internal/process/metrics"
	"heatherport/internal/process/settings"
	"heatherport/internal/request/api"
	"heatherport/internal/request/forward"
	"heatherport/internal/request/identity"
	"heatherport/internal/request/relay"
	"heatherport/internal/result"
)

func listen(addr netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, result.Wrapf(err, result.BadSettings, "listen on %s", addr)
	}
	return l, nil
}

// serve runs an HTTP server on a listener until it is shut down.
func serve(srv *http.Server, l net.Listener, log hclog.Logger) {
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		log.Error("HTTP server failed", "address", l.Addr(), "error", err)
	}
}

// serveAPI serves the API to operators and upstreams over mutual TLS.
func serveAPI(lc fx.Lifecycle, s *settings.Settings, c *control.Controller, store *keys.Store, counters *api.Counters, log hclog.Logger) {
	srv := api.NewServer(c, counters)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			l, err := listen(s.API.Listen)
			if err != nil {
				return err
			}
			conf := store.ServerTLS(identity.Operator, identity.Upstream)
			go serve(srv, tls.NewListener(l, conf), log)
			return nil
		},
		OnStop: srv.Shutdown,
	})
}

func serveMetrics(lc fx.Lifecycle, s *settings.Settings, h *health, log hclog.Logger) {
	srv := metrics.NewServer(metrics.NewRegistry(h.snapshot), h.health)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			l, err := listen(s.Metrics.Listen)
			if err != nil {
				return err
			}
			go serve(srv, l, log)
			return nil
		},
		OnStop: srv.Shutdown,
	})
}

// watchKeys reloads certificates and relay keys when their files change.
func watchKeys(lc fx.Lifecycle, s *settings.Settings, store *keys.Store, ring *relay.Keyring, trail audit.Trail, log hclog.Logger, clock Clock) {
	w := &keyWatcher{store: store, ring: ring, trail: trail, log: log, clock: clock, vm: s.VM.Name}
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go w.run(ctx, s.Keys.ReloadInterval)
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}

type keyWatcher struct {
	store *keys.Store
	ring  *relay.Keyring
	trail audit.Trail
	log   hclog.Logger
	clock Clock
	vm    string
}

func (w *keyWatcher) run(ctx context.Context, interval time.Duration) {
	if interval <= 0 {
		return
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.check()
		}
	}
}

func (w *keyWatcher) check() {
	before := w.store.Summary()
	changed, err := w.store.Reload()
	if err != nil {
		w.log.Error("failed to reload keys; the previous keys stay in use", "error", err)
		return
	}
	if !changed {
		return
	}
	w.log.Info("keys reloaded")
	w.trail.Append(audit.Record{Time: time.Now().UTC(), VM: w.vm, Kind: api.AuditKeys, Subject: "keys", Cause: "files changed", Before: before, After: w.store.Summary()})
	if err := w.ring.Replace(relayKeys(w.store, time.Now(), w.clock())...); err != nil {
		w.log.Error("failed to rotate relay keys", "error", err)
	}
}

// health collects the data for metrics and health checks.
type health struct {
	settings   *settings.Settings
	controller *control.Controller
	forwarder  *forward.Forwarder
	links      *link.Links
	trail      audit.Trail
	store      *keys.Store
	requests   *api.Counters
	clock      Clock
}

func newHealth(s *settings.Settings, c *control.Controller, f *forward.Forwarder, l *link.Links, t audit.Trail, store *keys.Store, requests *api.Counters, clock Clock) *health {
	return &health{settings: s, controller: c, forwarder: f, links: l, trail: t, store: store, requests: requests, clock: clock}
}

// controlTimeout is the time without an update of the view after which the
// control goroutine counts as not alive.
const controlTimeout = 5 * time.Second

func (h *health) health() metrics.Health {
	view := h.controller.View()
	out := metrics.Health{
		VM:          h.settings.VM.Name,
		Alive:       h.clock()-view.UpdatedAt < controlTimeout,
		CutOff:      !view.LeaseLive,
		Index:       view.Index,
		SheetNumber: view.SheetNumber,
	}
	out.Ready = out.Alive && view.Index > 0 && view.IsOwner && !view.Leaving
	out.Reasons = reasons(&out, &view)
	return out
}

func reasons(h *metrics.Health, v *control.View) []string {
	var out []string
	add := func(holds bool, reason string) {
		if holds {
			out = append(out, reason)
		}
	}
	add(!h.Alive, "the control goroutine does not answer")
	add(v.Index == 0, "no version yet")
	add(v.Index > 0 && !v.IsOwner, "not a member with a share yet")
	add(v.Leaving, "stopping")
	add(h.CutOff, "no lease from a leader: the version may be out of date")
	return out
}

func (h *health) snapshot() metrics.Snapshot {
	s := metrics.Snapshot{
		ConnectionCapacity:  uint64(h.settings.Connections.Capacity),
		AuditFailures:       h.trail.Failures(),
		CertificateNotAfter: h.store.NotAfter(),
		ControlDropped:      h.links.Dropped(),
		Requests:            h.requests.Requests(),
		APIFailures:         h.requests.ConnectionFailures(),
	}
	h.traffic(&s)
	h.control(&s)
	for k := range link.KindCount {
		if k == 0 {
			continue
		}
		sent, received := h.links.Counters(link.Kind(k))
		s.Control = append(s.Control,
			metrics.ControlVolume{Kind: link.Kind(k).String(), Direction: metrics.Sent, Volume: metrics.Volume{Count: sent.Messages, Bytes: sent.Bytes}},
			metrics.ControlVolume{Kind: link.Kind(k).String(), Direction: metrics.Received, Volume: metrics.Volume{Count: received.Messages, Bytes: received.Bytes}})
	}
	return s
}

func (h *health) traffic(s *metrics.Snapshot) {
	c := h.forwarder.Counters()
	s.Received = metrics.Volume{Count: c.PacketsIn, Bytes: c.BytesIn}
	s.Forwarded = metrics.Volume{Count: c.PacketsOut, Bytes: c.BytesOut}
	s.RelaySent = metrics.Volume{Count: c.RelaysOut, Bytes: c.RelayBytesOut}
	s.RelayReceived = metrics.Volume{Count: c.RelaysIn, Bytes: c.RelayBytesIn}
	s.HintsSent = metrics.Volume{Count: c.HintsOut, Bytes: c.HintsOut * relay.FlowMessageSize}
	s.HintsReceived = metrics.Volume{Count: c.HintsIn, Bytes: c.HintsIn * relay.FlowMessageSize}
	s.RefreshesSent = metrics.Volume{Count: c.RefreshesOut, Bytes: c.RefreshesOut * relay.FlowMessageSize}
	s.RefreshesReceived = metrics.Volume{Count: c.RefreshesIn, Bytes: c.RefreshesIn * relay.FlowMessageSize}
	s.Refusals = c.Refusals
	s.RefusalsLimited = c.RefusalsLimited
	s.Overflows = c.Overflows
	s.ReadErrors = c.ReadErrors
	for code, n := range c.Codes {
		s.Causes = append(s.Causes, metrics.CauseCount{Code: code, Packets: n})
	}
}

func (h *health) control(s *metrics.Snapshot) {
	v := h.controller.View()
	s.VersionIndex = v.Index
	s.SheetNumber = v.SheetNumber
	s.Term = v.Term
	s.LiveVMs = v.LiveVMs
	s.OpenDrains = v.OpenDrains
	s.LeaseLive = v.LeaseLive
	s.CutOff = v.Index > 0 && !v.LeaseLive
	s.Leader = v.IsLeader
	s.Voter = v.Voter
	s.Ready = h.health().Ready
	s.OpenConnections = v.OpenConnections
	s.OwnedConnections = v.OwnedConnections
	s.OpenedConnections = v.OpenedConnections
	s.ReplicatedExceptions = v.ReplicatedExceptions
	s.Upstreams = v.Upstreams
}
