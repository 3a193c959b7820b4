package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// servingDirectory returns the directory of a controller with n upstreams.
func servingDirectory(n int) *Directory {
	d := newTestDirectory()
	for i := range n {
		d.Merge(0, serving(fmt.Sprint("i-", i), i, 1, 1))
	}
	return d
}

// exchange gives each of two directories what the other one holds, as a link does.
func exchange(now time.Duration, a, b *Directory) {
	a.Tick(now)
	b.Tick(now)
	_, inA := a.Differing(b.Digests())
	_, inB := b.Differing(a.Digests())
	fromA, fromB := a.InBuckets(inA, a.Revision()), b.InBuckets(inB, b.Revision())
	for _, r := range fromB {
		a.Merge(now, r)
	}
	for _, r := range fromA {
		b.Merge(now, r)
	}
}

// Guards against a controller that was cut off for longer than the retention and ends all
// upstreams for everyone when it is joined again.
func TestSilenceAtOneControllerEndsNothing(t *testing.T) {
	for _, cut := range []time.Duration{lapseAfter, retention - 1, retention + time.Second, 10 * retention} {
		cutOff, inTouch := servingDirectory(5), servingDirectory(5)
		now := time.Duration(0)
		for seq := uint64(2); now < cut; seq++ {
			now += time.Second
			for i := range 5 {
				_, err := inTouch.Announce(now, serving(fmt.Sprint("i-", i), i, 1, seq))
				must.NoError(t, err)
			}
			cutOff.Tick(now)
			inTouch.Tick(now)
		}
		exchange(now, cutOff, inTouch)
		for i := range 5 {
			for _, d := range []*Directory{cutOff, inTouch} {
				e := d.Get(fmt.Sprint("i-", i))
				must.NotNil(t, e, must.Sprint(cut))
				must.Eq(t, Serving, e.State, must.Sprint(cut))
			}
		}
	}
}

// Guards against a record that brings an upstream back which has withdrawn: from a process
// that was cut off or paused meanwhile, from its disk, or delayed on its way.
func TestWithdrawnUpstreamDoesNotComeBack(t *testing.T) {
	for _, absence := range []time.Duration{time.Second, retention - time.Second, retention + time.Second, endedRetention, 10 * endedRetention} {
		now := absence
		withdrawn := func() *Directory {
			d := servingDirectory(1)
			must.True(t, d.Withdraw(time.Millisecond, "i-0", d.Get("i-0").StartMillis))
			d.Tick(now)
			return d
		}
		isServing := func(d *Directory) bool { e := d.Get("i-0"); return e != nil && e.State != Gone }

		cutOff := servingDirectory(1)
		others := withdrawn()
		exchange(now, cutOff, others)
		must.False(t, isServing(cutOff), must.Sprint("cut off for ", absence))
		must.False(t, isServing(others), must.Sprint("cut off for ", absence))

		suspended := servingDirectory(1) // its clock stood still
		suspended.Age(absence)
		suspended.Excuse(absence)
		exchange(0, suspended, withdrawn())
		must.False(t, isServing(suspended), must.Sprint("suspended for ", absence))

		before := servingDirectory(1)
		saved := before.Since(0)[0]
		saved.SilentMillis += uint32(absence.Milliseconds())
		restarted := newTestDirectory()
		restarted.Restore(0, saved)
		exchange(0, restarted, withdrawn())
		must.False(t, isServing(restarted), must.Sprint("down for ", absence))

		if absence < endedRetention {
			others = withdrawn()
			_, err := others.Announce(now, serving("i-0", 0, 1, 99))
			must.NoError(t, err)
			must.False(t, isServing(others), must.Sprint("announcement delayed by ", absence))
		}
	}
}

// Guards against a process that was paused for longer than ends are known and keeps using an
// upstream because the record of its end, or of its successor, is too old to be taken.
func TestOldEndStillEndsWhatIsKnown(t *testing.T) {
	for _, successor := range []bool{false, true} {
		d := servingDirectory(2)
		r := serving("i-0", 0, 1, 1)
		r.State = Gone
		if successor {
			r = serving("i-0", 0, 2, 1)
		}
		r.SilentMillis = uint32(2 * endedRetention.Milliseconds())
		must.True(t, d.Merge(0, r))
		must.Eq(t, Gone, d.Get("i-0").State)
		must.False(t, d.Merge(0, r))
		// An old record of what is known says nothing new.
		same := serving("i-1", 1, 1, 9)
		same.SilentMillis = r.SilentMillis
		must.False(t, d.Merge(0, same))
		must.Eq(t, Serving, d.Get("i-1").State)
	}
}

