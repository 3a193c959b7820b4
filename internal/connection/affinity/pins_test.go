package affinity

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// openedTwice returns an engine that sent an opening packet to one upstream and its copy to
// another. The connection opened at holder; other repeats its answer.
func openedTwice(t *testing.T) (f *fixture, e *Engine, holder, other *Upstream) {
	f = newFixture(3, 0)
	e = newEngine(1)
	holder = e.Decide(0, f.view(), opening(0)).Upstream
	other = e.Decide(200*time.Millisecond, f.view(), opening(1)).Upstream
	must.NotEq(t, holder.ID, other.ID)
	must.Eq(t, holder.ID, e.Decide(210*time.Millisecond, f.view(), data(holder.Cookie)).Upstream.ID)
	must.Eq(t, holder.ID, e.Decide(230*time.Millisecond, f.view(), data(other.Cookie)).Upstream.ID)
	return f, e, holder, other
}

// Guards against a connection that goes to an upstream which does not hold it, and resets it:
// the balancer that saw it open was stopped, and its packets carry the cookie of another
// upstream that answered its opening packet.
func TestConnectionStaysAtItsUpstreamWhenItsBalancerStops(t *testing.T) {
	f, e, holder, other := openedTwice(t)
	successor, late := newEngine(2), newEngine(3)
	now := time.Second
	// A packet may reach another balancer before the pin does.
	must.Eq(t, other.ID, late.Decide(now, f.view(), data(other.Cookie)).Upstream.ID)
	pins := e.TakePins(now, 1, false)
	must.Len(t, 1, pins)
	for _, to := range []*Engine{successor, late} {
		to.LearnPin(now, pins[0])
		verdict := to.Decide(now, f.view(), data(other.Cookie))
		must.Eq(t, holder.ID, verdict.Upstream.ID)
		must.Eq(t, to == successor, verdict.Pinned)
		must.Eq(t, holder.ID, to.Decide(now, f.view(), data(other.Cookie)).Upstream.ID)
	}
	must.SliceEmpty(t, e.TakePins(now, 1, true))
}

// The balancer that placed the opening packet learns that the connection opened elsewhere.
func TestPinOverrulesAnUnopenedPlacement(t *testing.T) {
	f, e, holder, other := openedTwice(t)
	first := newEngine(1)
	must.Eq(t, holder.ID, first.Decide(0, f.view(), opening(0)).Upstream.ID)
	pin := e.TakePins(time.Second, 1, false)[0]
	pin.Cookie = other.Cookie
	first.LearnPin(time.Second, pin)
	must.Eq(t, other.ID, first.Decide(time.Second, f.view(), data(holder.Cookie)).Upstream.ID)
	must.SliceEmpty(t, first.TakePins(time.Hour/2, 1, true))
}

// Pins are few: they say nothing of connections with one upstream, of those that have ended
// and of those that are new.
func TestOnlyAmbiguousConnectionsArePinned(t *testing.T) {
	f := newFixture(3, 0)
	e := newEngine(1)
	u := e.Decide(0, f.view(), opening(0)).Upstream
	e.Decide(time.Millisecond, f.view(), data(u.Cookie))
	must.SliceEmpty(t, e.TakePins(time.Second, 1, true))

	f, e, holder, _ := openedTwice(t)
	must.SliceEmpty(t, e.TakePins(300*time.Millisecond, 1, false))
	end := data(holder.Cookie)
	end.Ending = true
	e.Decide(310*time.Millisecond, f.view(), end)
	must.SliceEmpty(t, e.TakePins(time.Second, 1, true))
}

// A pin of an earlier connection from the same port says nothing of the next one.
func TestPinOfAnEarlierConnection(t *testing.T) {
	f, e, holder, other := openedTwice(t)
	pin := e.TakePins(time.Second, 1, false)[0]
	successor := newEngine(2)
	successor.LearnPin(time.Second, pin)
	must.Eq(t, other.ID, successor.Decide(2*time.Second, f.view(), laterData(other.Cookie)).Upstream.ID)
	// It expires with the lifetime of a connection, and without its upstream it is ignored.
	gone := newEngine(3)
	gone.LearnPin(time.Second, pin)
	f.upstreams = f.upstreams[:0:0]
	u := f.add("permits")
	must.Eq(t, u.ID, gone.Decide(2*time.Second, f.view(), data(u.Cookie)).Upstream.ID)
	gone.Tick(pin.At+testLifetime, f.view())
	must.MapEmpty(t, gone.pins.learned)
	gone.LearnPin(pin.At+testLifetime, pin)
	must.MapEmpty(t, gone.pins.learned)
	must.NotEq(t, holder.ID, other.ID)
}

// What waits to be passed on, and what is learned, is bounded.
func TestPinsAreBounded(t *testing.T) {
	e := newEngine(1)
	for i := range 2 * maxNewPins {
		e.noteAmbiguous(0, key{callerAddr, permitsAddr}, &entry{copied: true}, 0, &Packet{Sequence: uint32(i)})
	}
	must.Len(t, maxNewPins, e.pins.fresh)
	must.Eq(t, 2*maxNewPins-1, e.pins.fresh[maxNewPins-1].Sequence)
}

// Guards against a second upstream that answers too, after the loss of a packet: the first
// copy goes to the same upstream while later connections open there.
func TestCopyAfterALossStaysAtItsUpstream(t *testing.T) {
	for _, opens := range []bool{true, false} {
		f := newFixture(2, 0)
		e := newEngine(1)
		lost := e.Decide(0, f.view(), opening(0)).Upstream
		// A later connection opens there, or at the other upstream.
		where := lost.Cookie
		if !opens {
			where = f.upstreams[0].Cookie ^ f.upstreams[1].Cookie ^ lost.Cookie
		}
		later := &e.upstreamState(where).openings
		e.openings.Placed(50*time.Millisecond, later)
		e.openings.Opened(54*time.Millisecond, 50*time.Millisecond, later)
		must.Eq(t, opens, e.Decide(200*time.Millisecond, f.view(), opening(1)).Upstream.ID == lost.ID)
		// A second copy looks elsewhere.
		must.NotEq(t, lost.ID, e.Decide(600*time.Millisecond, f.view(), opening(2)).Upstream.ID)
	}
}
