package affinity

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"heatherport/internal/version/directory"
)

// caller models the caller's end of a connection on the platform.
type caller struct {
	address     netip.AddrPort
	service     netip.AddrPort
	wantService string // name of the service
	isn         uint32 // sequence number of the opening packet
	reused      bool   // a later connection uses its port
	copies      uint32
	cookie      uint32 // the last one received
	opened      uint32 // cookie of the upstream whose answer was acknowledged
	inFlight    []uint32
	reached     []uint32 // upstreams that opening packets went to
	balancer    int      // that the routers send this connection to
	ended       bool
	endedAt     time.Duration
}

// model runs several engines over one set of upstreams.
type model struct {
	*fixture
	now          time.Duration
	engines      []*Engine
	seed         uint64
	callers      []*caller
	unresponsive map[uint32]bool // upstreams that answer nothing
}

func (m *model) decide(c *caller, p *Packet) Verdict {
	m.now += time.Millisecond
	return m.engines[c.balancer].Decide(m.now, m.view(), p)
}

func (m *model) find(cookie uint32) *Upstream {
	for i := range m.upstreams {
		if m.upstreams[i].Cookie == cookie {
			return &m.upstreams[i]
		}
	}
	return nil
}

func (m *model) drawCaller(t *rapid.T, ok func(*caller) bool) *caller {
	var fit []*caller
	for _, c := range m.callers {
		if ok(c) {
			fit = append(fit, c)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	return rapid.SampledFrom(fit).Draw(t, "caller")
}

// open sends a first opening packet.
func (m *model) open(t *rapid.T) {
	n := len(m.callers)
	c := &caller{
		address:     netip.AddrPortFrom(callerAddr.Addr(), uint16(1000+n)),
		isn:         uint32(n) * 50_000_000,
		service:     permitsAddr,
		wantService: "permits",
		balancer:    rapid.IntRange(0, len(m.engines)-1).Draw(t, "balancer"),
	}
	if rapid.Bool().Draw(t, "sheets") {
		c.service, c.wantService = sheetsAddr, "sheets"
	}
	if earlier := m.drawCaller(t, func(c *caller) bool { return c.ended && !c.reused }); earlier != nil && rapid.Bool().Draw(t, "reuse the port") {
		earlier.reused = true
		c.address, c.service, c.wantService = earlier.address, earlier.service, earlier.wantService
	}
	m.callers = append(m.callers, c)
	m.sendOpening(t, c)
}

// sendLate repeats the last packet of a connection, at most two seconds after it
// ended and through the same balancer. Its port may be in use again. Another balancer,
// which did not see the connection, cannot tell the packet from one of a second
// connection to the same upstream.
func (m *model) sendLate(t *rapid.T) {
	if c := m.drawCaller(t, func(c *caller) bool { return c.ended && m.now-c.endedAt < 2*time.Second }); c != nil {
		m.send(t, c, &Packet{Caller: c.address, Service: c.service, Cookie: c.cookie, Sequence: c.isn + 11, Ending: true})
	}
}

func (m *model) sendOpening(t *rapid.T, c *caller) {
	v := m.decide(c, &Packet{Caller: c.address, Service: c.service, Opening: true, Sequence: c.isn, Copies: c.copies})
	m.reached(t, c, v)
}

// reached records where an opening packet goes.
func (m *model) reached(t *rapid.T, c *caller, v Verdict) {
	if v.Upstream == nil {
		return
	}
	must.Eq(t, c.wantService, v.Upstream.Service)
	// If no other upstream is left, a copy goes to the upstream of the first
	// packet, even if it has started to leave. It still accepts the connection.
	if state := m.find(v.Upstream.Cookie).State; state != directory.Serving {
		must.Eq(t, directory.Leaving, state)
		must.SliceContains(t, c.reached, v.Upstream.Cookie)
	}
	c.reached = append(c.reached, v.Upstream.Cookie)
	if !m.unresponsive[v.Upstream.Cookie] {
		c.inFlight = append(c.inFlight, v.Upstream.Cookie)
	}
}

// release lets the engines decide on the opening packets that wait.
func (m *model) release(t *rapid.T) {
	for _, e := range m.engines {
		e.Release(m.now, m.view(), func(p *Packet, v Verdict) {
			i := slices.IndexFunc(m.callers, func(c *caller) bool { return c.address == p.Caller })
			m.reached(t, m.callers[i], v)
		})
	}
}

// copyOpening repeats the opening packet of a caller that has no answer yet.
func (m *model) copyOpening(t *rapid.T) {
	c := m.drawCaller(t, func(c *caller) bool { return c.opened == 0 && c.copies < 2 })
	if c == nil {
		return
	}
	c.copies++
	m.sendOpening(t, c)
}

// answer delivers an answer to a caller. Answers may be reordered.
func (m *model) answer(t *rapid.T) {
	c := m.drawCaller(t, func(c *caller) bool { return len(c.inFlight) > 0 && !c.ended })
	if c == nil {
		return
	}
	i := rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "answer")
	c.cookie = c.inFlight[i]
	c.inFlight = append(c.inFlight[:i], c.inFlight[i+1:]...)
	if c.opened == 0 {
		c.opened = c.cookie
		m.send(t, c, &Packet{Caller: c.address, Service: c.service, Cookie: c.cookie, Sequence: c.isn + 1, Length: 10})
	}
}

// sendData sends a packet of an open connection.
func (m *model) sendData(t *rapid.T) {
	c := m.drawCaller(t, func(c *caller) bool { return c.opened != 0 && !c.ended })
	if c == nil {
		return
	}
	p := &Packet{Caller: c.address, Service: c.service, Cookie: c.cookie, Sequence: c.isn + 11, Length: rapid.IntRange(0, 5).Draw(t, "length")}
	p.Ending = rapid.IntRange(0, 4).Draw(t, "ending") == 0
	m.send(t, c, p)
	c.ended, c.endedAt = p.Ending, m.now
}

func (m *model) send(t *rapid.T, c *caller, p *Packet) {
	u := m.find(c.opened)
	v := m.decide(c, p)
	if u.Ended {
		must.Nil(t, v.Upstream)
		return
	}
	must.NotNil(t, v.Upstream)
	must.Eq(t, c.opened, v.Upstream.Cookie, must.Sprint("connection moved"))
	must.Eq(t, c.wantService, v.Upstream.Service)
	must.False(t, v.Refuse)
	// The upstream repeats its cookie in what it sends next.
	c.cookie = c.opened
}

// move reroutes a connection to another balancer. It skips connections with a
// second answer in flight: its cookie would misdirect a balancer that did not
// see the connection open. docs/PLATFORM.md lists this case.
func (m *model) move(t *rapid.T) {
	c := m.drawCaller(t, func(c *caller) bool { return c.opened != 0 && !c.ended && len(c.inFlight) == 0 && c.cookie == c.opened })
	if c != nil {
		c.balancer = rapid.IntRange(0, len(m.engines)-1).Draw(t, "balancer")
	}
}

// restart replaces the engine of a balancer whose table no connection needs.
func (m *model) restart(t *rapid.T) {
	i := rapid.IntRange(0, len(m.engines)-1).Draw(t, "balancer")
	for _, c := range m.callers {
		isEnding := c.ended && m.now-c.endedAt < 2*time.Second
		if c.balancer == i && (isEnding || !c.ended && (c.opened == 0 || len(c.inFlight) > 0 || c.cookie != c.opened)) {
			return
		}
	}
	m.seed++
	m.engines[i] = newEngine(m.seed)
}

// change changes the state of an upstream or adds one.
func (m *model) change(t *rapid.T) {
	u := &m.upstreams[rapid.IntRange(0, len(m.upstreams)-1).Draw(t, "upstream")]
	switch rapid.SampledFrom([]string{"leave", "go", "end", "silent", "speak", "join", "reuse"}).Draw(t, "change") {
	case "leave":
		u.State = max(u.State, directory.Leaving)
	case "go":
		u.State = directory.Gone
	case "end":
		u.Ended = u.State == directory.Gone
	case "silent":
		m.unresponsive[u.Cookie] = true
	case "speak":
		delete(m.unresponsive, u.Cookie)
	case "join":
		m.add(u.Service)
	case "reuse":
		if u.State != directory.Gone {
			return
		}
		address := u.Address
		other := map[string]string{"permits": "sheets", "sheets": "permits"}[u.Service]
		m.add(other).Address = address
	}
}

func (m *model) tick(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
	for _, e := range m.engines {
		e.Tick(m.now, m.view())
	}
}

// TestConnectionsNeverMove checks that each packet after opening reaches the
// upstream whose answer the caller acknowledged, whichever balancer gets it.
func TestConnectionsNeverMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{fixture: newFixture(3, 3), unresponsive: make(map[uint32]bool), seed: 10}
		for i := range uint64(3) {
			m.engines = append(m.engines, newEngine(i))
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": m.open, "copy": m.copyOpening, "answer": m.answer, "say": m.sendData, "late": m.sendLate,
			"move": m.move, "restart": m.restart, "change": m.change, "tick": m.tick,
		})
	})
}
