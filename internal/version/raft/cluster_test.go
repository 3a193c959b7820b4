package raft

import (
	"encoding/binary"
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"heatherport/internal/result"
)

// Timing of the nodes under test, in ticks.
const (
	testElectionTicks  = 10
	testHeartbeatTicks = 2
	testMarginTicks    = 3
	// testMaxLagTicks is the number of ticks by which a node's clock may lag
	// behind the others.
	testMaxLagTicks = 1
)

// TestMain sets a fixed seed and size of the rapid runs unless they are given on
// the command line.
func TestMain(m *testing.M) {
	flag.Parse()
	defaults := map[string]string{"rapid.seed": "1", "rapid.checks": "100", "rapid.steps": "150", "rapid.nofailfile": "true"}
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// fataler is the subset of testing.TB and rapid.T that cluster uses.
type fataler interface {
	Fatalf(format string, args ...any)
}

// link is a network link between two VMs in one direction.
type link struct{ from, to string }

// entryID identifies an entry. By the log matching property it determines the
// entry and all entries before it.
type entryID struct{ index, term uint64 }

type entryContent struct {
	prevTerm uint64
	kind     EntryKind
	data     string
}

// committedEntry is an entry that at least one node has applied.
type committedEntry struct {
	term    uint64
	data    string
	minTerm uint64 // lowest term of the nodes that applied it
	state   uint64 // application state after the entry
}

// member is a VM with a node, its disk and its application state.
type member struct {
	id       string
	node     *Node
	disk     State
	applied  uint64
	state    uint64 // hash over all applied entries
	lagTicks int    // ticks by which its clock lags behind
	down     bool
	boots    uint64
}

// cluster is a set of VMs on a simulated network that drops, duplicates and
// reorders messages and can be partitioned.
type cluster struct {
	t            fataler
	members      map[string]*member
	ids          []string // sorted
	network      []Message
	blockedLinks map[link]bool
	profile      *profile
	seed         uint64
	entries      map[entryID]entryContent
	committed    map[uint64]committedEntry
	leaders      map[uint64]string
	maxCommit    uint64
	reads        map[uint64]uint64 // context to the lowest linearizable index
	readsDone    int
	nextRead     uint64
	proposals    int
	wipes        int
	adjustConfig func(*Config)
	filter       func(*Message) bool // messages for which it returns false are dropped
}

func newCluster(t fataler, seed uint64, voters, spares int) *cluster {
	c := &cluster{
		t: t, seed: seed,
		members: make(map[string]*member), blockedLinks: make(map[link]bool), profile: &profiles[0],
		entries: make(map[entryID]entryContent), committed: make(map[uint64]committedEntry),
		leaders: make(map[uint64]string), reads: make(map[uint64]uint64),
	}
	for i := range voters + spares {
		c.ids = append(c.ids, fmt.Sprintf("vm%d", i+1))
	}
	boot, err := Bootstrap(Configuration{Voters: c.ids[:voters]})
	c.check(err)
	for i, id := range c.ids {
		m := &member{id: id}
		if i < voters {
			m.disk = boot
		}
		c.members[id] = m
		c.boot(m)
	}
	return c
}

func (c *cluster) check(err error) {
	if err != nil {
		c.t.Fatalf("seed %d: %v", c.seed, err)
	}
}

// boot starts a VM from the contents of its disk.
func (c *cluster) boot(m *member) {
	m.boots++
	cfg := Config{
		ID: m.id, ElectionTicks: testElectionTicks, HeartbeatTicks: testHeartbeatTicks,
		LeaseMarginTicks: testMarginTicks, MaxEntriesPerMessage: 4, MaxInflight: 3,
		MaxSnapshotChunkBytes: 3, TrailingEntries: 2, MaxLearnerLag: 8,
		Rand: rand.New(rand.NewPCG(c.seed, binary.LittleEndian.Uint64(append([]byte(m.id), 0, 0, 0, 0, 0))+m.boots)),
	}
	if c.adjustConfig != nil {
		c.adjustConfig(&cfg)
	}
	disk := m.disk
	disk.Entries = slices.Clone(disk.Entries)
	node, err := New(cfg, disk)
	c.check(err)
	m.node = node
	m.down = false
	m.lagTicks = 0
	m.restore(disk.Snapshot)
}

func (m *member) restore(s Snapshot) {
	m.applied = s.Index
	m.state = 0
	if s.Index > 0 {
		m.state = binary.BigEndian.Uint64(s.Data)
	}
}

// persist writes the durable state of a Ready to the disk.
func (m *member) persist(rd *Ready) {
	if rd.Snapshot != nil {
		m.disk.Snapshot = *rd.Snapshot
		m.disk.Entries = nil
	}
	if rd.HardState != nil {
		m.disk.HardState = *rd.HardState
	}
	if len(rd.Entries) > 0 {
		keep := rd.Entries[0].Index - m.disk.Snapshot.Index - 1
		m.disk.Entries = append(slices.Clone(m.disk.Entries[:keep]), rd.Entries...)
	}
}

// process handles all pending output of a VM's node.
func (c *cluster) process(m *member) {
	for !m.down {
		rd, ok := m.node.Ready()
		if !ok {
			return
		}
		m.persist(&rd)
		for _, msg := range rd.Messages {
			c.sendMessage(msg)
		}
		if rd.Snapshot != nil {
			m.restore(*rd.Snapshot)
			c.checkRestored(m)
		}
		for _, e := range rd.Committed {
			c.apply(m, e)
		}
		for _, r := range rd.ReadStates {
			c.checkRead(m, r)
		}
		m.node.Advance()
	}
}

// sendMessage puts a copy of the message, encoded and decoded as on a link, on
// the network.
func (c *cluster) sendMessage(msg Message) {
	data, err := cbor.Marshal(msg)
	c.check(err)
	var copied Message
	c.check(cbor.Unmarshal(data, &copied))
	if c.filter != nil && !c.filter(&copied) {
		return
	}
	c.network = append(c.network, copied)
}

// crash stops a VM. If persisted is set, the crash happens after the pending
// state was persisted and before any message was sent.
func (c *cluster) crash(m *member, persisted bool) {
	if m.down {
		return
	}
	if rd, ok := m.node.Ready(); ok && persisted {
		m.persist(&rd)
	}
	m.down = true
}

func (c *cluster) apply(m *member, e Entry) {
	if e.Index != m.applied+1 {
		c.t.Fatalf("seed %d: %s applies entry %d after %d", c.seed, m.id, e.Index, m.applied)
	}
	m.applied = e.Index
	m.state = hashEntry(m.state, e)
	seen, ok := c.committed[e.Index]
	if !ok {
		c.committed[e.Index] = committedEntry{term: e.Term, data: string(e.Data), minTerm: m.node.term, state: m.state}
		c.maxCommit = max(c.maxCommit, e.Index)
		return
	}
	if seen.term != e.Term || seen.data != string(e.Data) || seen.state != m.state {
		c.t.Fatalf("seed %d: state machine safety: %s applies entry %d of term %d, another node applied term %d",
			c.seed, m.id, e.Index, e.Term, seen.term)
	}
	seen.minTerm = min(seen.minTerm, m.node.term)
	c.committed[e.Index] = seen
}

func hashEntry(state uint64, e Entry) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %d %d %q", state, e.Index, e.Term, e.Data)
	return h.Sum64()
}

