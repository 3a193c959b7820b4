package main

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
)

// concurrentReads is the number of reads sent to a paused leader.
const concurrentReads = 16

// TestPausedLeaderServesNoStaleRead checks that a leader that was paused while its
// successor accepted a sheet serves no read with the previous sheet after it
// resumes, and becomes a follower.
func TestPausedLeaderServesNoStaleRead(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.mustSubmit(1)
	leader := c.leader()
	c.pause(leader)
	others := c.operatorClient(slices.Concat(c.vms[:leader], c.vms[leader+1:])...)
	c.waitFor("sheet accepted by a new leader", func() bool { return c.submitBy(others, 2) == nil })

	client := c.operatorClient(c.vms[leader])
	var reads sync.WaitGroup
	for range concurrentReads {
		reads.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			s, err := client.Sheet(ctx)
			if err == nil && s.Number < 2 {
				t.Errorf("read sheet %d after sheet 2 was accepted", s.Number)
			}
		})
	}
	c.signal(leader, syscall.SIGCONT)
	reads.Wait()
	c.mustSubmit(3)
	must.NotEq(t, leader, c.leader())
}

// pause stops VM i and waits until none of its threads runs. Under load that
// takes tens of milliseconds, in which a leader could still accept a sheet.
func (c *cluster) pause(i int) {
	c.signal(i, syscall.SIGSTOP)
	tasks := fmt.Sprintf("/proc/%d/task/*/stat", c.vms[i].process.Process.Pid)
	c.waitFor("all threads stopped", func() bool {
		files, err := filepath.Glob(tasks)
		must.NoError(c.t, err)
		return len(files) > 0 && !slices.ContainsFunc(files, func(f string) bool { return !isStopped(f) })
	})
}

// isStopped reports whether a thread is stopped, by its stat file in /proc.
func isStopped(file string) bool {
	b, err := os.ReadFile(file)
	if err != nil {
		return errors.Is(err, fs.ErrNotExist) // the thread has ended
	}
	// The state follows the name, which is in parentheses.
	_, state, _ := strings.Cut(string(b), ") ")
	return strings.HasPrefix(state, "T")
}

// leader waits for a leader and returns its index.
func (c *cluster) leader() int {
	i := -1
	c.waitFor("a leader", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		s, err := c.client.Status(ctx)
		if err != nil || !s.Majority {
			return false
		}
		i = slices.Index(clusterNames, s.Leader)
		return i >= 0
	})
	return i
}
