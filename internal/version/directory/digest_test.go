package directory

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func TestEqualDirectoriesDifferInNothing(t *testing.T) {
	a, b := newServingDirectory(200), newServingDirectory(200)
	b.Announce(0, serving("i-3", 3, 1, 9)) // renewals do not count
	must.Eq(t, a.Digests(), b.Digests())
	records, buckets := b.Differing(a.Digests())
	must.SliceEmpty(t, records)
	must.SliceEmpty(t, buckets)
	records, buckets = b.Differing(nil)
	must.Len(t, 200, records)
	must.Len(t, DigestBuckets, buckets)
}

func TestEndedUpstreamsAreSentToThoseThatKnowThem(t *testing.T) {
	a, b := newServingDirectory(50), newServingDirectory(50)
	b.Withdraw(0, "i-3", b.Get("i-3").StartMillis)
	found := false
	records, _ := b.Differing(a.Digests())
	for _, r := range records {
		found = found || r.ID == "i-3" && r.State == Gone
	}
	must.True(t, found)
}

func TestLapsedAndEjectedUpstreamsAlwaysDiffer(t *testing.T) {
	d := newServingDirectory(50)
	d.setLapsed(d.Get("i-1"), true)
	d.setEjected(d.Get("i-2"), true)
	records, _ := d.Differing(d.Digests())
	must.Len(t, 2, records)
}

// TestDifferingRecordsMakeDirectoriesEqual checks that a directory which merges
// what differs holds the same upstreams as the other one.
func TestDifferingRecordsMakeDirectoriesEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := New(Config{Retention: retention}), New(Config{Retention: retention})
		for i := range rapid.IntRange(0, 60).Draw(t, "upstreams") {
			r := serving(fmt.Sprint("i-", i), i, 1, 1)
			if rapid.Bool().Draw(t, "known") {
				to.Merge(0, r)
			}
			r.StartMillis += int64(rapid.IntRange(0, 1).Draw(t, "restarted"))
			r.State = State(rapid.IntRange(int(Serving), int(Gone)).Draw(t, "state"))
			from.Merge(0, r)
		}
		records, buckets := from.Differing(to.Digests())
		for _, r := range records {
			to.Merge(0, r)
		}
		must.SliceEmpty(t, to.Missing(buckets, records))
		must.Eq(t, from.Digests(), to.Digests())
	})
}

// A directory that was cut off for longer than the retention knows upstreams
// that all others have forgotten.
func TestForgottenUpstreamIsMissing(t *testing.T) {
	a, b := newServingDirectory(50), newServingDirectory(50)
	b.Withdraw(0, "i-3", b.Get("i-3").StartMillis)
	for i := range 50 {
		b.Confirm(retention, fmt.Sprint("i-", i))
	}
	b.Tick(retention + 1)
	records, buckets := b.Differing(a.Digests())
	must.Eq(t, []string{"i-3"}, a.Missing(buckets, records))
}

// The tags of two incarnations of an upstream may fall into different buckets.
func TestEndOfALaterIncarnationIsSent(t *testing.T) {
	for i := range 20 {
		a, b := newServingDirectory(1), New(Config{Retention: retention})
		r := serving("i-0", 0, int64(2+i), 1)
		r.State = Gone
		b.Merge(0, r)
		records, _ := b.Differing(a.Digests())
		must.Len(t, 1, records)
	}
}
