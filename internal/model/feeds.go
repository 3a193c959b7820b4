package model

import (
	"maps"
	"slices"
	"time"

	"heatherport/internal/connection/affinity"
	"heatherport/internal/load/share"
	"heatherport/internal/load/speed"
	"heatherport/internal/version/directory"
)

const (
	// gatherInterval is the time between two changes of what controllers feed.
	gatherInterval = 100 * time.Millisecond
	// speedsInterval is the time between two reports of a balancer on the speed of
	// upstreams.
	speedsInterval = 300 * time.Millisecond
	// viewInterval is the time after which views are rebuilt without a change.
	viewInterval = 500 * time.Millisecond
)

// feeds holds what controllers feed.
type feeds struct {
	needs   map[string]map[string]float64 // slots by service and balancer
	changed bool                          // the views must be rebuilt
	views   int                           // number of views
}

func (r *run) startFeeds() {
	r.updateViews()
	r.every(viewInterval, viewInterval, r.updateViews)
	r.every(gatherInterval, gatherInterval, r.gather)
}

// report takes what a balancer reports at a tick.
func (r *run) report(b *balancer) {
	f := &r.scenario.Fleet
	if f.Lending {
		b.needs = b.Needs()
	}
	if f.Speeds && r.now-b.reported >= speedsInterval {
		b.reported, b.speeds = r.now, b.Speeds(r.now)
	}
}

// gather feeds what has changed of the reports of all balancers. They go with the feed of a
// balancer.
func (r *run) gather() {
	needs := make(map[string]map[string]float64)
	hungry := make(map[string]bool)
	levels := make(map[uint32]speed.Level)
	for _, b := range r.balancers {
		if b.down || b.left {
			continue
		}
		for service, n := range b.needs {
			if needs[service] == nil {
				needs[service] = make(map[string]float64)
			}
			needs[service][b.config.Name] = n.Slots
			hungry[service] = hungry[service] || n.Hungry
		}
		for cookie, l := range b.speeds {
			if known, ok := levels[cookie]; ok {
				l = speed.Merge(known, l)
			}
			levels[cookie] = l
		}
	}
	maps.DeleteFunc(needs, func(service string, _ map[string]float64) bool { return !hungry[service] })
	changed := !maps.EqualFunc(needs, r.feeds.needs, maps.Equal[map[string]float64, map[string]float64])
	r.feeds.needs = needs
	for i := range r.records {
		u := &r.records[i]
		changed = changed || u.Slowness != levels[u.Cookie]
		u.Slowness = levels[u.Cookie]
	}
	if changed {
		r.after(r.scenario.Fleet.FeedDelay, r.updateViews)
	}
}

// updateViews gives all balancers a view of the current state. A failure domain that is
// cut off keeps the last one.
func (r *run) updateViews() {
	view := r.buildView()
	r.feeds.views++
	number := r.feeds.views
	for _, b := range r.balancers {
		switch skew := r.scenario.Fleet.FeedSkew; {
		case b.view == nil:
			b.view = view
		case r.cut[b.domain]:
		case skew > 0:
			r.after(time.Duration(r.Int64N(int64(skew))), func() { b.setView(view, number) })
		default:
			b.setView(view, number)
		}
	}
}

// setView takes a view, unless a later one has come before.
func (b *balancer) setView(v *affinity.View, number int) {
	if number > b.viewNumber {
		b.view, b.viewNumber = v, number
	}
}

func (r *run) buildView() *affinity.View {
	v := &affinity.View{Routes: r.routes, Confirmed: true, Current: true, Needs: r.feeds.needs}
	if r.scenario.Fleet.Shares {
		for _, b := range r.balancers {
			if !b.down && !b.left {
				v.Balancers = append(v.Balancers, share.Balancer{Name: b.config.Name, Domain: b.config.Domain})
			}
		}
	}
	return v.Index(slices.Clone(r.records))
}

// setState changes the state of an upstream as balancers know it, after a delay.
func (r *run) setState(u *upstream, s directory.State, delay time.Duration) {
	r.after(delay, func() {
		r.records[u.index].State = s
		r.feeds.changed = true
		r.after(0, func() {
			if r.feeds.changed {
				r.feeds.changed = false
				r.updateViews()
			}
		})
	})
}
