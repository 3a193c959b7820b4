package controller

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"heatherport/internal/process/metrics"
	"heatherport/internal/result"
	"heatherport/internal/version/raft"
	"heatherport/internal/version/register"
	"heatherport/internal/version/replica"
	"heatherport/internal/version/vfs"
)

const (
	// tickInterval is the tick of the replicated log.
	tickInterval = 50 * time.Millisecond
	// electionTicks gives election timeouts of 0.5 to 1 s, well above the delay
	// between failure domains and the duration of a slow disk sync.
	electionTicks  = 10
	heartbeatTicks = 2
	// learnerLag is the number of entries by which a learner may trail when it
	// is promoted.
	learnerLag = 8
	// compactEntries and compactBytes bound the log after a snapshot. A start
	// reads all of it.
	compactEntries = 64
	compactBytes   = 512 << 10
	// reopenInterval is the time between attempts to open the log after a
	// storage failure.
	reopenInterval = 500 * time.Millisecond
	// membershipInterval is the time between two checks of the membership.
	membershipInterval = 200 * time.Millisecond
	// confirmRetry is the time after which a read that confirms the state is repeated:
	// the link to the leader may not have been open.
	confirmRetry = 100 * time.Millisecond
	// bootstrapWait is how long a new leader waits for the full number of voters
	// before it accepts documents with fewer.
	bootstrapWait = 4 * time.Second
	// eventQueue bounds the events that wait while the disk is busy.
	eventQueue = 1024
)

// consensusConfig configures a consensus.
type consensusConfig struct {
	DataDir             string
	OpenFolder          func(path string) (vfs.FS, error)
	Self                Member // its ID is not set
	InitialVoters       []netip.AddrPort
	ToleratedDiskLosses int
	Log                 hclog.Logger
	Metrics             *metrics.Controller
	// Send sends a message to another member.
	Send func(m raft.Message)
	// InForce is called with each document that comes into force.
	InForce func(register.Document)
	// Evacuated is called with the evacuations when they change.
	Evacuated func(*register.Evacuations)
	// Confirmed is called when it changes whether the state that was passed on holds
	// all that had been acknowledged when the leader was found.
	Confirmed func(bool)
	// Controllers returns the known controllers by ID.
	Controllers func() map[string]candidate
}

// replicaStatus is a copy of the state of the replica for other goroutines.
type replicaStatus struct {
	ID       string
	Leader   string
	IsLeader bool
	LogOpen  bool // the replicated log is open
	Term     uint64
	Number   uint64
	Level    uint64 // feature level in force
	// BuildTooOld reports that the log stays closed until a newer build starts.
	BuildTooOld bool
	// Evacuations are those that this replica has applied.
	Evacuations *register.Evacuations
}

// consensus runs the replicated log. A single goroutine owns the replica,
// because a sync may take seconds on a faulty disk. All others post events to
// it.
type consensus struct {
	cfg      consensusConfig
	events   chan func()
	status   atomic.Pointer[replicaStatus]
	identity identity

	replica         *replica.Replica
	register        register.Register
	soft            raft.SoftState
	leaderSince     time.Time
	proposals       []proposal
	reads           map[uint64]read
	nextRead        uint64
	lastTick        time.Time
	lastPlan        time.Time
	lastReopen      time.Time
	logBytes        int
	confirmed       bool      // last value passed to Confirmed
	confirmingSince time.Time // start of the last read that confirms the state
	publishedNumber uint64    // number of the last document passed to InForce
	publishedIndex  uint64    // index of the last evacuations passed to Evacuated
	snapshotIndex   uint64    // index of the last snapshot
	// buildTooOld is set once the log holds an entry of a newer build. The log then stays
	// closed: this controller neither votes nor writes.
	buildTooOld bool
}

func newConsensus(cfg consensusConfig) *consensus {
	c := &consensus{cfg: cfg, events: make(chan func(), eventQueue), reads: make(map[uint64]read)}
	c.status.Store(&replicaStatus{})
	return c
}

// post queues an event for the goroutine of run. It reports false when the
// queue is full.
func (c *consensus) post(event func()) bool {
	select {
	case c.events <- event:
		return true
	default:
		return false
	}
}

// Status returns the state of the replica after its last step.
func (c *consensus) Status() replicaStatus { return *c.status.Load() }

// run owns the replica until ctx is done.
func (c *consensus) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	c.lastTick = time.Now()
	c.reopen()
	for {
		select {
		case <-ctx.Done():
			c.closeReplica()
			return
		case <-ticker.C:
		case event := <-c.events:
			event()
			c.drain()
		}
		c.step()
	}
}

// drain runs the events that are already queued, so that they share one disk
// sync.
func (c *consensus) drain() {
	for range eventQueue {
		select {
		case event := <-c.events:
			event()
		default:
			return
		}
	}
}

