package affinity

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"heatherport/internal/version/routing"
)

const (
	// averageAnswer is the average answer time of upstreams in these tests.
	averageAnswer = 50 * time.Millisecond
	tick          = 100 * time.Millisecond
)

// callers drives connections with one request each through an engine.
type callers struct {
	t *testing.T
	*fixture
	*Engine
	now  time.Duration
	port uint16
}

func newCallers(t *testing.T, upstreams int) *callers {
	c := &callers{t: t, fixture: newFixture(upstreams, 0), Engine: newEngine(1), now: time.Second, port: 1000}
	for range answerSamples {
		c.answer(c.sendRequest(), averageAnswer)
	}
	return c
}

// packet sends a packet of the connection from a port.
func (c *callers) packet(port uint16, p Packet) Verdict {
	p.Caller, p.Service = netip.AddrPortFrom(callerAddr.Addr(), port), permitsAddr
	return c.Decide(c.now, c.view(), &p)
}

// open sends an opening packet and returns the upstream.
func (c *callers) open() (port uint16, u *Upstream) {
	c.port++
	u = c.packet(c.port, Packet{Opening: true, Sequence: 1}).Upstream
	must.NotNil(c.t, u)
	return c.port, u
}

// pendingRequest is a connection with an unanswered request.
type pendingRequest struct {
	port     uint16
	upstream *Upstream
	at       time.Duration
}

// sendRequest opens a connection and sends a request in two packets.
func (c *callers) sendRequest() pendingRequest {
	port, u := c.open()
	c.packet(port, Packet{Cookie: u.Cookie, Sequence: 2, Acknowledged: 501, Length: 100})
	c.packet(port, Packet{Cookie: u.Cookie, Sequence: 102, Acknowledged: 501, Length: 100})
	return pendingRequest{port: port, upstream: u, at: c.now}
}

// answer acknowledges an answer and ends the connection.
func (c *callers) answer(a pendingRequest, after time.Duration) {
	c.now = a.at + after
	got := c.packet(a.port, Packet{Cookie: a.upstream.Cookie, Acknowledged: 1501, Ending: true})
	must.Eq(c.t, after, got.Answered)
}

func (c *callers) tick(after time.Duration) []Suspicion {
	c.now += after
	return c.Tick(c.now, c.view())
}

// countPlaced returns how many of n new connections reach an upstream.
func (c *callers) countPlaced(u *Upstream, n int) (found int) {
	for range n {
		port, got := c.open()
		if got.ID == u.ID {
			found++
		}
		c.packet(port, Packet{Cookie: got.Cookie, Ending: true})
	}
	return found
}

func TestUpstreamWithAnOverdueAnswerIsAvoided(t *testing.T) {
	c := newCallers(t, 6)
	must.SliceEmpty(t, c.tick(tick))
	a := c.sendRequest()
	must.SliceEmpty(t, c.tick(averageAnswer))
	got := c.tick(overdueFactor * averageAnswer)
	must.Len(t, 1, got)
	must.Eq(t, Suspicion{
		Upstream: a.upstream.Cookie, Cause: Overdue, Service: permitsAddr, Waited: (overdueFactor + 1) * averageAnswer,
		Caller: netip.AddrPortFrom(callerAddr.Addr(), a.port),
	}, got[0])
	must.SliceEmpty(t, c.tick(tick))
	must.Eq(t, 0, c.countPlaced(a.upstream, 60))
	c.tick(suspicionTimeout)
	must.Positive(t, c.countPlaced(a.upstream, 60))
}

func TestAnswersInTimeRaiseNoSuspicion(t *testing.T) {
	c := newCallers(t, 6)
	a := c.sendRequest()
	c.answer(a, 3*averageAnswer)
	must.SliceEmpty(t, c.tick(time.Second))
	// A request is no longer pending once the caller ends its connection.
	a = c.sendRequest()
	c.packet(a.port, Packet{Cookie: a.upstream.Cookie, Acknowledged: 501, Ending: true})
	must.SliceEmpty(t, c.tick(time.Second))
}

func TestObjectiveOfTheRouteExtendsOverdueTimeout(t *testing.T) {
	c := newCallers(t, 6)
	c.routes.Route(permitsAddr).LatencyObjective = time.Second
	c.sendRequest()
	must.SliceEmpty(t, c.tick(900*time.Millisecond))
	must.Len(t, 1, c.tick(200*time.Millisecond))
}

func TestNoSuspicionBeforeAverageIsKnown(t *testing.T) {
	c := &callers{t: t, fixture: newFixture(6, 0), Engine: newEngine(1), now: time.Second, port: 1000}
	c.sendRequest()
	must.SliceEmpty(t, c.tick(time.Second))
}

