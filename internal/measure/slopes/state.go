package slopes

import (
	"heatherport/internal/measure"
	"heatherport/internal/version/state"
)

const (
	nsPerMs    = 1e6
	nsPerUs    = 1e3
	bytesPerMB = 1e6
)

// stateCost measures the replicated state and its commands at each size.
func stateCost() []measure.Figure {
	var f figures
	for _, s := range sweeps() {
		fx, heap := measureHeap(func() *fixture {
			fx := newFixture(s)
			fx.Version()
			return fx
		})
		f.add(s.name("state_heap"), heap/bytesPerMB, "MB")
		f.add(s.name("state_sheet"), float64(encodedCommandSize(state.Command{SubmitSheet: s.sheet(1)})), "bytes")
		fx.snapshotCost(&f)
		fx.commandCost(&f)
	}
	return f
}

func (fx *fixture) snapshotCost(f *figures) {
	data := fx.Snapshot()
	f.add(fx.name("state_snapshot"), float64(len(data)), "bytes")
	f.add(fx.name("state_snapshot_encode"), nsPerOp(func() { fx.Snapshot() })/nsPerMs, "ms")
	f.add(fx.name("state_restore"), nsPerOp(func() {
		if err := state.New().Restore(data); err != nil {
			panic(err)
		}
	})/nsPerMs, "ms")
}

func (fx *fixture) commandCost(f *figures) {
	id := fx.Version().Upstreams[0].ID
	load := uint8(0)
	status := func() {
		load++
		fx.apply(statusCommand(id, load))
	}
	f.add(fx.name("state_apply_status"), nsPerOp(status)/nsPerUs, "µs")
	f.add(fx.name("state_apply_and_version"), nsPerOp(func() {
		status()
		fx.Version()
	})/nsPerUs, "µs")
	f.add(fx.name("state_digest"), nsPerOp(func() { fx.Digest() })/nsPerUs, "µs")
	incarnation := uint64(1)
	f.add(fx.name("state_apply_register"), nsPerOp(func() {
		incarnation++
		fx.apply(state.Command{RegisterUpstream: fx.register(0, incarnation)})
	})/nsPerUs, "µs")
	number := uint64(1)
	f.add(fx.name("state_apply_sheet"), nsPerOp(func() {
		number++
		fx.apply(state.Command{SubmitSheet: fx.sheet(number)})
	})/nsPerMs, "ms")
}
