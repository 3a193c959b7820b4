package model

import (
	"math"
	"time"

	"heatherport/internal/version/directory"
)

// scheduleFault schedules the begin and the end of a fault.
func (r *run) scheduleFault(f *Fault) {
	r.after(f.At, func() {
		switch f.Kind {
		case SlowUpstreams, ColdUpstreams:
			r.changeUpstreams(f, func(u *upstream) { u.slowness = f.Factor }, func(u *upstream) { u.slowness = 1 })
		case GreyUpstreams:
			r.changeUpstreams(f, func(u *upstream) { u.failing = f.Factor }, func(u *upstream) { u.failing = 0 })
		case DarkUpstreams:
			r.changeUpstreams(f, r.darken, r.restart)
		case BalancersDown:
			r.stopBalancers(f)
		case BalancersRoll:
			r.rollBalancers(f)
		case DomainCut:
			r.cutDomain(f)
		}
	})
}

// changeUpstreams changes a share of the upstreams of a service, drawn by lot, and changes
// them back.
func (r *run) changeUpstreams(f *Fault, begin, end func(*upstream)) {
	var hit []*upstream
	for _, u := range r.upstreams {
		if (f.Service == "" || u.service.Name == f.Service) && (f.Domain == "" || f.Domain == r.scenario.Fleet.Domains[u.domain]) {
			hit = append(hit, u)
		}
	}
	r.Shuffle(len(hit), func(i, j int) { hit[i], hit[j] = hit[j], hit[i] })
	hit = hit[:int(math.Round(f.Share*float64(len(hit))))]
	for _, u := range hit {
		begin(u)
	}
	r.after(f.For, func() {
		for _, u := range hit {
			end(u)
		}
	})
}

// darken silences an upstream. Controllers learn of it from missed announcements.
func (r *run) darken(u *upstream) {
	u.isDark = true
	r.setState(u, directory.Gone, r.scenario.Fleet.LapseDelay)
}

// restart lets a dark upstream serve again.
func (r *run) restart(u *upstream) {
	u.isDark, u.queue, u.busy = false, nil, 0
	r.setState(u, directory.Serving, r.scenario.Fleet.FeedDelay)
}

// stopBalancers stops a share of the balancers. They return without their tables.
func (r *run) stopBalancers(f *Fault) {
	var hit []*balancer
	sum := 0.0
	for _, b := range r.balancers {
		if f.Domain != "" && f.Domain != b.config.Domain {
			continue
		}
		if sum += f.Share; sum >= 1 {
			sum--
			hit = append(hit, b)
			b.down = true
		}
	}
	isAll := len(hit) == len(r.balancers)
	r.after(r.scenario.Fleet.LapseDelay, r.updateViews)
	r.after(f.For, func() {
		for _, b := range hit {
			b.restart()
			b.down = false
		}
		if isAll {
			r.updateViews()
			return
		}
		r.after(r.scenario.Fleet.FeedDelay, r.updateViews)
	})
}

// rollBalancers lets balancers leave and return, one at a time. One that leaves forwards
// what it still gets.
func (r *run) rollBalancers(f *Fault) {
	interval := time.Duration(f.Factor * float64(time.Second))
	const stride = 5 // balancers of other failure domains come next
	end := r.now + f.For
	var leave func(i int)
	leave = func(i int) {
		if r.now >= end {
			return
		}
		b := r.balancers[i%len(r.balancers)]
		b.left = true
		r.after(r.scenario.Fleet.FeedDelay, r.updateViews)
		r.after(interval/2, func() {
			b.restart()
			b.left = false
			r.after(r.scenario.Fleet.FeedDelay, r.updateViews)
		})
		r.after(interval, func() { leave(i + stride) })
	}
	leave(0)
}

// cutDomain cuts a failure domain off from the others.
func (r *run) cutDomain(f *Fault) {
	for d, name := range r.scenario.Fleet.Domains {
		if name == f.Domain {
			r.cut[d] = true
			r.after(f.For, func() {
				r.cut[d] = false
				r.updateViews()
			})
		}
	}
}
