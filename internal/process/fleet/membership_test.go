package fleet

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"heatherport/internal/process/app"
	"heatherport/internal/process/metrics"
	"heatherport/internal/request/api"
	"heatherport/internal/request/identity"
	"heatherport/internal/result"
	"heatherport/internal/version"
)

const httpTimeout = 2 * time.Second

// health returns the response of VM i to /readyz.
func (h *harness) health(i int) (out metrics.Health, ok bool) {
	client := http.Client{Timeout: httpTimeout}
	resp, err := client.Get("http://" + h.Settings(i).Metrics.Listen.String() + "/readyz")
	if err != nil {
		return out, false
	}
	defer resp.Body.Close()
	return out, json.NewDecoder(resp.Body).Decode(&out) == nil
}

// waitReady waits until VM i is ready and returns its first ready response.
func (h *harness) waitReady(i int) metrics.Health {
	h.t.Helper()
	var out metrics.Health
	h.waitFor(h.Name(i)+" ready", func() bool {
		var ok bool
		out, ok = h.health(i)
		return ok && out.Ready
	})
	return out
}

// submitAll submits sheets with the numbers first to last to the leader.
func (h *harness) submitAll(first, last uint64) {
	h.t.Helper()
	for n := first; n <= last; n++ {
		h.waitFor("sheet accepted", func() bool {
			a := h.App(h.awaitLeader())
			_, err := a.Controller.SubmitSheet(h.ctx, api.SubmitRequest{Operator: "operator", Sheet: sheetCSV(n, 0)})
			return err == nil
		})
	}
}

// follower returns a voter that does not lead.
func (h *harness) follower() int { return (h.awaitLeader() + 1) % voters }

// Numbers of changes while a VM is down: fewChanges can be replayed by a peer,
// manyChanges exceeds what both a peer and the log keep.
const (
	fewChanges  = 300
	manyChanges = 2400
)

// TestReturningVMsCatchUp checks that a VM that restarts after many changes is not
// ready before it has the newest version.
func TestReturningVMsCatchUp(t *testing.T) {
	t.Parallel()
	h := start(t)
	voter, diskless := h.follower(), voters+2
	h.Kill(voter)
	h.Kill(diskless)
	h.submitAll(1, fewChanges)
	must.NoError(t, h.Start(h.ctx, diskless))
	must.Eq(t, fewChanges, h.waitReady(diskless).SheetNumber)

	h.Kill(diskless)
	h.submitAll(fewChanges+1, manyChanges)
	must.NoError(t, h.Start(h.ctx, voter))
	must.NoError(t, h.Start(h.ctx, diskless))
	must.Eq(t, manyChanges, h.waitReady(voter).SheetNumber)
	must.Eq(t, manyChanges, h.waitReady(diskless).SheetNumber)
	h.submit(manyChanges + 1)
	h.waitSheet(manyChanges + 1)
}

// TestDisklessVMCatchesUpFromAnyPeer checks that a diskless VM that restarts while
// no voter runs gets the newest version from another diskless VM.
func TestDisklessVMCatchesUpFromAnyPeer(t *testing.T) {
	t.Parallel()
	h := start(t)
	h.submit(7)
	h.waitSheet(7)
	for i := range voters {
		h.Kill(i)
	}
	h.Kill(voters)
	must.NoError(t, h.Start(h.ctx, voters))
	h.waitSheet(7)
	health, ok := h.health(voters)
	must.True(t, ok)
	must.False(t, health.Ready)
}

// A partitioned failure domain keeps serving with its last version and reports
// that it is isolated.
func TestIsolatedDomainKeepsServing(t *testing.T) {
	t.Parallel()
	h := start(t)
	h.submit(1)
	h.waitSheet(1)
	const first = voters // first VM of the failure domain without a voter
	inside := h.Domain(first)
	h.Isolate(inside...)
	h.submit(2)
	for _, i := range inside {
		h.waitFor("cut off", func() bool {
			health, ok := h.health(i)
			return ok && health.CutOff
		})
		health, ok := h.health(i)
		must.True(t, ok)
		must.True(t, health.Ready)
		must.Eq(t, 1, health.SheetNumber)
		status, err := h.OperatorAt(i).Status(h.ctx)
		must.NoError(t, err)
		must.True(t, status.Stale)
		must.False(t, status.Majority)
		_, err = h.OperatorAt(i).SubmitSheet(h.ctx, sheetCSV(3, 0))
		must.Error(t, err)
	}
	h.Partition.Heal()
	h.waitSheet(2)
	h.waitOwned()
	h.waitAll("a lease", func(a *app.App) bool { return a.Controller.View().LeaseLive })
	h.waitSameState()
}

// waitSameState waits until all VMs have the same state.
func (h *harness) waitSameState() {
	h.t.Helper()
	h.waitFor("the same upstreams and sheet on all VMs", func() bool {
		var first *version.Version
		for _, i := range h.Live() {
			v := h.App(i).Controller.Version()
			if first == nil {
				first = v
			}
			if v.Index != first.Index || v.Sheet != first.Sheet || !slices.EqualFunc(v.Upstreams, first.Upstreams, sameUpstream) {
				return false
			}
		}
		return true
	})
}

func sameUpstream(a, b version.Upstream) bool {
	return a.ID == b.ID && a.Name == b.Name && a.Addr == b.Addr && a.Incarnation == b.Incarnation && a.Slots == b.Slots
}

// announce announces the upstream permit-01 to VM i.
func (h *harness) announce(i int, incarnation uint64, port uint16) (api.AnnounceResponse, error) {
	store, err := h.authority.Issue(identity.Upstream, "permit-01")
	if err != nil {
		return api.AnnounceResponse{}, err
	}
	return h.client(store, []int{i}).Announce(h.ctx, api.Announcement{
		Name: "permit-01", Service: "permit", Incarnation: incarnation, Slots: 3,
		Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port),
	})
}

// TestAnnouncementsConvergeOnAllVMs checks that announcements are idempotent, and
// that all VMs converge to the same upstream after concurrent announcements to
// several VMs.
func TestAnnouncementsConvergeOnAllVMs(t *testing.T) {
	t.Parallel()
	h := start(t)
	h.submit(1)
	h.waitSheet(1)
	var calls sync.WaitGroup
	ids := make([]uint32, h.Size())
	for i := range ids {
		calls.Go(func() {
			r, err := h.announce(i, 5, 9000)
			if err != nil {
				t.Error(err)
			}
			ids[i] = r.Upstream
		})
	}
	calls.Wait()
	must.Eq(t, 1, len(slices.Compact(ids)))
	again, err := h.announce(4, 5, 9000)
	must.NoError(t, err)
	must.Eq(t, ids[0], again.Upstream)

	// During a partition, the old incarnation announces itself on one side and
	// the new one on the other.
	inside := h.Domain(voters)
	h.Isolate(inside...)
	_, err = h.announce(0, 6, 9001)
	must.NoError(t, err)
	_, err = h.announce(inside[0], 5, 9000)
	must.Error(t, err)
	h.Partition.Heal()
	h.waitFor("rejection of the old incarnation", func() bool {
		_, err := h.announce(inside[0], 5, 9000)
		return result.CodeOf(err) == result.IncarnationStale
	})
	h.waitSameState()
	v := h.App(inside[0]).Controller.Version()
	must.Len(t, 1, v.Upstreams)
	must.Eq(t, 6, v.Upstreams[0].Incarnation)
	must.Eq(t, 9001, v.Upstreams[0].Addr.Port())
}
