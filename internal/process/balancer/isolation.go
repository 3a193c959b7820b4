package balancer

import "time"

// A failure domain that is evacuated and then cut off has no upstream that its
// balancers may use and reach. While they report that they are ready, routers keep
// sending them connections that cannot be served.
const (
	// minUnopened is the number of placed connections, without one that opened, from
	// which a balancer counts as isolated. Single upstreams may be down.
	minUnopened = 5
	// unopenedTime is the age of the first of them. Callers repeat an opening packet
	// after 200 ms.
	unopenedTime = 300 * time.Millisecond
	// minIsolation is the time for which a balancer stays isolated. Routers need two
	// probes, half a second apart, to notice, and a controller a second to notice that
	// it has lost its leader.
	minIsolation = 1500 * time.Millisecond
	// maxIsolation is the time after which a balancer that is cut off tries again.
	maxIsolation = 10 * time.Second
)

// isolation decides whether a balancer reaches any upstream.
type isolation struct {
	isolated bool
	since    time.Duration
}

// update returns whether the state changed. unopened is the number of connections that
// were placed since the last one opened, the first of them age ago. evacuated reports
// that the own failure domain is evacuated, confirmed that a controller in contact
// with a leader feeds this balancer.
func (i *isolation) update(now time.Duration, unopened int, age time.Duration, evacuated, confirmed bool) bool {
	before := i.isolated
	switch {
	case !evacuated:
		i.isolated = false
	case !i.isolated:
		i.isolated = unopened >= minUnopened && age >= unopenedTime
		i.since = now
	case now-i.since >= maxIsolation, confirmed && now-i.since >= minIsolation:
		i.isolated = false
	}
	return i.isolated != before
}

// updateIsolation reports this balancer as not ready while it reaches no upstream.
func (b *Balancer) updateIsolation(now time.Duration) {
	unopened, age := b.forwarder.unopened(now)
	if !b.isolation.update(now, unopened, age, b.evacuations.isActive(b.domain), b.isConfirmed()) {
		return
	}
	b.reachesNone.Store(b.isolation.isolated)
	if b.isolation.isolated {
		b.log.Warn("no upstream reached; not ready", "unopened", unopened, "age_ms", age.Milliseconds(), "evacuations", b.evacuations.Index)
		return
	}
	b.log.Info("ready again after isolation", "confirmed", b.isConfirmed())
}