func (c *cluster) checkRestored(m *member) {
	if want := c.committed[m.applied].state; want != m.state {
		c.t.Fatalf("seed %d: %s restored a wrong state at index %d", c.seed, m.id, m.applied)
	}
}

func (c *cluster) checkRead(m *member, r ReadState) {
	minIndex, ok := c.reads[r.Context]
	if !ok {
		return // already answered; responses may be duplicated
	}
	delete(c.reads, r.Context)
	c.readsDone++
	if r.Index < minIndex {
		c.t.Fatalf("seed %d: stale read on %s at index %d, %d was already committed", c.seed, m.id, r.Index, minIndex)
	}
}

// checkInvariants checks the safety properties of Raft.
func (c *cluster) checkInvariants() {
	for _, id := range c.ids {
		m := c.members[id]
		if m.down {
			continue
		}
		if m.node.role == Leader {
			c.checkLeader(m.node)
		}
		c.checkLog(m.node)
	}
}

func (c *cluster) checkLeader(n *Node) {
	if other, ok := c.leaders[n.term]; ok && other != n.cfg.ID {
		c.t.Fatalf("seed %d: election safety: %s and %s lead term %d", c.seed, other, n.cfg.ID, n.term)
	}
	c.leaders[n.term] = n.cfg.ID
	for i := n.log.firstIndex(); i <= c.maxCommit; i++ {
		want, ok := c.committed[i]
		if ok && want.minTerm < n.term && !n.log.matches(i, want.term) {
			c.t.Fatalf("seed %d: leader completeness: %s in term %d lacks entry %d", c.seed, n.cfg.ID, n.term, i)
		}
	}
}

