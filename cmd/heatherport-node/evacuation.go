package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"heatherport/internal/result"
	"heatherport/platform"
)

// evacuationGroup holds the commands on evacuations of failure domains.
type evacuationGroup struct {
	Start *evacuationOrder `arg:"subcommand:start" help:"give the upstreams of a failure domain no new connections"`
	End   *evacuationOrder `arg:"subcommand:end" help:"end an evacuation"`
	List  *evacuationList  `arg:"subcommand:list" help:"list the evacuations in force"`
}

type controllerAddresses struct {
	Controllers string        `arg:"--controllers,required,env:HEATHERPORT_CONTROLLERS" placeholder:"ADDR[,ADDR...]" help:"API addresses of controllers, tried in turn"`
	Timeout     time.Duration `arg:"--timeout" default:"10s" help:"time to wait for a clear answer"`
}

type evacuationOrder struct {
	Domain string `arg:"positional,required" help:"failure domain"`
	controllerAddresses
}

type evacuationList struct {
	controllerAddresses
	JSON bool `arg:"--json" help:"write JSON"`
}

// callTimeout is the time after which the next controller is called. Controllers
// answer within a second.
const callTimeout = time.Second

func (a *controllerAddresses) client() *platform.OperatorClient {
	return &platform.OperatorClient{
		Controllers: strings.Split(a.Controllers, ","),
		HTTP:        &http.Client{Timeout: callTimeout},
	}
}

func (g *evacuationGroup) run(ctx context.Context, stdout io.Writer) error {
	switch {
	case g.Start != nil:
		return g.Start.order(ctx, g.Start.client().StartEvacuation)
	case g.End != nil:
		return g.End.order(ctx, g.End.client().EndEvacuation)
	case g.List != nil:
		return g.List.write(ctx, stdout)
	}
	return result.Errorf(result.BadArguments, "start, end or list expected")
}

func (o *evacuationOrder) order(ctx context.Context, call func(context.Context, string) error) error {
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	return call(ctx, o.Domain)
}

func (l *evacuationList) write(ctx context.Context, stdout io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, l.Timeout)
	defer cancel()
	evacuations, err := l.client().Evacuations(ctx)
	if err != nil {
		return err
	}
	if l.JSON {
		if err := json.NewEncoder(stdout).Encode(evacuations); err != nil {
			return result.Wrapf(err, result.Internal, "write the list")
		}
		return nil
	}
	for _, e := range evacuations {
		fmt.Fprintf(stdout, "%s\tsince %s\tby %s\tindex %d\n", e.Zone, e.Since.Format(time.RFC3339), e.By, e.Index)
	}
	return nil
}
