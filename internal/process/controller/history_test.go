package controller

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/shoenig/test/must"
)

var historySeed = flag.Uint64("history.seed", 1, "seed of TestHistoryOfConfigurations")

// put is the input of an operation: the number of the document to submit, or
// zero for a read.
type put uint64

// noOutcome is the end of a submission that may take effect after all others.
const noOutcome = int64(time.Hour)

// model is a register that keeps the highest number.
var model = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		current := state.(uint64)
		if n := uint64(input.(put)); n > 0 {
			return true, max(current, n)
		}
		return output.(uint64) == current, current
	},
	Equal: func(a, b any) bool { return a == b },
}

// history records operations for the linearizability check.
type history struct {
	mu         sync.Mutex
	begun      time.Time
	operations []porcupine.Operation
}

func (h *history) now() int64 { return int64(time.Since(h.begun)) }

func (h *history) add(o porcupine.Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, o)
}

// TestHistoryOfConfigurations lets clients submit and read at random
// controllers while controllers are killed, restarted or partitioned in one or
// both directions, and checks that the history is linearizable. A submission
// without an outcome may take effect at any later time.
func TestHistoryOfConfigurations(t *testing.T) {
	f := newCluster(t)
	f.submit(f.vms[0], 1)
	h := &history{begun: time.Now()}
	h.add(porcupine.Operation{Input: put(1), Call: h.now(), Output: uint64(0), Return: h.now()})
	var number atomic.Uint64
	number.Store(1)
	var at [3]atomic.Pointer[Controller]
	for i, v := range f.vms {
		at[i].Store(v.Controller)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	const clientCount = 4
	for client := range clientCount {
		clients.Go(func() {
			r := rand.New(rand.NewPCG(*historySeed, uint64(client)))
			for ctx.Err() == nil {
				c := at[r.IntN(3)].Load()
				if c == nil {
					time.Sleep(time.Millisecond)
					continue
				}
				o := porcupine.Operation{ClientId: client, Call: h.now()}
				if r.IntN(2) == 0 {
					n := number.Add(1 + r.Uint64N(2))
					o.Input, o.Output = put(n), uint64(0)
					if c.Submit(context.Background(), document(n)) != nil {
						// It may take effect after all other operations.
						o.ClientId = clientCount + int(n)
						o.Return = noOutcome
						h.add(o)
						continue
					}
				} else {
					d, err := c.Latest(context.Background())
					if err != nil {
						continue // a failed read observes nothing
					}
					o.Input, o.Output = put(0), d.Number
				}
				o.Return = h.now()
				h.add(o)
				time.Sleep(time.Duration(r.IntN(10)) * time.Millisecond)
			}
		})
	}
	r := rand.New(rand.NewPCG(*historySeed, 99))
	for range 8 {
		time.Sleep(time.Duration(100+r.IntN(500)) * time.Millisecond)
		i := r.IntN(3)
		if in, out := r.IntN(4) == 0, r.IntN(4) == 0; in || out {
			f.vms[i].partition.set(in, out)
			time.Sleep(time.Duration(500+r.IntN(2500)) * time.Millisecond)
			f.vms[i].partition.set(false, false)
			continue
		}
		at[i].Store(nil)
		f.stop(f.vms[i])
		time.Sleep(time.Duration(r.IntN(800)) * time.Millisecond)
		f.start(f.vms[i], false)
		at[i].Store(f.vms[i].Controller)
	}
	f.leader()
	time.Sleep(500 * time.Millisecond)
	cancel()
	clients.Wait()
	t.Logf("%d operations", len(h.operations))
	must.Greater(t, 50, len(h.operations))
	checked := withoutUnseen(h.operations)
	begun := time.Now()
	result := porcupine.CheckOperationsTimeout(model, checked, time.Minute)
	t.Logf("checked %d operations in %v: %s", len(checked), time.Since(begun), result)
	if result != porcupine.Ok {
		t.Logf("history of seed %d:\n%s", *historySeed, describe(h.operations))
	}
	must.Eq(t, porcupine.Ok, result)
}

// withoutUnseen leaves out the submissions without an outcome whose number no read
// returned. Each can take effect after all other operations, so that the rest is
// linearizable if and only if the whole is; their possible orders are most of the work
// of the checker.
func withoutUnseen(operations []porcupine.Operation) (out []porcupine.Operation) {
	seen := make(map[uint64]bool)
	for _, o := range operations {
		if o.Input.(put) == 0 {
			seen[o.Output.(uint64)] = true
		}
	}
	for _, o := range operations {
		if n := o.Input.(put); n > 0 && o.Return == noOutcome && !seen[uint64(n)] {
			continue
		}
		out = append(out, o)
	}
	return out
}

// describe lists operations in the order in which they were called.
func describe(operations []porcupine.Operation) string {
	sorted := slices.Clone(operations)
	slices.SortFunc(sorted, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
	var b strings.Builder
	for _, o := range sorted {
		what, end := fmt.Sprintf("put %d", o.Input), time.Duration(o.Return).String()
		if o.Input.(put) == 0 {
			what = fmt.Sprintf("read %d", o.Output)
		}
		if o.Return == noOutcome {
			end = "no outcome"
		}
		fmt.Fprintf(&b, "%v to %s, client %d: %s\n", time.Duration(o.Call), end, o.ClientId, what)
	}
	return b.String()
}

// A read of a number that only a submission without an outcome wrote keeps that
// submission; one that no read returned says nothing.
func TestUnseenSubmissionsAreLeftOut(t *testing.T) {
	seen := porcupine.Operation{ClientId: 9, Input: put(5), Output: uint64(0), Call: 1, Return: noOutcome}
	unseen := porcupine.Operation{ClientId: 10, Input: put(6), Output: uint64(0), Call: 2, Return: noOutcome}
	read := porcupine.Operation{Input: put(0), Output: uint64(5), Call: 3, Return: 4}
	older := porcupine.Operation{Input: put(0), Output: uint64(0), Call: 5, Return: 6}
	must.Len(t, 2, withoutUnseen([]porcupine.Operation{seen, unseen, read}))
	must.True(t, porcupine.CheckOperations(model, withoutUnseen([]porcupine.Operation{seen, unseen, read})))
	must.False(t, porcupine.CheckOperations(model, withoutUnseen([]porcupine.Operation{seen, unseen, read, older})))
}
