package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"heatherport/internal/experiment"
	"heatherport/internal/result"
)

type experimentGroup struct {
	Run     *experimentRunCommand     `arg:"subcommand:run" help:"play a scenario with several seeds"`
	Compare *experimentCompareCommand `arg:"subcommand:compare" help:"compare two ways, or two scenarios, on the same requests"`
	Sweep   *experimentSweepCommand   `arg:"subcommand:sweep" help:"play a scenario with several values of one key"`
	Plot    *experimentPlotCommand    `arg:"subcommand:plot" help:"plot one run of a scenario"`
}

// scenarioArguments name a scenario.
type scenarioArguments struct {
	File  string   `arg:"positional,required" help:"scenario file"`
	Seeds int      `arg:"--seeds" default:"5" help:"number of seeds, from 1"`
	Set   []string `arg:"--set,separate" placeholder:"SECTION.KEY=VALUE" help:"change a value of the scenario; may be repeated"`
}

func (a *scenarioArguments) jobs(way string, more ...string) ([]experiment.Job, error) {
	if a.Seeds < 1 {
		return nil, result.Errorf(result.BadArguments, "--seeds is a positive number")
	}
	var changes []experiment.Change
	for _, s := range append(append([]string(nil), a.Set...), more...) {
		c, err := experiment.ParseChange(s)
		if err != nil {
			return nil, err
		}
		changes = append(changes, c)
	}
	scenario, err := experiment.Load(a.File, changes...)
	if err != nil {
		return nil, err
	}
	return experiment.Jobs(way, scenario, a.Seeds), nil
}

// play plays jobs and shows each that ends: as a line on a terminal's standard error, or
// as a JSON object.
func play(ctx context.Context, e *env, jobs []experiment.Job) ([]experiment.Run, error) {
	n := 0
	runs, err := experiment.Play(ctx, jobs, func(r experiment.Run) {
		n++
		// An error shows again when the summary is written.
		_ = e.writeLine(newRunLine(r), func(io.Writer) {
			fmt.Fprintf(e.Stderr, "%d of %d: %s, seed %d: %d of %d in time (%v)\n", n, len(jobs), r.Way, r.Seed, r.Outcome.InTime, r.Outcome.Asked, r.Took.Round(time.Millisecond))
		})
	})
	if err != nil {
		return runs, err
	}
	if len(runs) == 0 {
		return runs, result.Errorf(result.BadArguments, "interrupted before a run ended")
	}
	return runs, violationsOf(runs)
}

// runLine describes a run.
type runLine struct {
	Way     string             `json:"way"`
	Seed    uint64             `json:"seed"`
	Seconds float64            `json:"seconds"`
	Events  uint64             `json:"events"`
	Figures map[string]float64 `json:"figures"`
	Broken  []string           `json:"broken,omitempty"`
}

func newRunLine(r experiment.Run) runLine {
	l := runLine{Way: r.Way, Seed: r.Seed, Seconds: r.Took.Seconds(), Events: r.Outcome.Events, Figures: make(map[string]float64)}
	for _, f := range experiment.Figures {
		l.Figures[f.Name] = f.Of(r)
	}
	for _, v := range r.Outcome.Violations {
		l.Broken = append(l.Broken, v.String())
	}
	return l
}

// violationsOf returns an error that names the first broken promise.
func violationsOf(runs []experiment.Run) error {
	for _, r := range runs {
		if len(r.Outcome.Violations) > 0 {
			return result.Errorf(result.PromiseBroken, "%s, seed %d: %d promises broken, first %s", r.Way, r.Seed, len(r.Outcome.Violations), r.Outcome.Violations[0])
		}
	}
	return nil
}

func writeMeans(w io.Writer, title string, means []experiment.Mean) {
	rows := [][]string{{title, "mean", "within (95 %)"}}
	for _, m := range means {
		rows = append(rows, []string{"  " + m.Figure, fmt.Sprintf("%.4g", m.Mean), fmt.Sprintf("%.2g", m.Within)})
	}
	writeTable(w, rows...)
}

type experimentRunCommand struct{ scenarioArguments }

