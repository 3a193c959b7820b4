package controller

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"heatherport/internal/process/stream"
	"heatherport/internal/result"
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
	c.directory.Withdraw(0, "i-1", 1)
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

// Guards against a paused controller that takes what waited unread for a sign of life: the
// upstream may have withdrawn since, and the others may have forgotten it.
func TestAnnouncementsReadAfterAStallDoNotCount(t *testing.T) {
	c := fedController(t, 1)
	now := time.Hour
	c.clock = func() time.Duration { return now }
	c.noteStall(0)
	record, err := stream.Encode(KindRecords, Records{Number: 1, Records: []directory.Record{announcement(directory.Serving, 1)}})
	must.NoError(t, err)
	_, records, _ := stream.DecodeFrame(record)
	renewal, err := stream.Encode(KindRenewals, Renewals{Tags: []uint32{c.directory.Get("i-0").Tag()}})
	must.NoError(t, err)
	_, renewals, _ := stream.DecodeFrame(renewal)
	before := discardConn(t)
	now += 2 * time.Minute
	for _, noticed := range []bool{false, true} {
		if noticed {
			c.noteStall(now)
			now += stallDrain / 2
		}
		c.handleMessage(before, KindRecords, records)
		c.handleMessage(before, KindRenewals, renewals)
		(<-c.events)()
		(<-c.events)()
		must.Nil(t, c.directory.Get("i-1"))
		must.False(t, before.Send(record), must.Sprint("the link is open"))
		before = discardConn(t)
		if !noticed {
			before = discardConn(t)
		}
	}
	// A link that was set up after the stall carries no old messages.
	after := discardConn(t)
	c.handleMessage(after, KindRecords, records)
	(<-c.events)()
	must.NotNil(t, c.directory.Get("i-1"))
}

// Guards against a paused controller that reads an announcement whose upstream has withdrawn
// elsewhere since.
func TestAnnouncementReadAfterAStallIsRefused(t *testing.T) {
	c := fedController(t, 1)
	c.table = nil
	now := time.Hour
	c.clock = func() time.Duration { return now }
	c.noteStall(0)
	now += 2 * time.Minute
	c.runControl(t)
	_, err := c.Announce(t.Context(), announcement(directory.Serving, 1))
	must.Eq(t, result.NotReady, result.CodeOf(err))
	must.Nil(t, c.directory.Get("i-1"))
}

// Guards against a suspended controller whose clock stood still: what it knew is as old as
// it was suspended.
func TestSuspensionAgesUpstreams(t *testing.T) {
	c := fedController(t, 0)
	c.directory = directory.New(directory.Config{Retention: time.Minute, Forgotten: c.noteForgotten})
	c.directory.Merge(0, announcement(directory.Serving, 1))
	now := time.Hour
	c.clock = func() time.Duration { return now }
	c.noteStall(0)
	now += 2 * time.Minute
	c.noteStall(controlInterval)
	c.lastTick = controlInterval
	c.directory.Tick(controlInterval)
	must.Zero(t, c.directory.Len())
	must.Eq(t, []string{"i-1"}, c.forgotten)
}
