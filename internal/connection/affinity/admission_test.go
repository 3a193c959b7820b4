package affinity

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"heatherport/internal/result"
)

// overloadTest drives a service with configurable answer times through an
// engine.
type overloadTest struct {
	*callers
	pending []pendingRequest
}

// testObjective is the objective of the route.
const testObjective = 250 * time.Millisecond

func newOverloadTest(t *testing.T) *overloadTest {
	c := newCallers(t, 6)
	c.routes.Route(permitsAddr).LatencyObjective = testObjective
	c.now = startupGrace + time.Second
	return &overloadTest{callers: c}
}

// opening sends an opening packet to an address and returns the verdict.
func (o *overloadTest) opening(to netip.AddrPort, copies uint32) Verdict {
	o.port++
	p := &Packet{Caller: netip.AddrPortFrom(callerAddr.Addr(), o.port), Service: to, Opening: true, Sequence: 1, Copies: copies}
	return o.Decide(o.now, o.view(), p)
}

// answerRequests answers n requests, each after took, while the given number of
// concurrent requests is pending. It then resets the connections of the others.
func (o *overloadTest) answerRequests(n, concurrent int, took time.Duration) {
	for range n {
		for len(o.pending) < concurrent {
			o.pending = append(o.pending, o.openWithRequest())
		}
		r := o.pending[0]
		o.pending = o.pending[1:]
		r.at = o.now - took
		o.table[key{netip.AddrPortFrom(callerAddr.Addr(), r.port), permitsAddr}].requested = r.at
		o.answer(r, took)
	}
	for _, r := range o.pending {
		o.packet(r.port, Packet{Cookie: r.upstream.Cookie, Reset: true})
	}
	o.pending = nil
}

// openWithRequest opens a connection and sends a request. It bypasses admission
// control by sending the opening packet as a copy.
func (o *overloadTest) openWithRequest() pendingRequest {
	u := o.opening(permitsAddr, 1).Upstream
	must.NotNil(o.t, u)
	o.packet(o.port, Packet{Cookie: u.Cookie, Sequence: 2, Acknowledged: 501, Length: 100})
	return pendingRequest{port: o.port, upstream: u, at: o.now}
}

// admitted returns how many of n new connections are admitted.
func (o *overloadTest) admitted(n int) (count int) {
	for range n {
		switch v := o.opening(permitsAddr, 0); {
		case v.Upstream != nil:
			count++
		default:
			must.Eq(o.t, result.RefusedOverloaded, v.Code)
			must.True(o.t, v.Refuse)
			must.Positive(o.t, v.Overload.LatencyRatio)
		}
	}
	return count
}

func TestLateAnswersBoundConnections(t *testing.T) {
	o := newOverloadTest(t)
	o.answerRequests(50, 20, testObjective)
	must.Less(t, 60, o.admitted(60))
}

func TestAnswersInTimeAdmitAllConnections(t *testing.T) {
	o := newOverloadTest(t)
	o.answerRequests(50, 20, testObjective/3)
	must.Eq(t, 60, o.admitted(60))
}

func TestLimitRisesWhenAnswersGetFaster(t *testing.T) {
	o := newOverloadTest(t)
	o.answerRequests(50, 20, testObjective)
	lowered := o.limiters["permits"].limit
	o.answerRequests(120, 4, testObjective*11/20)
	must.Greater(t, lowered, o.limiters["permits"].limit)
	o.answerRequests(12, 4, testObjective/5)
	must.Eq(t, 60, o.admitted(60))
}

// A limit of zero would never rise again, because no answers would update it.
func TestLimitNeverFallsBelowMinimum(t *testing.T) {
	o := newOverloadTest(t)
	o.answerRequests(200, 20, 2*testObjective)
	must.Eq(t, int(minLimit), o.admitted(10))
}

func TestUrgentRouteHasHigherLimit(t *testing.T) {
	o := newOverloadTest(t)
	urgentAddr := netip.AddrPortFrom(permitsAddr.Addr(), 8080)
	urgent := *o.routes.Route(permitsAddr)
	urgent.Address = urgentAddr
	o.routes.Route(permitsAddr).Priority = 2
	urgent.Priority = 1
	delta := o.routes.Diff(nil)
	delta.Set = append(delta.Set, urgent)
	routes, err := o.routes.Apply(delta)
	must.NoError(t, err)
	o.routes = routes
	o.answerRequests(50, 20, testObjective)
	for o.admitted(1) == 1 {
	}
	must.NotNil(t, o.opening(urgentAddr, 0).Upstream)
}

// Another balancer may have forwarded the original of a copy.
func TestCopiesAreNotRefused(t *testing.T) {
	o := newOverloadTest(t)
	o.answerRequests(50, 20, testObjective)
	for o.admitted(1) == 1 {
	}
	must.NotNil(t, o.opening(permitsAddr, 1).Upstream)
}

func TestNoRefusalsDuringStartupGrace(t *testing.T) {
	o := newOverloadTest(t)
	o.now = startupGrace - time.Second
	o.answerRequests(50, 20, testObjective)
	must.Eq(t, 60, o.admitted(60))
}

func TestLatencyRatioExpires(t *testing.T) {
	o := newOverloadTest(t)
	o.answerRequests(50, 20, testObjective)
	o.now += ratioMaxAge + 1
	must.Eq(t, 60, o.admitted(60))
}