func (c *cluster) checkLog(n *Node) {
	prev := n.log.prevTerm
	for _, e := range n.log.entries {
		content := entryContent{prevTerm: prev, kind: e.Kind, data: string(e.Data)}
		seen, ok := c.entries[entryID{e.Index, e.Term}]
		if ok && seen != content {
			c.t.Fatalf("seed %d: log matching: %s has a different entry %d of term %d", c.seed, n.cfg.ID, e.Index, e.Term)
		}
		c.entries[entryID{e.Index, e.Term}] = content
		prev = e.Term
	}
}

// leader returns the leader of the highest term, or nil.
func (c *cluster) leader() *member {
	var best *member
	for _, id := range c.ids {
		m := c.members[id]
		if m.down || m.node.role != Leader {
			continue
		}
		if best == nil || m.node.term > best.node.term {
			best = m
		}
	}
	return best
}

// tick advances the clock of each VM by one tick. The clocks of VMs for which
// lag returns true fall behind by a tick or, if they lag already, catch up.
func (c *cluster) tick(lag func(id string) bool) {
	for _, id := range c.ids {
		m := c.members[id]
		switch {
		case m.down:
			continue
		case lag(id) && m.lagTicks < testMaxLagTicks:
			m.lagTicks++
			continue
		case lag(id):
			m.node.Tick()
			m.lagTicks--
		}
		m.node.Tick()
	}
}

func (c *cluster) deliver(i int) {
	msg := c.network[i]
	c.network = slices.Delete(c.network, i, i+1)
	m := c.members[msg.To]
	if m.down || c.blockedLinks[link{msg.From, msg.To}] {
		return
	}
	c.check(m.node.Step(msg))
}

// run advances the cluster by some ticks without new faults.
func (c *cluster) run(ticks int) {
	for range ticks {
		c.tick(func(string) bool { return false })
		c.settle()
	}
}

// settle delivers messages until none are left.
func (c *cluster) settle() {
	for {
		for _, id := range c.ids {
			c.process(c.members[id])
		}
		c.checkInvariants()
		if len(c.network) == 0 {
			return
		}
		for range len(c.network) {
			c.deliver(0)
		}
	}
}

// elect runs the cluster until a leader has committed an entry of its term.
func (c *cluster) elect() *member {
	for range 20 {
		c.run(testElectionTicks)
		if l := c.leader(); l != nil && l.node.commitIndex >= l.node.noopIndex {
			return l
		}
	}
	c.t.Fatalf("seed %d: no leader", c.seed)
	return nil
}

func (c *cluster) propose(m *member) error {
	c.proposals++
	_, _, err := m.node.Propose(fmt.Appendf(nil, "p%d", c.proposals))
	return err
}

func (c *cluster) read(m *member) {
	c.nextRead++
	c.reads[c.nextRead] = c.maxCommit
	if err := m.node.ReadIndex(c.nextRead); err != nil {
		delete(c.reads, c.nextRead)
	}
}

func (c *cluster) compact(m *member) {
	if m.applied <= m.node.snapshot.Index {
		return
	}
	snap, err := m.node.Compact(m.applied, binary.BigEndian.AppendUint64(nil, m.state))
	c.check(err)
	drop := snap.Index - m.disk.Snapshot.Index
	m.disk.Entries = slices.Clone(m.disk.Entries[drop:])
	m.disk.Snapshot = snap
}

