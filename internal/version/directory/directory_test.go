package directory

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"heatherport/internal/result"
)

const (
	lapseAfter     = 3 * time.Second
	retention      = time.Minute
	endedRetention = 15 * time.Minute
)

func newTestDirectory() *Directory {
	return New(Config{LapseAfter: lapseAfter, Retention: retention, EndedRetention: endedRetention})
}

func at(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(n)}), 8080)
}

func serving(id string, address int, start int64, seq uint64) Record {
	return Record{ID: id, Service: "permits", Address: at(address), State: Serving, Slots: 2, StartMillis: start, Seq: seq}
}

func TestLateAnnouncementChangesNothing(t *testing.T) {
	d := newTestDirectory()
	must.True(t, d.Merge(0, serving("a", 1, 10, 5)))
	must.False(t, d.Merge(0, serving("a", 1, 10, 4)))
	must.False(t, d.Merge(0, serving("a", 1, 9, 90)))
	must.Eq(t, 5, d.Get("a").Seq)
	must.False(t, d.Merge(time.Second, serving("a", 1, 10, 6)))
	must.Eq(t, time.Second, d.Get("a").LastUpdate)
}

func TestLeavingIsFinalWithinAnIncarnation(t *testing.T) {
	d := newTestDirectory()
	d.Merge(0, serving("a", 1, 10, 1))
	leaving := serving("a", 1, 10, 2)
	leaving.State = Leaving
	must.True(t, d.Merge(0, leaving))
	must.False(t, d.Merge(0, serving("a", 1, 10, 3)))
	must.Eq(t, Leaving, d.Get("a").State)
	must.True(t, d.Withdraw(0, "a", d.Get("a").StartMillis))
	must.False(t, d.Withdraw(0, "a", d.Get("a").StartMillis))
	leaving.Seq = 9
	must.False(t, d.Merge(0, leaving))
	must.Eq(t, Gone, d.Get("a").State)
	must.True(t, d.Merge(0, serving("a", 1, 11, 1)))
	must.Eq(t, Serving, d.Get("a").State)
}

func TestLaterIncarnationTakesTheAddress(t *testing.T) {
	d := newTestDirectory()
	d.Merge(0, serving("a", 1, 10, 1))
	d.Merge(0, serving("b", 1, 20, 1))
	must.Eq(t, Gone, d.Get("a").State)
	must.Eq(t, Serving, d.Get("b").State)
	// A delayed announcement arrives after its sender has ended, and after the
	// successor of its sender has ended too.
	d.Withdraw(0, "b", d.Get("b").StartMillis)
	d.Merge(0, serving("c", 1, 15, 7))
	must.Eq(t, Gone, d.Get("c").State)
}

func TestAnnouncementMayNotMoveAnIncarnation(t *testing.T) {
	d := newTestDirectory()
	_, err := d.Announce(0, serving("a", 1, 10, 1))
	must.NoError(t, err)
	_, err = d.Announce(0, serving("a", 2, 10, 2))
	must.Eq(t, result.IncarnationConflict, result.CodeOf(err))
	other := serving("a", 1, 10, 2)
	other.Service = "sheets"
	_, err = d.Announce(0, other)
	must.Eq(t, result.IncarnationConflict, result.CodeOf(err))
	_, err = d.Announce(0, serving("a", 2, 11, 1))
	must.NoError(t, err)
}

func TestUpstreamsWithoutAnnouncementsLapseUntilNextAnnouncement(t *testing.T) {
	d := newTestDirectory()
	d.Merge(0, serving("a", 1, 10, 1))
	must.False(t, d.Tick(lapseAfter))
	must.True(t, d.Tick(lapseAfter+1))
	must.True(t, d.Get("a").Lapsed)
	must.True(t, d.Renew(lapseAfter+2, []uint32{d.Get("a").Tag()}))
	must.False(t, d.Get("a").Lapsed)
	d.Tick(2*lapseAfter + 3)
	must.True(t, d.Get("a").Lapsed)
	must.True(t, d.Merge(2*lapseAfter+4, serving("a", 1, 10, 2)))
	must.False(t, d.Get("a").Lapsed)
	silent := 2*lapseAfter + 4 + retention
	d.Tick(silent)
	must.Eq(t, Serving, d.Get("a").State)
	d.Tick(silent + 1)
	must.Eq(t, 0, d.Len())
	must.True(t, d.Merge(silent+2, serving("a", 1, 10, 3)))
	must.Eq(t, Serving, d.Get("a").State)
}

