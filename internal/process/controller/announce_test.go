package controller

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"heatherport/internal/result"
	"heatherport/internal/version/directory"
	"heatherport/internal/version/routing"
)

// Guards against upstreams that are lost while a configuration does not list their service:
// their announcements were rejected, so that they counted as gone once the service returned.
func TestUpstreamsOfAServiceThatReturns(t *testing.T) {
	const retention = time.Minute
	c := fedController(t, 0)
	now := time.Duration(0)
	c.directory = directory.New(directory.Config{LapseAfter: time.Second, Retention: retention, EndedRetention: endedRetention})
	c.runControl(t)
	list := func(number uint64, services ...string) {
		table, err := routing.New(number, 0, services, nil)
		must.NoError(t, err)
		c.table = table
	}
	announce := func(state directory.State, seq uint64, id string) error {
		r := announcement(state, seq)
		if r.ID = id; id != "i-1" {
			r.Address = linkAt(7)
		}
		_, err := c.Announce(t.Context(), r)
		return err
	}
	list(3, "permits")
	must.NoError(t, announce(directory.Serving, 1, "i-1"))
	list(8, "sheets")
	must.NoError(t, announce(directory.Serving, 2, "i-1"))
	must.Eq(t, result.BadAnnouncement, result.CodeOf(announce(directory.Serving, 2, "i-2")))

	// Also without any announcement for longer than the retention it is not gone.
	now += 2 * retention
	c.directory.Tick(now)
	must.Nil(t, c.directory.Get("i-1"))
	list(13, "permits")
	must.NoError(t, announce(directory.Serving, 3, "i-1"))
	must.NoError(t, announce(directory.Serving, 3, "i-2"))
	must.Eq(t, directory.Serving, c.directory.Get("i-1").State)

	// An upstream that leaves meanwhile is told that this is known.
	list(14, "sheets")
	must.NoError(t, announce(directory.Leaving, 4, "i-1"))
	must.Eq(t, directory.Leaving, c.directory.Get("i-1").State)
}
