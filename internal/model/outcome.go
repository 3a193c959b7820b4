package model

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome holds the figures of a run. Requests count that callers made in the window.
type Outcome struct {
	Asked  int
	InTime int // answered within the objective
	Late   int // answered later
	// InTimeWork is the service time at full speed of the requests in time, FitsWork that of
	// all requests, or what the upstreams in the window could do if that is less.
	InTimeWork, FitsWork time.Duration
	Routes               map[string]RouteOutcome
	Refusals             int                     // of attempts in the whole run
	Rejected             float64                 // requests rejected by upstreams / arrived there
	Busiest              float64                 // work of the busiest upstream that was up / of the mean one
	Suspected            int                     // suspicions of upstreams in the whole run
	LinkUse              float64                 // of the busiest balancer's link, in the busiest direction
	Latency              *hdrhistogram.Histogram // in microseconds
	Series               []Sample
	Violations           []Violation
	Events               uint64
}

// RouteOutcome holds the figures of a route.
type RouteOutcome struct{ Asked, InTime, Late int }

// Part returns a part of the requests of a route.
func (o RouteOutcome) Part(n int) float64 { return float64(n) / float64(max(o.Asked, 1)) }

// InTimeOfFits returns the requests in time as a part of those that fit, by their work.
func (o *Outcome) InTimeOfFits() float64 { return float64(o.InTimeWork) / float64(max(o.FitsWork, 1)) }

// Latencies up to maxLatency are recorded with latencyDigits significant digits.
const (
	maxLatency    = 30 * time.Second
	latencyDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
}

func (r *run) outcome() *Outcome {
	o := &Outcome{Routes: make(map[string]RouteOutcome), Refusals: r.refused, Suspected: r.suspected, Latency: newHistogram(), Violations: r.broken, Events: r.events.seq}
	asked := make(map[string]time.Duration)
	for _, c := range r.calls {
		if c.at < r.scenario.From || c.at >= r.scenario.To {
			continue
		}
		x := o.Routes[c.route.Name]
		x.Asked++
		o.Asked++
		asked[c.route.Service] += c.work
		switch {
		case c.isInTime():
			x.InTime++
			o.InTime++
			o.InTimeWork += c.work
		case c.answered != 0:
			x.Late++
			o.Late++
		}
		if c.answered != 0 {
			// The value is within the range by the limit here.
			_ = o.Latency.RecordValue(min(c.answered-c.at, maxLatency).Microseconds())
		}
		o.Routes[c.route.Name] = x
	}
	o.FitsWork = r.fits(asked)
	r.addLoad(o)
	o.Series = r.observe.samples(r.calls)
	for _, b := range r.balancers {
		for _, l := range []link{b.in, b.out} {
			if l.rate > 0 {
				o.LinkUse = max(o.LinkUse, l.sent/l.rate/r.now.Seconds())
			}
		}
	}
	return o
}

// fits returns the work of the requests that the upstreams could serve in the window: for
// each service what is asked, or what its slots do at their speed at the end of the window.
func (r *run) fits(asked map[string]time.Duration) (fits time.Duration) {
	window := r.scenario.To - r.scenario.From
	for i := range r.scenario.Services {
		s := &r.scenario.Services[i]
		slots := 0.0
		for _, u := range r.upstreams {
			if u.service == s && !u.isDark {
				slots += float64(s.Slots) / u.slowness
			}
		}
		fits += min(asked[s.Name], time.Duration(slots*float64(window)))
	}
	return fits
}

// addLoad adds the load of the upstreams.
func (r *run) addLoad(o *Outcome) {
	arrived, rejected, up := 0, 0, 0
	var worked, most time.Duration
	for _, u := range r.upstreams {
		arrived += u.arrived
		rejected += u.rejected
		if u.isDark || u.service != &r.scenario.Services[0] {
			continue
		}
		up++
		worked += u.worked
		most = max(most, u.worked)
	}
	o.Rejected = float64(rejected) / float64(max(arrived, 1))
	o.Busiest = float64(most) * float64(up) / float64(max(worked, 1))
}