func (c *experimentRunCommand) run(ctx context.Context, e *env) error {
	const way = "scenario"
	jobs, err := c.jobs(way)
	if err != nil {
		return err
	}
	runs, failure := play(ctx, e, jobs)
	means := experiment.Summary(runs, way)
	if err := e.writeLine(map[string]any{"means": means}, func(w io.Writer) { writeMeans(w, jobs[0].Scenario.Name, means) }); err != nil {
		return err
	}
	return failure
}

type experimentCompareCommand struct {
	scenarioArguments
	With  []string `arg:"--with,separate" placeholder:"SECTION.KEY=VALUE" help:"change of the second way; may be repeated"`
	Other string   `arg:"--other" placeholder:"FILE" help:"scenario file of the second way"`
}

func (c *experimentCompareCommand) run(ctx context.Context, e *env) error {
	const first, second = "first", "second"
	if len(c.With) == 0 && c.Other == "" {
		return result.Errorf(result.BadArguments, "the second way needs --with or --other")
	}
	jobs, err := c.jobs(first)
	if err != nil {
		return err
	}
	other := c.scenarioArguments
	if c.Other != "" {
		other.File = c.Other
	}
	more, err := other.jobs(second, c.With...)
	if err != nil {
		return err
	}
	runs, failure := play(ctx, e, append(jobs, more...))
	a, b, d := experiment.Summary(runs, first), experiment.Summary(runs, second), experiment.Difference(runs, first, second)
	err = e.writeLine(map[string]any{first: a, second: b, "difference": d}, func(w io.Writer) {
		writeMeans(w, "first", a)
		writeMeans(w, "second", b)
		writeMeans(w, "second less first", d)
	})
	if err != nil {
		return err
	}
	return failure
}

type experimentSweepCommand struct {
	scenarioArguments
	Key    string `arg:"--key,required" placeholder:"SECTION.KEY" help:"key to change"`
	Values string `arg:"--values,required" placeholder:"A,B,..." help:"its values"`
	Figure string `arg:"--figure" default:"in_time_of_asked" help:"figure to plot"`
	Plot   string `arg:"--plot" placeholder:"FILE" help:"plot the figure over the values, as .svg or .png"`
}

func (c *experimentSweepCommand) run(ctx context.Context, e *env) error {
	var points []experiment.Point
	var failure error
	for _, value := range strings.Split(c.Values, ",") {
		jobs, err := c.jobs(value, c.Key+"="+value)
		if err != nil {
			return err
		}
		runs, err := play(ctx, e, jobs)
		if failure == nil {
			failure = err
		}
		if len(runs) == 0 {
			break
		}
		number, err := strconv.ParseFloat(value, 64)
		if err != nil {
			number = float64(len(points)) // words are plotted in their order
		}
		points = append(points, experiment.Point{Value: number, Means: experiment.Summary(runs, value)})
	}
	if c.Plot != "" && len(points) > 0 {
		if err := experiment.PlotSweep(points, c.Key, c.Figure, c.Plot); err != nil {
			return err
		}
	}
	err := e.writeLine(map[string]any{"points": points}, func(w io.Writer) {
		for _, p := range points {
			writeMeans(w, fmt.Sprintf("%s=%g", c.Key, p.Value), p.Means)
		}
	})
	if err != nil {
		return err
	}
	return failure
}

type experimentPlotCommand struct {
	scenarioArguments
	Output string `arg:"--output" default:"." placeholder:"FOLDER" help:"folder for the plots"`
	Format string `arg:"--format" default:"svg" help:"svg or png"`
}

func (c *experimentPlotCommand) run(ctx context.Context, e *env) error {
	if c.Format != "svg" && c.Format != "png" {
		return result.Errorf(result.BadArguments, "--format is svg or png, not %q", c.Format)
	}
	c.Seeds = 1
	jobs, err := c.jobs("scenario")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Output, 0o755); err != nil {
		return result.Wrapf(err, result.BadArguments, "create folder")
	}
	runs, failure := play(ctx, e, jobs)
	if len(runs) == 0 {
		return failure
	}
	files, err := experiment.PlotRun(runs[0], c.Output, c.Format)
	if err != nil {
		return err
	}
	err = e.writeLine(map[string]any{"files": files}, func(w io.Writer) {
		for _, f := range files {
			fmt.Fprintln(w, f)
		}
	})
	if err != nil {
		return err
	}
	return failure
}
