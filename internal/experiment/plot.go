package experiment

import (
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette/moreland"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"heatherport/internal/model"
	"heatherport/internal/result"
)

const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 3.5 * vg.Inch
)

// PlotRun writes plots of a run to a folder: requests, latencies, the load of the
// upstreams and the use of links over time. format is svg or png. It returns the files.
func PlotRun(r Run, folder, format string) (files []string, err error) {
	plots := []struct {
		name  string
		build func([]model.Sample) (*plot.Plot, error)
	}{
		{"requests", plotRequests}, {"latency", plotLatency}, {"upstreams", plotUpstreams}, {"links", plotLinks},
	}
	for _, p := range plots {
		built, err := p.build(r.Outcome.Series)
		if err != nil {
			return files, result.Wrapf(err, result.Internal, "plot %s", p.name)
		}
		file := filepath.Join(folder, p.name+"."+format)
		if err := built.Save(plotWidth, plotHeight, file); err != nil {
			return files, result.Wrapf(err, result.BadArguments, "write plot")
		}
		files = append(files, file)
	}
	return files, nil
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

// over returns a line of values over time.
func over(series []model.Sample, value func(*model.Sample) float64) plotter.XYs {
	points := make(plotter.XYs, len(series))
	for i := range series {
		points[i].X, points[i].Y = series[i].At.Seconds(), value(&series[i])
	}
	return points
}

func plotRequests(series []model.Sample) (*plot.Plot, error) {
	p := newPlot("requests by the time at which they began", "seconds", "requests per interval")
	return p, plotutil.AddLines(p,
		"asked", over(series, func(s *model.Sample) float64 { return float64(s.Asked) }),
		"in time", over(series, func(s *model.Sample) float64 { return float64(s.InTime) }),
		"late", over(series, func(s *model.Sample) float64 { return float64(s.Late) }))
}

func plotLatency(series []model.Sample) (*plot.Plot, error) {
	p := newPlot("time to the answer", "seconds", "milliseconds")
	return p, plotutil.AddLines(p,
		"median", over(series, func(s *model.Sample) float64 { return float64(s.P50.Microseconds()) / 1000 }),
		"99 %", over(series, func(s *model.Sample) float64 { return float64(s.P99.Microseconds()) / 1000 }))
}

func plotLinks(series []model.Sample) (*plot.Plot, error) {
	p := newPlot("use of the busiest link, outwards", "seconds", "part of its rate")
	return p, plotutil.AddLines(p, "busiest", over(series, func(s *model.Sample) float64 { return s.LinkUse }))
}

// busyGrid is the part of the slots in use, by time and upstream.
type busyGrid []model.Sample

func (g busyGrid) Dims() (columns, rows int) { return len(g), len(g[0].Busy) }
func (g busyGrid) Z(column, row int) float64 { return g[column].Busy[row] }
func (g busyGrid) X(column int) float64      { return g[column].At.Seconds() }
func (g busyGrid) Y(row int) float64         { return float64(row) }

const heatColours = 32

func plotUpstreams(series []model.Sample) (*plot.Plot, error) {
	p := newPlot("slots in use", "seconds", "upstream")
	if len(series) < 2 || len(series[0].Busy) < 2 {
		return p, nil // a heat map has two columns and rows at least
	}
	p.Add(plotter.NewHeatMap(busyGrid(series), moreland.SmoothBlueRed().Palette(heatColours)))
	return p, nil
}

// Point is a value of a sweep with the mean figures there.
type Point struct {
	Value float64 `json:"value"`
	Means []Mean  `json:"means"`
}

// PlotSweep writes a figure over the values of a sweep.
func PlotSweep(points []Point, key, figure, file string) error {
	p := newPlot(figure, key, figure)
	var line plotter.XYs
	for _, x := range points {
		for _, m := range x.Means {
			if m.Figure == figure {
				line = append(line, plotter.XY{X: x.Value, Y: m.Mean})
			}
		}
	}
	if err := plotutil.AddLinePoints(p, line); err != nil {
		return result.Wrapf(err, result.Internal, "plot sweep")
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return result.Wrapf(err, result.BadArguments, "write plot")
	}
	return nil
}
