package raft

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// chooser returns a number in [0, n), drawn from rapid or a seeded source.
type chooser func(n int) int

// profile holds the weights of the random actions of a run.
type profile struct {
	tick, deliver, settle, process, client, read, membership, partition, boot, crash, compact, transfer, dropOrDuplicate, wipe int
}

var profiles = [...]profile{
	// Reordered messages.
	{tick: 12, deliver: 24, settle: 1, process: 8, client: 5, read: 2, membership: 2, partition: 1, boot: 3, crash: 1, compact: 2, transfer: 1, dropOrDuplicate: 4},
	// Crashes.
	{tick: 12, deliver: 24, settle: 1, process: 10, client: 4, read: 1, membership: 1, partition: 0, boot: 6, crash: 5, compact: 1, transfer: 1, dropOrDuplicate: 1},
	// Partitions on a fast network.
	{tick: 6, deliver: 4, settle: 8, process: 2, client: 4, read: 8, membership: 1, partition: 4, boot: 2, crash: 1, compact: 1, transfer: 2, dropOrDuplicate: 1},
	// Membership changes between partitions.
	{tick: 6, deliver: 8, settle: 6, process: 4, client: 2, read: 2, membership: 10, partition: 3, boot: 3, crash: 2, compact: 1, transfer: 1, dropOrDuplicate: 1, wipe: 1},
}

// step takes one random step and checks the invariants.
func (c *cluster) step(pick chooser) {
	m := c.members[c.ids[pick(len(c.ids))]]
	p := c.profile
	actions := [...]struct {
		weight int
		do     func()
	}{
		{p.tick, func() { c.tick(func(string) bool { return pick(8) == 0 }) }},
		{p.deliver, func() { c.deliverSome(pick) }},
		{p.settle, func() { c.run(pick(testElectionTicks + 2)) }},
		{p.process, func() { c.process(m) }},
		{p.client, func() { c.stepClient(m, pick) }},
		{p.read, func() { c.stepRead(m, pick) }},
		{p.membership, func() { c.stepMembership(pick) }},
		{p.partition, func() { c.stepPartition(pick) }},
		{p.boot, func() { c.stepBoot(m) }},
		{p.crash, func() { c.crash(m, pick(2) == 0) }},
		{p.compact, func() { c.stepCompact(m) }},
		{p.transfer, func() { c.stepTransfer(pick) }},
		{p.dropOrDuplicate, func() { c.dropOrDuplicate(pick) }},
		{p.wipe, func() { c.stepWipe(m) }},
	}
	total := 0
	for _, a := range actions {
		total += a.weight
	}
	at := pick(total)
	for _, a := range actions {
		if at < a.weight {
			a.do()
			break
		}
		at -= a.weight
	}
	c.checkInvariants()
}

func (c *cluster) stepBoot(m *member) {
	if m.down {
		c.boot(m)
	}
}

func (c *cluster) stepCompact(m *member) {
	if m.down {
		return
	}
	c.process(m)
	c.compact(m)
}

func (c *cluster) stepTransfer(pick chooser) {
	if l := c.leader(); l != nil {
		_ = l.node.TransferLeadership(c.ids[pick(len(c.ids))])
	}
}

func (c *cluster) stepClient(m *member, pick chooser) {
	if l := c.leader(); l != nil && pick(4) > 0 {
		m = l
	}
	if m.down {
		return
	}
	for range 1 + pick(4) {
		_ = c.propose(m)
	}
}

// stepRead reads on m or, with high probability, on a stale leader if there is
// one.
func (c *cluster) stepRead(m *member, pick chooser) {
	newest := c.leader()
	for _, id := range c.ids {
		other := c.members[id]
		if !other.down && other.node.role == Leader && other != newest && pick(4) > 0 {
			m = other
		}
	}
	if !m.down {
		c.read(m)
	}
}

func (c *cluster) stepMembership(pick chooser) {
	l := c.leader()
	if l == nil {
		return
	}
	change := c.nextChange(l, c.ids[pick(len(c.ids))], pick(3) == 0)
	next, _, err := l.node.config().with(change)
	if err == nil && c.canElect(next, nil) {
		_, _ = l.node.ProposeConfig(change)
	}
}

// canElect reports whether the voters that have joined according to their disks,
// other than except, form a quorum.
func (c *cluster) canElect(config Configuration, except *member) bool {
	intact := 0
	for _, id := range config.Voters {
		if m := c.members[id]; m != except && m.disk.HardState.Joined {
			intact++
		}
	}
	return intact >= config.Quorum()
}

