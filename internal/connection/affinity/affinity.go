// Package affinity forwards connections whose packets carry a cookie. An
// upstream is chosen for the opening packet. The cookie identifies it, and both
// ends of the connection repeat the cookie, so that any balancer can forward a
// later packet by its cookie alone.
//
// # Opening copies
//
// A caller retransmits an opening packet that was not answered. The copy may go
// to another upstream, and then both may answer. The connection opens at the
// upstream whose answer the caller acknowledges first, and the caller's first
// packet after opening carries the cookie of that answer. A later answer of the
// other upstream may change the cookie of the following packets. The engine
// therefore pins a connection to the first cookie that it sees after opening, and tells the
// other balancers of the connections for which it matters (pins.go).
//
// # Reused ports
//
// A caller may open a connection from a port that an earlier one used. Packets of
// the earlier one that arrive late are told apart by their sequence numbers and
// forwarded by their own cookies.
//
// # Passive health checks
//
// Answers do not pass through a balancer (direct server return). Whether an
// upstream answers, and how fast, follows from what its callers retransmit,
// abandon or acknowledge, compared with other upstreams (internal/load/outlier).
// Suspected upstreams get no new connections while others are eligible.
//
// # Load
//
// Where the view lists the balancers, each has permits for connections to its
// share of a service's slots, a limit for those to other shares (spillover), and a
// queue for the rest (pool.go, share_choice.go, waiting.go). What its network link cannot
// carry is refused before (link.go). Without that list the upstream
// with the fewest open connections is chosen, and when a service as a whole answers
// late, new connections beyond a concurrency limit are refused (choose.go,
// admission.go, late.go).
//
// # Loss of the table
//
// The connection table is only needed for load counts, opening copies and
// pinning. A packet without an entry is forwarded by its cookie.
package affinity

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"heatherport/internal/load/outlier"
	"heatherport/internal/load/uplink"
	"heatherport/internal/result"
	"heatherport/internal/version/directory"
)

// Packet holds the fields of a caller's packet that the engine uses.
type Packet struct {
	Caller       netip.AddrPort
	Service      netip.AddrPort
	Opening      bool
	Ending       bool // the caller sends no more data (FIN)
	Reset        bool
	Cookie       uint32
	Sequence     uint32
	Acknowledged uint32
	Copies       uint32 // copies of this opening packet that the caller sent before
	Length       int    // bytes of data
	Size         int    // bytes of the datagram
	// Waited is the time since the caller sent the first copy of this opening
	// packet.
	Waited time.Duration
	// Repeat is the time after which the caller sends the packet again, or gives
	// up, if it goes unanswered.
	Repeat time.Duration
	// Held reports that the packet waited at this balancer, HeldFor for how long.
	Held    bool
	HeldFor time.Duration
	// Delayed reports that the packet may have waited unread while the process stood
	// still, so that its time says nothing of the upstream.
	Delayed bool
}

// isFirst reports whether it is certain that no balancer forwarded a copy of an
// opening packet: the caller had sent none, and the packet did not wait here while
// a copy may have passed through another balancer.
func (p *Packet) isFirst() bool { return p.Copies == 0 && !p.Held }

// mayBeGivenUp reports whether the caller of an opening packet that waited here may
// have given it up, or sent a copy through another balancer. That no packet follows is
// then no sign of a fault of the upstream.
func (p *Packet) mayBeGivenUp() bool { return p.Held && (p.Copies > 0 || p.HeldFor >= p.Repeat/2) }

// Verdict is the decision about a packet. A packet is dropped if Upstream is
// nil. Refuse means that the caller is sent a reset, Wait that the packet is
// decided on again later.
type Verdict struct {
	Upstream *Upstream
	Refuse   bool
	Wait     bool
	// Queued is set with Wait if Release decides on the packet.
	Queued bool
	Code   result.Code // cause if the packet is not forwarded
	// Overload is set when a connection was refused because its service is
	// overloaded.
	Overload *Overload
	// Choice is set when an upstream was chosen for the packet.
	Choice *Choice
	// Opened is the time from the opening packet to the first packet after
	// opening. It is zero for other packets.
	Opened time.Duration
	// Answered is the time from a request to the packet that acknowledges its
	// answer. It is zero for other packets.
	Answered time.Duration
	// Cleared is the cookie of the upstream whose suspicion the packet ended,
	// or zero.
	Cleared uint32
	// Pinned reports that the packet goes to the upstream of a pin, and not to that of its
	// cookie.
	Pinned bool
}

// Choice describes how an upstream was chosen.
type Choice struct {
	Service    string
	Candidates int // eligible upstreams that were not tried before
	Penalty    int // number of reasons to expect no answer from the chosen upstream
	Load       float64
	Tried      int // upstreams that earlier copies were sent to
	Spillover  bool
}

// Config holds the parameters of an Engine.
type Config struct {
	Name     string        // name of this balancer in View.Balancers
	Domain   string        // failure domain of this balancer
	Capacity int           // maximum number of table entries
	Lifetime time.Duration // maximum lifetime of a connection
	Link     *uplink.Link  // of this balancer; nil for one without limit
	Rand     *rand.Rand
}

