package controller

import (
	"context"
	"flag"
	"math/rand/v2"
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
						o.Return = int64(time.Hour)
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
	result := porcupine.CheckOperationsTimeout(model, h.operations, time.Minute)
	must.Eq(t, porcupine.Ok, result)
}
