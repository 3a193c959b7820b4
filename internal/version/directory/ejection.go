package directory

import "time"

const (
	// ejectionQuorum is the number of balancers that must suspect an upstream
	// before it is ejected. A single balancer may be slow or isolated itself.
	ejectionQuorum = 2
	// reportWindow is the time within which the suspicions of a quorum must
	// arrive. A balancer reports an upstream once in this time.
	reportWindow = 2 * time.Second
	// ejectionTime is how long an upstream stays ejected after the last
	// suspicion of a quorum: several times what balancers take to suspect it
	// again.
	ejectionTime = 5 * time.Second
	// maxEjectedShare is the largest part of a service's serving upstreams that
	// may be ejected at a time. When more are slow, the service is overloaded.
	maxEjectedShare = 1.0 / 3
)

// reports holds the time of the last suspicion of an upstream, by balancer.
type reports map[string]time.Duration

// expire deletes reports that are older than reportWindow.
func (r reports) expire(now time.Duration) {
	for balancer, at := range r {
		if now-at > reportWindow {
			delete(r, balancer)
		}
	}
}

// ReportSuspicion records that a balancer suspected the incarnation with a tag
// of not answering at a time that is not after now. It reports whether the
// upstream became ejected by this. Suspicions of an incarnation whose record has
// not arrived count once it does.
func (d *Directory) ReportSuspicion(now, at time.Duration, tag uint32, balancer string) (id string, changed bool) {
	r := d.reports[tag]
	if r == nil {
		r = make(reports)
		d.reports[tag] = r
	}
	if last, ok := r[balancer]; !ok || at > last {
		r[balancer] = at
	}
	e := d.byTag[tag]
	if e == nil {
		return "", false
	}
	return e.ID, d.applyReports(now, e)
}

// applyReports ejects an upstream if a quorum suspects it. It reports whether
// the upstream became ejected.
func (d *Directory) applyReports(now time.Duration, e *Entry) (changed bool) {
	r := d.reports[e.tag]
	r.expire(now)
	if e.State == Gone || len(r) < ejectionQuorum {
		return false
	}
	for _, at := range r {
		e.lastQuorum = max(e.lastQuorum, at)
	}
	return !e.Ejected && d.mayEject(e.Service) && d.setEjected(e, true)
}

// tickReports expires reports, and ejects upstreams that could not be ejected
// when they were reported because few upstreams of the service were known.
func (d *Directory) tickReports(now time.Duration) (changed bool) {
	d.expireReports(now)
	for tag, r := range d.reports {
		if e := d.byTag[tag]; e != nil && !e.Ejected && len(r) >= ejectionQuorum {
			changed = d.applyReports(now, e) || changed
		}
	}
	return changed
}

// Suspicion is a recent suspicion of an incarnation.
type Suspicion struct {
	Balancer string
	Tag      uint32
	At       time.Duration
}

// Suspicions returns the suspicions of the last reportWindow.
func (d *Directory) Suspicions(now time.Duration) (out []Suspicion) {
	d.expireReports(now)
	for tag, r := range d.reports {
		for balancer, at := range r {
			out = append(out, Suspicion{Balancer: balancer, Tag: tag, At: at})
		}
	}
	return out
}

func (d *Directory) expireReports(now time.Duration) {
	for tag, r := range d.reports {
		if r.expire(now); len(r) == 0 {
			delete(d.reports, tag)
		}
	}
}

// mayEject reports whether one more upstream of a service may be ejected.
func (d *Directory) mayEject(service string) bool {
	serving, ejected := 0, 0
	for _, e := range d.entries {
		if e.Service != service || e.State != Serving {
			continue
		}
		serving++
		if e.Ejected {
			ejected++
		}
	}
	return float64(ejected+1) <= maxEjectedShare*float64(serving)
}

// expireEjection ends an ejection after ejectionTime.
func (d *Directory) expireEjection(now time.Duration, e *Entry) (changed bool) {
	return e.Ejected && now-e.lastQuorum > ejectionTime && d.setEjected(e, false)
}

func (d *Directory) setEjected(e *Entry, ejected bool) bool {
	e.Ejected = ejected
	d.markChanged(e, false)
	return true
}
