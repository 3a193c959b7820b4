package fleet

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"

	"heatherport/internal/process/app"
	"heatherport/internal/standin"
)

// The bounds of one test.
const (
	testTimeout = 90 * time.Second
	pollGap     = 10 * time.Millisecond
)

// cuts says which links carry nothing.
type cuts struct {
	mu     sync.Mutex
	refuse func(from, to string) bool
}

// cut cuts the links for which refuse holds, and heals all others.
func (c *cuts) cut(refuse func(from, to string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refuse = refuse
}

func (c *cuts) heal() { c.cut(nil) }

func (c *cuts) carries(from, to string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refuse == nil || !c.refuse(from, to)
}

// isolate cuts the VMs in set off from all others, in both directions.
func isolate(set ...string) func(from, to string) bool {
	in := make(map[string]bool)
	for _, name := range set {
		in[name] = true
	}
	return func(from, to string) bool { return in[from] != in[to] }
}

// silence cuts what the VM called name sends, but not what it receives.
func silence(name string) func(from, to string) bool {
	return func(from, _ string) bool { return from == name }
}

// testFleet is a running fleet whose links can be cut.
type testFleet struct {
	*Fleet
	cuts
	t   testing.TB
	ctx context.Context
}

func newTestFleet(t testing.TB) *testFleet {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	fabric, err := standin.NewFabric(netip.AddrPortFrom(loopback, 0), 1)
	must.NoError(t, err)
	t.Cleanup(func() { _ = fabric.Close() })
	f := &testFleet{t: t, ctx: ctx}
	f.Fleet, err = New(Options{Dir: t.TempDir(), Fabric: fabric, Log: hclog.NewNullLogger(), AllowLink: f.carries})
	must.NoError(t, err)
	t.Cleanup(f.Close)
	must.NoError(t, f.StartAll(ctx))
	f.waitOwned()
	return f
}

// waitOwned waits until all running VMs are owners.
func (f *testFleet) waitOwned() {
	f.t.Helper()
	must.NoError(f.t, f.Wait(f.ctx, "membership", func(a *app.App) bool { return a.Controller.View().Owned }))
}

// until polls until ok holds.
func (f *testFleet) until(what string, ok func() bool) {
	f.t.Helper()
	for !ok() {
		must.NoError(f.t, f.ctx.Err(), must.Sprint(what))
		time.Sleep(pollGap)
	}
}

// waitLeader returns the position of the one VM that leads among the given.
func (f *testFleet) waitLeader(among ...int) int {
	f.t.Helper()
	leader := -1
	f.until("leader", func() bool {
		for _, i := range among {
			if a := f.App(i); a != nil && a.Controller.View().Leading {
				leader = i
				return true
			}
		}
		return false
	})
	return leader
}

// restart starts VM i again.
func (f *testFleet) restart(i int) {
	f.t.Helper()
	must.NoError(f.t, f.Start(f.ctx, i))
}

// waitAgreement waits until all running VMs hold the same sheet and state.
func (f *testFleet) waitAgreement() {
	f.t.Helper()
	f.until("agreement", func() bool {
		live := f.Live()
		first := f.App(live[0]).Controller.Version()
		for _, i := range live {
			v := f.App(i).Controller.Version()
			if v == nil || first == nil || v.Index != first.Index || v.Sheet != first.Sheet {
				return false
			}
		}
		return true
	})
}

// submit has the sheet accepted, with resends, and returns its log index.
func (f *testFleet) submit(number uint64, variant int, at ...int) uint64 {
	f.t.Helper()
	var index uint64
	f.until(fmt.Sprintf("sheet %d accepted", number), func() bool {
		for _, i := range at {
			out, err := f.OperatorAt(i).SubmitSheet(f.ctx, testSheet(number, variant))
			if err == nil {
				index = out.Index
				return true
			}
		}
		return false
	})
	return index
}

// testSheet returns a sheet whose content differs by variant.
func testSheet(number uint64, variant int) []byte {
	const format = "version,%d\nservice,permit,198.51.100.1,tcp,443,%dm,no\n" +
		"upstream,permit,permit-01,active,3,2000\nupstream,permit,permit-02,active,3,2000\n"
	return fmt.Appendf(nil, format, number, 10+variant)
}
