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

// suspicionState holds the suspicions that balancers reported of an upstream.
type suspicionState struct {
	reports    map[string]time.Duration // time of the last report, by balancer
	lastQuorum time.Duration            // last time at which a quorum suspected it
}

// ReportSuspicion records that a balancer suspects the incarnation with a tag
// of not answering. It reports whether the upstream became ejected by this.
func (d *Directory) ReportSuspicion(now time.Duration, tag uint32, balancer string) (id string, changed bool) {
	e := d.byTag(tag)
	if e == nil || e.State == Gone {
		return "", false
	}
	if e.suspicion.reports == nil {
		e.suspicion.reports = make(map[string]time.Duration)
	}
	e.suspicion.reports[balancer] = now
	for name, at := range e.suspicion.reports {
		if now-at > reportWindow {
			delete(e.suspicion.reports, name)
		}
	}
	if len(e.suspicion.reports) < ejectionQuorum {
		return e.ID, false
	}
	e.suspicion.lastQuorum = now
	if e.Ejected || !d.mayEject(e.Service) {
		return e.ID, false
	}
	return e.ID, d.setEjected(e, true)
}

func (d *Directory) byTag(tag uint32) *Entry {
	for _, e := range d.entries {
		if e.Tag() == tag {
			return e
		}
	}
	return nil
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
	return e.Ejected && now-e.suspicion.lastQuorum > ejectionTime && d.setEjected(e, false)
}

func (d *Directory) setEjected(e *Entry, ejected bool) bool {
	d.rev++
	e.Ejected = ejected
	e.Revision = d.rev
	return true
}
