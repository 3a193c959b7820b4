package fleet

import (
	"encoding/json"
	"net/http"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"heatherport/internal/process/app"
	"heatherport/internal/process/metrics"
	"heatherport/internal/result"
	"heatherport/internal/standin"
)

// missedSheets is the number of changes that a VM misses.
const missedSheets = 300

// others returns the positions of all VMs but the given ones.
func others(without ...int) []int {
	var out []int
	for i := range VMs {
		if !slices.Contains(without, i) {
			out = append(out, i)
		}
	}
	return out
}

// health reads /readyz of VM i.
func (f *testFleet) health(i int) metrics.Health {
	f.t.Helper()
	r, err := http.Get("http://" + f.settings[i].Metrics.Listen.String() + "/readyz")
	must.NoError(f.t, err)
	defer r.Body.Close()
	var h metrics.Health
	must.NoError(f.t, json.NewDecoder(r.Body).Decode(&h))
	return h
}

// waitSheet waits until the given VMs hold sheet number.
func (f *testFleet) waitSheet(number uint64, vms ...int) {
	f.t.Helper()
	f.until("sheet in force", func() bool {
		for _, i := range vms {
			v := f.App(i).Controller.Version()
			if v == nil || v.Sheet.Number != number {
				return false
			}
		}
		return true
	})
}

// checkCutOff checks that VM i, cut off while sheet old was in force, says so,
// goes on with it and answers no linearizable read.
func (f *testFleet) checkCutOff(i int, old uint64) {
	f.t.Helper()
	f.until("cut-off noticed", func() bool { return f.health(i).CutOff })
	must.Eq(f.t, old, f.health(i).SheetNumber)
	_, err := f.OperatorAt(i).Sheet(f.ctx)
	must.Eq(f.t, result.NoLeader, result.CodeOf(err))
	s, err := f.OperatorAt(i).Status(f.ctx)
	must.NoError(f.t, err)
	must.True(f.t, s.Stale)
	must.Eq(f.t, old, s.SheetNumber)
}

// cutVoter cuts a voter off while a sheet is accepted, and checks that its
// return ends no leader's term.
func cutVoter(t *testing.T, choose func(leader int) int) {
	f := newTestFleet(t)
	f.submit(1, 0, others()...)
	f.waitSheet(1, others()...)
	i := choose(f.waitLeader(0, 1, 2))
	rest := others(i)
	f.cut(isolate(f.Name(i)))
	f.submit(2, 0, rest...)
	f.waitSheet(2, rest...)
	f.checkCutOff(i, 1)
	f.submit(3, 0, rest...)
	leader := f.waitLeader(rest...)
	term := f.App(leader).Controller.View().Term
	f.heal()
	f.waitSheet(3, others()...)
	f.until("lease after the return", func() bool { return !f.health(i).CutOff })
	must.True(t, f.App(leader).Controller.View().Leading)
	must.Eq(t, term, f.App(leader).Controller.View().Term)
	f.waitAgreement()
}

func TestCutLeaderReturns(t *testing.T) {
	cutVoter(t, func(leader int) int { return leader })
}

func TestCutFollowerReturns(t *testing.T) {
	cutVoter(t, func(leader int) int { return (leader + 1) % Voters })
}

// TestCutDomain announces upstreams on both sides of a cut.
func TestCutDomain(t *testing.T) {
	f := newTestFleet(t)
	f.submit(1, 0, others()...)
	f.waitSheet(1, others()...)
	cutOff := []int{3, 7}
	rest := others(cutOff...)
	f.cut(isolate(f.Name(3), f.Name(7)))
	f.submit(2, 1, rest...)
	f.checkCutOff(3, 1)
	f.checkCutOff(7, 1)
	announce, err := f.Announcer("permit-01")
	must.NoError(t, err)
	a := standin.Announcement{Name: "permit-01", Service: "permit", Addr: f.settings[0].Fabric.Listen, Incarnation: 1, Slots: 3}
	f.until("announcement", func() bool { return announce(f.ctx, a) == nil })
	must.NoError(t, announce(f.ctx, a)) // a retry
	f.heal()
	f.waitSheet(2, others()...)
	f.waitAgreement()
	for _, i := range others() {
		v := f.App(i).Controller.Version()
		must.Len(t, 1, v.Upstream)
		must.Eq(t, "permit-01", v.Upstream[0].Name)
	}
}

// TestReturnAfterManyChanges has a diskless VM restart and another one return
// after hundreds of changes. Neither may be ready with an older sheet.
func TestReturnAfterManyChanges(t *testing.T) {
	f := newTestFleet(t)
	const restarted, returned = 6, 7
	f.submit(1, 0, others()...)
	f.waitSheet(1, others()...)
	f.Kill(restarted)
	f.cut(isolate(f.Name(returned)))
	rest := others(restarted, returned)
	for n := range uint64(missedSheets) {
		f.submit(n+2, 0, rest...)
	}
	const last = missedSheets + 1
	f.restart(restarted)
	must.NoError(t, f.Wait(f.ctx, "readiness", func(a *app.App) bool {
		return a != f.App(restarted) || a.Controller.View().Owned
	}))
	must.Eq(t, last, f.health(restarted).SheetNumber)
	f.heal()
	f.waitSheet(last, others()...)
	f.waitAgreement()
}
