package experiment

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Figure is a value of a run that is averaged and compared.
type Figure struct {
	Name string
	Of   func(Run) float64
}

// Figures lists what is shown of a run.
var Figures = []Figure{
	{"in_time_of_asked", func(r Run) float64 { return part(r.Outcome.InTime, r.Outcome.Asked) }},
	{"in_time_of_fits", func(r Run) float64 { return r.Outcome.InTimeOfFits() }},
	{"late", func(r Run) float64 { return part(r.Outcome.Late, r.Outcome.Asked) }},
	{"unanswered", func(r Run) float64 {
		return part(r.Outcome.Asked-r.Outcome.InTime-r.Outcome.Late, r.Outcome.Asked)
	}},
	{"p50_ms", func(r Run) float64 { return quantileMillis(r, 50) }},
	{"p99_ms", func(r Run) float64 { return quantileMillis(r, 99) }},
	{"busiest_of_mean", func(r Run) float64 { return r.Outcome.Busiest }},
	{"rejected", func(r Run) float64 { return r.Outcome.Rejected }},
	{"refusals", func(r Run) float64 { return float64(r.Outcome.Refusals) }},
	{"link_use", func(r Run) float64 { return r.Outcome.LinkUse }},
}

func part(n, of int) float64 { return float64(n) / float64(max(of, 1)) }

func quantileMillis(r Run, quantile float64) float64 {
	return float64(r.Outcome.Latency.ValueAtQuantile(quantile)) / 1000
}

// Mean is the mean of a figure with the half width of its confidence interval of 95 %.
type Mean struct {
	Figure  string  `json:"figure"`
	Mean    float64 `json:"mean"`
	Within  float64 `json:"within"` // NaN is written as zero: one run has no interval
	Samples int     `json:"samples"`
}

// IsClear reports whether the interval does not contain zero.
func (m Mean) IsClear() bool { return m.Samples > 1 && math.Abs(m.Mean) > m.Within }

const confidence = 0.95

func meanOf(figure string, values []float64) Mean {
	m := Mean{Figure: figure, Samples: len(values), Mean: stat.Mean(values, nil)}
	if n := float64(len(values)); n > 1 {
		t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile((1 + confidence) / 2)
		m.Within = t * stat.StdDev(values, nil) / math.Sqrt(n)
	}
	return m
}

// Summary returns the means of all figures of the runs of a way.
func Summary(runs []Run, way string) (means []Mean) {
	for _, f := range Figures {
		var values []float64
		for _, r := range runs {
			if r.Way == way {
				values = append(values, f.Of(r))
			}
		}
		if len(values) > 0 {
			means = append(means, meanOf(f.Name, values))
		}
	}
	return means
}

// Difference returns the means of the differences of two ways, second less first, over
// the seeds that both have finished. The pairs see the same requests.
func Difference(runs []Run, first, second string) (means []Mean) {
	bySeed := make(map[uint64]Run)
	for _, r := range runs {
		if r.Way == first {
			bySeed[r.Seed] = r
		}
	}
	for _, f := range Figures {
		var values []float64
		for _, r := range runs {
			if other, ok := bySeed[r.Seed]; ok && r.Way == second {
				values = append(values, f.Of(r)-f.Of(other))
			}
		}
		if len(values) > 0 {
			means = append(means, meanOf(f.Name, values))
		}
	}
	return means
}
