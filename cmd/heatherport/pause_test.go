package main

import (
	"context"
	"slices"
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
	c.signal(leader, syscall.SIGSTOP)
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
