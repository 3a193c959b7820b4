package controller

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"

	"heatherport/internal/result"
	"heatherport/internal/version/directory"
	"heatherport/internal/version/vfs"
)

// runControl handles the posted events until the test ends.
func (c *Controller) runControl(t *testing.T) {
	go func() {
		for {
			select {
			case <-t.Context().Done():
				return
			case event := <-c.events:
				event()
			}
		}
	}()
}

// A withdrawal names no incarnation. One that a controller reads after it stood still
// may end an incarnation that started since: its sender has called another controller,
// exited and started again under the same identifier.
func TestWithdrawalReadAfterAStallIsRefused(t *testing.T) {
	c := fedController(t, 2)
	now := time.Hour
	c.clock = func() time.Duration { return now }
	c.stall.Tick(now)
	now += stallLimit + 1
	c.runControl(t)
	must.Eq(t, result.NotReady, result.CodeOf(c.Withdraw(t.Context(), "i-1")))
	must.Eq(t, directory.Serving, c.directory.Get("i-1").State)
}

// The caller of a withdrawal that waited for the control goroutine may have given up
// and called another controller.
func TestWithdrawalOfACallerThatGaveUpIsDropped(t *testing.T) {
	c := fedController(t, 2)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- c.Withdraw(ctx, "i-1") }()
	event := <-c.events
	cancel()
	must.Error(t, <-done)
	event()
	must.Eq(t, directory.Serving, c.directory.Get("i-1").State)
}

// Other controllers forget upstreams that have ended after the retention. A controller
// that was down for longer must not bring them back from its disk.
func TestSavedUpstreamsOlderThanTheRetentionAreNotUsed(t *testing.T) {
	const retention = time.Minute
	for _, age := range []time.Duration{0, retention / 2, 2 * retention} {
		dir := t.TempDir()
		s := newHintStore[directory.Record](vfs.Dir, dir, upstreamsFile, retention, hclog.NewNullLogger())
		folder, err := vfs.Dir(dir)
		must.NoError(t, err)
		data, err := cbor.Marshal(savedEntries[directory.Record]{
			AtMillis: time.Now().Add(-age).UnixMilli(), Entries: []directory.Record{announcement(directory.Serving, 1)},
		})
		must.NoError(t, err)
		must.NoError(t, replaceFile(folder, upstreamsFile, data))
		c := restoringController(t, s, retention)
		must.Eq(t, age < retention, c.directory.Len() == 1, must.Sprint(age))
	}
}

// restoringController returns a controller that has read its saved upstreams.
func restoringController(t *testing.T, s *hintStore[directory.Record], retention time.Duration) *Controller {
	c := fedController(t, 0)
	c.upstreams = s
	c.directory = directory.New(directory.Config{LapseAfter: time.Second, Retention: retention, EndedRetention: endedRetention})
	c.restoreUpstreams()
	return c
}

// Guards against a controller that forgets during a restart what has ended: a delayed
// announcement would bring the upstream back.
func TestEndsSurviveARestart(t *testing.T) {
	const retention = time.Minute
	s := newHintStore[directory.Record](vfs.Dir, t.TempDir(), upstreamsFile, retention, hclog.NewNullLogger())
	ended, silent := announcement(directory.Gone, 1), announcement(directory.Serving, 1)
	silent.ID, silent.Address = "i-2", netip.MustParseAddrPort("192.0.2.10:80")
	ended.SilentMillis, silent.SilentMillis = uint32(2*retention.Milliseconds()), uint32(2*retention.Milliseconds())
	must.NoError(t, s.write([]directory.Record{ended, silent}))
	c := restoringController(t, s, retention)
	must.Eq(t, directory.Gone, c.directory.Get(ended.ID).State)
	must.Nil(t, c.directory.Get(silent.ID))
	must.False(t, c.directory.Merge(c.now(), announcement(directory.Serving, 99)))
}

