package replica

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"

	"heatherport/internal/result"
	"heatherport/internal/version/raft"
	"heatherport/internal/version/vfs/faultfs"
)

// Timing of the replicas under test, in ticks.
const (
	electionTicks  = 10
	heartbeatTicks = 2
)

// vm is a replica on a folder that fails.
type vm struct {
	id      string
	folder  *faultfs.FS
	replica *Replica // nil while it is down
	applied uint64
	state   uint64 // hash over the applied entries
	boots   uint64
}

// group is a set of replicas whose disks and network fail.
type group struct {
	t       testing.TB
	seed    uint64
	rng     *rand.Rand
	vms     []*vm
	net     []raft.Message
	states  map[uint64]uint64 // state after each applied index
	leaders map[uint64]string
	faults  int
}

func newGroup(t testing.TB, seed uint64) *group {
	g := &group{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 0)),
		states: make(map[uint64]uint64), leaders: make(map[uint64]string),
	}
	config := raft.Configuration{Voters: []string{"vm1", "vm2", "vm3"}}
	for _, id := range config.Voters {
		v := &vm{id: id, folder: faultfs.New()}
		g.vms = append(g.vms, v)
		g.boot(v, &config)
	}
	return g
}

func (g *group) boot(v *vm, bootstrap *raft.Configuration) {
	v.boots++
	r, err := Open(Options{
		Raft: raft.Config{
			ID: v.id, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks,
			MaxEntriesPerMessage: 4, MaxSnapshotChunkBytes: 5, TrailingEntries: 2,
			Rand: rand.New(rand.NewPCG(g.seed, uint64(v.id[2])<<32|v.boots)),
		},
		Folder: v.folder, Bootstrap: bootstrap,
	})
	must.NoError(g.t, err, must.Sprintf("seed %d: %s", g.seed, v.id))
	v.replica = r
	v.restore(r.Recovered().Snapshot)
}

func (v *vm) restore(s raft.Snapshot) {
	v.applied = s.Index
	v.state = 0
	if s.Index > 0 {
		v.state = binary.BigEndian.Uint64(s.Data)
	}
}

func (g *group) process(v *vm) {
	if v.replica == nil {
		return
	}
	out, err := v.replica.Process()
	if err != nil {
		g.crash(v)
		return
	}
	g.net = append(g.net, out.Messages...)
	if out.Snapshot != nil {
		v.restore(*out.Snapshot)
	}
	for _, e := range out.Committed {
		g.apply(v, e)
	}
	g.checkLeader(v.id, out.SoftState)
}

// apply checks that all VMs apply the same entries in the same order.
func (g *group) apply(v *vm, e raft.Entry) {
	must.Eq(g.t, v.applied+1, e.Index, must.Sprintf("seed %d: %s", g.seed, v.id))
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %d %d %q", v.state, e.Index, e.Term, e.Data)
	v.applied = e.Index
	v.state = h.Sum64()
	if _, ok := g.states[e.Index]; !ok {
		g.states[e.Index] = v.state
	}
	must.Eq(g.t, g.states[e.Index], v.state, must.Sprintf("seed %d: %s applies another entry %d", g.seed, v.id, e.Index))
}

func (g *group) checkLeader(id string, soft raft.SoftState) {
	if soft.Role != raft.Leader {
		return
	}
	if _, ok := g.leaders[soft.Term]; !ok {
		g.leaders[soft.Term] = id
	}
	must.Eq(g.t, g.leaders[soft.Term], id, must.Sprintf("seed %d: two leaders in term %d", g.seed, soft.Term))
}

// crash ends a VM by a loss of power or of the process.
func (g *group) crash(v *vm) {
	if v.replica == nil {
		return
	}
	g.faults++
	v.replica = nil
	if g.rng.IntN(3) == 0 {
		v.folder = v.folder.AfterProcessCrash()
		return
	}
	v.folder = v.folder.AfterPowerLoss(faultfs.PowerLosses[g.rng.IntN(len(faultfs.PowerLosses))])
}

// breakDisk makes one of the next operations of a VM's disk fail.
func (g *group) breakDisk(v *vm) {
	causes := []error{unix.EIO, unix.ENOSPC, faultfs.ErrPowerLoss}
	v.folder.FailAt = v.folder.Ops + 1 + g.rng.IntN(12)
	v.folder.FailWith = causes[g.rng.IntN(len(causes))]
	v.folder.PartialWrites = g.rng.IntN(2) == 0
}

