package main

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"heatherport/internal/process/metrics"
	"heatherport/internal/result"
)

// submitter submits sheets with growing numbers until stop is closed.
type submitter struct {
	*cluster
	accepted atomic.Uint64 // newest number that was acknowledged
}

func (s *submitter) run(stop <-chan struct{}) {
	for n := uint64(1); ; {
		select {
		case <-stop:
			return
		default:
		}
		err := s.submit(n)
		switch code := result.CodeOf(err); {
		case err == nil:
			s.accepted.Store(n)
			n++
		case code.Class() == result.ClassUnavailable, code == result.OutcomeUnknown, code == result.ShuttingDown:
		default:
			s.t.Errorf("sheet %d: %v", n, err)
			return
		}
	}
}

// checkNever checks that no ready VM shows a sheet older than one that it
// showed before in the same process.
func (s *submitter) checkNever(stop <-chan struct{}) {
	highest := make(map[string]uint64)
	for {
		select {
		case <-stop:
			return
		case <-time.After(pollInterval):
		}
		for _, v := range s.vms {
			h, ok := v.health()
			if !ok || !h.Ready {
				continue
			}
			if h.SheetNumber < highest[v.name] {
				s.t.Errorf("%s went back from sheet %d to %d", v.name, highest[v.name], h.SheetNumber)
			}
			highest[v.name] = h.SheetNumber
		}
	}
}

// rounds of kills in one test.
const rounds = 4

// settled waits until sheets are accepted again.
func (s *submitter) settled() {
	s.t.Helper()
	before := s.accepted.Load()
	s.waitFor("a sheet accepted after the failure", func() bool { return s.accepted.Load() > before+1 })
}

// caughtUp waits until all VMs have what is acknowledged now.
func (s *submitter) caughtUp() {
	s.t.Helper()
	accepted := s.accepted.Load()
	s.waitAll("acknowledged sheet in force", func(h metrics.Health) bool { return h.SheetNumber >= accepted })
}

// Sheets that were acknowledged stay in force while voters are killed, one or
// two at a time.
func TestKilledVotersLoseNoSheet(t *testing.T) {
	t.Parallel()
	s := &submitter{cluster: newCluster(t)}
	random := rand.New(rand.NewPCG(1, 0))
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { s.run(stop) })
	running.Go(func() { s.checkNever(stop) })
	s.settled()
	for round := range rounds {
		victims := random.Perm(clusterVoters)[:1+round%2]
		for _, i := range victims {
			s.kill(i)
		}
		if len(victims) == 1 {
			s.settled()
		}
		for _, i := range victims {
			s.start(i)
		}
		s.settled()
		s.caughtUp()
	}
	s.kill(clusterVoters)
	s.start(clusterVoters)
	s.caughtUp()
	s.waitReady()
	close(stop)
	running.Wait()
	accepted := s.accepted.Load()
	t.Logf("%d sheets accepted", accepted)
	s.waitAll("the last acknowledged sheet or a newer one", func(h metrics.Health) bool { return h.SheetNumber >= accepted })
	s.mustSubmit(accepted + 2)
}

// A voter whose data folder is gone grants no votes until the leader has
// removed it, added it as a learner and promoted it.
func TestLostDataFoldersAreReplaced(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.mustSubmit(1)
	for i := range clusterVoters {
		c.kill(i)
	}
	must.NoError(t, os.RemoveAll(c.vms[0].dataDir()))
	must.NoError(t, os.Mkdir(c.vms[0].dataDir(), 0o700))
	c.start(0)
	c.start(1)
	must.Error(t, c.submit(2), must.Sprint("one log of three is not a majority"))
	must.Nil(t, c.voters())
	c.start(2)
	c.waitRepaired(0)
	c.mustSubmit(2)

	// The next one is lost right after the repair, and then another fails.
	c.kill(1)
	must.NoError(t, os.RemoveAll(c.vms[1].dataDir()))
	must.NoError(t, os.Mkdir(c.vms[1].dataDir(), 0o700))
	c.start(1)
	c.waitRepaired(1)
	c.kill(2)
	c.mustSubmit(3)
	c.start(2)
	c.waitReady()
	c.mustSubmit(4)
}

// waitRepaired waits until VM i votes again and checks how it came to that.
func (c *cluster) waitRepaired(i int) {
	c.t.Helper()
	name := c.vms[i].name
	steps := func() string { return strings.Join(c.changes(name), ", ") }
	c.waitFor(name+" promoted", func() bool { return strings.HasSuffix(steps(), "learner promoted") })
	c.waitFor("three voters", func() bool { return len(c.voters()) == clusterVoters })
	must.StrHasPrefix(c.t, "removed, learner added, learner promoted", steps())
}

// A log that is damaged within its synced part stops the start.
func TestDamagedLogStopsTheStart(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.mustSubmit(1)
	c.kill(0)
	path := filepath.Join(c.vms[0].dataDir(), "log")
	data, err := os.ReadFile(path)
	must.NoError(t, err)
	const firstRecord = 4096 + 16 // within the first record
	data[firstRecord] ^= 1
	must.NoError(t, os.WriteFile(path, data, 0o600))
	c.start(0)
	status := c.end(0)
	must.True(t, status.Exited())
	must.Eq(t, exitClass(result.StorageCorrupt), status.ExitStatus())
	must.StrContains(t, c.vms[0].stderr.String(), result.StorageCorrupt.String())
	must.StrContains(t, c.vms[0].stderr.String(), "log")
	c.mustSubmit(2)
}

// SIGTERM stops a VM gracefully; a second one ends it at once.
func TestSignals(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.mustSubmit(1)
	c.signal(3, syscall.SIGTERM)
	status := c.end(3)
	must.True(t, status.Exited())
	must.Eq(t, 0, status.ExitStatus())
	must.MapNotContainsKey(t, c.members(), clusterNames[3])

	// Without a majority nobody can take the VM out, so that its stop lasts.
	c.kill(1)
	c.kill(2)
	c.signal(0, syscall.SIGTERM)
	c.waitFor("stopping", func() bool {
		h, ok := c.vms[0].health()
		return ok && !h.Ready
	})
	c.signal(0, syscall.SIGTERM)
	status = c.end(0)
	must.True(t, status.Signaled())
	must.Eq(t, syscall.SIGTERM, status.Signal())
}