// step advances the clock and carries out the effects.
func (c *consensus) step() {
	c.tick()
	if c.replica == nil {
		c.reopen()
		return
	}
	c.process()
	c.expireReads()
	c.planMembership()
	c.publish()
}

// tick applies the ticks that have passed. Many at once follow a stall of the
// process; those beyond the longest election timeout are skipped, because they
// would have no further effect.
func (c *consensus) tick() {
	now := time.Now()
	n := int(now.Sub(c.lastTick) / tickInterval)
	c.lastTick = c.lastTick.Add(time.Duration(n) * tickInterval)
	if c.replica == nil {
		return
	}
	for range min(n, 2*electionTicks) {
		if err := c.replica.Tick(); err != nil {
			c.fail(err)
			return
		}
	}
}

// reopen opens the data folder, at the start and after a storage failure.
func (c *consensus) reopen() {
	if c.buildTooOld || time.Since(c.lastReopen) < reopenInterval {
		return
	}
	c.lastReopen = time.Now()
	if err := c.open(); err != nil {
		c.noteBuild(err)
		c.cfg.Log.Error("failed to open replicated log", "error", err, "retry", reopenInterval)
		c.publish()
		return
	}
	c.cfg.Log.Info("replicated log open", "member", c.identity.Name, "index", c.register.Index(), "number", c.register.Document().Number)
	c.step()
}

func (c *consensus) open() error {
	folder, err := c.cfg.OpenFolder(c.cfg.DataDir)
	if err != nil {
		return err
	}
	c.identity, err = loadIdentity(folder, c.cfg.Self.Link, c.cfg.InitialVoters)
	if err != nil {
		return err
	}
	r, err := replica.Open(replica.Options{
		Raft: raft.Config{
			ID:             c.identity.Name,
			ElectionTicks:  electionTicks,
			HeartbeatTicks: heartbeatTicks,
			// The clock of a suspended VM stops, so a lease could outlive the
			// time in which the other voters grant no vote.
			DisableLeaseReads: true,
			MaxLearnerLag:     learnerLag,
			TrailingEntries:   compactEntries,
			Rand:              rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		},
		Folder:    folder,
		Bootstrap: c.identity.bootstrap(),
		Check:     register.Check,
	})
	if err != nil {
		return err
	}
	boot := r.Recovered()
	c.register = register.Register{}
	if boot.Snapshot.Index > 0 {
		if err := c.register.Restore(boot.Snapshot.Index, boot.Snapshot.Data); err != nil {
			r.Close()
			return err
		}
	}
	c.replica = r
	c.snapshotIndex = boot.Snapshot.Index
	c.logBytes = 0
	return nil
}

// fail closes the replica after a storage failure; step reopens it.
func (c *consensus) fail(err error) {
	c.cfg.Metrics.LogFailures.Inc()
	c.cfg.Log.Error("replicated log failed", "error", err)
	c.noteBuild(err)
	c.closeReplica()
}

// noteBuild keeps the log closed if an error says that a newer build is needed.
func (c *consensus) noteBuild(err error) {
	if result.CodeOf(err) != result.BuildTooOld {
		return
	}
	c.buildTooOld = true
	c.cfg.Log.Error("replicated log stays closed until a newer build starts", "code", result.BuildTooOld.String(), "feature_level", register.FeatureLevel, "error", err)
}

func (c *consensus) closeReplica() {
	if c.replica == nil {
		return
	}
	if err := c.replica.Close(); err != nil {
		c.cfg.Log.Warn("failed to close replicated log", "error", err)
	}
	c.replica = nil
	c.soft = raft.SoftState{}
	c.setConfirmed(false)
	c.failProposals()
	c.failReads()
	c.lastReopen = time.Now()
	c.publish()
}

// process makes the pending effects durable and then carries out the others,
// such as sending messages.
func (c *consensus) process() {
	begun := time.Now()
	out, err := c.replica.Process()
	c.cfg.Metrics.LogStepTime.Observe(time.Since(begun).Seconds())
	if err != nil {
		c.fail(err)
		return
	}
	for _, m := range out.Messages {
		c.cfg.Send(m)
	}
	c.setSoftState(out.SoftState)
	if out.Snapshot != nil {
		if err := c.register.Restore(out.Snapshot.Index, out.Snapshot.Data); err != nil {
			c.fail(err)
			return
		}
		c.snapshotIndex = out.Snapshot.Index
	}
	for i := range out.Committed {
		c.apply(&out.Committed[i])
		if c.replica == nil {
			return
		}
	}
	c.publishInForce()
	for _, r := range out.ReadStates {
		c.confirmRead(r)
	}
	c.answerReads()
	c.confirmState()
	c.compact()
}

