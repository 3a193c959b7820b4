package raft

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestSnapshotInChunks(t *testing.T) {
	c := newCluster(t, 15, 3, 0)
	l := c.elect()
	f := c.followers(l)[0]
	c.isolate(f.id)
	for range 20 {
		c.mustCommit(t)
	}
	c.compact(l)
	clear(c.blockedLinks)
	chunks := 0
	c.filter = func(m *Message) bool {
		if m.Type != MessageSnapshot {
			return true
		}
		must.LessEq(t, 3, len(m.Chunk.Data))
		chunks++
		if chunks == 1 {
			m.Chunk.Data[0]++ // detected by the checksum of the whole snapshot
			return true
		}
		return chunks%2 == 0
	}
	c.run(4 * testElectionTicks)
	must.GreaterEq(t, 3, chunks)
	must.Eq(t, l.node.snapshot.Index, f.disk.Snapshot.Index)
	must.Eq(t, c.maxCommit, f.applied)
}

// Duplicated responses must not multiply the chunks in flight.
func TestDuplicatedSnapshotResponses(t *testing.T) {
	c := newCluster(t, 21, 3, 0)
	l := c.elect()
	f := c.followers(l)[0]
	c.isolate(f.id)
	for range 20 {
		c.mustCommit(t)
	}
	c.compact(l)
	clear(c.blockedLinks)
	chunks := 0
	c.filter = func(m *Message) bool {
		switch m.Type {
		case MessageSnapshot:
			chunks++
		case MessageSnapshotResponse:
			c.network = append(c.network, *m)
		}
		return true
	}
	c.run(testElectionTicks)
	must.Eq(t, c.maxCommit, f.applied)
	must.Eq(t, 3, chunks)
}
