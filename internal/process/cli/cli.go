// Package cli implements the command line of heatherport: its arguments, its
// commands and their output. The exit code of a command is the class of its
// result code.
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

// Runner runs the balancer of a VM, the bootstrap of a voter and the demo.
type Runner interface {
	// Run serves until ctx is done, and then stops gracefully.
	Run(ctx context.Context, s *settings.Settings) error
	// Bootstrap prepares the data folder of an initial voter for a new fleet.
	Bootstrap(s *settings.Settings) error
	// Demo runs a small fleet and returns an error if a guarantee was
	// violated.
	Demo(ctx context.Context, o DemoOptions) error
}

// DemoOptions are the options of the demo.
type DemoOptions struct {
	Seed   uint64
	JSON   bool      // write the result as one JSON object instead of a table
	Output io.Writer // receives the result
	Log    io.Writer // receives progress messages
}

// SheetSummary describes a valid sheet.
type SheetSummary struct {
	Number    uint64 `json:"number"`
	Digest    string `json:"digest"`
	Services  int    `json:"services"`
	Upstreams int    `json:"upstreams"`
}

// Options are the dependencies of the command line.
type Options struct {
	Runner     Runner
	CheckSheet func(csv []byte) (SheetSummary, error)
	Stdout     io.Writer
	Stderr     io.Writer
	Now        func() time.Time // time.Now if nil
}

const program = "heatherport"

// Main parses args, runs the command and returns the exit code.
func Main(args []string, o Options) int {
	if o.Now == nil {
		o.Now = time.Now
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// Restores the default action after the first signal, so that a second
	// one terminates the process immediately.
	context.AfterFunc(ctx, stop)
	return execute(ctx, args, o)
}

// execute runs one command line and returns the exit code.
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

// commandLine is a parsed command line.
type commandLine struct {
	parser  *arg.Parser
	args    arguments
	command command
}

func parse(args []string) (*commandLine, error) {
	l := &commandLine{}
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

// writeUsage writes the usage of the selected command, if any.
func (l *commandLine) writeUsage(w io.Writer) {
	if l.args.JSON || l.parser == nil {
		return
	}
	// It fails only for unknown subcommands, and these names come from the
	// parser itself.
	_ = l.parser.WriteUsageForSubcommand(w, l.parser.SubcommandNames()...)
}

// command is a subcommand that can be run.
type command interface {
	run(ctx context.Context, e *env) error
}

// env is the environment of a command: its options and output format.
type env struct {
	Options
	json bool
}
