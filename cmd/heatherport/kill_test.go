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

// convergenceTimeout limits the wait for VMs to agree. A fleet without faults
// needs seconds.
const convergenceTimeout = 90 * time.Second

// sheetHistory records the sheets that operators saw acknowledged or read.
type sheetHistory struct {
	mu      sync.Mutex
	highest uint64                // sheet number
	digests map[uint64]api.Digest // by sheet number
}

func (h *sheetHistory) highestNumber() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.highest
}

// add records a sheet that was in force at some time after highestNumber returned
// lowerBound. It returns an error if the sheet contradicts the history.
func (h *sheetHistory) add(lowerBound, number uint64, digest api.Digest) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if number < lowerBound {
		return fmt.Errorf("sheet %d after sheet %d", number, lowerBound)
	}
	if previous, ok := h.digests[number]; ok && previous != digest {
		return fmt.Errorf("sheet %d has the digests %s and %s", number, previous, digest)
	}
	h.digests[number] = digest
	h.highest = max(h.highest, number)
	return nil
}

// testSheet returns a sheet whose contents depend on the operator.
func testSheet(number uint64, operator int) []byte {
	return fmt.Appendf(nil, "version,%d\nservice,permit,192.0.2.10,tcp,443,10m,no\nupstream,permit,permit-1,active,3,%d\n", number, 1000+operator)
}

// TestKilledDuringSubmissions kills processes while operators submit different
// sheets with equal numbers. An acknowledged sheet must stay in force until one
// with a higher number replaces it, and no number may have two contents.
func TestKilledDuringSubmissions(t *testing.T) {
	t.Parallel()
	const (
		operators          = 2
		readers            = 2
		kills              = 6
		submissionsPerKill = 20 // acknowledged, between two kills
	)
	c := newCluster(t)
	h := &sheetHistory{digests: make(map[uint64]api.Digest)}
	ctx, cancel := context.WithCancel(context.Background())
	var accepted atomic.Int64
	var wg sync.WaitGroup
	for k := range operators {
		wg.Go(func() { submitSheets(ctx, t, c, h, k, &accepted) })
	}
	for k := range readers {
		wg.Go(func() { readSheets(ctx, t, c, h, k) })
	}
	waitForSubmissions(t, &accepted, submissionsPerKill)
	rng := rand.New(rand.NewPCG(1, 2))
	for range kills {
		restartSome(c, rng)
		waitForSubmissions(t, &accepted, submissionsPerKill)
	}
	cancel()
	wg.Wait()
	t.Logf("%d submissions accepted, highest sheet %d", accepted.Load(), h.highestNumber())
	checkConvergence(t, c, h)
}

// waitForSubmissions waits until n more submissions are acknowledged.
func waitForSubmissions(t *testing.T, accepted *atomic.Int64, n int64) {
	goal := accepted.Load() + n
	reached := func() bool { return accepted.Load() >= goal }
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(reached), wait.Timeout(convergenceTimeout)))
}

// restartSome kills one or two random VMs and starts them again.
func restartSome(c *cluster, rng *rand.Rand) {
	order := rng.Perm(len(c.vms))[:1+rng.IntN(2)]
	for _, i := range order {
		c.kill(i)
	}
	for _, i := range order {
		c.start(i)
	}
}

// shuffledClient returns a client that tries the VMs in random order.
func shuffledClient(c *cluster, rng *rand.Rand) *api.Client {
	vms := slices.Clone(c.vms)
	rng.Shuffle(len(vms), func(i, k int) { vms[i], vms[k] = vms[k], vms[i] })
	return c.operatorClient(vms...)
}

// isExpected reports whether a request may return err while VMs are killed and
// operators submit concurrently.
func isExpected(ctx context.Context, err error) bool {
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

func submitSheets(ctx context.Context, t *testing.T, c *cluster, h *sheetHistory, operator int, accepted *atomic.Int64) {
	rng := rand.New(rand.NewPCG(3, uint64(operator)))
	for ctx.Err() == nil {
		lowerBound := h.highestNumber()
		r, err := shuffledClient(c, rng).SubmitSheet(ctx, testSheet(lowerBound+1, operator))
		if !isExpected(ctx, err) {
			t.Errorf("submit: %v", err)
			return
		}
		if err != nil {
			continue
		}
		accepted.Add(1)
		if err := h.add(lowerBound, r.Number, r.Digest); err != nil {
			t.Errorf("submit: %v", err)
		}
	}
}

func readSheets(ctx context.Context, t *testing.T, c *cluster, h *sheetHistory, reader int) {
	rng := rand.New(rand.NewPCG(4, uint64(reader)))
	for ctx.Err() == nil {
		lowerBound := h.highestNumber()
		r, err := shuffledClient(c, rng).Sheet(ctx)
		if !isExpected(ctx, err) {
			t.Errorf("read: %v", err)
			return
		}
		if err != nil {
			continue
		}
		if err := h.add(lowerBound, r.Number, r.Digest); err != nil {
			t.Errorf("read: %v", err)
		}
	}
}

// checkConvergence waits until all VMs have the same sheet in force and it is not
// older than the highest acknowledged one.
func checkConvergence(t *testing.T, c *cluster, h *sheetHistory) {
	agreed := func() error {
		var first api.StatusResponse
		for i, vm := range c.vms {
			st, err := c.operatorClient(vm).Status(context.Background())
			if err != nil {
				return err
			}
			if i == 0 {
				first = st
			}
			if st.Stale || st.SheetDigest != first.SheetDigest || st.SheetNumber < h.highestNumber() {
				return fmt.Errorf("%s has sheet %d, %s has sheet %d, acknowledged is %d",
					vm.name, st.SheetNumber, c.vms[0].name, first.SheetNumber, h.highestNumber())
			}
		}
		return nil
	}
	must.Wait(t, wait.InitialSuccess(wait.ErrorFunc(agreed), wait.Timeout(convergenceTimeout)))
}
