package main

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
)

// reads that wait for a paused leader.
const waitingReads = 16

// A leader that was paused while its successor accepted a sheet answers no
// waiting read with the former one, and follows when it goes on.
func TestPausedLeaderReadsNothingOld(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.mustSubmit(1)
	leader := c.leader()
	c.signal(leader, syscall.SIGSTOP)
	others := c.operator(slices.Concat(c.vms[:leader], c.vms[leader+1:])...)
	c.waitFor("a successor", func() bool { return c.submitBy(others, 2) == nil })

	client := c.operator(c.vms[leader])
	var reads sync.WaitGroup
	for range waitingReads {
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

// leader returns the position of the VM that leads.
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