// stepWipe wipes the disk of a VM, unless a configuration would be left without
// a quorum. Messages in flight to the VM are dropped.
func (c *cluster) stepWipe(m *member) {
	for _, id := range c.ids {
		if config := c.members[id].node.config(); len(config.Voters) > 0 && !c.canElect(config, m) {
			return
		}
	}
	c.wipes++
	c.network = slices.DeleteFunc(c.network, func(msg Message) bool { return msg.To == m.id })
	c.wipe(m)
}

// stepPartition heals the network and then may split it in two groups, isolate
// the leader or block single links.
func (c *cluster) stepPartition(pick chooser) {
	clear(c.blockedLinks)
	group := make(map[string]int)
	switch pick(5) {
	case 0, 1:
		return
	case 2:
		for _, id := range c.ids {
			group[id] = pick(2)
		}
	case 3:
		if l := c.leader(); l != nil {
			group[l.id] = 1
		}
	}
	for _, from := range c.ids {
		for _, to := range c.ids {
			isSplit := group[from] != group[to]
			if isSplit || len(group) == 0 && pick(4) == 0 {
				c.blockedLinks[link{from, to}] = true
			}
		}
	}
}

func (c *cluster) deliverSome(pick chooser) {
	for range 1 + pick(6) {
		if len(c.network) == 0 {
			return
		}
		c.deliver(pick(len(c.network)))
	}
}

func (c *cluster) dropOrDuplicate(pick chooser) {
	if len(c.network) == 0 {
		return
	}
	i := pick(len(c.network))
	if pick(3) == 0 {
		c.network = append(c.network, c.network[i])
		return
	}
	c.network[i] = c.network[len(c.network)-1]
	c.network = c.network[:len(c.network)-1]
}

// heal ends all faults and checks that the group makes progress.
func (c *cluster) heal() {
	clear(c.blockedLinks)
	for _, id := range c.ids {
		if m := c.members[id]; m.down {
			c.boot(m)
		}
	}
	l := c.elect()
	before := c.maxCommit
	for range 10 {
		if c.propose(l) == nil {
			break
		}
		l = c.elect()
	}
	c.run(2 * testElectionTicks)
	if c.maxCommit <= before {
		c.t.Fatalf("seed %d: no progress after all faults ended", c.seed)
	}
	l = c.leader()
	for _, id := range l.node.config().Members() {
		if m := c.members[id]; m.applied != c.maxCommit {
			c.t.Fatalf("seed %d: %s applied %d of %d entries", c.seed, id, m.applied, c.maxCommit)
		}
	}
}

// TestSafety searches for schedules that violate a safety property and shrinks
// them.
func TestSafety(t *testing.T) {
	var total coverage
	rapid.Check(t, func(rt *rapid.T) {
		c := newCluster(rt, rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(1, 5).Draw(rt, "voters"), 2)
		c.profile = &profiles[rapid.IntRange(0, len(profiles)-1).Draw(rt, "profile")]
		pick := func(n int) int {
			if n <= 1 {
				return 0
			}
			return rapid.SampledFrom(upTo(n)).Draw(rt, "pick") // IntRange prefers small numbers
		}
		rt.Repeat(map[string]func(*rapid.T){
			"step": func(*rapid.T) { c.step(pick) },
		})
		c.heal()
		total.add(c)
	})
	t.Logf("%+v", total)
}

