package balancer

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherport/internal/process/controller"
	"heatherport/internal/process/stream"
	"heatherport/internal/version/directory"
	"heatherport/internal/version/routing"
)

const (
	// feedCount is the number of controllers that feed a balancer at a time. The
	// second one keeps delivering changes until the loss of the first is
	// detected.
	feedCount = 2
	// settleTime is the time after the first feed has opened in which no second
	// one is taken: the full state of each costs a starting balancer much of its
	// processor. emptyTime is the part of it that a feed without routes is given.
	settleTime = time.Second
	emptyTime  = 200 * time.Millisecond
	// hedgeDelay is the time after which another controller is tried in parallel
	// to a pending attempt to connect. It is many round trips.
	hedgeDelay = 60 * time.Millisecond
	// failureBackoff is how long a controller that failed is ranked behind all
	// others.
	failureBackoff = 2 * time.Second
	// unconfirmedLimit is how long a feed whose controller has no leader is kept
	// while no other feed has one. Elections take up to a second.
	unconfirmedLimit = 1500 * time.Millisecond
	// localInterval is the time between attempts to get a feed from a controller
	// in the failure domain of this balancer.
	localInterval = 3 * time.Second
)

// source is a controller that can feed this balancer.
type source struct {
	address     netip.AddrPort
	domain      string // empty while unknown
	lastFailure time.Duration
	inUse       bool
}

// feed is a connection to a source.
type feed struct {
	source           *source
	cancel           context.CancelFunc
	conn             *stream.Conn
	confirmed        bool
	unconfirmedSince time.Duration // last change of confirmed, or start
	openedAt         time.Duration
	table            *routing.Table // base of the next delta
	offered          *routing.Table // table of the Subscribe message
	// lapsed and ejected hold the state of each upstream according to this
	// controller.
	lapsed  map[string]bool
	ejected map[string]bool
	fleet   *controller.Fleet  // balancers that this controller knows; nil before it says so
	needs   *controller.Needs  // what they need, as far as it is lent
	speeds  *controller.Speeds // slow upstreams, as far as this controller knows
}

// wantedFeeds returns the number of feeds to take now.
func (b *Balancer) wantedFeeds() int {
	since := b.now() - b.firstFeed
	if b.firstFeed == 0 || since < emptyTime || b.table != nil && since < settleTime {
		return 1
	}
	return feedCount
}

// openFeeds opens feeds up to feedCount. Until the first is open, it tries two
// controllers at a time. A slow attempt does not delay the next one, because a VM
// without power does not answer at all.
func (b *Balancer) openFeeds() {
	open, pending := 0, 0
	for _, f := range b.feeds {
		switch {
		case f.conn != nil:
			open++
		case b.now()-f.openedAt < hedgeDelay:
			pending++
		}
	}
	wanted := b.wantedFeeds()
	if open == 0 {
		wanted = feedCount
	}
	for open+pending < wanted {
		s := b.pickSource()
		if s == nil {
			return
		}
		b.openFeed(s)
		pending++
	}
}

// feedOpened subscribes to a feed that has connected, or closes it if it is not
// wanted.
func (b *Balancer) feedOpened(f *feed, conn *stream.Conn) {
	if b.openFeedCount() >= b.wantedFeeds() {
		f.cancel()
		return
	}
	b.log.Info("feed open", "controller", f.source.address, "domain", f.source.domain)
	if b.firstFeed == 0 {
		b.firstFeed = b.now()
	}
	f.conn = conn
	b.subscribe(f)
	b.repeatSuspicions(conn)
	b.repeatPins(conn)
	if len(b.needs.sent) > 0 {
		conn.Send(b.needsFrame())
	}
	if len(b.speeds.sent) > 0 {
		conn.Send(b.speedsFrame())
	}
}

