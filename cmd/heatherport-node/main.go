// Command heatherport-node runs a program of a fleet without a static list of
// members: a balancer, or a controller, which feeds balancers. It is a binary of
// its own, because the dependencies of the command line would double the
// processor time that a start takes.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"heatherport/internal/process/balancer"
	"heatherport/internal/process/controller"
	"heatherport/internal/process/daemon"
	"heatherport/internal/process/metrics"
	"heatherport/internal/process/settings"
	"heatherport/internal/result"
	"heatherport/platform"
)

const program = "heatherport-node"

func main() {
	// A changed settings file may be announced before the program listens for it (see
	// also hangup.go). The default action of the signal would end the process; the file
	// is read later.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	os.Exit(run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}

// command is a program with its settings file.
type command struct {
	File string `arg:"--settings,required,env:HEATHERPORT_CONFIG" placeholder:"FILE" help:"settings of this program"`
}

type arguments struct {
	Balancer   *command         `arg:"subcommand:balancer" help:"run a balancer for connections with cookies"`
	Controller *command         `arg:"subcommand:controller" help:"run a controller, which feeds balancers"`
	Evacuation *evacuationGroup `arg:"subcommand:evacuation" help:"start, end or list evacuations of failure domains"`
}

// run runs one command line until it is done or ctx ends, and returns the exit code,
// the class of the result.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var a arguments
	parser, err := arg.NewParser(arg.Config{Program: program}, &a)
	if err == nil {
		err = parser.Parse(args)
	}
	if errors.Is(err, arg.ErrHelp) {
		parser.WriteHelp(stdout)
		return int(result.ClassOK)
	}
	switch {
	case err != nil:
		err = result.Errorf(result.BadArguments, "%v", err)
	case a.Evacuation != nil:
		err = a.Evacuation.run(ctx, stdout)
	case a.Balancer == nil && a.Controller == nil:
		err = result.Errorf(result.BadArguments, "no program given")
	default:
		err = a.start(ctx)
	}
	if err == nil {
		return int(result.ClassOK)
	}
	fmt.Fprintf(stderr, "%s: %v\n", program, err)
	return int(result.CodeOf(err).Class())
}

// start runs the program until ctx ends or the process is told to end, and then stops it
// gracefully.
func (a *arguments) start(ctx context.Context) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	// Restores the default action after the first signal, so that a second one
	// terminates the process immediately.
	context.AfterFunc(ctx, stop)
	if a.Balancer != nil {
		return daemon.Run(ctx, a.Balancer.File, settings.Balancer, newBalancer)
	}
	return daemon.Run(ctx, a.Controller.File, settings.Controller, newController)
}

func newBalancer(d daemon.Dependencies) daemon.Service {
	b := balancer.New(balancer.Config{
		Settings: d.Settings, Log: d.Log,
		Codec:   platform.Codec{ReturnPort: d.Settings.Packets.Port()},
		Metrics: metrics.NewBalancer(d.Registry),
	})
	return daemon.Service{Component: b, Listen: d.Settings.Ready, Handler: platform.ReadyHandler(b.Ready)}
}

func newController(d daemon.Dependencies) daemon.Service {
	c := controller.New(controller.Config{
		Settings: d.Settings, Log: d.Log, ParseRoutes: platform.ParseConfiguration,
		Metrics: metrics.NewController(d.Registry),
	})
	return daemon.Service{Component: c, Listen: d.Settings.API, Handler: platform.ControlHandler(c), ConnContext: controller.WithCallConn}
}

func newOperator(controllers []string, client *http.Client) operator {
	return &platform.OperatorClient{Controllers: controllers, HTTP: client}
}
