package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"heatherport/internal/request/api"
	"heatherport/internal/result"
)

// settleTime bounds the wait for a fleet to agree; a healthy one needs seconds.
const settleTime = 90 * time.Second

// history holds what operators have been told.
type history struct {
	mu      sync.Mutex
	highest uint64                // sheet number that was acknowledged or read
	digests map[uint64]api.Digest // of the sheets that were acknowledged or read
}

func (h *history) floor() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.highest
}

// add records a sheet that was in force at some time after floor was taken,
// and reports what contradicts the history.
func (h *history) add(floor, number uint64, digest api.Digest) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if number < floor {
		return fmt.Errorf("sheet %d after sheet %d", number, floor)
	}
	if known, ok := h.digests[number]; ok && known != digest {
		return fmt.Errorf("sheet %d has the digests %s and %s", number, known, digest)
	}
	h.digests[number] = digest
	h.highest = max(h.highest, number)
	return nil
}

// testSheet returns a sheet that differs between operators.
func testSheet(number uint64, operator int) []byte {
	return fmt.Appendf(nil, "version,%d\nservice,permit,192.0.2.10,tcp,443,10m,no\nupstream,permit,permit-1,active,3,%d\n", number, 1000+operator)
}

// TestKilledDuringSubmissions kills processes while operators race with equal
// sheet numbers. What was acknowledged must stay in force or be replaced by a
// higher number, and no number may have two contents.
func TestKilledDuringSubmissions(t *testing.T) {
	t.Parallel()
	const (
		operators = 2
		readers   = 2
		kills     = 6
		between   = 20 // acknowledged submissions between two kills
	)
	f := newCluster(t)
	h := &history{digests: make(map[uint64]api.Digest)}
	ctx, cancel := context.WithCancel(context.Background())
	var accepted atomic.Int64
	var wg sync.WaitGroup
	for k := range operators {
		wg.Go(func() { submitUntil(ctx, t, f, h, k, &accepted) })
	}
	for k := range readers {
		wg.Go(func() { readUntil(ctx, t, f, h, k) })
	}
	awaitMore(t, &accepted, between)
	rng := rand.New(rand.NewPCG(1, 2))
	for range kills {
		killSome(f, rng)
		awaitMore(t, &accepted, between)
	}
	cancel()
	wg.Wait()
	t.Logf("%d submissions accepted, highest sheet %d", accepted.Load(), h.floor())
	checkAgreement(t, f, h)
}

// awaitMore waits until n more submissions are acknowledged.
func awaitMore(t *testing.T, accepted *atomic.Int64, n int64) {
	goal := accepted.Load() + n
	reached := func() bool { return accepted.Load() >= goal }
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(reached), wait.Timeout(settleTime)))
}

// killSome kills one or two VMs at once and starts them again.
func killSome(f *cluster, rng *rand.Rand) {
	order := rng.Perm(len(f.vms))[:1+rng.IntN(2)]
	for _, i := range order {
		f.kill(i)
	}
	for _, i := range order {
		f.start(i)
	}
}

// shuffled returns a client that tries the VMs in an order of its own.
func shuffled(f *cluster, rng *rand.Rand) *api.Client {
	vms := slices.Clone(f.vms)
	rng.Shuffle(len(vms), func(i, k int) { vms[i], vms[k] = vms[k], vms[i] })
	return f.operator(vms...)
}

// expected reports whether an answer may come while VMs die and others race.
func expected(ctx context.Context, err error) bool {
	switch result.CodeOf(err).Class() {
	case result.ClassOK, result.ClassUnavailable, result.ClassUnknown:
		return true
	}
	switch result.CodeOf(err) {
	case result.SheetConflict, result.SheetStale:
		return true
	}
	return ctx.Err() != nil
}

func submitUntil(ctx context.Context, t *testing.T, f *cluster, h *history, operator int, accepted *atomic.Int64) {
	rng := rand.New(rand.NewPCG(3, uint64(operator)))
	for ctx.Err() == nil {
		floor := h.floor()
		r, err := shuffled(f, rng).SubmitSheet(ctx, testSheet(floor+1, operator))
		if !expected(ctx, err) {
			t.Errorf("submit: %v", err)
			return
		}
		if err != nil {
			continue
		}
		accepted.Add(1)
		if err := h.add(floor, r.Number, r.Digest); err != nil {
			t.Errorf("submit: %v", err)
		}
	}
}

func readUntil(ctx context.Context, t *testing.T, f *cluster, h *history, reader int) {
	rng := rand.New(rand.NewPCG(4, uint64(reader)))
	for ctx.Err() == nil {
		floor := h.floor()
		r, err := shuffled(f, rng).Sheet(ctx)
		if !expected(ctx, err) {
			t.Errorf("read: %v", err)
			return
		}
		if err != nil {
			continue
		}
		if err := h.add(floor, r.Number, r.Digest); err != nil {
			t.Errorf("read: %v", err)
		}
	}
}

// checkAgreement waits until every VM has the same sheet in force, and checks
// that it is not older than what was acknowledged.
func checkAgreement(t *testing.T, f *cluster, h *history) {
	agreed := func() error {
		var first api.StatusResponse
		for i, vm := range f.vms {
			st, err := f.operator(vm).Status(context.Background())
			if err != nil {
				return err
			}
			if i == 0 {
				first = st
			}
			if st.Stale || st.SheetDigest != first.SheetDigest || st.SheetNumber < h.floor() {
				return fmt.Errorf("%s has sheet %d, %s has sheet %d, acknowledged is %d",
					vm.name, st.SheetNumber, f.vms[0].name, first.SheetNumber, h.floor())
			}
		}
		return nil
	}
	must.Wait(t, wait.InitialSuccess(wait.ErrorFunc(agreed), wait.Timeout(settleTime)))
}
