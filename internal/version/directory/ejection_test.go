package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// newServingDirectory returns a directory of n serving upstreams of one service
// that do not lapse.
func newServingDirectory(n int) *Directory {
	d := New(Config{Retention: retention})
	for i := range n {
		d.Merge(0, serving(fmt.Sprint("i-", i), i, 1, 1))
	}
	return d
}

func (d *Directory) suspect(now time.Duration, id, balancer string) bool {
	r := d.Get(id).Record
	_, changed := d.ReportSuspicion(now, now, r.Tag(), balancer)
	return changed
}

func TestSeveralBalancersEjectAnUpstream(t *testing.T) {
	d := newServingDirectory(6)
	must.False(t, d.suspect(0, "i-1", "a"))
	must.False(t, d.suspect(time.Second, "i-1", "a"))
	before := d.Revision()
	must.True(t, d.suspect(time.Second, "i-1", "b"))
	must.Greater(t, before, d.Revision())
	must.True(t, d.Get("i-1").Ejected)
	must.False(t, d.suspect(time.Second, "i-1", "c"))
}

func TestOldSuspicionsDoNotCount(t *testing.T) {
	d := newServingDirectory(6)
	d.suspect(0, "i-1", "a")
	must.False(t, d.suspect(reportWindow+1, "i-1", "b"))
}

func TestEjectionEnds(t *testing.T) {
	d := newServingDirectory(6)
	d.suspect(0, "i-1", "a")
	d.suspect(0, "i-1", "b")
	d.suspect(time.Second, "i-1", "c")
	must.False(t, d.Tick(ejectionTime+time.Second))
	before := d.Revision()
	d.Tick(ejectionTime + time.Second + 1)
	must.False(t, d.Get("i-1").Ejected)
	must.Greater(t, before, d.Revision())
}

func TestAtMostOneThirdOfUpstreamsIsEjected(t *testing.T) {
	d := newServingDirectory(6)
	for i := range 6 {
		d.suspect(0, fmt.Sprint("i-", i), "a")
		d.suspect(0, fmt.Sprint("i-", i), "b")
	}
	ejected := 0
	for _, e := range d.Entries() {
		if e.Ejected {
			ejected++
		}
	}
	must.Eq(t, 2, ejected)
}

func TestEjectionAppliesToOneIncarnation(t *testing.T) {
	d := newServingDirectory(6)
	d.suspect(0, "i-1", "a")
	d.suspect(0, "i-1", "b")
	d.Merge(0, serving("i-1", 1, 2, 1))
	must.False(t, d.Get("i-1").Ejected)
	// A record from another controller does not carry the ejection over.
	other := serving("i-2", 2, 1, 9)
	other.Ejected = true
	d.Merge(0, other)
	must.False(t, d.Get("i-2").Ejected)
}

func TestSuspicionOfAnUnknownOrEndedUpstreamIsIgnored(t *testing.T) {
	d := newServingDirectory(2)
	d.Withdraw(0, "i-1", d.Get("i-1").StartMillis)
	must.False(t, d.suspect(0, "i-1", "a"))
	must.False(t, d.suspect(0, "i-1", "b"))
	_, changed := d.ReportSuspicion(0, 0, 12345, "a")
	must.False(t, changed)
}

// A report may arrive before the record, from another controller.
func TestSuspicionsOfAnUpstreamCountWhenItsRecordArrives(t *testing.T) {
	d := newServingDirectory(6)
	late := serving("i-late", 50, 1, 1)
	for _, balancer := range []string{"a", "b"} {
		_, changed := d.ReportSuspicion(0, 0, late.Tag(), balancer)
		must.False(t, changed)
	}
	d.Merge(reportWindow, late)
	must.True(t, d.Get("i-late").Ejected)

	later := serving("i-later", 51, 1, 1)
	d.ReportSuspicion(0, 0, later.Tag(), "a")
	d.ReportSuspicion(0, 0, later.Tag(), "b")
	d.Merge(reportWindow+1, later)
	must.False(t, d.Get("i-later").Ejected)
}

// A report that is passed on twice keeps its time.
func TestRepeatedReportDoesNotExtendASuspicion(t *testing.T) {
	d := newServingDirectory(6)
	tag := d.Get("i-1").Tag()
	d.ReportSuspicion(0, 0, tag, "a")
	d.ReportSuspicion(reportWindow, 0, tag, "a")
	must.Len(t, 1, d.Suspicions(reportWindow))
	must.SliceEmpty(t, d.Suspicions(reportWindow+1))
	must.False(t, d.suspect(reportWindow+1, "i-1", "b"))
}

func TestReportsOfUnknownUpstreamsExpire(t *testing.T) {
	d := newServingDirectory(1)
	d.ReportSuspicion(0, 0, 12345, "a")
	d.Tick(reportWindow + 1)
	must.MapEmpty(t, d.reports)
}

// The share of ejected upstreams is bounded by the upstreams that are known.
func TestUpstreamIsEjectedOnceEnoughOthersAreKnown(t *testing.T) {
	d := newServingDirectory(1)
	d.suspect(0, "i-0", "a")
	must.False(t, d.suspect(0, "i-0", "b"))
	d.Merge(0, serving("i-1", 1, 1, 1))
	d.Merge(0, serving("i-2", 2, 1, 1))
	must.True(t, d.Tick(time.Second))
	must.True(t, d.Get("i-0").Ejected)
	d.Tick(ejectionTime + 1)
	must.False(t, d.Get("i-0").Ejected)
}
