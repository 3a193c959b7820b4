package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"

	"heatherport/internal/result"
	"heatherport/internal/version/raft"
	"heatherport/internal/version/vfs"
)

func TestRestartKeepsState(t *testing.T) {
	g := newGroup(t, 1)
	g.mustCommit(2)
	g.compact(g.elect())
	g.mustCommit(1)
	for _, v := range g.vms {
		must.NoError(t, v.replica.Close())
		g.boot(v, nil)
	}
	g.mustCommit(1)
}

func TestRestartedLeaderSendsSnapshot(t *testing.T) {
	g := newGroup(t, 2)
	l := g.elect()
	behind := g.vms[0]
	if behind == l {
		behind = g.vms[1]
	}
	g.crash(behind)
	g.mustCommit(5)
	for _, v := range g.vms {
		if v != behind {
			g.compact(v)
			must.NoError(t, v.replica.Close())
			g.boot(v, nil)
		}
	}
	g.boot(behind, nil)
	g.mustCommit(1)
	must.Positive(t, behind.replica.Status().SnapshotIndex)
}

func TestProposalsShareOneSync(t *testing.T) {
	g := newGroup(t, 3)
	l := g.elect()
	before := l.folder.Ops
	g.mustCommit(100)
	must.Eq(t, 3, l.folder.Ops-before, must.Sprint("record, sync, synced length"))
}

func TestStorageFailureStopsReplica(t *testing.T) {
	for cause, code := range map[error]result.Code{unix.EIO: result.StorageFailed, unix.ENOSPC: result.StorageFull} {
		g := newGroup(t, 4)
		l := g.elect()
		r := l.replica
		_, _, err := r.Propose([]byte("x"))
		must.NoError(t, err)
		l.folder.FailAt = l.folder.Ops + 2 // the sync
		l.folder.FailWith = cause
		out, err := r.Process()
		must.Eq(t, code, result.CodeOf(err))
		must.Eq(t, Output{}, out)

		_, _, err = r.Propose([]byte("y"))
		must.Eq(t, code, result.CodeOf(err))
		must.Eq(t, code, result.CodeOf(r.Tick()))
		must.Eq(t, code, result.CodeOf(r.Err()))
		must.Eq(t, raft.Follower, r.Status().SoftState.Role)
		g.run(2 * electionTicks)
		g.mustCommit(1)
		must.Eq(t, code, result.CodeOf(r.Close()))
		g.boot(l, nil)
		g.mustCommit(1)
	}
}

func TestEmptyFolderWithoutBootstrapStaysPassive(t *testing.T) {
	g := newGroup(t, 5)
	lost := g.vms[0]
	g.vms = g.vms[:1]
	must.NoError(t, lost.replica.Close())
	lost.folder = newGroup(t, 6).vms[0].folder.Clone()
	must.NoError(t, lost.folder.Remove("log"))
	g.boot(lost, nil)
	g.run(10 * electionTicks)
	must.Zero(t, lost.replica.Status().SoftState.Term)
}

// benchmarkEntrySize is the size in bytes of a proposal.
const benchmarkEntrySize = 128

// openOnDisk returns a lone voter whose folder is on disk.
func openOnDisk(b *testing.B, path string) *Replica {
	folder, err := vfs.Dir(path)
	must.NoError(b, err)
	r, err := Open(Options{
		Raft: raft.Config{
			ID: "vm1", ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks,
			MaxUncommittedBytes: 1 << 30, Rand: rand.New(rand.NewPCG(1, 1)),
		},
		Folder:    folder,
		Bootstrap: &raft.Configuration{Voters: []string{"vm1"}},
	})
	must.NoError(b, err)
	for range 2 * electionTicks {
		must.NoError(b, r.Tick())
	}
	_, err = r.Process()
	must.NoError(b, err)
	return r
}

// commit commits a batch with one sync.
func commit(b *testing.B, r *Replica, batch int) {
	data := make([]byte, benchmarkEntrySize)
	for range batch {
		if _, _, err := r.Propose(data); err != nil {
			b.Fatal(err)
		}
	}
	out, err := r.Process()
	if err != nil || len(out.Committed) != batch {
		b.Fatalf("%d of %d committed, error %v", len(out.Committed), batch, err)
	}
}

// BenchmarkCommitSync commits batches on the disk of the temporary folder.
func BenchmarkCommitSync(b *testing.B) {
	for _, batch := range []int{1, 64, 1024} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			r := openOnDisk(b, b.TempDir())
			for b.Loop() {
				commit(b, r, batch)
			}
			b.ReportMetric(float64(b.N*batch)/b.Elapsed().Seconds(), "commits/s")
		})
	}
}

// BenchmarkRecover10000 opens a folder with 10,000 entries, each from a sync of
// its own, and hands out all of them for application.
func BenchmarkRecover10000(b *testing.B) {
	const entries = 10000
	path := b.TempDir()
	r := openOnDisk(b, path)
	for range entries {
		commit(b, r, 1)
	}
	must.NoError(b, r.Close())
	for b.Loop() {
		folder, err := vfs.Dir(path)
		must.NoError(b, err)
		r, err := Open(Options{
			Raft: raft.Config{
				ID: "vm1", ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks,
				Rand: rand.New(rand.NewPCG(1, 1)),
			},
			Folder: folder,
		})
		must.NoError(b, err)
		out, err := r.Process()
		must.NoError(b, err)
		must.GreaterEq(b, entries-1, len(out.Committed))
		must.NoError(b, r.Close())
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/1000, "recover_ms")
}
