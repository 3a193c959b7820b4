package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"

	"heatherport/internal/result"
	"heatherport/internal/version/logstore"
	"heatherport/internal/version/raft"
)

// Timing of the replicas under test, in ticks.
const (
	electionTicks  = 10
	heartbeatTicks = 2
)

// faultyFS is a folder whose syncs fail on demand.
type faultyFS struct {
	logstore.FS
	syncErr error
	syncs   int
}

type faultyFile struct {
	logstore.File
	fs *faultyFS
}

func (f *faultyFS) Open(name string) (logstore.File, error) {
	file, err := f.FS.Open(name)
	return faultyFile{file, f}, err
}

func (f *faultyFS) Create(name string) (logstore.File, error) {
	file, err := f.FS.Create(name)
	return faultyFile{file, f}, err
}

func (f faultyFile) Sync() error {
	f.fs.syncs++
	if f.fs.syncErr != nil {
		return f.fs.syncErr
	}
	return f.File.Sync()
}

// vm is a replica with its folder and application.
type vm struct {
	*Replica
	id      string
	folder  *faultyFS
	applied []string
}

type group struct {
	t   testing.TB
	vms []*vm
	net []raft.Message
}

func newGroup(t testing.TB, voters int) *group {
	g := &group{t: t}
	var config raft.Configuration
	for i := range voters {
		config.Voters = append(config.Voters, fmt.Sprintf("vm%d", i+1))
	}
	for _, id := range config.Voters {
		dir, err := logstore.DirFS(t.TempDir())
		must.NoError(t, err)
		v := &vm{id: id, folder: &faultyFS{FS: dir}}
		g.vms = append(g.vms, v)
		g.open(v, &config)
	}
	return g
}

func (g *group) open(v *vm, bootstrap *raft.Configuration) {
	r, err := Open(Options{
		Raft: raft.Config{
			ID: v.id, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks,
			Rand: rand.New(rand.NewPCG(1, uint64(v.id[2]))),
		},
		Folder:    v.folder,
		Bootstrap: bootstrap,
	})
	must.NoError(g.t, err)
	v.Replica = r
	v.restore(r.Recovered().Snapshot)
}

func (v *vm) restore(s raft.Snapshot) {
	v.applied = nil
	for _, b := range s.Data {
		v.applied = append(v.applied, string(b))
	}
}

func (g *group) process(v *vm) {
	out, err := v.Process()
	if err != nil {
		must.SliceEmpty(g.t, out.Messages)
		return
	}
	g.net = append(g.net, out.Messages...)
	if out.Snapshot != nil {
		v.restore(*out.Snapshot)
	}
	for _, e := range out.Committed {
		if e.Kind == raft.EntryCommand {
			v.applied = append(v.applied, string(e.Data))
		}
	}
}

func (g *group) settle() {
	for {
		for _, v := range g.vms {
			g.process(v)
		}
		if len(g.net) == 0 {
			return
		}
		sent := g.net
		g.net = nil
		for _, m := range sent {
			_ = g.vms[m.To[2]-'1'].Step(m)
		}
	}
}

func (g *group) run(ticks int) {
	for range ticks {
		for _, v := range g.vms {
			_ = v.Tick()
		}
		g.settle()
	}
}

func (g *group) leader() *vm {
	for _, v := range g.vms {
		if v.Status().Soft.Role == raft.Leader {
			return v
		}
	}
	return nil
}

func (g *group) elect() *vm {
	for range 20 {
		g.run(electionTicks)
		if l := g.leader(); l != nil {
			return l
		}
	}
	must.Unreachable(g.t, must.Sprint("no leader"))
	return nil
}

func (g *group) mustPropose(data ...string) {
	g.t.Helper()
	l := g.elect()
	for _, d := range data {
		_, _, err := l.Propose([]byte(d))
		must.NoError(g.t, err)
	}
	g.run(2 * heartbeatTicks)
}

func TestRestartKeepsState(t *testing.T) {
	g := newGroup(t, 3)
	g.mustPropose("a", "b")
	l := g.elect()
	must.NoError(t, l.Compact(l.Status().AppliedIndex, []byte("ab")))
	g.mustPropose("c")
	for _, v := range g.vms {
		must.NoError(t, v.Close())
		g.open(v, nil)
	}
	g.mustPropose("d")
	for _, v := range g.vms {
		must.Eq(t, []string{"a", "b", "c", "d"}, v.applied)
	}
}

