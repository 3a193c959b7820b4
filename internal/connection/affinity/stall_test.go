package affinity

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// pause is the length of the stalls in these tests.
const pause = 3 * time.Second

// A balancer that stood still reads acknowledgements of answers that came in time. It
// must not take its own pause for slow upstreams and refuse new connections.
func TestAnswersReadAfterAStallAreNotMeasured(t *testing.T) {
	for _, ignored := range []bool{false, true} {
		c := newCallers(t, 6)
		before := *c.answerTime(permitsAddr)
		var pending []pendingRequest
		for range 20 {
			pending = append(pending, c.sendRequest())
		}
		c.now += pause
		if ignored {
			c.IgnorePending() // what was lost in the full socket is acknowledged later
		}
		for _, a := range pending {
			got := c.packet(a.port, Packet{Cookie: a.upstream.Cookie, Acknowledged: 1501, Ending: true, Delayed: !ignored})
			must.Eq(t, a.upstream.ID, got.Upstream.ID)
			must.Zero(t, got.Answered)
		}
		must.Eq(t, before.mean, c.answerTime(permitsAddr).mean)
		// A request whose first packet was read late is not measured either.
		port, u := c.open()
		c.packet(port, Packet{Cookie: u.Cookie, Sequence: 2, Acknowledged: 501, Length: 100, Delayed: true})
		must.Zero(t, c.packet(port, Packet{Cookie: u.Cookie, Sequence: 102, Acknowledged: 1501}).Answered)
	}
}

// A suspicion from before a stall is reported without its age and would count as new:
// with one other it would eject an upstream that has answered since.
func TestSuspicionsFromBeforeAStallAreNotReported(t *testing.T) {
	c := newCallers(t, 6)
	port, _ := c.open()
	c.now += 200 * time.Millisecond
	c.packet(port, Packet{Opening: true, Sequence: 1, Copies: 1})
	c.now += pause
	c.IgnorePending()
	must.SliceEmpty(t, c.tick(0))
}
