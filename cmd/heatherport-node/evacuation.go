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
	"heatherport/internal/version/register"
)

// operator gives orders to controllers.
type operator interface {
	StartEvacuation(ctx context.Context, domain string) error
	EndEvacuation(ctx context.Context, domain string) error
	Evacuations(ctx context.Context) ([]register.Evacuation, error)
}

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

func (a *controllerAddresses) operator() operator {
	return newOperator(strings.Split(a.Controllers, ","), &http.Client{Timeout: callTimeout})
}

func (g *evacuationGroup) run(ctx context.Context, stdout io.Writer) error {
	switch {
	case g.Start != nil:
		return g.Start.order(ctx, g.Start.operator().StartEvacuation)
	case g.End != nil:
		return g.End.order(ctx, g.End.operator().EndEvacuation)
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
	evacuations, err := l.operator().Evacuations(ctx)
	if err != nil {
		return err
	}
	list := make([]listedEvacuation, 0, len(evacuations))
	for _, e := range evacuations {
		list = append(list, listedEvacuation{e.Domain, time.UnixMilli(e.SinceMillis).UTC(), e.By, e.Index})
	}
	if l.JSON {
		if err := json.NewEncoder(stdout).Encode(list); err != nil {
			return result.Wrapf(err, result.Internal, "write the list")
		}
		return nil
	}
	for _, e := range list {
		fmt.Fprintf(stdout, "%s\tsince %s\tby %s\tindex %d\n", e.Domain, e.Since.Format(time.RFC3339), e.By, e.Index)
	}
	return nil
}

// listedEvacuation is an evacuation in the output of the list command.
type listedEvacuation struct {
	Domain string    `json:"failure_domain"`
	Since  time.Time `json:"since"`
	By     string    `json:"by"`
	Index  uint64    `json:"index"`
}