func TestSinceReturnsChanges(t *testing.T) {
	d := newTestDirectory()
	d.Merge(0, serving("a", 1, 10, 1))
	rev := d.Revision()
	must.Nil(t, d.Since(rev))
	d.Merge(0, serving("b", 2, 10, 1))
	must.Len(t, 1, d.Since(rev))
	must.Len(t, 2, d.Since(0))
}

// TestMergeOrderDoesNotMatter merges the same records in two orders.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []Record
		for range rapid.IntRange(1, 12).Draw(t, "records") {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			// Start times differ between identifiers, as those of real clocks do.
			start := int64(rapid.IntRange(1, 4).Draw(t, "born"))*10 + int64(id[0])
			r := serving(id, int(start)%2+1, start, rapid.Uint64Range(1, 5).Draw(t, "seq"))
			r.State = State(rapid.IntRange(1, 3).Draw(t, "state"))
			records = append(records, r)
		}
		ordered, reordered := newTestDirectory(), newTestDirectory()
		for _, r := range records {
			ordered.Merge(0, r)
		}
		shuffled := append([]Record(nil), records...)
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 0))
		r.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		for _, r := range shuffled {
			reordered.Merge(0, r)
		}
		// A replaced record may already have been removed when another one
		// arrives at its address. The state and start of each known upstream must
		// be the same.
		for _, id := range []string{"a", "b", "c"} {
			e, f := ordered.Get(id), reordered.Get(id)
			must.Eq(t, e == nil, f == nil)
			if e != nil {
				must.Eq(t, e.StartMillis, f.StartMillis, must.Sprint(id))
				must.Eq(t, e.State, f.State, must.Sprint(id))
			}
		}
	})
}

func TestTagsDifferByIncarnation(t *testing.T) {
	a, b := serving("a", 1, 10, 1), serving("a", 1, 11, 1)
	must.NotEq(t, a.Tag(), b.Tag())
	c := serving("a", 9, 10, 8)
	must.Eq(t, a.Tag(), c.Tag())
}

// Since must not visit the entries that have not changed.
func TestSinceReturnsChangesOnly(t *testing.T) {
	d := newServingDirectory(100)
	before := d.Revision()
	must.SliceEmpty(t, d.Since(before))
	d.Withdraw(0, "i-7", d.Get("i-7").StartMillis)
	d.Withdraw(0, "i-3", d.Get("i-3").StartMillis)
	changed := d.Since(before)
	must.Len(t, 2, changed)
	must.Eq(t, "i-3", changed[0].ID)
	must.Eq(t, "i-7", changed[1].ID)
	must.Len(t, 100, d.Since(0))
	for _, e := range d.Entries() {
		d.Confirm(retention, e.ID)
	}
	d.Tick(retention + 1)
	must.Len(t, 98, d.Since(0))
	must.Eq(t, 98, len(d.byTag))
}

func TestOnlyChangesOfStateAreUrgent(t *testing.T) {
	d := newServingDirectory(6)
	d.lapseAll(t)
	urgent := d.UrgentRevision()
	must.Less(t, d.Revision(), urgent)
	d.suspect(0, "i-1", "a")
	d.suspect(0, "i-1", "b")
	must.Eq(t, urgent, d.UrgentRevision())
	d.Withdraw(0, "i-2", d.Get("i-2").StartMillis)
	must.Eq(t, d.Revision(), d.UrgentRevision())
}

// lapseAll marks all upstreams as lapsed.
func (d *Directory) lapseAll(t *testing.T) {
	for _, e := range d.Entries() {
		must.True(t, d.setLapsed(e, true))
	}
}

// A process that stood still read no announcements meanwhile.
func TestStallOfTheProcessLapsesNoUpstream(t *testing.T) {
	d := newTestDirectory()
	d.Merge(0, serving("a", 1, 10, 5))
	d.Excuse(10 * time.Second)
	must.False(t, d.Tick(10*time.Second+lapseAfter))
	must.True(t, d.Tick(10*time.Second+lapseAfter+1))
}
