package fleet

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"

	"heatherport/internal/process/app"
	"heatherport/internal/standin"
)

// waitTimeout bounds every wait of these tests.
const waitTimeout = 30 * time.Second

// harness is a running fleet with an end to all waiting.
type harness struct {
	*Fleet
	t   *testing.T
	ctx context.Context
}

// start starts a fleet and waits until all VMs are members with a share.
func start(t *testing.T) *harness {
	fabric, err := standin.NewFabric(netip.MustParseAddrPort("127.0.0.1:0"), 1)
	must.NoError(t, err)
	t.Cleanup(func() { _ = fabric.Close() })
	f, err := New(Options{Dir: t.TempDir(), Fabric: fabric, Log: hclog.NewNullLogger()})
	must.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	t.Cleanup(cancel)
	t.Cleanup(f.Close)
	h := &harness{Fleet: f, t: t, ctx: ctx}
	must.NoError(t, f.StartAll(ctx))
	h.waitOwned()
	return h
}

// wait waits until ok holds on all live VMs.
func (h *harness) wait(what string, ok func(*app.App) bool) {
	h.t.Helper()
	ctx, cancel := context.WithTimeout(h.ctx, waitTimeout)
	defer cancel()
	must.NoError(h.t, h.Wait(ctx, what, ok))
}

func (h *harness) waitOwned() {
	h.t.Helper()
	h.wait("membership", func(a *app.App) bool { return a.Controller.View().IsOwner })
}

// waitFor polls until ok holds.
func (h *harness) waitFor(what string, ok func() bool) {
	h.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			h.t.Fatalf("%s: not within %s", what, waitTimeout)
		}
		time.Sleep(pollInterval)
	}
}

const pollInterval = 5 * time.Millisecond

// submit submits a sheet through any live VM, again while its outcome is not
// known.
func (h *harness) submit(number uint64) {
	h.t.Helper()
	h.waitFor("sheet accepted", func() bool {
		_, err := h.Operator().SubmitSheet(h.ctx, sheetCSV(number, 0))
		return err == nil
	})
}

// waitSheet waits until all live VMs have sheet number in force.
func (h *harness) waitSheet(number uint64) {
	h.t.Helper()
	h.wait(fmt.Sprintf("sheet %d", number), func(a *app.App) bool { return sheetNumber(a) == number })
}

// sheetNumber returns the number of the sheet in force on a VM.
func sheetNumber(a *app.App) uint64 {
	v := a.Controller.Version()
	if v == nil {
		return 0
	}
	return v.Sheet.Number
}

// sheetCSV returns a sheet of one service. Sheets of one number differ by
// variant.
func sheetCSV(number uint64, variant int) []byte {
	return fmt.Appendf(nil, "version,%d\nservice,permit,198.51.100.1,tcp,443,10m,no\n"+
		"upstream,permit,permit-01,active,3,%d\n", number, 2000+variant)
}