// Guards against an end that is passed on in circles: it counts from the end, not from the
// time at which each process learned of it.
func TestEndsAreForgottenEverywhere(t *testing.T) {
	a, b := servingDirectory(1), servingDirectory(1)
	a.Withdraw(0, "i-0", a.Get("i-0").StartMillis)
	for now := time.Duration(0); now < 2*endedRetention; now += endedRetention / 4 {
		exchange(now, a, b)
	}
	must.Zero(t, a.Len())
	must.Zero(t, b.Len())
}

// A record of a silent upstream must not make it look alive where it arrives.
func TestReceivedRecordKeepsItsAge(t *testing.T) {
	from, to := servingDirectory(1), newTestDirectory()
	from.Tick(2 * lapseAfter)
	to.Merge(2*lapseAfter, from.Since(0)[0])
	to.Tick(2*lapseAfter + 1)
	must.True(t, to.Get("i-0").Lapsed)
	restored := newTestDirectory()
	restored.Restore(0, from.Since(0)[0])
	restored.Tick(lapseAfter)
	must.False(t, restored.Get("i-0").Lapsed)
}

// controllerGroup plays controllers of which some are cut off, suspended or restarted for
// shorter or longer than each of the retentions.
type controllerGroup struct {
	now     time.Duration
	members []*Directory
	cut     []bool
	alive   map[string]Record // upstreams that live
	ended   map[string]int64  // start of incarnations that withdrew
}

func (g *controllerGroup) cutOff() (n int) {
	for _, c := range g.cut {
		if c {
			n++
		}
	}
	return n
}

// advance lets time pass: upstreams announce themselves to the controllers that they reach,
// which tell each other.
func (g *controllerGroup) advance(by time.Duration) {
	for end := g.now + by; g.now < end; {
		g.now += lapseAfter / 3
		for id, r := range g.alive {
			r.Seq++
			g.alive[id] = r
		}
		for i, d := range g.members {
			if g.cut[i] {
				d.Tick(g.now)
				continue
			}
			for _, r := range g.alive {
				d.Announce(g.now, r)
			}
			d.Tick(g.now)
		}
	}
}

func (g *controllerGroup) join() {
	for i := range g.cut {
		g.cut[i] = false
	}
	for range 2 { // what the first learned last reaches all
		for i, a := range g.members {
			for _, b := range g.members[i+1:] {
				exchange(g.now, a, b)
			}
		}
	}
}

// Cuts, restarts and withdrawals in series, of one controller or half of them: after the
// controllers are joined, all know the upstreams that live and none that withdrew.
func TestBeliefsAfterCutsOfAnyLength(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &controllerGroup{alive: make(map[string]Record), ended: make(map[string]int64), cut: make([]bool, 4)}
		for range g.cut {
			g.members = append(g.members, newTestDirectory())
		}
		for i := range 3 {
			r := serving(fmt.Sprint("i-", i), i, 1, 1)
			g.alive[r.ID] = r
		}
		g.advance(lapseAfter)
		lengths := []time.Duration{time.Second, lapseAfter + time.Second, retention - time.Second, retention + time.Second, endedRetention + time.Minute}
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			member := rapid.IntRange(0, len(g.members)-1).Draw(t, "controller")
			id := fmt.Sprint("i-", rapid.IntRange(0, 2).Draw(t, "upstream"))
			switch rapid.SampledFrom([]string{"cut", "join", "withdraw", "start", "restart"}).Draw(t, "event") {
			case "cut":
				if g.cutOff() < len(g.members)/2 {
					g.cut[member] = true
				}
			case "join":
				g.join()
			case "withdraw":
				r, lives := g.alive[id]
				if !lives {
					break
				}
				delete(g.alive, id)
				g.ended[id] = r.StartMillis
				for i, d := range g.members {
					if !g.cut[i] {
						d.Withdraw(g.now, id, r.StartMillis)
					}
				}
			case "start":
				if _, lives := g.alive[id]; !lives {
					g.alive[id] = serving(id, int(id[2]-'0'), g.ended[id]+1, 1)
				}
			case "restart":
				saved := g.members[member].Since(0)
				g.members[member] = newTestDirectory()
				down := rapid.SampledFrom(lengths[:4]).Draw(t, "down")
				g.cut[member] = true
				g.advance(down)
				for _, r := range saved {
					r.SilentMillis += uint32(down.Milliseconds())
					g.members[member].Restore(g.now, r)
				}
				g.join()
			}
			g.advance(rapid.SampledFrom(lengths).Draw(t, "time"))
		}
		g.join()
		for i, d := range g.members {
			for id, r := range g.alive {
				e := d.Get(id)
				must.NotNil(t, e, must.Sprint(id, " at controller ", i))
				must.Eq(t, Serving, e.State)
				must.Eq(t, r.StartMillis, e.StartMillis)
			}
			for id, start := range g.ended {
				if e := d.Get(id); e != nil && e.StartMillis == start {
					must.Eq(t, Gone, e.State, must.Sprint(id, " at controller ", i))
				}
			}
		}
	})
}
