package model

import "time"

// observeInterval is the time between two samples.
const observeInterval = 200 * time.Millisecond

// Sample holds what was seen in an interval.
type Sample struct {
	At       time.Duration
	Asked    int
	InTime   int
	Late     int
	Busy     []float64 // part of the slots in use, by upstream
	LinkUse  float64   // of the busiest link
	Slow     int       // upstreams that balancers know to be slow
	P50, P99 time.Duration
}

// observer gathers samples.
type observer struct {
	from    time.Duration
	taken   []Sample
	lastOut map[int]float64
}

func newObserver(s *Scenario) *observer {
	return &observer{from: s.From, lastOut: make(map[int]float64)}
}

// observeLoad takes a sample of the upstreams and links.
func (r *run) observeLoad() {
	s := Sample{At: r.now}
	for _, u := range r.upstreams {
		s.Busy = append(s.Busy, float64(u.busy)/float64(u.service.Slots))
	}
	for i := range r.records {
		if r.records[i].Slowness > 0 {
			s.Slow++
		}
	}
	for i, b := range r.balancers {
		if b.out.rate > 0 {
			s.LinkUse = max(s.LinkUse, (b.out.sent-r.observe.lastOut[i])/b.out.rate/observeInterval.Seconds())
			r.observe.lastOut[i] = b.out.sent
		}
	}
	r.observe.taken = append(r.observe.taken, s)
}

// samples adds the requests to the samples of the intervals in which they began.
func (o *observer) samples(calls []*call) []Sample {
	latencies := newHistogram()
	next := 0
	flush := func() {
		o.taken[next].P50 = time.Duration(latencies.ValueAtQuantile(50)) * time.Microsecond
		o.taken[next].P99 = time.Duration(latencies.ValueAtQuantile(99)) * time.Microsecond
		latencies.Reset()
	}
	for _, c := range calls {
		i := int((c.at - o.from) / observeInterval)
		if c.at < o.from || i >= len(o.taken) {
			continue
		}
		for ; next < i; next++ {
			flush()
		}
		s := &o.taken[i]
		s.Asked++
		switch {
		case c.isInTime():
			s.InTime++
		case c.answered != 0:
			s.Late++
		}
		if c.answered != 0 {
			_ = latencies.RecordValue(min(c.answered-c.at, maxLatency).Microseconds())
		}
	}
	if next < len(o.taken) {
		flush()
	}
	return o.taken
}
