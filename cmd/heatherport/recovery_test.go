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

// submitter submits sheets with increasing numbers.
type submitter struct {
	*cluster
	accepted atomic.Uint64 // highest acknowledged number
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

// checkMonotonic checks until stop is closed that the sheet number of a ready VM
// never decreases.
func (s *submitter) checkMonotonic(stop <-chan struct{}) {
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
				s.t.Errorf("sheet number of %s decreased from %d to %d", v.name, highest[v.name], h.SheetNumber)
			}
			highest[v.name] = h.SheetNumber
		}
	}
}

const killRounds = 4

// waitAccepting waits until two more sheets are accepted.
func (s *submitter) waitAccepting() {
	s.t.Helper()
	before := s.accepted.Load()
	s.waitFor("a sheet accepted after the failure", func() bool { return s.accepted.Load() > before+1 })
}

// waitCaughtUp waits until the highest acknowledged sheet or a newer one is in
// force on all running VMs.
func (s *submitter) waitCaughtUp() {
	s.t.Helper()
	accepted := s.accepted.Load()
	s.waitForAll("acknowledged sheet in force", func(h metrics.Health) bool { return h.SheetNumber >= accepted })
}

// TestKilledVotersLoseNoSheet checks that acknowledged sheets stay in force while
// voters are killed, one or two at a time.
func TestKilledVotersLoseNoSheet(t *testing.T) {
	t.Parallel()
	s := &submitter{cluster: newCluster(t)}
	random := rand.New(rand.NewPCG(1, 0))
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { s.run(stop) })
	running.Go(func() { s.checkMonotonic(stop) })
	s.waitAccepting()
	for round := range killRounds {
		killed := random.Perm(clusterVoters)[:1+round%2]
		for _, i := range killed {
			s.kill(i)
		}
		if len(killed) == 1 {
			s.waitAccepting()
		}
		for _, i := range killed {
			s.start(i)
		}
		s.waitAccepting()
		s.waitCaughtUp()
	}
	s.kill(clusterVoters)
	s.start(clusterVoters)
	s.waitCaughtUp()
	s.waitReady()
	close(stop)
	running.Wait()
	accepted := s.accepted.Load()
	t.Logf("%d sheets accepted", accepted)
	s.waitForAll("the last acknowledged sheet or a newer one", func(h metrics.Health) bool { return h.SheetNumber >= accepted })
	s.mustSubmit(accepted + 2)
}

// TestLostDataFoldersAreReplaced checks that a voter without its data folder
// grants no votes until the leader has removed it, added it as a learner and
// promoted it.
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
	must.Error(t, c.submit(2), must.Sprint("one log of three is not a quorum"))
	must.Nil(t, c.voters())
	c.start(2)
	c.waitVoterReplaced(0)
	c.mustSubmit(2)

	// Another voter loses its data folder right after the first was replaced, and
	// the third fails after that.
	c.kill(1)
	must.NoError(t, os.RemoveAll(c.vms[1].dataDir()))
	must.NoError(t, os.Mkdir(c.vms[1].dataDir(), 0o700))
	c.start(1)
	c.waitVoterReplaced(1)
	c.kill(2)
	c.mustSubmit(3)
	c.start(2)
	c.waitReady()
	c.mustSubmit(4)
}

// waitVoterReplaced waits until VM i is a voter again and checks the changes that
// led to it.
func (c *cluster) waitVoterReplaced(i int) {
	c.t.Helper()
	name := c.vms[i].name
	steps := func() string { return strings.Join(c.voterChanges(name), ", ") }
	c.waitFor(name+" promoted", func() bool { return strings.HasSuffix(steps(), "learner promoted") })
	c.waitFor("three voters", func() bool { return len(c.voters()) == clusterVoters })
	must.StrHasPrefix(c.t, "removed, learner added, learner promoted", steps())
}

// TestDamagedLogStopsTheStart checks that a VM does not start if its log is
// corrupt before the end of the synced data.
func TestDamagedLogStopsTheStart(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.mustSubmit(1)
	c.kill(0)
	path := filepath.Join(c.vms[0].dataDir(), "log")
	data, err := os.ReadFile(path)
	must.NoError(t, err)
	const firstRecord = 4096 + 16 // offset within the first record
	data[firstRecord] ^= 1
	must.NoError(t, os.WriteFile(path, data, 0o600))
	c.start(0)
	status := c.waitExit(0)
	must.True(t, status.Exited())
	must.Eq(t, exitCode(result.StorageCorrupt), status.ExitStatus())
	must.StrContains(t, c.vms[0].stderr.String(), result.StorageCorrupt.String())
	must.StrContains(t, c.vms[0].stderr.String(), "log")
	c.mustSubmit(2)
}

// TestSignals checks that SIGTERM stops a VM gracefully and that a second SIGTERM
// terminates it at once.
func TestSignals(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.mustSubmit(1)
	c.signal(3, syscall.SIGTERM)
	status := c.waitExit(3)
	must.True(t, status.Exited())
	must.Eq(t, 0, status.ExitStatus())
	must.MapNotContainsKey(t, c.members(), clusterNames[3])

	// Without a quorum the VM cannot be removed from the membership, so that its
	// graceful stop does not finish before the second signal.
	c.kill(1)
	c.kill(2)
	c.signal(0, syscall.SIGTERM)
	c.waitFor("stopping", func() bool {
		h, ok := c.vms[0].health()
		return ok && !h.Ready
	})
	c.signal(0, syscall.SIGTERM)
	status = c.waitExit(0)
	must.True(t, status.Signaled())
	must.Eq(t, syscall.SIGTERM, status.Signal())
}
