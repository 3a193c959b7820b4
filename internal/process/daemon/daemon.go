// Package daemon runs a balancer or a controller as a process with its settings,
// log, HTTP listeners and signals. Components start in the order of their
// dependencies and stop in the reverse order.
package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"heatherport/internal/process/logging"
	"heatherport/internal/process/metrics"
	"heatherport/internal/process/settings"
	"heatherport/internal/result"
)

const (
	startTimeout = 30 * time.Second
	// Timeouts for stalled HTTP clients. Calls are answered within a second.
	headerTimeout = 3 * time.Second
	bodyTimeout   = 10 * time.Second
	idleTimeout   = 30 * time.Second
	// responseTimeout is the time in which the responses to accepted requests are
	// written once the component has stopped.
	responseTimeout = 250 * time.Millisecond
)

// Dependencies are the values that a program is built from.
type Dependencies struct {
	Settings *settings.Program
	Log      hclog.Logger
	Registry *prometheus.Registry
}

// Component is the core of a program: a balancer or a controller.
type Component interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
	// Reload applies changed settings. Addresses and names of the VM itself do
	// not change until the next start.
	Reload(s *settings.Program)
}

// Service is a program with its HTTP interface.
type Service struct {
	Component Component
	Listen    netip.AddrPort
	Handler   http.Handler
	// ConnContext, if it is set, returns the context of the calls on a connection.
	ConnContext func(ctx context.Context, c net.Conn) context.Context
}

// Run starts the program with the settings in file, waits until ctx ends and
// stops it gracefully.
func Run(ctx context.Context, file, name string, build func(Dependencies) Service) error {
	hangups := catchHangups()
	s, err := settings.LoadProgram(file, name)
	if err != nil {
		return err
	}
	out := logging.NewAsyncWriter(os.Stdout)
	defer out.Close()
	log := logging.New(s.VM, s.Log, out)
	var service Service
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(s.VM.StopTimeout),
		fx.Supply(Dependencies{Settings: s, Log: log, Registry: metrics.NewProgramRegistry()}),
		fx.Provide(build),
		fx.Invoke(serve),
		fx.Populate(&service),
	)
	if err := app.Err(); err != nil {
		return err
	}
	// A program that is told to stop while it starts finishes the start, which takes
	// milliseconds, and then stops gracefully.
	start, cancelStart := context.WithTimeout(context.WithoutCancel(ctx), startTimeout)
	defer cancelStart()
	if err := app.Start(start); err != nil {
		log.Error("failed to start", "error", err)
		return err
	}
	log.Info("started", "program", name, "domain", s.VM.Domain, "link", s.Link.Advertise, "seeds", s.Seeds)
	(&reloader{file: file, program: name, log: log, reload: service.Component.Reload, hangups: hangups}).run(ctx)
	log.Info("stopping", "program", name)
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.VM.StopTimeout)
	defer cancel()
	err = app.Stop(stop)
	log.Info("stopped", "program", name, "error", err)
	return err
}

// serve runs the component and its HTTP interfaces. The HTTP interfaces respond
// until the component has stopped, so that routers see a balancer that is not
// ready rather than one that does not respond.
func serve(lc fx.Lifecycle, deps Dependencies, s Service) {
	listen(lc, deps.Log, deps.Settings.Metrics, &http.Server{Handler: metrics.NewMetricsHandler(deps.Registry)})
	listen(lc, deps.Log, s.Listen, &http.Server{Handler: s.Handler, ConnContext: s.ConnContext})
	lc.Append(fx.Hook{OnStart: s.Component.Start, OnStop: s.Component.Stop})
}

// listen serves an HTTP interface while the program runs.
func listen(lc fx.Lifecycle, log hclog.Logger, address netip.AddrPort, srv *http.Server) {
	srv.ReadHeaderTimeout = headerTimeout
	srv.ReadTimeout = bodyTimeout
	srv.IdleTimeout = idleTimeout
	srv.ErrorLog = log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			l, err := net.Listen("tcp", address.String())
			if err != nil {
				return result.Wrapf(err, result.BadSettings, "listen on %s", address)
			}
			go func() {
				if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
					log.Error("HTTP server failed", "address", address, "error", err)
				}
			}()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, responseTimeout)
			defer cancel()
			if srv.Shutdown(ctx) == nil {
				return nil
			}
			return srv.Close()
		},
	})
}