// confirmState finds out, once there is a leader, whether this replica holds all that
// has been acknowledged. One that was down or cut off knows the leader before it has
// the entries that it missed.
func (c *consensus) confirmState() {
	if c.soft.Leader == "" {
		c.setConfirmed(false)
		return
	}
	if c.confirmed || time.Since(c.confirmingSince) < confirmRetry {
		return
	}
	c.confirmingSince = time.Now()
	c.readLatest(func(state *register.Register) {
		if state != nil && c.soft.Leader != "" {
			c.setConfirmed(true)
		}
	})
}

func (c *consensus) setConfirmed(confirmed bool) {
	if c.confirmed == confirmed {
		return
	}
	c.confirmed = confirmed
	c.confirmingSince = time.Time{}
	c.cfg.Confirmed(confirmed)
}

func (c *consensus) setSoftState(s raft.SoftState) {
	if s == c.soft {
		return
	}
	if s.Leader != c.soft.Leader {
		c.cfg.Metrics.LeaderChanges.Inc()
	}
	if s.Leader != c.soft.Leader || s.Role != c.soft.Role {
		c.cfg.Log.Info("leadership changed", "role", s.Role.String(), "leader", s.Leader, "term", s.Term)
	}
	if s.Role == raft.Leader && c.soft.Role != raft.Leader {
		c.leaderSince = time.Now()
	}
	if s.Role != raft.Leader || s.Term != c.soft.Term {
		c.failProposals()
	}
	c.soft = s
}

func (c *consensus) apply(e *raft.Entry) {
	c.logBytes += len(e.Data)
	data := e.Data
	if e.Kind != raft.EntryCommand {
		data = nil
	}
	_, err := c.register.Apply(e.Index, data)
	switch {
	case err == nil:
	case result.CodeOf(err) == result.BuildTooOld:
		c.fail(err)
		return
	case result.CodeOf(err) == result.VersionStale:
		c.cfg.Log.Info("order superseded", "index", e.Index, "error", err)
	default:
		c.cfg.Log.Error("invalid log entry skipped", "index", e.Index, "error", err)
	}
	i := slices.IndexFunc(c.proposals, func(p proposal) bool { return p.index == e.Index })
	if i < 0 {
		return
	}
	p := c.proposals[i]
	c.proposals = slices.Delete(c.proposals, i, i+1)
	p.done(p.term == e.Term && err == nil)
}

// publishInForce passes on the newest document and the evacuations. Documents that
// it supersedes are skipped; while a log is replayed after a start, most are.
func (c *consensus) publishInForce() {
	if e := c.register.Evacuations(); e.Index() > c.publishedIndex {
		c.publishedIndex = e.Index()
		c.cfg.Evacuated(e)
	}
	d := c.register.Document()
	if d.Number <= c.publishedNumber {
		return
	}
	c.publishedNumber = d.Number
	c.cfg.InForce(d)
}

func (c *consensus) compact() {
	index := c.register.Index()
	if c.replica == nil || index-c.snapshotIndex < compactEntries && c.logBytes < compactBytes || index == c.snapshotIndex {
		return
	}
	snapshot, err := c.register.Snapshot()
	if err == nil {
		err = c.replica.Compact(index, snapshot)
	}
	if err != nil {
		c.fail(err)
		return
	}
	c.snapshotIndex = index
	c.logBytes = 0
}

// receive handles a message of another member.
func (c *consensus) receive(m raft.Message) {
	c.post(func() {
		if c.replica == nil || m.To != c.identity.Name {
			return
		}
		if err := checkEntries(m.Entries); err != nil {
			c.fail(err) // an acknowledgement would promise to apply them
			return
		}
		if err := c.replica.Step(m); err != nil {
			c.cfg.Log.Debug("raft message rejected", "from", m.From, "error", err)
		}
	})
}

// checkEntries returns an error if an entry needs a newer build.
func checkEntries(entries []raft.Entry) error {
	for i := range entries {
		if entries[i].Kind != raft.EntryCommand {
			continue
		}
		if err := register.Check(entries[i].Data); err != nil {
			return err
		}
	}
	return nil
}

// transferLeadership transfers leadership before the process stops.
func (c *consensus) transferLeadership() {
	c.post(func() {
		if c.replica == nil || c.soft.Role != raft.Leader {
			return
		}
		if err := c.replica.TransferLeadership(""); err != nil {
			c.cfg.Log.Warn("failed to transfer leadership", "error", err)
		}
	})
}

func (c *consensus) publish() {
	c.cfg.Metrics.FeatureLevel.Set(float64(c.register.Level()))
	s := &replicaStatus{ID: c.identity.Name, Level: c.register.Level(), BuildTooOld: c.buildTooOld, Number: c.register.Document().Number, Evacuations: c.register.Evacuations()}
	if c.replica != nil {
		s.LogOpen = true
		s.Leader = c.soft.Leader
		s.IsLeader = c.soft.Role == raft.Leader
		s.Term = c.soft.Term
	}
	c.status.Store(s)
}
