package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"heatherport/internal/process/keys"
	"heatherport/internal/process/settings"
	"heatherport/internal/request/identity"
	"heatherport/internal/result"
)

func (c *runCommand) run(ctx context.Context, e *env) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	return e.Runner.Run(ctx, s)
}

func (c *demoCommand) run(ctx context.Context, e *env) error {
	return e.Runner.Demo(ctx, DemoOptions{Seed: c.Seed, JSON: e.json, Output: e.Stdout, Log: e.Stderr})
}

// settingsSummary describes a valid settings file.
type settingsSummary struct {
	VM     string `json:"vm"`
	Domain string `json:"domain"`
	Voter  bool   `json:"voter"`
	Peers  int    `json:"peers"`
}

func (c *settingsCheckCommand) run(_ context.Context, e *env) error {
	if c.Program != "" {
		return c.checkProgram(e)
	}
	s, err := settings.Load(c.File)
	if err != nil {
		return err
	}
	sum := settingsSummary{VM: s.VM.Name, Domain: s.VM.Domain, Voter: s.IsVoter(), Peers: len(s.Peers)}
	return e.write(sum, func(w io.Writer) {
		fmt.Fprintf(w, "%s: valid settings of %s in %s with %d peers\n", c.File, sum.VM, sum.Domain, sum.Peers)
	})
}

// programSummary describes valid settings of a balancer or controller.
type programSummary struct {
	VM      string `json:"vm"`
	Domain  string `json:"domain"`
	Program string `json:"program"`
	Seeds   int    `json:"seeds"`
}

func (c *settingsCheckCommand) checkProgram(e *env) error {
	if c.Program != settings.Balancer && c.Program != settings.Controller {
		return result.Errorf(result.BadArguments, "--program is %s or %s, not %q", settings.Balancer, settings.Controller, c.Program)
	}
	s, err := settings.LoadProgram(c.File, c.Program)
	if err != nil {
		return err
	}
	sum := programSummary{VM: s.VM.Name, Domain: s.VM.Domain, Program: c.Program, Seeds: len(s.Seeds)}
	return e.write(sum, func(w io.Writer) {
		fmt.Fprintf(w, "%s: valid settings of the %s %s in %s with %d seeds\n", c.File, sum.Program, sum.VM, sum.Domain, sum.Seeds)
	})
}

func (c *sheetCheckCommand) run(_ context.Context, e *env) error {
	b, err := readSheet(c.File)
	if err != nil {
		return err
	}
	sum, err := e.CheckSheet(b)
	if err != nil {
		return err
	}
	return e.write(sum, func(w io.Writer) {
		fmt.Fprintf(w, "%s: valid sheet %d with %d services and %d upstreams, digest %s\n", c.File, sum.Number, sum.Services, sum.Upstreams, sum.Digest)
	})
}

func readSheet(path string) ([]byte, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, result.Wrapf(err, result.BadArguments, "read sheet")
	}
	return b, nil
}

// createdFiles lists the files that a command wrote.
type createdFiles struct {
	Dir   string   `json:"dir"`
	Files []string `json:"files,omitempty"`
}

func (c *keysInitCommand) run(_ context.Context, e *env) error {
	if err := (keys.Folder{Dir: c.Dir, Now: e.Now}).Init(); err != nil {
		return err
	}
	out := createdFiles{Dir: c.Dir, Files: []string{keys.CAFile, keys.CAKeyFile, keys.RelayFile}}
	return e.write(out, func(w io.Writer) {
		fmt.Fprintf(w, "wrote %s, %s and %s to %s; keep %s off the VMs\n", keys.CAFile, keys.CAKeyFile, keys.RelayFile, c.Dir, keys.CAKeyFile)
	})
}

func (c *keysIssueCommand) run(_ context.Context, e *env) error {
	id, err := c.identity()
	if err != nil {
		return err
	}
	out, err := keys.Folder{Dir: c.Dir, Now: e.Now}.Issue(id, c.Validity)
	if err != nil {
		return err
	}
	return e.write(out, func(w io.Writer) {
		fmt.Fprintf(w, "wrote %s and %s for the %s %s, valid until %s\n", out.Certificate, out.Key, id.Role, id.Name, out.NotAfter.UTC().Format(time.RFC3339))
	})
}

// identity returns the identity given by the arguments, which must name exactly
// one.
func (c *keysIssueCommand) identity() (identity.Identity, error) {
	var given []identity.Identity
	for _, id := range []identity.Identity{
		{Name: c.Name, Role: identity.VM},
		{Name: c.Operator, Role: identity.Operator},
		{Name: c.Upstream, Role: identity.Upstream},
	} {
		if id.Name != "" {
			given = append(given, id)
		}
	}
	if len(given) != 1 {
		return identity.Identity{}, result.Errorf(result.BadArguments, "give one of --name, --operator and --upstream")
	}
	return given[0], nil
}

func (c *keysRotateCommand) run(_ context.Context, e *env) error {
	f := keys.Folder{Dir: c.Dir, Now: e.Now}
	rotate := f.RotateRelay
	if c.CA {
		rotate = f.RotateCA
	}
	out, err := rotate(c.Window)
	if err != nil {
		return err
	}
	return e.write(out, func(w io.Writer) { writeRotated(w, out) })
}

func writeRotated(w io.Writer, r keys.Rotated) {
	from, until := r.UsedFrom.UTC().Format(time.RFC3339), r.OldUntil.UTC().Format(time.RFC3339)
	if r.CA != "" {
		fmt.Fprintf(w, "%s signs from now on; copy %s to all VMs, operators and upstreams, then issue their certificates again before %s\n", r.CA, keys.CAFile, until)
		return
	}
	fmt.Fprintf(w, "relay key %d is used from %s, the one before is accepted until %s; copy %s to all VMs before %s\n", r.RelayKey, from, until, keys.RelayFile, from)
}