const (
	// loadTimeout is the time without a packet after which a connection no
	// longer counts as load. Requests take under a second, and a connection
	// that was rerouted to another balancer sends no more packets here.
	loadTimeout = 2 * time.Second
	// entryTimeout is the time without a packet after which an entry expires.
	// It covers the longest gap between retransmissions. The entry of a
	// connection that may have opened at one of several upstreams is kept for
	// Config.Lifetime.
	entryTimeout = 4 * time.Second
	// minSilence is the time after the placement of an opening before which a copy
	// of it says nothing of the upstream. Answers take a few milliseconds; callers
	// repeat after 200 ms.
	minSilence = 100 * time.Millisecond
	// maxTried bounds the upstreams that one opening packet and its copies are
	// sent to. A caller sends two copies.
	maxTried = 3
	// sequenceWindow is the distance from the last sequence number of a connection
	// within which a packet belongs to it. Callers send a few kilobytes; the numbers
	// of two connections from one port are random and 32 bits long.
	sequenceWindow = 1 << 20
)

type key struct{ caller, service netip.AddrPort }

// entry is the table entry of a connection.
type entry struct {
	service    string
	sequence   uint32        // sequence number of the opening packet
	began      time.Duration // when the caller sent the opening packet for the first time
	lastSeq    uint32        // sequence number of the last packet, after opening
	earlier    *uint32       // lastSeq of the connection that used the port before
	tried      []uint32
	cookie     uint32 // cookie of the connection's upstream
	pinned     bool   // a packet after opening fixed the cookie
	copied     bool   // the first opening packet seen here was a copy
	counted    bool
	permit     permit        // while counted
	crowd      float64       // open connections per slot of the own share at the last placement
	calm       bool          // half of the permits were free at the last placement
	opened     time.Duration // time from the placement to the first packet after opening
	placed     time.Duration // time of the last placement
	overran    bool          // the response took longer than without a queue
	started    time.Duration // time of the first opening packet
	lastPacket time.Duration

	requested  time.Duration // time of the first packet of a pending request; zero for none
	requestAck uint32        // acknowledgement number of that packet
	dataEnd    uint32        // sequence number after the caller's data
	requests   int           // requests seen by this balancer
	reported   bool          // the pending request or opening needs no further suspicion
	awaited    bool          // an answer to the opening packet is waited for
	size       int           // bytes of its packets, with the overhead of the link
	ended      bool          // the caller sent its last data
}

// Engine chooses upstreams for opening packets and forwards the packets of open
// connections. It is not safe for concurrent use.
type Engine struct {
	cfg        Config
	table      map[key]*entry
	upstreams  map[uint32]*upstreamState
	answers    map[netip.AddrPort]*answerTime // by address of the service
	limiters   map[string]*limiter            // by service
	pools      map[string]*pool               // by service
	poolOrder  []*pool                        // the same pools in the order of their creation
	poolView   *View                          // of the last refresh of the pools
	hasShares  bool                           // poolView lists this balancer
	attempts   map[key]*attempt               // that wait in queues
	displaced  []displaced                    // since the last Release
	suspicions []Suspicion                    // since the last Tick
	cold       coldStarts
	unopened   unopened
	openings   outlier.Observer
	pins       pins
}

// New returns an engine with an empty table.
func New(cfg Config) *Engine {
	if cfg.Link == nil {
		cfg.Link = &uplink.Link{}
	}
	return &Engine{
		cfg: cfg, table: make(map[key]*entry), upstreams: make(map[uint32]*upstreamState),
		answers: make(map[netip.AddrPort]*answerTime), limiters: make(map[string]*limiter),
		cold:  make(coldStarts),
		pools: make(map[string]*pool), attempts: make(map[key]*attempt),
	}
}

// Len returns the number of connections in the table.
func (e *Engine) Len() int { return len(e.table) }

// Decide returns the verdict on a packet. now is the time since the process
// started.
func (e *Engine) Decide(now time.Duration, v *View, p *Packet) Verdict {
	if v.Routes == nil {
		return Verdict{Wait: true}
	}
	if p.Opening {
		return e.placeOpening(now, v, p)
	}
	return e.forwardEstablished(now, v, p)
}

// Tick expires idle connections and returns the suspicions raised since the
// last call.
func (e *Engine) Tick(now time.Duration, v *View) []Suspicion {
	for k, c := range e.table {
		switch idle := now - c.lastPacket; {
		case idle > e.cfg.Lifetime, idle > entryTimeout && len(c.tried) < 2:
			e.remove(now, k, c)
		case idle > loadTimeout:
			e.uncountLoad(now, c)
		}
		if !c.pinned && now-c.placed > e.openings.Timeout() {
			e.uncountLoad(now, c) // a connection that has not opened takes no slot
		}
		e.checkPending(now, v, k, c)
		e.learnFromPending(now, c)
		e.checkOverrun(now, c)
		if u := v.Upstream(c.cookie); u == nil || u.State == directory.Gone {
			c.permit.release(now) // the upstream will not answer
		}
	}
	for cookie, s := range e.upstreams {
		isMeasured := s.work > 0 && v.Upstream(cookie) != nil
		if s.open == 0 && !isMeasured && !e.isSuspect(now, cookie) {
			delete(e.upstreams, cookie)
		}
	}
	e.removeStale(now, v)
	e.cold.expire(now)
	e.expirePins(now)
	e.tickPools(now, v)
	out := e.suspicions
	e.suspicions = nil
	return out
}