// Guards against a saved directory that is lost for one record that cannot be read.
func TestUnreadableSavedRecordLeavesTheOthers(t *testing.T) {
	dir := t.TempDir()
	s := newHintStore[directory.Record](vfs.Dir, dir, upstreamsFile, time.Minute, hclog.NewNullLogger())
	odd := announcement(directory.Serving, 1)
	odd.Service = "\xff"
	must.NoError(t, s.write([]directory.Record{odd, announcement(directory.Serving, 1)}))
	records, _ := s.load()
	must.Eq(t, []directory.Record{announcement(directory.Serving, 1)}, records)
}

// Without changes the saved state is written again, so that it does not count as old.
func TestUnchangedStateIsSavedAgainWithinTheRetention(t *testing.T) {
	s := newHintStore[int](vfs.Dir, t.TempDir(), upstreamsFile, time.Minute/2, hclog.NewNullLogger())
	saves := 0
	for now := 2 * time.Second; now < 2*time.Minute; now += controlInterval {
		s.save(now, 7, func() []int {
			saves++
			return nil
		})
		select {
		case <-s.queue:
		default:
		}
	}
	must.Between(t, 3, saves, 5)
}

// Guards against a withdrawal that a partition held up and that ends the next incarnation
// under the same identifier for good.
func TestLateWithdrawalEndsNoLaterIncarnation(t *testing.T) {
	c := fedController(t, 0)
	c.table = nil
	c.runControl(t)
	connect := func() context.Context { return WithCallConn(t.Context(), nil) }
	announce := func(conn context.Context, start int64) {
		r := announcement(directory.Serving, 1)
		r.StartMillis = start
		_, err := c.Announce(conn, r)
		must.NoError(t, err)
	}
	state := func() directory.State { return c.directory.Get("i-1").State }
	withAnnouncement, without := connect(), connect()
	announce(withAnnouncement, 10)
	announce(connect(), 20)

	must.NoError(t, c.Withdraw(withAnnouncement, "i-1"))
	must.Eq(t, directory.Serving, state())
	must.Eq(t, result.NotReady, result.CodeOf(c.Withdraw(without, "i-1")))
	must.Eq(t, directory.Serving, state())

	// The incarnation itself withdraws on a connection of its own, old or new.
	announce(without, 20)
	must.NoError(t, c.Withdraw(without, "i-1"))
	must.Eq(t, directory.Gone, state())
	announce(connect(), 30)
	must.NoError(t, c.Withdraw(connect(), "i-1"))
	must.Eq(t, directory.Gone, state())
	must.Eq(t, 30, c.directory.Get("i-1").StartMillis)
}

// A controller that has not heard of the next incarnation yet ends the one that it knows, and
// nothing else where the next one is known.
func TestWithdrawalAtAControllerThatIsBehind(t *testing.T) {
	behind, ahead := fedController(t, 0), fedController(t, 0)
	old, next := announcement(directory.Serving, 1), announcement(directory.Serving, 1)
	next.StartMillis++
	behind.directory.Merge(0, old)
	ahead.directory.Merge(0, next)
	ended, err := behind.withdraw(callConnOf(WithCallConn(t.Context(), nil)), old.ID)
	must.NoError(t, err)
	must.True(t, ended)
	for _, r := range behind.directory.Since(0) {
		ahead.directory.Merge(0, r)
	}
	must.Eq(t, directory.Serving, ahead.directory.Get(old.ID).State)
	for _, r := range ahead.directory.Since(0) {
		behind.directory.Merge(0, r)
	}
	must.Eq(t, directory.Serving, behind.directory.Get(old.ID).State)
}

// What is remembered of a connection is bounded.
func TestConnectionOfManyUpstreams(t *testing.T) {
	conn := callConnOf(WithCallConn(t.Context(), nil))
	for i := range 2 * maxAnnounced {
		conn.note(fmt.Sprint("i-", i), 1)
	}
	conn.note("i-0", 2)
	must.MapLen(t, maxAnnounced, conn.announced)
	start, _ := conn.incarnation("i-0")
	must.Eq(t, 2, start)
}
