package spill

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const usual = 30 * time.Millisecond

// admitted opens as many connections as the limiter admits.
func admitted(l *Limiter, domain string) (n int) {
	for l.Admits(0, domain) {
		l.Opened(domain)
		n++
	}
	return n
}

func TestLimitBeginsAtInitialInEachDomain(t *testing.T) {
	l := New(6)
	must.Eq(t, 6, admitted(l, "a"))
	must.Eq(t, 6, admitted(l, "b"))
	must.Eq(t, 12, l.Open())
	l.Closed(0, "a")
	must.Eq(t, 1, admitted(l, "a"))
}

func TestAnswersWithoutQueueRaiseTheLimitByOne(t *testing.T) {
	l := New(6)
	must.Eq(t, 6, admitted(l, "a"))
	for _, work := range []time.Duration{usual * 16 / 100, usual, usual * 249 / 100} {
		l.Answered("a", work, usual)
	}
	must.Eq(t, 3, admitted(l, "a"))
	must.Eq(t, 6, admitted(l, "b"))
}

// A limit that grew unused would let all balancers fill the queues of upstreams when
// a burst begins.
func TestLimitRisesOnlyWhenInUse(t *testing.T) {
	l := New(6)
	for range 100 {
		l.Opened("a")
		l.Answered("a", usual, usual)
		l.Closed(0, "a")
	}
	must.Eq(t, 6, admitted(l, "a"))
}

// Without this, balancers would go on filling queues of upstreams that are busy,
// or that reject requests at once.
func TestSlowAndRejectedAnswersHalveTheLimit(t *testing.T) {
	for _, work := range []time.Duration{usual * 251 / 100, usual * 14 / 100} {
		l := New(8)
		l.Answered("a", work, usual)
		must.Eq(t, 4, admitted(l, "a"))
	}
}

// A limit of zero would never rise again.
func TestLimitNeverFallsBelowOne(t *testing.T) {
	l := New(6)
	for range 20 {
		l.Answered("a", 10*usual, usual)
	}
	must.Eq(t, 1, admitted(l, "a"))
}

// Where balancers have few slots each, one spillover connection of each of them and
// domain would fill the queues of the upstreams.
func TestLimitBelowOneIsPartOfTheTime(t *testing.T) {
	l := New(2.0 / 3) // lowest limit: a third
	for range 20 {
		l.Answered("a", 3*usual, usual)
	}
	must.False(t, l.Admits(6*usual-1, "a"))
	must.True(t, l.Admits(6*usual, "a"))
	l.Opened("a")
	must.False(t, l.Admits(time.Hour, "a"))
	l.Answered("a", usual, usual)
	l.Closed(0, "a")
	must.True(t, l.Admits(0, "a"))
}

func TestResizeChangesTheInitialLimitOfOtherDomains(t *testing.T) {
	l := New(6)
	must.Eq(t, 6, admitted(l, "a"))
	l.Resize(3)
	must.Eq(t, 0, admitted(l, "a"))
	must.Eq(t, 3, admitted(l, "b"))
}

func TestUnknownServiceTimeKeepsTheLimit(t *testing.T) {
	l := New(3)
	l.Answered("a", time.Second, 0)
	must.Eq(t, 3, admitted(l, "a"))
}

// Admission must depend on the open connections of the domain alone, or idle
// domains would be blocked by busy ones.
func TestOpenConnectionsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(rapid.Float64Range(0, 20).Draw(t, "initial"))
		open := map[string]int{}
		highest := map[string]float64{"a": l.initial, "b": l.initial}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				d := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain")
				if l.Admits(0, d) {
					l.Opened(d)
					open[d]++
				}
			},
			"answer": func(t *rapid.T) {
				d := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain")
				if open[d] == 0 {
					return
				}
				l.Closed(0, d)
				open[d]--
				l.Answered(d, time.Duration(rapid.Int64Range(0, int64(4*usual)).Draw(t, "work")), usual)
				highest[d]++
			},
			"": func(t *rapid.T) {
				for d, n := range open {
					must.LessEq(t, max(highest[d], 1), float64(n))
				}
				must.Eq(t, open["a"]+open["b"], l.Open())
			},
		})
	})
}
