package controller

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"heatherport/internal/process/stream"
	"heatherport/internal/version/directory"
)

// TestSuspicionsReadAfterAStallDoNotCount replays a controller that stood still
// while balancers reported suspicions.
func TestSuspicionsReadAfterAStallDoNotCount(t *testing.T) {
	for _, stalled := range []bool{false, true} {
		c := fedController(t, 6)
		now := time.Hour
		c.clock = func() time.Duration { return now }
		c.stall.Tick(now)
		if stalled {
			now += 10 * time.Second
		}
		tag := (&directory.Record{ID: "i-1", StartMillis: 1}).Tag()
		n := 0
		for conn := range c.subscribers {
			if n++; n > 2 {
				break
			}
			c.handleSuspicions(conn, SuspicionReport{Tags: []uint32{tag}})
		}
		must.Eq(t, !stalled, c.directory.Get("i-1").Ejected)
	}
}

// TestEjectionsAreFedTogether replays many ejections in a short time: balancers
// with little processor must not be sent an update for each.
func TestEjectionsAreFedTogether(t *testing.T) {
	c := fedController(t, 300)
	c.lastFeedTime = -feedInterval
	c.feedAll()
	before := c.encodedUpdates()
	for i := range 90 {
		c.lastFeedTime = c.now() + time.Hour // no interval has passed
		tag := (&directory.Record{ID: c.directory.Entries()[i].ID, StartMillis: 1}).Tag()
		for _, balancer := range []string{"a", "b"} {
			c.directory.ReportSuspicion(c.now(), c.now(), tag, balancer)
		}
		c.feedAll()
	}
	must.Eq(t, before, c.encodedUpdates())
	c.lastFeedTime = c.now() - feedInterval
	c.feedAll()
	must.Eq(t, before+1, c.encodedUpdates())
}

// TestChangesOfStateAreFedWithinTheShortInterval checks that an upstream that
// leaves is not held back like an ejection.
func TestChangesOfStateAreFedWithinTheShortInterval(t *testing.T) {
	c := fedController(t, 6)
	c.lastFeedTime = -feedInterval
	c.feedAll()
	before := c.encodedUpdates()
	c.directory.Withdraw(0, "i-1")
	c.lastFeedTime -= urgentFeedInterval
	c.feedAll()
	must.Eq(t, before+1, c.encodedUpdates())
	var some *stream.Conn
	for conn := range c.subscribers {
		some = conn
	}
	must.Eq(t, c.directory.Revision(), c.subscribers[some].state.revision)
}

// A controller that stood still holds a state that others have changed since. It must
// not confirm it to a starting balancer before it has read what arrived meanwhile.
func TestStateIsNotConfirmedAfterAStall(t *testing.T) {
	c := fedController(t, 0)
	c.confirmed = true
	now := time.Hour
	c.clock = func() time.Duration { return now }
	c.stall.Tick(now)
	c.lastFeedTime = -feedInterval
	c.feedAll()
	must.True(t, c.lastFed.confirmed)
	now += stallLimit + 1
	c.lastFeedTime -= urgentFeedInterval
	c.feedAll()
	must.False(t, c.lastFed.confirmed)
	c.stall.Tick(now)
	now += stallDrain
	c.lastFeedTime -= urgentFeedInterval
	c.feedAll()
	must.True(t, c.lastFed.confirmed)
}