// nextChange returns the change that an operator makes next to add a VM, first
// as a learner and then as a voter, or to remove it.
func (c *cluster) nextChange(l *member, id string, remove bool) ConfigChange {
	change := ConfigChange{Kind: AddLearner, ID: id}
	switch {
	case remove:
		change.Kind = RemoveMember
	case l.node.config().IsLearner(id):
		change.Kind = PromoteLearner
	}
	return change
}

func (c *cluster) change(l *member, id string, remove bool) error {
	_, err := l.node.ProposeConfig(c.nextChange(l, id, remove))
	return err
}

// isolate blocks the links between a VM and all others.
func (c *cluster) isolate(id string) {
	for _, other := range c.ids {
		if other != id {
			c.blockedLinks[link{id, other}] = true
			c.blockedLinks[link{other, id}] = true
		}
	}
}

// wipe replaces a VM's disk by an empty one and restarts the VM.
func (c *cluster) wipe(m *member) {
	m.disk = State{}
	c.boot(m)
}

// followers returns the other running voters of the leader's configuration.
func (c *cluster) followers(l *member) []*member {
	var out []*member
	for _, id := range l.node.config().Voters {
		if m := c.members[id]; m != l && !m.down {
			out = append(out, m)
		}
	}
	return out
}

// mustChange makes a membership change and waits until it is committed.
func (c *cluster) mustChange(t *testing.T, kind ChangeKind, id string) {
	t.Helper()
	l := c.elect()
	index, err := l.node.ProposeConfig(ConfigChange{Kind: kind, ID: id})
	must.NoError(t, err)
	c.run(2 * testHeartbeatTicks)
	must.GreaterEq(t, index, c.maxCommit)
}

// replaceVoter removes one voter and adds another VM in its place.
func (c *cluster) replaceVoter(t *testing.T, old, replacement string) {
	t.Helper()
	c.mustChange(t, RemoveMember, old)
	c.mustChange(t, AddLearner, replacement)
	c.run(2 * testElectionTicks)
	c.mustChange(t, PromoteLearner, replacement)
}

func (c *cluster) mustCommit(t *testing.T) {
	t.Helper()
	before := c.maxCommit
	must.NoError(t, c.propose(c.elect()))
	c.run(2 * testHeartbeatTicks)
	must.Greater(t, before, c.maxCommit)
}

func code(err error) result.Code { return result.CodeOf(err) }

// bootstrapped returns the initial state of a group of voters vm1 to vmN.
func bootstrapped(t *testing.T, voters int) State {
	t.Helper()
	var config Configuration
	for i := range voters {
		config.Voters = append(config.Voters, fmt.Sprintf("vm%d", i+1))
	}
	s, err := Bootstrap(config)
	must.NoError(t, err)
	return s
}

// drain processes all pending output of a node and returns its messages.
func drain(n *Node) []Message {
	var out []Message
	for {
		rd, ok := n.Ready()
		if !ok {
			return out
		}
		out = append(out, rd.Messages...)
		n.Advance()
	}
}

func newTestNode(t *testing.T, hs HardState, entries []Entry) *Node {
	t.Helper()
	n, err := New(Config{
		ID: "vm1", ElectionTicks: testElectionTicks, HeartbeatTicks: testHeartbeatTicks,
		Rand: rand.New(rand.NewPCG(1, 1)),
	}, State{HardState: hs, Entries: entries})
	must.NoError(t, err)
	return n
}

// newLeaderNode returns the node vm1 as leader of the term after hs.Term.
func newLeaderNode(t *testing.T, hs HardState, entries []Entry) *Node {
	t.Helper()
	n := newTestNode(t, hs, entries)
	n.startElection(false)
	drain(n)
	for _, id := range n.config().Voters[1:n.config().Quorum()] {
		must.NoError(t, n.Step(Message{Type: MessageVoteResponse, From: id, To: "vm1", Term: n.term}))
	}
	must.Eq(t, Leader, n.role)
	drain(n)
	return n
}
