package owner

import (
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"heatherport/internal/connection/load"
	"heatherport/internal/connection/table"
	"heatherport/internal/version"
	"heatherport/internal/version/placement"
)

const (
	// synRetransmitWindow is the longest time for which a caller
	// retransmits an opening packet.
	synRetransmitWindow = 64 * time.Second
	// heartbeatInterval is the interval of load reports.
	heartbeatInterval = 500 * time.Millisecond
	// unreachableAfter is the time without a message or relayed packet
	// after which a member counts as unreachable.
	unreachableAfter = 3 * heartbeatInterval
	// decideAloneAfter is the time without a message from both the owner
	// and the standby after which a member decides alone.
	decideAloneAfter = 6 * heartbeatInterval
	// fullReportInterval is the interval of complete load reports.
	fullReportInterval = 10 * time.Second
	// maxRefreshInterval bounds the time between refreshes of an owner's
	// entry.
	maxRefreshInterval = 30 * time.Second
	// reopenAfterIdle is the idle time after which an opening packet with a
	// new sequence number opens a new connection.
	reopenAfterIdle = 60 * time.Second
)

// Config holds the settings of an Engine.
type Config struct {
	Self            version.MemberID
	Capacity        int // connections in the table
	ExceptionBudget int // bytes a second for exceptions to all replicas; zero selects DefaultExceptionBudget
}

// DefaultExceptionBudget, in bytes a second, leaves room for load reports
// within 2 KB a second.
const DefaultExceptionBudget = 1000

// Engine decides about packets. Warm, Decide, Refresh, Hint and Member may be
// called by many goroutines at once; all other methods belong to the control
// goroutine.
type Engine struct {
	cfg              Config
	view             atomic.Pointer[view]
	table            *table.Table
	exceptions       *exceptionStore
	events           events
	limit            *load.Limit
	lease            atomic.Bool
	lastDecidedAlone atomic.Int64  // time of the last decision without the owner
	lastEviction     atomic.Int64  // time of the last eviction from the table
	opened           atomic.Uint64 // connections for which this member chose the upstream
	stats            stats

	// The fields below belong to the control goroutine.
	self                   version.MemberID
	counters               map[version.UpstreamID]*counter
	peers                  map[version.MemberID]*peer
	predecessors           []*predecessor
	handovers              map[version.MemberID]*pendingHandover
	ownerTables            []cachedTable
	scan                   scan
	report                 reportSchedule
	budget                 byteBudget
	settled                uint64                     // see Settled
	settledBase            uint64                     // see SettledBase
	retransmitUntil        time.Duration              // latest end of a retransmit window of any slot
	exceptionsMissingUntil time.Duration              // latest time until which exceptions of any slot may be missing
	departed               map[version.MemberID]*peer // members that are in the previous version but not in the current one
	allKnownAt             time.Duration              // when this member knows all connections of its slots
	sweepShard             int
	departedReports        []departedReport
	leaving                bool
	drained                bool // see Drained
}

// New returns an engine that has no version yet.
func New(cfg Config) *Engine {
	if cfg.ExceptionBudget == 0 {
		cfg.ExceptionBudget = DefaultExceptionBudget
	}
	e := &Engine{
		cfg: cfg, self: cfg.Self,
		exceptions: newExceptions(),
		limit:      load.NewLimit(),
		counters:   make(map[version.UpstreamID]*counter),
		peers:      make(map[version.MemberID]*peer),
		handovers:  make(map[version.MemberID]*pendingHandover),
	}
	e.lastDecidedAlone.Store(int64(-synRetransmitWindow))
	e.lastEviction.Store(int64(-synRetransmitWindow))
	e.table = table.New(cfg.Capacity, e.entryRemoved)
	return e
}

// SetSelf sets the member ID that the cluster has assigned. It takes effect
// with the next Publish.
func (e *Engine) SetSelf(id version.MemberID) { e.self = id }

// SetLease sets whether this member's control lease from the leader is live.
func (e *Engine) SetLease(_ time.Duration, live bool) { e.lease.Store(live) }

// Publish makes v the version that decisions use. Older versions are ignored.
func (e *Engine) Publish(now time.Duration, v *version.Version) {
	old := e.view.Load()
	if old != nil && v.Index <= old.version.Index && old.self == e.self {
		return
	}
	w := e.newView(now, v)
	e.linkPeers(now, w)
	var before *ownership
	if old != nil {
		before = old.owners
	}
	if before != nil && old.self != e.self {
		before = nil
	}
	w.owners = e.newOwnership(now, w, before)
	for _, id := range w.owners.members {
		if id != w.self {
			w.otherOwners++
		}
	}
	e.view.Store(w)
	e.scan.restart(old, w)
}

