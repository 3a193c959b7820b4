// Package cli is the command line of heatherport: its arguments, its commands
// and their output. The exit code of a command is the class of its result code.
package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"

	"heatherport/internal/process/settings"
	"heatherport/internal/result"
)

// Runner starts what lives longer than a command.
type Runner interface {
	// Run serves until ctx ends, and then stops gracefully.
	Run(ctx context.Context, s *settings.Settings) error
	// Bootstrap prepares the data folder of an initial voter for a new fleet.
	Bootstrap(s *settings.Settings) error
	// Demo runs a small fleet and returns an error if a promise broke.
	Demo(ctx context.Context, o DemoOptions) error
}

// Programs starts the programs of a fleet without a list of members. Both serve
// until ctx ends, and then stop gracefully.
type Programs interface {
	Balancer(ctx context.Context, file string) error
	Controller(ctx context.Context, file string) error
}

// DemoOptions are the options of the demo.
type DemoOptions struct {
	Seed   uint64
	JSON   bool      // one JSON object in place of the table
	Output io.Writer // result
	Log    io.Writer // progress
}

// SheetSummary describes a valid sheet.
type SheetSummary struct {
	Number    uint64 `json:"number"`
	Digest    string `json:"digest"`
	Services  int    `json:"services"`
	Upstreams int    `json:"upstreams"`
}

// Options are what the command line needs from the program.
type Options struct {
	Runner     Runner
	Programs   Programs
	CheckSheet func(csv []byte) (SheetSummary, error)
	Stdout     io.Writer
	Stderr     io.Writer
	Now        func() time.Time // nil: time.Now
}

const program = "heatherport"

// Main parses args, runs the command and returns the exit code.
func Main(args []string, o Options) int {
	if o.Now == nil {
		o.Now = time.Now
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// After the first signal the default action is restored, so that a
	// second one ends the process at once.
	context.AfterFunc(ctx, stop)
	return execute(ctx, args, o)
}

// execute runs one command line under ctx.
func execute(ctx context.Context, args []string, o Options) int {
	l, err := parse(args)
	if errors.Is(err, arg.ErrHelp) {
		writeHelp(o.Stdout, l.parser)
		return int(result.ClassOK)
	}
	if errors.Is(err, arg.ErrVersion) {
		fmt.Fprintln(o.Stdout, l.args.Version())
		return int(result.ClassOK)
	}
	if err != nil {
		l.writeUsage(o.Stderr)
		return report(o.Stderr, l.args.JSON, err)
	}
	return report(o.Stderr, l.args.JSON, l.command.run(ctx, &env{Options: o, json: l.args.JSON}))
}

// line is a parsed command line.
type line struct {
	parser  *arg.Parser
	args    arguments
	command command
}

func parse(args []string) (*line, error) {
	l := &line{}
	var err error
	l.parser, err = arg.NewParser(arg.Config{Program: program}, &l.args)
	if err != nil {
		return l, result.Wrapf(err, result.Internal, "define arguments")
	}
	err = l.parser.Parse(args)
	if errors.Is(err, arg.ErrHelp) || errors.Is(err, arg.ErrVersion) {
		return l, err
	}
	if err != nil {
		return l, result.Errorf(result.BadArguments, "%v", err)
	}
	c, ok := l.parser.Subcommand().(command)
	if !ok {
		return l, result.Errorf(result.BadArguments, "no command given")
	}
	l.command = c
	return l, nil
}

// writeUsage writes the usage of the command that was selected, if any.
func (l *line) writeUsage(w io.Writer) {
	if l.args.JSON || l.parser == nil {
		return
	}
	// The names are those that the parser itself found.
	_ = l.parser.WriteUsageForSubcommand(w, l.parser.SubcommandNames()...)
}

// command is a subcommand that can be run.
type command interface {
	run(ctx context.Context, e *env) error
}

// env is what a command runs in.
type env struct {
	Options
	json bool
}
