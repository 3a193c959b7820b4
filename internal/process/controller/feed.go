package controller

import (
	"slices"

	"heatherport/internal/process/stream"
	"heatherport/internal/version/routing"
)

// subscriber is a balancer that this controller feeds, with the state that was
// last sent to it.
type subscriber struct {
	Subscribe
	started     bool
	revision    uint64
	table       *routing.Table
	confirmed   bool
	controllers []Member
}

func (c *Controller) subscribe(conn *stream.Conn, s Subscribe) {
	c.log.Info("balancer subscribed", "balancer", s.Name, "domain", s.Domain)
	c.subscribers[conn] = &subscriber{Subscribe: s}
}

func (c *Controller) removeSubscriber(conn *stream.Conn, cause error) {
	c.post(func() {
		if s := c.subscribers[conn]; s != nil {
			c.log.Info("balancer disconnected", "balancer", s.Name, "cause", cause)
			delete(c.subscribers, conn)
		}
	})
}

// feedAll sends each subscriber the changes since its last update.
func (c *Controller) feedAll() {
	if len(c.subscribers) == 0 {
		return
	}
	confirmed := c.consensus.Status().Leader != ""
	known := append(c.peers.members(peerMaxAge), c.member())
	for conn, s := range c.subscribers {
		f := FeedUpdate{Confirmed: confirmed}
		changed := !s.started || s.confirmed != confirmed
		if s.table != c.table {
			d := c.table.Diff(s.table)
			f.Routes = &d
			changed = true
		}
		if f.Upstreams = c.directory.Since(s.revision); len(f.Upstreams) > 0 {
			changed = true
		}
		if !slices.Equal(s.controllers, known) {
			f.Controllers = known
			changed = true
		}
		if !changed {
			continue
		}
		s.started, s.confirmed, s.table, s.revision, s.controllers = true, confirmed, c.table, c.directory.Revision(), known
		c.reply(conn, KindFeedUpdate, f)
	}
}