func TestAbandonedOpeningRaisesSuspicion(t *testing.T) {
	c := newCallers(t, 6)
	_, u := c.open()
	must.SliceEmpty(t, c.tick(abandonTimeout))
	got := c.tick(tick)
	must.Len(t, 1, got)
	must.Eq(t, Abandoned, got[0].Cause)
	must.Eq(t, u.Cookie, got[0].Upstream)
	must.Eq(t, 0, c.countPlaced(u, 60))
	must.SliceEmpty(t, c.tick(0))
}

// If most upstreams are slow, the service is overloaded and none is avoided.
func TestSlowServiceKeepsAllUpstreams(t *testing.T) {
	c := newCallers(t, 6)
	var waiting []pendingRequest
	for range 6 {
		waiting = append(waiting, c.sendRequest())
	}
	must.Len(t, 6, c.tick(overdueFactor*averageAnswer+tick))
	reached := 0
	for _, a := range waiting {
		if c.countPlaced(a.upstream, 60) > 0 {
			reached++
		}
	}
	must.Eq(t, 6, reached)
}

func TestUpstreamSuspectedByOthersIsAvoided(t *testing.T) {
	c := newCallers(t, 6)
	c.fixture.upstreams[2].Ejected = true
	must.Eq(t, 0, c.countPlaced(&c.fixture.upstreams[2], 60))
	for i := range c.fixture.upstreams {
		c.fixture.upstreams[i].Ejected = i < 3
	}
	must.Positive(t, c.countPlaced(&c.fixture.upstreams[2], 60))
}

func TestNoSuspicionAfterStall(t *testing.T) {
	c := newCallers(t, 6)
	c.sendRequest()
	c.open()
	c.now += time.Second
	c.IgnorePending()
	must.SliceEmpty(t, c.tick(tick))
	c.sendRequest()
	must.Len(t, 1, c.tick(overdueFactor*averageAnswer+tick))
}

func TestAnswerEndsSuspicion(t *testing.T) {
	c := newCallers(t, 2)
	port, u := c.open()
	c.tick(abandonTimeout + tick)
	must.True(t, c.isSuspect(c.now, u.Cookie))
	got := c.packet(port, Packet{Cookie: u.Cookie, Sequence: 2, Acknowledged: 501, Length: 100})
	must.Eq(t, u.Cookie, got.Cleared)
	must.False(t, c.isSuspect(c.now, u.Cookie))
}

// Callers that reuse connections acknowledge an answer with their next request,
// after a pause of their own.
func TestCallerPausesAreNotAnswerTimes(t *testing.T) {
	c := newCallers(t, 6)
	c.now = startupGrace + time.Second
	c.routes.Route(permitsAddr).LatencyObjective = 4 * averageAnswer
	type kept struct {
		pendingRequest
		sequence, acknowledged uint32
	}
	var connections []*kept
	for range 12 {
		connections = append(connections, &kept{c.sendRequest(), 202, 501})
	}
	for range 20 {
		c.now += time.Second
		for _, k := range connections {
			k.acknowledged += 1000
			got := c.packet(k.port, Packet{Cookie: k.upstream.Cookie, Sequence: k.sequence, Acknowledged: k.acknowledged, Length: 100})
			must.Eq(t, 0, got.Answered)
			must.Eq(t, k.upstream.ID, got.Upstream.ID)
			k.sequence += 100
		}
		must.SliceEmpty(t, c.tick(tick))
		port, _ := c.open()
		c.packet(port, Packet{Reset: true})
	}
}

func TestRetransmittedRequestIsNotCountedTwice(t *testing.T) {
	c := newCallers(t, 6)
	a := c.sendRequest()
	c.packet(a.port, Packet{Cookie: a.upstream.Cookie, Sequence: 102, Acknowledged: 501, Length: 100})
	c.answer(a, averageAnswer)
	must.True(t, c.answers[permitsAddr].isReliable(c.now))
}

func TestOnlyKnownRoutesAreStored(t *testing.T) {
	c := newCallers(t, 2)
	cookie := c.fixture.upstreams[0].Cookie
	for port := range uint16(100) {
		p := Packet{Caller: callerAddr, Service: netip.AddrPortFrom(permitsAddr.Addr(), 20_000+port), Cookie: cookie, Length: 10}
		for p.Acknowledged = range uint32(3) {
			c.Decide(c.now, c.view(), &p)
			p.Sequence += 10
		}
	}
	must.MapLen(t, 1, c.answers)
	c.routes = mustRoutes(2)
	c.tick(loadTimeout + entryTimeout + 1)
	c.tick(tick)
	must.MapEmpty(t, c.answers)
	must.MapEmpty(t, c.limiters)
}

// mustRoutes returns an empty routing table.
func mustRoutes(number uint64) *routing.Table {
	table, err := routing.New(number, 0, nil, nil)
	if err != nil {
		panic(err)
	}
	return table
}
