package slopes

import (
	"fmt"
	"math/rand/v2"

	"heatherport/internal/measure"
	"heatherport/internal/version/raft"
)

// The voters tick every 100 ms and have the timeouts of a running VM.
const (
	electionTicks  = 10
	heartbeatTicks = 1
	ticksPerSecond = 10
	idleSeconds    = 20
	commandCount   = 500
)

// voters is a group of Raft nodes on a network without loss or delay.
type voters struct {
	ids             []string
	nodes           map[string]*raft.Node
	messages, bytes int
}

func newVoters(n int) *voters {
	g := &voters{nodes: make(map[string]*raft.Node)}
	for i := range n {
		g.ids = append(g.ids, fmt.Sprintf("voter-%d", i))
	}
	for i, id := range g.ids {
		g.nodes[id] = newVoter(id, uint64(i), g.ids)
	}
	return g
}

func newVoter(id string, seed uint64, ids []string) *raft.Node {
	initial, err := raft.Bootstrap(raft.Configuration{Voters: ids})
	if err != nil {
		panic(err)
	}
	node, err := raft.New(raft.Config{
		ID: id, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks,
		Rand: rand.New(rand.NewPCG(seed, 1)),
	}, initial)
	if err != nil {
		panic(err)
	}
	return node
}

// deliverAll delivers messages until none is pending.
func (g *voters) deliverAll() {
	for delivered := true; delivered; {
		delivered = false
		for _, id := range g.ids {
			delivered = g.sendReady(g.nodes[id]) || delivered
		}
	}
}

// sendReady delivers the messages of a node and reports whether it had pending
// output.
func (g *voters) sendReady(n *raft.Node) bool {
	ready, ok := n.Ready()
	if !ok {
		return false
	}
	n.Advance()
	for _, m := range ready.Messages {
		g.messages++
		g.bytes += linkHeaderSize + encodedSize(m)
		// Step returns an error for a message of an old term, which is expected.
		_ = g.nodes[m.To].Step(m)
	}
	return true
}

func (g *voters) tick() {
	for _, id := range g.ids {
		g.nodes[id].Tick()
	}
	g.deliverAll()
}

func (g *voters) leader() *raft.Node {
	for {
		for _, n := range g.nodes {
			if n.Status().SoftState.Role == raft.Leader {
				return n
			}
		}
		g.tick()
	}
}

// count returns the number of messages sent during f and their bytes.
func (g *voters) count(f func()) (messages, bytes float64) {
	m, b := g.messages, g.bytes
	f()
	return float64(g.messages - m), float64(g.bytes - b)
}

// raftCost counts the messages of all voters together, without commands and for
// each command, by the number of voters and by the size of a command.
func raftCost() []measure.Figure {
	var f figures
	for _, n := range []int{3, 4, 5, 7} {
		g := newVoters(n)
		g.leader()
		messages, bytes := g.count(func() {
			for range idleSeconds * ticksPerSecond {
				g.tick()
			}
		})
		f.add(fmt.Sprintf("raft_idle_messages_v%d", n), messages/idleSeconds, "messages/s")
		f.add(fmt.Sprintf("raft_idle_bytes_v%d", n), bytes/idleSeconds, "bytes/s")
		_, commandBytes := g.commit(smallCommandSize)
		f.add(fmt.Sprintf("raft_command_bytes_v%d", n), commandBytes, "bytes")
	}
	g := newVoters(3)
	for _, size := range []int{16, 64, 256, 1024, 4096} {
		messages, bytes := g.commit(size)
		f.add(fmt.Sprintf("raft_command_messages_b%d", size), messages, "messages")
		f.add(fmt.Sprintf("raft_command_bytes_b%d", size), bytes, "bytes")
	}
	return f
}

// smallCommandSize is the size of a small command, such as a change of status.
const smallCommandSize = 64

// commit returns the mean messages and bytes of a command of a given size.
// Commands are committed one at a time.
func (g *voters) commit(size int) (messages, bytes float64) {
	leader := g.leader()
	messages, bytes = g.count(func() {
		for range commandCount {
			if _, _, err := leader.Propose(make([]byte, size)); err != nil {
				panic(err)
			}
			g.deliverAll()
		}
	})
	return messages / commandCount, bytes / commandCount
}
