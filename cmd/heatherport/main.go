// Command heatherport is a layer-4 load balancer. The network may send any packet
// of a connection to any balancer of the fleet.
package main

import (
	"bytes"
	"context"
	"os"

	"heatherport/internal/process/app"
	"heatherport/internal/process/cli"
	"heatherport/internal/process/demo"
	"heatherport/internal/process/keys"
	"heatherport/internal/process/logging"
	"heatherport/internal/process/settings"
	"heatherport/internal/request/api"
	"heatherport/internal/version/sheet"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], cli.Options{
		Runner:     runner{},
		CheckSheet: checkSheet,
		Stdout:     os.Stdout,
		Stderr:     os.Stderr,
	}))
}

// runner implements cli.Runner.
type runner struct{}

// Run implements cli.Runner.
func (runner) Run(ctx context.Context, s *settings.Settings) error {
	store, err := keys.Open(keys.Files{
		CA:          s.Keys.CA,
		Certificate: s.Keys.Certificate,
		Key:         s.Keys.Key,
		RelayKeys:   s.Keys.RelayKeys,
	})
	if err != nil {
		return err
	}
	return app.Run(ctx, app.Options{Settings: s, Keys: store, Log: logging.New(s.VM, s.Log, os.Stderr)})
}

// Bootstrap implements cli.Runner.
func (runner) Bootstrap(s *settings.Settings) error { return app.Bootstrap(s) }

// Demo implements cli.Runner.
func (runner) Demo(ctx context.Context, o cli.DemoOptions) error { return demo.Run(ctx, o) }

func checkSheet(csv []byte) (cli.SheetSummary, error) {
	s, err := sheet.Parse(bytes.NewReader(csv))
	if err != nil {
		return cli.SheetSummary{}, err
	}
	return cli.SheetSummary{
		Number:    s.Number,
		Digest:    api.Digest(s.Digest()).String(),
		Services:  len(s.Services),
		Upstreams: len(s.Upstreams),
	}, nil
}
