package directory

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// cold returns the record of an announcement during a slow start.
func cold(seq uint64, left time.Duration, owner string) Record {
	r := serving("a", 1, 10, seq)
	r.SlowStart, r.Owner = left, owner
	return r
}

// A balancer that gets the record late must not take the whole slow start for what is
// left of it.
func TestRestOfASlowStartIsExported(t *testing.T) {
	d := newTestDirectory()
	d.Merge(0, cold(1, 10*time.Second, "b-1"))
	d.Tick(4 * time.Second)
	records := d.Since(0)
	must.Eq(t, 6*time.Second, records[0].SlowStart)
	must.Eq(t, "b-1", records[0].Owner)
	d.Tick(11 * time.Second)
	must.Eq(t, 0, d.Since(0)[0].SlowStart)
	// A directory that merges the record later ends the slow start at the same time.
	other := newTestDirectory()
	other.Merge(time.Second, records[0])
	must.Eq(t, 7*time.Second, other.Get("a").ColdUntil)
}

func TestUpstreamThatBecameColdAgainExtendsItsSlowStart(t *testing.T) {
	d := newTestDirectory()
	d.Merge(0, cold(1, 2*time.Second, "b-1"))
	// Renewals report what is left, with the jitter of their way.
	must.False(t, d.Merge(time.Second, cold(2, 1100*time.Millisecond, "b-1")))
	must.Eq(t, 2*time.Second, d.Get("a").ColdUntil)
	before := d.UrgentRevision()
	must.True(t, d.Merge(5*time.Second, cold(3, 2*time.Second, "b-2")))
	must.Eq(t, 7*time.Second, d.Get("a").ColdUntil)
	must.Eq(t, "b-2", d.Get("a").Owner)
	must.Less(t, d.UrgentRevision(), before)
	// A delayed announcement from before changes nothing.
	must.False(t, d.Merge(5*time.Second, cold(2, 10*time.Second, "b-1")))
	must.Eq(t, "b-2", d.Get("a").Owner)
}

// A record that was saved on disk holds what was left of the slow start then. After a
// restart of the controller the upstream itself knows better; without that, balancers
// would take it for cold once more.
func TestLaterAnnouncementEndsARestoredSlowStart(t *testing.T) {
	for _, left := range []time.Duration{0, time.Second} {
		d := newTestDirectory()
		d.Merge(0, cold(1, 10*time.Second, "b-1"))
		must.True(t, d.Merge(time.Second, cold(2, left, "")))
		must.Eq(t, left, d.Since(0)[0].SlowStart)
	}
}

// TestOwnerAndSlowStartDoNotDependOnTheOrderOfMerges checks that controllers which got
// announcements at different times, and chose owners on their own, agree once they have
// exchanged their records: two owners must not last.
func TestOwnerAndSlowStartDoNotDependOnTheOrderOfMerges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lefts := map[uint64]time.Duration{}
		var records []Record
		for range rapid.IntRange(1, 8).Draw(t, "announcements") {
			seq := rapid.Uint64Range(1, 5).Draw(t, "seq")
			if _, ok := lefts[seq]; !ok {
				lefts[seq] = time.Duration(rapid.IntRange(1, 10).Draw(t, "left")) * time.Second
			}
			records = append(records, cold(seq, lefts[seq], rapid.SampledFrom([]string{"b-1", "b-2", "b-3"}).Draw(t, "owner")))
		}
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 0))
		controllers := make([]*Directory, rapid.IntRange(2, 4).Draw(t, "controllers"))
		for i := range controllers {
			controllers[i] = newTestDirectory()
		}
		for _, j := range r.Perm(len(records)) {
			controllers[r.IntN(len(controllers))].Merge(0, records[j])
		}
		for range 2 {
			for _, i := range r.Perm(len(controllers)) {
				for _, to := range r.Perm(len(controllers)) {
					for _, exported := range controllers[i].Since(0) {
						controllers[to].Merge(0, exported)
					}
				}
			}
		}
		latest := Record{}
		for _, record := range records {
			if record.Seq > latest.Seq || record.Seq == latest.Seq && record.Owner > latest.Owner {
				latest = record
			}
		}
		for _, d := range controllers {
			must.Eq(t, latest.Owner, d.Get("a").Owner)
			must.Eq(t, latest.SlowStart, d.Get("a").ColdUntil)
		}
	})
}

// The slow starts of upstreams go on while this process stands still. One that announces
// itself as warm right after the stall, before the stall is noticed, must not become cold
// for as long as the stall took.
func TestStallOfTheProcessExtendsNoSlowStart(t *testing.T) {
	d := newTestDirectory()
	d.Merge(0, cold(1, 2*time.Second, "b-1"))
	d.Merge(10*time.Second, serving("b", 2, 10, 1))
	d.Excuse(10 * time.Second)
	d.Tick(10 * time.Second)
	for _, r := range d.Since(0) {
		must.Zero(t, r.SlowStart, must.Sprint(r.ID))
	}
}