func upTo(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// TestStepWithArbitraryMessages passes arbitrary messages to a node. It must not
// panic, and a node must be able to start from the persisted state.
func TestStepWithArbitraryMessages(t *testing.T) {
	small := rapid.Uint64Range(0, 6)
	ids := rapid.SampledFrom([]string{"vm1", "vm2", "vm3", "vm9"})
	config, err := Configuration{Voters: []string{"vm1", "vm3"}, Learners: []string{"vm2"}}.Encode()
	must.NoError(t, err)
	entry := rapid.Custom(func(rt *rapid.T) Entry {
		return Entry{
			Term: small.Draw(rt, "term"), Index: small.Draw(rt, "index"),
			Kind: EntryKind(rapid.IntRange(0, 3).Draw(rt, "kind")),
			Data: rapid.SampledFrom([][]byte{nil, {1}, config}).Draw(rt, "data"),
		}
	})
	chunk := rapid.Custom(func(rt *rapid.T) *SnapshotChunk {
		return &SnapshotChunk{
			Index: small.Draw(rt, "index"), Term: small.Draw(rt, "term"),
			Offset: rapid.IntRange(-1, 3).Draw(rt, "offset"), Size: rapid.IntRange(-1, 3).Draw(rt, "size"),
			Data: rapid.SliceOfN(rapid.Byte(), 0, 3).Draw(rt, "data"),
		}
	})
	message := rapid.Custom(func(rt *rapid.T) Message {
		return Message{
			Type: MessageType(rapid.IntRange(0, len(messageNames)).Draw(rt, "type")),
			From: ids.Draw(rt, "from"), To: "vm1", Term: small.Draw(rt, "term"),
			Index: small.Draw(rt, "index"), LogTerm: small.Draw(rt, "logTerm"),
			Entries: rapid.SliceOfN(entry, 0, 3).Draw(rt, "entries"),
			Commit:  small.Draw(rt, "commit"), Reject: rapid.Bool().Draw(rt, "reject"),
			HintIndex: small.Draw(rt, "hintIndex"), HintTerm: small.Draw(rt, "hintTerm"),
			Round: small.Draw(rt, "round"), SentTick: small.Draw(rt, "sentTick"),
			Epoch: small.Draw(rt, "epoch"), Force: rapid.Bool().Draw(rt, "force"),
			Chunk: rapid.OneOf(chunk, rapid.Just[*SnapshotChunk](nil)).Draw(rt, "piece"), Offset: rapid.IntRange(-1, 3).Draw(rt, "offset"),
		}
	})
	boot := bootstrapped(t, 3)
	rapid.Check(t, func(rt *rapid.T) {
		n := newTestNode(t, boot.HardState, boot.Entries)
		disk := &member{disk: boot}
		rt.Repeat(map[string]func(*rapid.T){
			"step": func(rt *rapid.T) {
				m := message.Draw(rt, "message")
				if rapid.Bool().Draw(rt, "current") {
					m.Term = n.term
				}
				_ = n.Step(m)
			},
			"tick": func(*rapid.T) { n.Tick() },
			"lead": func(*rapid.T) {
				n.startElection(true)
				disk.persistAll(n)
				_ = n.Step(Message{Type: MessageVoteResponse, From: "vm3", To: "vm1", Term: n.term})
			},
			"propose": func(*rapid.T) {
				_, _, _ = n.Propose([]byte("x"))
				_ = n.ReadIndex(1)
				_ = n.TransferLeadership("vm2")
			},
			"ready": func(rt *rapid.T) {
				disk.persistAll(n)
				_, err := New(n.cfg, disk.disk)
				must.NoError(rt, err)
			},
		})
	})
}

// persistAll persists all pending state of a node and drops its messages.
func (m *member) persistAll(n *Node) {
	for rd, ok := n.Ready(); ok; rd, ok = n.Ready() {
		m.persist(&rd)
		n.Advance()
	}
}

// runSeed takes many random steps from one seed.
func runSeed(t *testing.T, seed uint64, steps int) *cluster {
	rng := rand.New(rand.NewPCG(seed, 0))
	c := newCluster(t, seed, 1+rng.IntN(5), 2)
	c.profile = &profiles[rng.IntN(len(profiles))]
	for range steps {
		c.step(rng.IntN)
	}
	c.heal()
	return c
}

// TestLongRuns runs longer random schedules than TestSafety.
func TestLongRuns(t *testing.T) {
	const (
		seeds = 60
		steps = 1500
	)
	var total coverage
	for seed := range uint64(seeds) {
		total.add(runSeed(t, seed, steps))
	}
	t.Logf("%+v", total)
	must.Greater(t, seeds*20, total.commits)
	must.Greater(t, seeds*5, total.reads)
	must.Greater(t, seeds*2, total.leaders)
	must.Greater(t, seeds*2, total.configs)
	must.Greater(t, seeds, total.snapshots)
	must.Greater(t, seeds/4, total.wipes)
}

// coverage counts the events that the runs have exercised.
type coverage struct {
	commits, reads, leaders, configs, snapshots, wipes int
}

func (v *coverage) add(c *cluster) {
	v.commits += int(c.maxCommit)
	v.reads += c.readsDone
	v.leaders += len(c.leaders)
	v.wipes += c.wipes
	for _, e := range c.entries {
		if e.kind == EntryConfig {
			v.configs++
		}
	}
	for _, m := range c.members {
		if m.disk.Snapshot.Index > 0 {
			v.snapshots++
		}
	}
}
