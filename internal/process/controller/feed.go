package controller

import (
	"net/netip"
	"slices"
	"time"

	"heatherport/internal/process/stream"
	"heatherport/internal/version/routing"
)

// subscriber is a balancer that this controller feeds, with the state that was
// last sent to it.
type subscriber struct {
	Subscribe
	address netip.Addr
	started bool // an update was sent
	state   feedState
	needs   *Needs  // that it reported last; nil for none
	speeds  *Speeds // that it reported last; nil for none
}

func (c *Controller) subscribe(conn *stream.Conn, s Subscribe) {
	c.log.Info("balancer subscribed", "balancer", s.Name, "domain", s.Domain)
	sub := &subscriber{Subscribe: s, address: conn.RemoteAddr()}
	c.subscribers[conn] = sub
	c.noteBalancer(sub)
}

func (c *Controller) removeSubscriber(conn *stream.Conn, cause error) {
	c.post(func() {
		if s := c.subscribers[conn]; s != nil {
			c.log.Info("balancer disconnected", "balancer", s.Name, "cause", cause)
			delete(c.subscribers, conn)
		}
	})
}

// feedAll sends each subscriber the changes since its last update. Subscribers
// that hold the same state are sent the same frame.
func (c *Controller) feedAll() {
	if len(c.subscribers) == 0 {
		return
	}
	now := feedState{
		table: c.table, revision: c.directory.Revision(),
		evacuations: c.evacuations, fleet: c.fleets.fed, needs: c.needs.fed, speeds: c.speeds.fed, pins: c.pins.revision, confirmed: c.confirmed && c.stall.IsOver(c.clock()), controllers: append(c.peers.members(peerMaxAge), c.member()),
	}
	for conn, s := range c.subscribers {
		if !s.started {
			s.started = true
			c.sendFirst(conn, s, &now)
			c.sendUpdate(conn, s, &now)
		}
	}
	if !c.isFeedDue(&now) {
		return
	}
	c.lastFed, c.lastFeedTime = now, c.now()
	for conn, s := range c.subscribers {
		c.sendUpdate(conn, s, &now)
	}
}

// sendUpdate sends a subscriber what changed since its last update.
func (c *Controller) sendUpdate(conn *stream.Conn, s *subscriber, now *feedState) {
	if s.state.equal(now) {
		return
	}
	if frame := c.feedFrame(&s.state, now); frame != nil {
		conn.Send(frame)
		c.countSent(KindFeedUpdate, len(frame))
		s.state = *now
	}
}

const (
	// feedInterval is the time between updates that only carry which upstreams
	// are lapsed or ejected. An overload ejects many within a second; an update
	// for each would take the processor of small balancers and add to it.
	feedInterval = 200 * time.Millisecond
	// urgentFeedInterval is the time between other updates.
	urgentFeedInterval = 20 * time.Millisecond
)

// isFeedDue reports whether subscribers are sent an update now.
func (c *Controller) isFeedDue(now *feedState) bool {
	since := c.now() - c.lastFeedTime
	last := &c.lastFed
	switch {
	case now.equal(last):
		return false
	case now.table != last.table, now.evacuations != last.evacuations, now.fleet != last.fleet, now.confirmed != last.confirmed, !slices.Equal(now.controllers, last.controllers),
		c.directory.UrgentRevision() > last.revision, now.pins != last.pins:
		return since >= urgentFeedInterval
	case now.needs != last.needs, now.speeds != last.speeds:
		return since >= gatherInterval
	}
	return since >= feedInterval
}

// fullMaxAge is the time for which the encoded full state is reused. When many
// balancers subscribe at once, each is sent the same full state and then the
// changes since.
const fullMaxAge = 200 * time.Millisecond

// fullFeed is an encoded full state.
type fullFeed struct {
	state feedState
	frame []byte
	at    time.Duration
}