func (g *group) compact(v *vm) {
	if v.applied <= v.replica.Status().SnapshotIndex {
		return
	}
	err := v.replica.Compact(v.applied, binary.BigEndian.AppendUint64(nil, v.state))
	if err != nil {
		must.Eq(g.t, result.ClassStorage, result.CodeOf(err).Class())
		g.crash(v)
	}
}

func (g *group) tick() {
	for _, v := range g.vms {
		if v.replica != nil {
			_ = v.replica.Tick()
		}
	}
}

func (g *group) deliver(i int) {
	m := g.net[i]
	g.net = slices.Delete(g.net, i, i+1)
	if v := g.vms[m.To[2]-'1']; v.replica != nil {
		must.NoError(g.t, v.replica.Step(m), must.Sprintf("seed %d", g.seed))
	}
}

func (g *group) step() {
	v := g.vms[g.rng.IntN(len(g.vms))]
	action := g.rng.IntN(100)
	switch {
	case action < 30:
		g.tick()
	case action < 50:
		for range min(len(g.net), 1+g.rng.IntN(5)) {
			g.deliver(g.rng.IntN(len(g.net)))
		}
	case action < 65:
		g.process(v)
	case action < 80:
		g.exchange()
	case v.replica == nil:
		if action < 90 {
			g.boot(v, nil)
		}
	case action < 94:
		_, _, _ = v.replica.Propose(fmt.Appendf(nil, "p%d", g.rng.Uint32()))
	case action == 94:
		g.compact(v)
	case action == 95:
		g.breakDisk(v)
	case action == 96 && g.rng.IntN(3) == 0:
		g.crash(v)
	case action > 96 && len(g.net) > 0:
		i := g.rng.IntN(len(g.net))
		g.net = slices.Delete(g.net, i, i+1)
	}
}

// exchange carries out the effects of all VMs and delivers what was sent.
func (g *group) exchange() {
	for _, v := range g.vms {
		g.process(v)
	}
	for range len(g.net) {
		g.deliver(0)
	}
}

// run lets the VMs work without faults for some ticks.
func (g *group) run(ticks int) {
	for range ticks {
		g.tick()
		for range 10 {
			g.exchange()
		}
	}
}

// elect runs until there is a leader.
func (g *group) elect() *vm {
	for range 20 {
		g.run(electionTicks)
		for _, v := range g.vms {
			if v.replica != nil && v.replica.Status().SoftState.Role == raft.Leader {
				return v
			}
		}
	}
	must.Unreachable(g.t, must.Sprint("no leader"))
	return nil
}

// mustCommit commits proposals on all VMs that run.
func (g *group) mustCommit(n int) {
	g.t.Helper()
	l := g.elect()
	var last uint64
	for range n {
		index, _, err := l.replica.Propose([]byte("x"))
		must.NoError(g.t, err)
		last = index
	}
	g.run(2 * heartbeatTicks)
	for _, v := range g.vms {
		if v.replica != nil {
			must.GreaterEq(g.t, last, v.applied, must.Sprint(v.id))
		}
	}
}

// heal ends all faults and checks that the VMs agree and make progress.
func (g *group) heal() {
	before := len(g.states)
	for _, v := range g.vms {
		v.folder.FailAt = 0
	}
	g.run(1)
	for _, v := range g.vms {
		if v.replica == nil {
			g.boot(v, nil)
		}
	}
	g.mustCommit(1)
	must.Greater(g.t, before, len(g.states), must.Sprintf("seed %d: no progress", g.seed))
	for _, v := range g.vms {
		must.Eq(g.t, g.vms[0].state, v.state, must.Sprintf("seed %d: %s", g.seed, v.id))
	}
}

// TestGroupOnFailingDisks runs replicas whose disks fail, write short and lose
// unsynced sectors, and checks that they never diverge.
func TestGroupOnFailingDisks(t *testing.T) {
	const (
		seeds = 40
		steps = 2000
	)
	commits, faults := 0, 0
	for seed := range uint64(seeds) {
		g := newGroup(t, seed)
		for range steps {
			g.step()
		}
		commits += len(g.states)
		g.heal()
		faults += g.faults
	}
	t.Logf("%d commits, %d crashes", commits, faults)
	must.Greater(t, seeds*20, commits)
	must.Greater(t, seeds*10, faults)
}