func TestRestartedLeaderWithSnapshotCatchesUpOthers(t *testing.T) {
	g := newGroup(t, 3)
	g.mustPropose("a")
	behind := g.vms[0]
	if behind == g.leader() {
		behind = g.vms[1]
	}
	must.NoError(t, behind.Close())
	g.mustPropose("b", "c")
	for _, v := range g.vms {
		if v != behind {
			must.NoError(t, v.Compact(v.Status().AppliedIndex, []byte("abc")))
			must.NoError(t, v.Close())
			g.open(v, nil)
		}
	}
	g.open(behind, nil)
	g.mustPropose("d")
	must.Eq(t, []string{"a", "b", "c", "d"}, behind.applied)
	must.Positive(t, behind.Status().SnapshotIndex)
}

func TestProposalsShareOneSync(t *testing.T) {
	g := newGroup(t, 3)
	l := g.elect()
	before := l.folder.syncs
	for range 100 {
		_, _, err := l.Propose([]byte("x"))
		must.NoError(t, err)
	}
	g.settle()
	must.Len(t, 100, l.applied)
	must.Eq(t, 1, l.folder.syncs-before)
}

func TestFailedSyncStopsReplica(t *testing.T) {
	for cause, code := range map[error]result.Code{unix.EIO: result.StorageFailed, unix.ENOSPC: result.StorageFull} {
		g := newGroup(t, 3)
		l := g.elect()
		l.folder.syncErr = cause
		_, _, err := l.Propose([]byte("x"))
		must.NoError(t, err)
		out, err := l.Process()
		must.Eq(t, code, result.CodeOf(err))
		must.Eq(t, Output{}, out)
		l.folder.syncErr = nil

		_, _, err = l.Propose([]byte("y"))
		must.Eq(t, code, result.CodeOf(err))
		must.Eq(t, code, result.CodeOf(l.Tick()))
		must.Eq(t, code, result.CodeOf(l.Err()))
		must.Eq(t, raft.Follower, l.Status().Soft.Role)
		must.NotEq(t, l, g.elect())
		g.mustPropose("z")
		must.Eq(t, code, result.CodeOf(l.Close()))
		g.open(l, nil)
		g.run(electionTicks)
		must.Eq(t, []string{"z"}, l.applied)
	}
}

func TestEmptyFolderWithoutBootstrapStaysPassive(t *testing.T) {
	dir, err := logstore.DirFS(t.TempDir())
	must.NoError(t, err)
	g := &group{t: t, vms: []*vm{{id: "vm1", folder: &faultyFS{FS: dir}}}}
	g.open(g.vms[0], nil)
	g.run(10 * electionTicks)
	must.Nil(t, g.leader())
	must.Zero(t, g.vms[0].Status().Soft.Term)
}

// benchmarkEntrySize is the size in bytes of a proposal.
const benchmarkEntrySize = 128

func openBenchmark(b *testing.B) *group {
	g := newGroup(b, 1)
	g.elect()
	return g
}

// BenchmarkCommitSync commits batches on a real disk; the temporary folder must
// lie on one.
func BenchmarkCommitSync(b *testing.B) {
	data := make([]byte, benchmarkEntrySize)
	for _, batch := range []int{1, 64, 1024} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			g := openBenchmark(b)
			v := g.vms[0]
			for b.Loop() {
				for range batch {
					if _, _, err := v.Propose(data); err != nil {
						b.Fatal(err)
					}
				}
				if _, err := v.Process(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.N*batch)/b.Elapsed().Seconds(), "commits/s")
		})
	}
}

// BenchmarkRecover10000 opens a folder with 10,000 entries and hands out all of
// them for application.
func BenchmarkRecover10000(b *testing.B) {
	const entries = 10000
	g := openBenchmark(b)
	v := g.vms[0]
	for range entries {
		if _, _, err := v.Propose(make([]byte, benchmarkEntrySize)); err != nil {
			b.Fatal(err)
		}
		g.process(v)
	}
	must.NoError(b, v.Close())
	for b.Loop() {
		g.open(v, nil)
		out, err := v.Process()
		must.NoError(b, err)
		must.GreaterEq(b, entries-1, len(out.Committed))
		must.NoError(b, v.Close())
	}
	b.ReportMetric(float64(b.Elapsed().Milliseconds())/float64(b.N), "recover_ms")
}