// sendFirst sends a new subscriber the state that it does not hold.
func (c *Controller) sendFirst(conn *stream.Conn, s *subscriber, now *feedState) {
	if len(s.Digests) == 0 || now.table == nil {
		c.sendFull(conn, s, now)
		return
	}
	f := FeedUpdate{
		Confirmed: now.confirmed, Controllers: now.controllers,
		SameRoutes: s.Routes == now.table.Number, Resumed: true, Evacuations: now.evacuations, Fleet: now.fleet, Needs: now.needs, Speeds: now.speeds, Pins: c.pins.since(c.now(), 0),
	}
	f.Upstreams, f.DifferingBuckets = c.directory.Differing(s.Digests)
	if !f.SameRoutes {
		d := now.table.Diff(nil)
		f.Routes = &d
	}
	c.log.Info("feed resumed", "balancer", s.Name, "number", s.Routes, "same_routes", f.SameRoutes, "differing", len(f.Upstreams))
	c.reply(conn, KindFeedUpdate, f)
	s.state = *now
}

// sendFull sends a new subscriber the full state, which may be fullMaxAge old.
func (c *Controller) sendFull(conn *stream.Conn, s *subscriber, now *feedState) {
	full := &c.fullFeed
	if full.frame == nil || full.state.table != now.table || full.state.evacuations != now.evacuations || c.now()-full.at > fullMaxAge {
		var empty feedState
		*full = fullFeed{state: *now, frame: c.feedFrame(&empty, now), at: c.now()}
	}
	if full.frame != nil {
		conn.Send(full.frame)
		c.countSent(KindFeedUpdate, len(full.frame))
		s.state = full.state
	}
}

// feedState is the state that a feed carries to a balancer.
type feedState struct {
	table       *routing.Table
	evacuations *Evacuations // replaced, never modified
	fleet       *Fleet       // replaced, never modified
	needs       *Needs       // replaced, never modified
	speeds      *Speeds      // replaced, never modified
	pins        uint64       // revision of the pins
	revision    uint64       // of the directory
	confirmed   bool
	controllers []Member
}

func (s *feedState) equal(o *feedState) bool {
	return s.table == o.table && s.evacuations == o.evacuations && s.fleet == o.fleet && s.needs == o.needs && s.speeds == o.speeds && s.pins == o.pins && s.revision == o.revision && s.confirmed == o.confirmed && slices.Equal(s.controllers, o.controllers)
}

// feedBase is what an update starts from, as far as its content depends on it.
type feedBase struct {
	table           *routing.Table
	evacuations     *Evacuations
	fleet           *Fleet
	needs           *Needs
	speeds          *Speeds
	pins            uint64
	revision        uint64
	sameControllers bool
}

// feedFrames holds the encoded updates to a state.
type feedFrames struct {
	state  feedState
	frames map[feedBase][]byte
}

// feedFrame returns the frame that takes a subscriber from one state to another,
// or nil if it cannot be encoded.
func (c *Controller) feedFrame(from, to *feedState) []byte {
	if !to.equal(&c.encoded.state) {
		c.encoded = feedFrames{state: *to, frames: make(map[feedBase][]byte)}
	}
	base := feedBase{table: from.table, evacuations: from.evacuations, fleet: from.fleet, needs: from.needs, speeds: from.speeds, pins: from.pins, revision: from.revision, sameControllers: slices.Equal(from.controllers, to.controllers)}
	if frame, ok := c.encoded.frames[base]; ok {
		return frame
	}
	f := FeedUpdate{Confirmed: to.confirmed, Upstreams: c.directory.Since(from.revision)}
	if from.table != to.table {
		d := to.table.Diff(from.table)
		f.Routes = &d
	}
	if !base.sameControllers {
		f.Controllers = to.controllers
	}
	if from.evacuations != to.evacuations {
		f.Evacuations = to.evacuations
	}
	if from.fleet != to.fleet {
		f.Fleet = to.fleet
	}
	if from.needs != to.needs {
		f.Needs = to.needs
	}
	if from.speeds != to.speeds {
		f.Speeds = to.speeds
	}
	if from.pins != to.pins {
		f.Pins = c.pins.since(c.now(), from.pins)
	}
	frame, err := stream.Encode(KindFeedUpdate, f)
	if err != nil {
		c.log.Error("failed to encode feed update", "error", err)
		return nil
	}
	c.cfg.Metrics.FeedUpdates.Inc()
	c.encoded.frames[base] = frame
	return frame
}
