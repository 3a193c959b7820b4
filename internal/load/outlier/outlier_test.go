package outlier

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const roundTrip = 4 * time.Millisecond

// link is the queue of an observer's link, which carries a packet each interval.
type link struct {
	interval time.Duration
	free     time.Duration // when it has carried all packets
}

// pass returns when a packet that arrives now has passed.
func (l *link) pass(now time.Duration) time.Duration {
	l.free = max(l.free, now) + l.interval
	return l.free
}

// opening is a connection that was placed.
type opening struct {
	placed, opens time.Duration
	upstream      int
}

// replay places connections each interval at upstreams in turn, through a link, and
// returns how many of the copies after 200 ms and of the checks each 100 ms blame an
// upstream. dead upstreams open none.
func replay(t *testing.T, l *link, interval, length time.Duration, dead func(int) bool) (blamed map[int]time.Duration) {
	t.Helper()
	const upstreams = 8
	blamed = make(map[int]time.Duration)
	o, us := &Observer{}, make([]Upstream, upstreams)
	blame := func(now time.Duration, u int) {
		if _, known := blamed[u]; !known {
			blamed[u] = now
		}
	}
	var waiting []opening
	next := 0
	for now := time.Duration(0); now < length; now += time.Millisecond {
		var left []opening
		for _, w := range waiting {
			switch {
			case !dead(w.upstream) && w.opens <= now:
				o.Opened(now, w.placed, &us[w.upstream])
				continue
			case now-w.placed == 200*time.Millisecond && o.IsAtFault(&us[w.upstream], w.placed):
				blame(now, w.upstream)
			}
			left = append(left, w)
		}
		waiting = left
		for u := range us {
			if o.IsSilent(&us[u]) {
				blame(now, u)
			}
		}
		if now%interval == 0 {
			u := next % upstreams
			next++
			o.Placed(now, &us[u])
			waiting = append(waiting, opening{now, l.pass(now) + roundTrip, u})
		}
	}
	return blamed
}

// A crowd fills the link of the observer: openings take 100 times longer, at all
// upstreams alike.
func TestFullLinkBlamesNoUpstream(t *testing.T) {
	l := &link{interval: 7 * time.Millisecond}
	must.MapEmpty(t, replay(t, l, 5*time.Millisecond, 2*time.Second, func(int) bool { return false }))
	must.Greater(t, 400*time.Millisecond, l.free-2*time.Second)
}

// Half of the upstreams die without notice: each is found when a few openings later at
// others have opened, and no other is blamed.
func TestDeadUpstreamsAreFoundByLaterOpenings(t *testing.T) {
	isDead := func(u int) bool { return u%2 == 1 }
	blamed := replay(t, &link{}, 2*time.Millisecond, time.Second, isDead)
	must.MapLen(t, 4, blamed)
	for u, at := range blamed {
		must.True(t, isDead(u))
		must.LessEq(t, 50*time.Millisecond, at)
	}
}

// Without other openings there is nothing to compare with: the copy of an opening
// packet blames the upstream.
func TestSingleOpeningIsBlamedByItsCopy(t *testing.T) {
	blamed := replay(t, &link{}, time.Minute, time.Second, func(int) bool { return true })
	must.Eq(t, map[int]time.Duration{0: 200 * time.Millisecond}, blamed)
}

// A packet that was lost says nothing of an upstream that opens later connections.
func TestLostPacketIsNotBlamed(t *testing.T) {
	o, a, b := &Observer{}, &Upstream{}, &Upstream{}
	o.Placed(0, a)
	o.Placed(30*time.Millisecond, b)
	o.Opened(34*time.Millisecond, 30*time.Millisecond, b)
	must.True(t, o.IsSilent(a))
	o.Placed(40*time.Millisecond, a)
	o.Opened(44*time.Millisecond, 40*time.Millisecond, a)
	must.False(t, o.IsSilent(a))
	must.False(t, o.IsAtFault(a, 0))
}