// pickSource returns the source to connect to, or nil. It prefers a controller
// in the failure domain of this balancer, or in another one if a feed comes from
// there already, then ranks by a hash that spreads balancers over controllers.
func (b *Balancer) pickSource() *source {
	now := b.now()
	hasLocal := slices.ContainsFunc(b.feeds, func(f *feed) bool { return f.source.domain == b.domain })
	var best *source
	rank := func(s *source) uint64 {
		r := xxhash.Sum64String(b.name+s.address.String()) >> 2
		if s.lastFailure != 0 && now-s.lastFailure < failureBackoff {
			r |= 1 << 63
		}
		if hasLocal == (s.domain == b.domain) {
			r |= 1 << 62
		}
		return r
	}
	for _, s := range b.sources {
		if !s.inUse && now >= s.lastFailure+retryDelay && (best == nil || rank(s) < rank(best)) {
			best = s
		}
	}
	return best
}

// retryDelay is the minimum time between a failure and the next attempt to
// connect to the same controller.
const retryDelay = 50 * time.Millisecond

func (b *Balancer) openFeed(s *source) {
	ctx, cancel := context.WithCancel(b.ctx)
	f := &feed{source: s, cancel: cancel, lapsed: make(map[string]bool), ejected: make(map[string]bool), unconfirmedSince: b.now(), openedAt: b.now()}
	s.inUse = true
	b.feeds = append(b.feeds, f)
	go stream.DialOnce(ctx, s.address, stream.Callbacks{
		Open: func(conn *stream.Conn) {
			b.post(func() { b.feedOpened(f, conn) })
		},
		Handle: func(conn *stream.Conn, kind stream.Kind, body []byte) {
			if kind != controller.KindFeedUpdate {
				return
			}
			var message controller.FeedUpdate
			if err := stream.Decode(body, &message); err != nil {
				// Later updates carry only the changes since this one.
				b.log.Warn("failed to decode feed update; closing feed", "controller", s.address, "error", err)
				conn.Close()
				return
			}
			b.post(func() { b.applyUpdate(f, &message) })
		},
		Close: func(conn *stream.Conn, cause error) {
			b.post(func() { b.removeFeed(f, cause) })
		},
	})
}

// subscribe tells a controller what this balancer holds, so that it sends the
// rest.
func (b *Balancer) subscribe(f *feed) {
	m := controller.Subscribe{Name: b.name, Domain: b.domain}
	if f.offered = b.table; f.offered != nil {
		m.Routes = f.offered.Number
		m.Digests = b.directory.Digests()
	}
	frame, err := stream.Encode(controller.KindSubscribe, m)
	if err != nil {
		b.log.Error("failed to encode subscription", "error", err)
		return
	}
	f.conn.Send(frame)
}

func (b *Balancer) removeFeed(f *feed, cause error) {
	f.cancel()
	f.source.inUse = false
	f.source.lastFailure = b.now()
	before := len(b.feeds)
	b.feeds = slices.DeleteFunc(b.feeds, func(o *feed) bool { return o == f })
	b.updateFleet()
	b.updateSpeeds()
	if f.conn != nil && before != len(b.feeds) {
		b.metrics.FeedsLost.Inc()
		b.log.Warn("feed lost", "controller", f.source.address, "error", cause, "left", len(b.feeds))
	}
	b.changed = true
}

// applyUpdate applies an update of a controller.
func (b *Balancer) applyUpdate(f *feed, m *controller.FeedUpdate) {
	now := b.now()
	if m.Confirmed != f.confirmed {
		b.log.Info("feed confirmation changed", "controller", f.source.address, "confirmed", m.Confirmed)
		f.confirmed = m.Confirmed
		f.unconfirmedSince = now
	}
	if m.SameRoutes {
		f.table = f.offered
	}
	if m.Routes != nil {
		b.applyRoutes(f, *m.Routes)
	}
	if b.evacuations.apply(now, m.Evacuations) {
		b.log.Info("evacuations in force", "index", m.Evacuations.Index, "failure_domains", m.Evacuations.Domains, "controller", f.source.address)
	}
	if m.Fleet != nil {
		f.fleet = m.Fleet
		b.updateFleet()
	}
	if m.Needs != nil {
		f.needs = m.Needs
	}
	if m.Speeds != nil {
		f.speeds = m.Speeds
		b.updateSpeeds()
	}
	if m.Resumed {
		b.resumeUpstreams(f, m)
	}
	b.applyUpstreams(f, m.Upstreams)
	b.learnPins(now, m.Pins)
	for _, c := range m.Controllers {
		b.addSource(c.Link, c.Domain)
	}
	b.changed = true
}

