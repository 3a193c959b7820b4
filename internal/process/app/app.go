// Package app assembles the process of one VM with fx: keys, links, the
// connection engine, the forwarder, the control goroutine, and the HTTP
// listeners. Components start in the order of their dependencies. They stop in
// the reverse order, after the VM has handed over its connections.
package app

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"heatherport/internal/connection/owner"
	"heatherport/internal/process/audit"
	"heatherport/internal/process/control"
	"heatherport/internal/process/keys"
	"heatherport/internal/process/link"
	"heatherport/internal/process/settings"
	"heatherport/internal/request/api"
	"heatherport/internal/request/forward"
)

const (
	startTimeout = 30 * time.Second
	// stopMargin is the time allowed for a stop in addition to the handover.
	stopMargin = 10 * time.Second
)

// Options configure an App.
type Options struct {
	Settings *settings.Settings
	Keys     *keys.Store
	Log      hclog.Logger
	// AllowLink decides whether control messages from one VM to another are
	// delivered; nil allows all. Only a fleet in one process sets it.
	AllowLink func(from, to string) bool
}

// App is the process of one VM.
type App struct {
	fx         *fx.App
	settings   *settings.Settings
	Controller *control.Controller
	Engine     *owner.Engine
	Forwarder  *forward.Forwarder
	Links      *link.Links
	Audit      audit.Trail
}

// Clock is the monotonic clock of the process.
type Clock func() time.Duration

func newClock() Clock {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

// New assembles the process without starting it.
func New(o Options) (*App, error) {
	a := &App{settings: o.Settings}
	a.fx = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(o.Settings.VM.StopTimeout+stopMargin),
		fx.Supply(o.Settings, o.Keys, linkFilter(o.AllowLink)),
		fx.Provide(
			func() hclog.Logger { return o.Log },
			newClock,
			newIncarnation,
			newTrail,
			newLinks,
			newEngine,
			newKeyring,
			newForwarder,
			newController,
			func() *api.Counters { return new(api.Counters) },
			newHealth,
		),
		fx.Invoke(serveMetrics, serveAPI, watchKeys, drainOnStop),
		fx.Populate(&a.Controller, &a.Engine, &a.Forwarder, &a.Links, &a.Audit),
	)
	return a, a.fx.Err()
}

// Start starts all components.
func (a *App) Start(ctx context.Context) error { return a.fx.Start(ctx) }

// Stop hands over the connections of this VM and stops all components.
func (a *App) Stop(ctx context.Context) error { return a.fx.Stop(ctx) }

// Kill stops all components without a handover. Tests and the demo use it to
// simulate a crash of the process.
func (a *App) Kill() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = a.Forwarder.Stop(ctx)
	a.Links.Stop()
	a.Controller.Stop()
	_ = a.fx.Stop(context.Background())
}

// Run starts the process, waits until ctx ends and stops it gracefully.
func Run(ctx context.Context, o Options) error {
	a, err := New(o)
	if err != nil {
		return err
	}
	start, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := a.Start(start); err != nil {
		return err
	}
	o.Log.Info("started", "vm", o.Settings.VM.Name, "domain", o.Settings.VM.Domain)
	<-ctx.Done()
	o.Log.Info("stopping", "vm", o.Settings.VM.Name)
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), o.Settings.VM.StopTimeout+stopMargin)
	defer cancel()
	return a.Stop(stop)
}