// linkPeers gives w a route to every other member, and removes the peers that
// are no longer members.
func (e *Engine) linkPeers(now time.Duration, w *view) {
	w.peers = make(map[version.MemberID]*route, len(w.version.Members))
	for i := range w.version.Members {
		m := &w.version.Members[i]
		if m.ID == w.self {
			continue
		}
		p := e.peer(now, m.ID)
		p.member = true
		w.peers[m.ID] = &route{p, m.Relay}
	}
	e.departed = make(map[version.MemberID]*peer)
	for id, p := range e.peers {
		if p.member && w.peers[id] == nil {
			e.removePeer(now, id, p)
		}
	}
}

func (e *Engine) peer(now time.Duration, id version.MemberID) *peer {
	p := e.peers[id]
	if p == nil {
		p = newPeer(id, now)
		e.peers[id] = p
	}
	return p
}

// removePeer removes a former member. Its reported counts stay in the estimates
// while the new owners learn its connections; otherwise, upstreams would seem
// to have room for more connections.
func (e *Engine) removePeer(now time.Duration, id version.MemberID, p *peer) {
	e.departedReports = append(e.departedReports, departedReport{p.counts, now + maxRefreshInterval})
	e.departed[id] = p
	delete(e.peers, id)
	e.predecessors = slices.DeleteFunc(e.predecessors, func(q *predecessor) bool { return q.peer == p })
	delete(e.handovers, id)
}

// departedReport holds the counts in the last report of a former member.
type departedReport struct {
	counts map[version.UpstreamID]int32
	until  time.Duration
}

// dropDepartedReports removes the counts of members that departed more than
// maxRefreshInterval ago.
func (e *Engine) dropDepartedReports(now time.Duration) {
	e.departedReports = slices.DeleteFunc(e.departedReports, func(r departedReport) bool {
		if now < r.until {
			return false
		}
		for id, n := range r.counts {
			if c := e.counters[id]; c != nil {
				c.AddRemote(-n)
			}
		}
		return true
	})
}

// Member reports whether id is a member whose relay endpoint is from.
func (e *Engine) IsMember(id version.MemberID, from netip.AddrPort) bool {
	w := e.view.Load()
	if w == nil {
		return false
	}
	r := w.peers[id]
	return r != nil && r.addr.Port() == from.Port() && r.addr.Addr().Unmap() == from.Addr().Unmap()
}

// Leave starts a graceful stop. The member keeps deciding until the leader has
// removed it from the owners; Drained then reports when it may stop.
func (e *Engine) Drain() { e.leaving = true }

// Drained reports whether this member owns no slots and has handed over all
// that it owned. It stays true under later versions in which the member owns no
// slots, because the leader may already have removed the member.
func (e *Engine) Drained() bool {
	w := e.view.Load()
	if w == nil {
		return true
	}
	if slices.Contains(w.owners.members, w.self) {
		e.drained = false
		return false
	}
	for _, h := range e.handovers {
		if !h.completeAcked {
			return e.drained
		}
	}
	e.drained = e.drained || e.settled >= w.version.Index
	return e.drained
}

// handoversAcked reports whether every new owner has acknowledged its handover.
func (e *Engine) handoversAcked() bool {
	for _, h := range e.handovers {
		if !h.acked {
			return false
		}
	}
	return true
}

// Settled returns the highest version index under which every exception that
// this member must replicate is acknowledged, its slots that have a new owner
// are handed over, and those of its predecessors are received.
func (e *Engine) Settled() uint64 { return e.settled }

// SettledBase returns the highest version index that is settled and under which
// this member knows every connection of its slots. A base may advance only
// then: the owner cannot replicate an exception that it does not know.
func (e *Engine) SettledBase() uint64 { return e.settledBase }

// entryRemoved is called by the table, with a shard locked, for an entry that
// it removes.
func (e *Engine) entryRemoved(ent *table.Entry, reason table.Removal) {
	w := e.view.Load()
	if ent.Flags&table.Counted != 0 {
		e.uncount(w, ent.Upstream)
	}
	if reason == table.Evicted {
		e.lastEviction.Store(max(e.lastEviction.Load(), int64(ent.Seen)*int64(table.Unit)))
	}
	if w.owners.cur.Owner(placement.Slot(ent.Hash())) != w.self || ent.Flags&table.AtBase != 0 {
		return
	}
	if reason == table.Evicted {
		e.exceptions.put(ent.Hash(), exception{upstream: ent.Upstream, from: w.self, at: ent.Seen, confirmed: true})
		return
	}
	e.events.push(item{hash: ent.Hash()})
}

func (e *Engine) uncount(w *view, id version.UpstreamID) {
	if t := w.targets.get(id); t != nil {
		t.counter.Add(-1)
	}
}