// resumeUpstreams sets the state of the upstreams that a controller did not send
// because it knows that this balancer holds them. An upstream that the controller
// has forgotten counts as lapsed.
func (b *Balancer) resumeUpstreams(f *feed, m *controller.FeedUpdate) {
	for _, e := range b.directory.Entries() {
		f.lapsed[e.ID], f.ejected[e.ID] = false, false
	}
	missing := b.directory.Missing(m.DifferingBuckets, m.Upstreams)
	for _, id := range missing {
		f.lapsed[id] = true
	}
	b.log.Info("feed resumed", "controller", f.source.address, "same_routes", m.SameRoutes, "received", len(m.Upstreams), "forgotten", len(missing))
}

// maxUpstreamLines is the number of changed upstreams up to which each has its
// own log line. The first update of a feed carries all upstreams.
const maxUpstreamLines = 16

func (b *Balancer) applyUpstreams(f *feed, records []directory.Record) {
	changed := 0
	var health healthChanges
	for _, r := range records {
		if err := r.Check(); err != nil {
			b.metrics.InvalidRecords.Inc()
			b.log.Warn("invalid record skipped", "controller", f.source.address, "error", err)
			continue
		}
		isNew := b.directory.Merge(b.now(), r)
		if isNew || f.lapsed[r.ID] != r.Lapsed || f.ejected[r.ID] != r.Ejected {
			changed++
		}
		switch {
		case len(records) > maxUpstreamLines:
		case isNew:
			b.log.Info("upstream changed", "upstream", r.ID, "service", r.Service, "address", r.Address, "state", r.State.String(),
				"lapsed", r.Lapsed, "doubted", r.Ejected, "cold_ms", r.SlowStart.Milliseconds(), "owner", r.Owner, "born", r.StartMillis, "seq", r.Seq, "controller", f.source.address)
		default:
			health.add(f, &r)
		}
		f.lapsed[r.ID], f.ejected[r.ID] = r.Lapsed, r.Ejected
	}
	if len(records) > maxUpstreamLines {
		b.log.Info("upstreams received", "records", len(records), "changed", changed, "known", b.directory.Len(), "controller", f.source.address)
	}
	health.log(b, f)
}

// healthChanges lists the upstreams of an update that lapsed, were ejected or
// recovered. An overload ejects and recovers many at a time, which share a log line.
type healthChanges struct{ lapsed, ejected, recovered []string }

func (h *healthChanges) add(f *feed, r *directory.Record) {
	switch {
	case r.Lapsed && !f.lapsed[r.ID]:
		h.lapsed = append(h.lapsed, r.ID)
	case r.Ejected && !f.ejected[r.ID]:
		h.ejected = append(h.ejected, r.ID)
	case f.lapsed[r.ID] && !r.Lapsed, f.ejected[r.ID] && !r.Ejected:
		h.recovered = append(h.recovered, r.ID)
	}
}

func (h *healthChanges) log(b *Balancer, f *feed) {
	if len(h.lapsed)+len(h.ejected)+len(h.recovered) > 0 {
		b.log.Info("upstream health changed", "lapsed", h.lapsed, "ejected", h.ejected, "recovered", h.recovered, "controller", f.source.address)
	}
}

func (b *Balancer) applyRoutes(f *feed, d routing.Delta) {
	table, err := f.table.Apply(d)
	if err != nil {
		b.log.Error("failed to apply routing delta; closing feed", "controller", f.source.address, "error", err)
		f.cancel()
		return
	}
	f.table = table
	// The version never decreases, whichever controller sends it.
	if b.table == nil || table.Number > b.table.Number {
		b.retired = b.retired.Retire(b.now(), b.lifetime, b.table)
		b.table = table
		b.log.Info("configuration in force", "number", table.Number, "routes", table.Len(), "controller", f.source.address, "confirmed", f.confirmed)
	}
}

