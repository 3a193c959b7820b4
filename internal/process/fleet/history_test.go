package fleet

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/shoenig/test/must"

	"heatherport/internal/result"
	"heatherport/internal/version"
	"heatherport/internal/version/sheet"
)

// The sizes of a history.
const (
	operators     = 5
	faultPause    = 1200 * time.Millisecond
	sheetVariants = 3
	checkTimeout  = 60 * time.Second
)

// operation is the input of one operation: a read, or the submission of sheet.
type operation struct {
	read  bool
	sheet version.SheetRef
}

// answer is the output of one operation. Unknown answers end at the end of the
// history.
type answer struct {
	code  result.Code
	sheet version.SheetRef // that a read returned
}

// sheetModel is a register whose value is replaced by sheets of higher number
// only. An operation of unknown outcome that had no effect is one that comes
// after all others.
func sheetModel() porcupine.Model {
	return porcupine.Model{
		Init:              func() any { return version.SheetRef{} },
		Step:              stepSheet,
		DescribeOperation: func(in, out any) string { return fmt.Sprintf("%v -> %v", in, out) },
	}
}

func stepSheet(state, input, output any) (bool, any) {
	inForce, in, out := state.(version.SheetRef), input.(operation), output.(answer)
	if in.read {
		return out.sheet == inForce, inForce
	}
	switch {
	case in.sheet.Number > inForce.Number:
		return out.code == result.OK || out.code == result.OutcomeUnknown, in.sheet
	case out.code == result.OutcomeUnknown:
		return true, inForce
	case in.sheet.Number < inForce.Number:
		return out.code == result.SheetStale, inForce
	case in.sheet != inForce:
		return out.code == result.SheetConflict, inForce
	}
	return out.code == result.OK, inForce
}

func TestModelRefusesRevertAndLostSheet(t *testing.T) {
	one := version.SheetRef{Number: 1}
	two := version.SheetRef{Number: 2}
	submit := func(s version.SheetRef, at int64) porcupine.Operation {
		return porcupine.Operation{Input: operation{sheet: s}, Output: answer{}, Call: at, Return: at + 1}
	}
	read := func(s version.SheetRef, at int64) porcupine.Operation {
		return porcupine.Operation{Input: operation{read: true}, Output: answer{sheet: s}, Call: at, Return: at + 1}
	}
	good := []porcupine.Operation{submit(one, 0), submit(two, 2), read(two, 4)}
	must.True(t, porcupine.CheckOperations(sheetModel(), good))
	must.False(t, porcupine.CheckOperations(sheetModel(), append(good, read(one, 6))))
	must.False(t, porcupine.CheckOperations(sheetModel(), append(good, submit(one, 6))))
}

// history collects the operations of all operators.
type history struct {
	mu      sync.Mutex
	start   time.Time
	ops     []porcupine.Operation
	highest uint64 // number of an acknowledged sheet
	counts  map[result.Code]int
}

func newHistory() *history {
	return &history{start: time.Now(), counts: make(map[result.Code]int)}
}

func (h *history) now() int64 { return int64(time.Since(h.start)) }

// acknowledged returns the highest number that was acknowledged.
func (h *history) acknowledged() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.highest
}

// add records an operation, unless it certainly did nothing.
func (h *history) add(client int, call int64, in operation, out answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts[out.code]++
	op := porcupine.Operation{ClientId: client, Input: in, Output: out, Call: call, Return: h.now()}
	switch out.code {
	case result.OK:
		if !in.read {
			h.highest = max(h.highest, in.sheet.Number)
		}
	case result.SheetStale, result.SheetConflict:
	case result.OutcomeUnknown:
		op.Return = 0 // set at the end
	default:
		return
	}
	h.ops = append(h.ops, op)
}

// check fails the test unless the history is linearizable.
func (h *history) check(t *testing.T) {
	h.mu.Lock()
	defer h.mu.Unlock()
	end := h.now()
	for i := range h.ops {
		if h.ops[i].Return == 0 {
			h.ops[i].Return = end
		}
	}
	t.Logf("%d operations; answers by code: %v", len(h.ops), h.counts)
	must.Positive(t, h.counts[result.OK])
	must.Eq(t, porcupine.Ok, porcupine.CheckOperationsTimeout(sheetModel(), h.ops, checkTimeout))
}

// operator submits and reads through random VMs until its context ends.
type operator struct {
	id     int
	fleet  *testFleet
	random *rand.Rand
	h      *history
}

