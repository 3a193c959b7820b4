// Package outlier tells an upstream that opens no connections from an observer whose
// own packets are delayed.
//
// It answers loads at which a balancer's link or processor is full: every connection
// opens late then, whichever upstream it goes to. Openings are therefore compared
// with those at other upstreams, not with a fixed time. Packets leave an observer in
// order, so that an upstream is silent if connections that were placed later at others
// have opened. While all openings take far longer than usual, packets are lost too, and
// no upstream is blamed.
//
// It fails where an observer has one upstream, or places connections so rarely that
// there is nothing to compare with: then the time alone decides.
package outlier

import "time"

const (
	// marginRatio is the ratio of the margin between two openings that are compared to
	// the average time that openings take. Callers at different distances, and the
	// retransmission of a lost packet by an upstream, open late without a fault.
	marginRatio = 4
	// minMargin covers scheduling, and the different distances of failure domains.
	minMargin = 20 * time.Millisecond
	// minTimeout is the shortest Timeout. Callers repeat a lost opening packet after
	// 200 ms.
	minTimeout = 100 * time.Millisecond
	// averageWeight averages the last 16 openings.
	averageWeight = 1.0 / 16
	// delayedRatio is the ratio of the average to the usual time of openings from which
	// the observer counts as delayed.
	delayedRatio = 4
	// driftWeight lets the usual time follow a lasting change within some thousand
	// openings, so that an overload of seconds does not become usual.
	driftWeight = 1.0 / 4096
)

// Observer holds what one balancer saw of the openings at all upstreams.
type Observer struct {
	newest  time.Duration // latest placement of a connection that has opened
	placed  time.Duration // latest placement
	average time.Duration // time from a placement to its opening
	usual   time.Duration // the lowest average
}

// Upstream holds what the observer saw of one upstream.
type Upstream struct {
	pending int           // connections placed that have not opened
	oldest  time.Duration // placement of the first of them
	newest  time.Duration // latest placement of a connection that has opened here
}

// Placed records that a connection was placed at an upstream.
func (o *Observer) Placed(now time.Duration, u *Upstream) {
	if u.pending == 0 {
		u.oldest = now
	}
	u.pending++
	o.placed = now
}

// Opened records that a connection opened that was placed earlier.
func (o *Observer) Opened(now, placed time.Duration, u *Upstream) {
	if placed >= u.oldest {
		u.pending = 0
	} else {
		u.Left()
	}
	u.newest = max(u.newest, placed)
	o.newest = max(o.newest, placed)
	o.measure(now - placed)
}

func (o *Observer) measure(took time.Duration) {
	if o.average == 0 {
		o.average, o.usual = took, took
	}
	o.average += time.Duration(averageWeight * float64(took-o.average))
	o.usual += time.Duration(driftWeight * float64(o.average-o.usual))
	o.usual = min(o.usual, o.average)
}

// Delay returns by how much openings at all upstreams take longer than usual: the queue
// at the observer's link.
func (o *Observer) Delay() time.Duration { return o.average - o.usual }

// IsDelayed reports whether openings at all upstreams take far longer than usual.
func (o *Observer) IsDelayed() bool { return o.average > max(delayedRatio*o.usual, minMargin) }

// Left records that a connection that has not opened is no longer waited for.
func (u *Upstream) Left() { u.pending = max(u.pending-1, 0) }

// margin returns the time between two placements from which the later one is expected
// to open after the earlier one.
func (o *Observer) margin() time.Duration { return max(marginRatio*o.average, minMargin) }

// Timeout returns the time within which nearly all connections open.
func (o *Observer) Timeout() time.Duration { return max(2*o.margin(), minTimeout) }

// IsSilent reports whether an upstream has opened none of the connections that wait,
// while one that was placed later at another upstream has opened.
func (o *Observer) IsSilent(u *Upstream) bool {
	return u.pending > 0 && !o.IsDelayed() && o.newest-u.oldest >= o.margin()
}

// OpenedSince reports whether a connection that was placed later than a time has opened at
// the upstream: what was placed then and has not opened was lost on the way.
func (u *Upstream) OpenedSince(placed time.Duration) bool { return u.newest > placed }

// IsAtFault reports whether the upstream, and not the observer, is the likely reason
// for which a connection has not opened.
func (o *Observer) IsAtFault(u *Upstream, placed time.Duration) bool {
	switch {
	case o.IsDelayed(), u.OpenedSince(placed):
		return false
	case o.placed-placed < o.margin():
		return true // there is nothing to compare with
	}
	return o.newest-placed >= o.margin()
}
