package slopes

import (
	"heatherport/internal/measure"
	"heatherport/internal/version/state"
)

const (
	nsPerMs = 1e6
	nsPerUs = 1e3
	mega    = 1e6
)

// stateMachine measures the replicated state at each size.
func stateMachine() []measure.Figure {
	var f figures
	for _, s := range sweeps() {
		w, heap := heapBytes(func() *world {
			w := newWorld(s)
			w.Version()
			return w
		})
		f.add(s.name("state_heap"), heap/mega, "MB")
		f.add(s.name("state_sheet"), float64(commandBytes(state.Command{SubmitSheet: s.sheet(1)})), "bytes")
		w.measureSnapshot(&f)
		w.measureCommands(&f)
	}
	return f
}

func (w *world) measureSnapshot(f *figures) {
	data := w.Snapshot()
	f.add(w.name("state_snapshot"), float64(len(data)), "bytes")
	f.add(w.name("state_snapshot_encode"), nsPerOp(func() { w.Snapshot() })/nsPerMs, "ms")
	f.add(w.name("state_restore"), nsPerOp(func() {
		if err := state.New().Restore(data); err != nil {
			panic(err)
		}
	})/nsPerMs, "ms")
}

func (w *world) measureCommands(f *figures) {
	id := w.Version().Upstream[0].ID
	load := uint8(0)
	status := func() {
		load++
		w.apply(statusCommand(id, load))
	}
	f.add(w.name("state_apply_status"), nsPerOp(status)/nsPerUs, "µs")
	f.add(w.name("state_apply_and_version"), nsPerOp(func() {
		status()
		w.Version()
	})/nsPerUs, "µs")
	f.add(w.name("state_digest"), nsPerOp(func() { w.Digest() })/nsPerUs, "µs")
	incarnation := uint64(1)
	f.add(w.name("state_apply_register"), nsPerOp(func() {
		incarnation++
		w.apply(state.Command{RegisterUpstream: w.register(0, incarnation)})
	})/nsPerUs, "µs")
	number := uint64(1)
	f.add(w.name("state_apply_sheet"), nsPerOp(func() {
		number++
		w.apply(state.Command{SubmitSheet: w.sheet(number)})
	})/nsPerMs, "ms")
}