func (o *operator) run(ctx context.Context) {
	last := 1
	for ctx.Err() == nil {
		switch o.random.IntN(5) {
		case 0, 1:
			o.read(ctx)
		case 2: // a resend of what may have been accepted, or a race
			o.submit(ctx, uint64(max(1, last-o.random.IntN(2))))
		default:
			last = int(o.h.acknowledged()) + 1 + o.random.IntN(2)
			o.submit(ctx, uint64(last))
		}
	}
}

func (o *operator) read(ctx context.Context) {
	call := o.h.now()
	r, err := o.fleet.OperatorAt(o.random.IntN(VMs)).Sheet(ctx)
	out := answer{code: result.CodeOf(err), sheet: version.SheetRef{Number: r.Number, Digest: r.Digest}}
	o.h.add(o.id, call, operation{read: true}, out)
}

func (o *operator) submit(ctx context.Context, number uint64) {
	csv := testSheet(number, o.random.IntN(sheetVariants))
	s, err := sheet.Parse(bytes.NewReader(csv))
	if err != nil {
		panic(err)
	}
	call := o.h.now()
	_, err = o.fleet.OperatorAt(o.random.IntN(VMs)).SubmitSheet(ctx, csv)
	in := operation{sheet: version.SheetRef{Number: number, Digest: s.Digest()}}
	o.h.add(o.id, call, in, answer{code: result.CodeOf(err)})
}

// watch reports a VM whose sheet goes back within the life of its process.
func watch(ctx context.Context, f *testFleet, i int, report func(string)) {
	a := f.App(i)
	var last uint64
	for ctx.Err() == nil {
		if now := f.App(i); now != a {
			a = now
			last = 0
		}
		if a != nil && a.Controller.Version() != nil {
			number := a.Controller.Version().Sheet.Number
			if number < last {
				report(fmt.Sprintf("%s went from sheet %d to %d", f.Name(i), last, number))
			}
			last = number
		}
		time.Sleep(pollGap)
	}
}

// runHistory runs operators and watchers while faults are brought about, heals
// the fleet and checks the history.
func runHistory(t *testing.T, seed uint64, faults func(f *testFleet, random *rand.Rand)) {
	f := newTestFleet(t)
	h := newHistory()
	ctx, cancel := context.WithCancel(f.ctx)
	defer cancel()
	var wg sync.WaitGroup
	for id := range operators {
		o := &operator{id: id, fleet: f, random: rand.New(rand.NewPCG(seed, uint64(id))), h: h}
		wg.Go(func() { o.run(ctx) })
	}
	for i := range VMs {
		wg.Go(func() { watch(ctx, f, i, func(s string) { t.Error(s) }) })
	}
	faults(f, rand.New(rand.NewPCG(seed, operators)))
	f.heal()
	cancel()
	wg.Wait()
	h.check(t)
	f.waitOwned()
	f.waitAgreement()
	must.GreaterEq(t, h.acknowledged(), f.App(0).Controller.Version().Sheet.Number)
}

// crash kills VM i, leaves it dead for a while and starts it again.
func crash(f *testFleet, i int) {
	f.Kill(i)
	time.Sleep(faultPause)
	f.restart(i)
}

func TestHistoryLeadersKilled(t *testing.T) {
	runHistory(t, 1, func(f *testFleet, random *rand.Rand) {
		for range 3 {
			crash(f, f.waitLeader(0, 1, 2))
			crash(f, Voters+random.IntN(VMs-Voters))
		}
	})
}

func TestHistoryLeadersStopped(t *testing.T) {
	runHistory(t, 2, func(f *testFleet, _ *rand.Rand) {
		for range 2 {
			leader := f.waitLeader(0, 1, 2)
			must.NoError(f.t, f.Stop(f.ctx, leader))
			f.restart(leader)
			f.waitOwned()
		}
	})
}

func TestHistoryLinksCut(t *testing.T) {
	runHistory(t, 3, func(f *testFleet, random *rand.Rand) {
		for range 2 {
			f.cut(isolate(f.Name(f.waitLeader(0, 1, 2))))
			time.Sleep(2 * faultPause)
			f.cut(silence(f.Name(random.IntN(Voters))))
			time.Sleep(2 * faultPause)
			d := random.IntN(len(Domains))
			f.cut(isolate(f.Name(d), f.Name(d+len(Domains))))
			time.Sleep(2 * faultPause)
			f.heal()
		}
	})
}

func TestHistoryCutsAndCrashes(t *testing.T) {
	runHistory(t, 4, func(f *testFleet, random *rand.Rand) {
		for range 2 {
			f.cut(isolate(f.Name(random.IntN(Voters))))
			time.Sleep(faultPause)
			crash(f, random.IntN(Voters))
			f.cut(silence(f.Name(random.IntN(VMs))))
			crash(f, f.waitLeader(0, 1, 2))
			f.heal()
		}
	})
}