// addSource adds a controller to the sources, or sets the failure domain of a
// known one. It reports whether the controller is new.
func (b *Balancer) addSource(address netip.AddrPort, domain string) (isNew bool) {
	s := b.sourceAt(address)
	if s == nil {
		b.sources = append(b.sources, &source{address: address, domain: domain})
		return true
	}
	if domain != "" {
		s.domain = domain
	}
	return false
}

// sourceAt returns the source with an address, or nil.
func (b *Balancer) sourceAt(address netip.AddrPort) *source {
	for _, s := range b.sources {
		if s.address == address {
			return s
		}
	}
	return nil
}

// openFeedCount returns the number of feeds that are connected.
func (b *Balancer) openFeedCount() (open int) {
	for _, f := range b.feeds {
		if f.conn != nil {
			open++
		}
	}
	return open
}

// rebalanceFeeds closes a feed that another controller should replace: one
// whose controller has no leader while no other feed has one, or one from
// another failure domain when a controller in the failure domain of this
// balancer is available and no feed comes from there.
func (b *Balancer) rebalanceFeeds() {
	now := b.now()
	if !b.isConfirmed() {
		for _, f := range b.feeds {
			if now-f.unconfirmedSince > unconfirmedLimit && len(b.sources) > len(b.feeds) {
				f.unconfirmedSince = now
				f.cancel()
				return
			}
		}
	}
	if len(b.feeds) < feedCount || now-b.lastRebalance < localInterval {
		return
	}
	b.lastRebalance = now
	if slices.ContainsFunc(b.feeds, func(f *feed) bool { return f.source.domain == b.domain }) {
		return
	}
	if local := b.pickSource(); local != nil && local.domain == b.domain && now-local.lastFailure > failureBackoff {
		b.feeds[0].cancel()
	}
}

// isConfirmed reports whether a feed comes from a controller that has a leader.
func (b *Balancer) isConfirmed() bool {
	return slices.ContainsFunc(b.feeds, func(f *feed) bool { return f.confirmed })
}

// confirmInterval is the time between two checks of which upstreams controllers hear of.
const confirmInterval = time.Second

// confirmUpstreams confirms the upstreams that a controller hears of. An upstream that all
// controllers which feed this balancer find silent is forgotten after a while. While none of
// them has a leader, they may be cut off from the upstreams themselves, and nothing is
// forgotten.
func (b *Balancer) confirmUpstreams(now time.Duration) {
	if now-b.lastConfirm < confirmInterval {
		return
	}
	b.lastConfirm = now
	isCutOff := !b.isConfirmed()
	for _, e := range b.directory.Entries() {
		if isCutOff || b.isHeard(e.ID) {
			b.directory.Confirm(now, e.ID)
		}
	}
}

// isHeard reports whether a controller that feeds this balancer hears of an upstream.
func (b *Balancer) isHeard(id string) bool {
	return slices.ContainsFunc(b.feeds, func(f *feed) bool {
		lapsed, ok := f.lapsed[id]
		return ok && !lapsed
	})
}

// noteForgotten removes what the feeds say about an upstream that is forgotten.
func (b *Balancer) noteForgotten(e *directory.Entry) {
	for _, f := range b.feeds {
		delete(f.lapsed, e.ID)
		delete(f.ejected, e.ID)
	}
	if e.State != directory.Gone {
		b.log.Info("silent upstream forgotten", "upstream", e.ID, "service", e.Service, "address", e.Address, "born", e.StartMillis)
	}
	b.changed = true
}

// isLapsed reports whether an upstream has lapsed according to all feeds that
// know it.
func (b *Balancer) isLapsed(id string) bool {
	known, lapsed := 0, 0
	for _, f := range b.feeds {
		if l, ok := f.lapsed[id]; ok {
			known++
			if l {
				lapsed++
			}
		}
	}
	return known > 0 && known == lapsed
}
