package affinity

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"heatherport/internal/version/directory"
)

// laterISN is the sequence number of the opening packet of a second connection from
// the port of the first one.
const laterISN = 1 << 30

// reusedPort returns an engine that saw a connection end and the opening packet of a
// second one from the same port, with the upstreams of both.
func reusedPort(t *testing.T) (f *fixture, e *Engine, first, second *Upstream) {
	f = newFixture(2, 0)
	e = newEngine(1)
	first = e.Decide(0, f.view(), opening(0)).Upstream
	end := data(first.Cookie)
	end.Ending = true
	must.Eq(t, first.ID, e.Decide(10*time.Millisecond, f.view(), end).Upstream.ID)
	for i := range f.upstreams {
		f.upstreams[i].Lapsed = f.upstreams[i].ID == first.ID
	}
	p := opening(0)
	p.Sequence = laterISN
	second = e.Decide(20*time.Millisecond, f.view(), p).Upstream
	must.NotEq(t, first.ID, second.ID)
	return f, e, first, second
}

func laterData(cookie uint32) *Packet {
	p := data(cookie)
	p.Sequence = laterISN + 1
	return p
}

// A caller repeats the last packet of a connection and opens the next one from the
// same port. The cookie of the first connection must not become that of the second.
func TestLatePacketOfAnEarlierConnectionDoesNotMoveItsSuccessor(t *testing.T) {
	f, e, first, second := reusedPort(t)
	must.Eq(t, first.ID, e.Decide(21*time.Millisecond, f.view(), data(first.Cookie)).Upstream.ID)
	must.Eq(t, second.ID, e.Decide(22*time.Millisecond, f.view(), laterData(second.Cookie)).Upstream.ID)
}

// Both connections may have reached the same upstream, which has since ended. A late
// packet of the first must not count as the answer to the opening of the second, whose
// copies would then go there for good.
func TestLatePacketDoesNotOpenItsSuccessorAtTheSameUpstream(t *testing.T) {
	f := newFixture(1, 0)
	e := newEngine(1)
	first := e.Decide(0, f.view(), opening(0)).Upstream
	must.Eq(t, first.ID, e.Decide(10*time.Millisecond, f.view(), data(first.Cookie)).Upstream.ID)
	p := opening(0)
	p.Sequence = laterISN
	must.Eq(t, first.ID, e.Decide(20*time.Millisecond, f.view(), p).Upstream.ID)
	must.Eq(t, first.ID, e.Decide(21*time.Millisecond, f.view(), data(first.Cookie)).Upstream.ID)
	f.upstreams[0].State = directory.Gone
	other := f.add("permits")
	again := opening(1)
	again.Sequence, again.Waited = laterISN, 200*time.Millisecond
	must.Eq(t, other.ID, e.Decide(220*time.Millisecond, f.view(), again).Upstream.ID)
}

// A late end of the earlier connection reaches the upstream of that connection, and
// the later one keeps counting as load.
func TestLateEndOfAnEarlierConnectionDoesNotEndItsSuccessor(t *testing.T) {
	for _, reset := range []bool{false, true} {
		f, e, first, second := reusedPort(t)
		must.Eq(t, second.ID, e.Decide(21*time.Millisecond, f.view(), laterData(second.Cookie)).Upstream.ID)
		late := data(first.Cookie)
		late.Ending, late.Reset = !reset, reset
		must.Eq(t, first.ID, e.Decide(22*time.Millisecond, f.view(), late).Upstream.ID)
		must.Eq(t, 1, e.upstreams[second.Cookie].open)
	}
}

// Routers may move a connection to a balancer that forwarded an earlier one from the
// same port and did not see this one open.
func TestReusedPortAtABalancerThatKnowsTheEarlierConnection(t *testing.T) {
	f := newFixture(2, 0)
	e := newEngine(1)
	first, second := f.upstreams[0], f.upstreams[1]
	must.Eq(t, first.ID, e.Decide(0, f.view(), data(first.Cookie)).Upstream.ID)
	must.Eq(t, second.ID, e.Decide(time.Second, f.view(), laterData(second.Cookie)).Upstream.ID)
}

// An opening packet that was held up must not take the place of the connection that
// its caller opened since.
func TestLateOpeningOfAnEarlierConnectionIsDropped(t *testing.T) {
	f, e, _, second := reusedPort(t)
	late := opening(1)
	late.Waited = 200 * time.Millisecond
	got := e.Decide(150*time.Millisecond, f.view(), late)
	must.Nil(t, got.Upstream)
	must.False(t, got.Refuse)
	// The next copy of the later opening is still known as a copy.
	again := opening(1)
	again.Sequence, again.Waited = laterISN, 200*time.Millisecond
	must.NotEq(t, second.ID, e.Decide(220*time.Millisecond, f.view(), again).Upstream.ID)
	must.Eq(t, 2, len(e.table[key{callerAddr, permitsAddr}].tried))
}

// A copy of the opening packet that arrives when the connection is open, at a balancer
// that did not see it open, must not reach a second upstream, whose answer would
// change the cookie.
func TestLateCopyOfAnOpenConnectionReachesItsUpstream(t *testing.T) {
	f := newFixture(8, 0)
	e := newEngine(1)
	u := f.upstreams[5]
	must.Eq(t, u.ID, e.Decide(0, f.view(), data(u.Cookie)).Upstream.ID)
	must.Eq(t, u.ID, e.Decide(time.Millisecond, f.view(), opening(1)).Upstream.ID)
	must.Eq(t, u.ID, e.Decide(2*time.Millisecond, f.view(), data(u.Cookie)).Upstream.ID)
}

// A caller that reuses its port opens a connection of its own, whatever is known of
// the earlier one.
func TestFirstOpeningFromAReusedPortIsPlaced(t *testing.T) {
	f := newFixture(2, 0)
	e := newEngine(1)
	for i := range uint32(50) {
		p := opening(0)
		p.Caller = netip.AddrPortFrom(callerAddr.Addr(), 1000)
		p.Sequence = i * laterISN / 4
		u := e.Decide(time.Duration(i)*time.Millisecond, f.view(), p).Upstream
		must.NotNil(t, u)
		d := data(u.Cookie)
		d.Caller, d.Sequence, d.Ending = p.Caller, p.Sequence+1, true
		must.Eq(t, u.ID, e.Decide(time.Duration(i)*time.Millisecond, f.view(), d).Upstream.ID)
	}
	must.Eq(t, 1, e.Len())
}
