package cli

import (
	"context"
	"fmt"
	"io"
	"strings"

	"heatherport/internal/process/settings"
	"heatherport/internal/request/api"
)

type voterGroup struct {
	Bootstrap *voterBootstrapCommand `arg:"subcommand:bootstrap" help:"prepare an empty data folder for the first start of a new fleet"`
	Add       *voterAddCommand       `arg:"subcommand:add" help:"add a VM to the voters of the replicated log"`
	Remove    *voterRemoveCommand    `arg:"subcommand:remove" help:"remove a VM from the voters of the replicated log"`
}

type voterBootstrapCommand struct {
	Settings string `arg:"--settings,required" help:"settings of the voter"`
}

type voterAddCommand struct {
	Name string `arg:"positional,required" help:"name of a VM with a data folder"`
	remote
}

type voterRemoveCommand struct {
	Name string `arg:"positional,required" help:"name of a voter"`
	remote
}

func (c *voterBootstrapCommand) run(_ context.Context, e *env) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	if err := e.Runner.Bootstrap(s); err != nil {
		return err
	}
	return e.write(createdFiles{Dir: s.VM.DataDir}, func(w io.Writer) {
		fmt.Fprintf(w, "%s is ready for the first start of %s\n", s.VM.DataDir, s.VM.Name)
	})
}

func (c *voterAddCommand) run(ctx context.Context, e *env) error {
	return c.changeVoter(ctx, e, api.VoterRequest{Name: c.Name})
}

func (c *voterRemoveCommand) run(ctx context.Context, e *env) error {
	return c.changeVoter(ctx, e, api.VoterRequest{Name: c.Name, Remove: true})
}

// changeVoter requests a change of the voters.
func (r *remote) changeVoter(ctx context.Context, e *env, req api.VoterRequest) error {
	client, err := r.client()
	if err != nil {
		return err
	}
	out, err := client.ChangeVoter(ctx, req)
	if err != nil {
		return err
	}
	return e.write(out, func(w io.Writer) {
		writePairs(w,
			[2]string{"index", formatNumber(out.Index)},
			[2]string{"voters before the change", strings.Join(out.Voters, ", ")},
		)
	})
}
