// Package control runs the control goroutine of a VM. The goroutine owns all
// control state: the replicated state machine, the leases, the control part of
// the connection engine, on a voter the replica of the log, and on the leader
// the roster. It publishes immutable versions, so that traffic goroutines never
// wait for it.
package control

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"heatherport/internal/connection/owner"
	"heatherport/internal/process/audit"
	"heatherport/internal/process/link"
	"heatherport/internal/process/metrics"
	"heatherport/internal/request/api"
	"heatherport/internal/result"
	"heatherport/internal/version"
	"heatherport/internal/version/feed"
	"heatherport/internal/version/raft"
	"heatherport/internal/version/replica"
	"heatherport/internal/version/roster"
	"heatherport/internal/version/state"
	"heatherport/internal/version/vfs"
)

// Intervals of the control goroutine.
const (
	tickInterval      = 50 * time.Millisecond
	raftTickInterval  = 100 * time.Millisecond
	engineInterval    = 100 * time.Millisecond
	rosterInterval    = 100 * time.Millisecond
	heartbeatInterval = 500 * time.Millisecond
	// searchInterval is the time between heartbeats while the leader is unknown.
	searchInterval = 100 * time.Millisecond
	// heartbeatDelay lets several changes share one early heartbeat.
	heartbeatDelay = 20 * time.Millisecond
	// leaderTimeout is the time without a reply of the leader after which this
	// VM searches for another leader.
	leaderTimeout = 1200 * time.Millisecond
	// reopenInterval is the time between attempts to open the log after a storage
	// failure.
	reopenInterval = 500 * time.Millisecond
)

// Raft timing in ticks of raftTickInterval.
const (
	electionTicks      = 10
	raftHeartbeatTicks = 2
)

// compactionInterval is the number of log entries after which a voter takes a
// snapshot.
const compactionInterval = 2048

// eventBatch bounds the events that are handled before the output of the
// replica is processed. Events of one batch share a sync of the log.
const eventBatch = 256

// Config configures a Controller.
type Config struct {
	Name        string         // VM name
	Domain      string         // failure domain
	Incarnation uint64         // increases with each start of the VM
	Relay       netip.AddrPort // address at which other VMs reach the relay sockets
	Link        netip.AddrPort // address at which other VMs reach the links
	API         netip.AddrPort // address at which clients reach the API
	Seeds       []link.Peer
	// Folder is the data folder of a VM that can be a voter, nil otherwise.
	Folder vfs.FS
	// Bootstrap lists the initial voters if Folder was prepared for a new
	// fleet, nil otherwise.
	Bootstrap []string
	// Voters lists the initial voters in the settings. They become voters again
	// after the loss of their data folder, and are asked for the leader.
	Voters []string
	Engine *owner.Engine
	Links  *link.Links
	Audit  audit.Trail
	Log    hclog.Logger
	Clock  func() time.Duration // monotonic
	Seed   uint64               // for randomized election timeouts
}

// Controller owns the control state of one VM.
type Controller struct {
	cfg    Config
	log    hclog.Logger
	events chan func()
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	once   sync.Once

	published atomic.Pointer[version.Version]
	view      atomic.Pointer[View]

	// All fields below belong to the control goroutine.
	machine       *state.Machine
	source        *feed.Source
	sink          *feed.Sink
	replica       *replica.Replica // nil on a VM that cannot vote
	replicaClosed bool             // the replica has failed and was closed
	reopenDue     time.Duration    // next attempt to open it again
	softState     raft.SoftState
	// raftApplied is the index of the last log entry applied from replica.
	raftApplied    uint64
	compactedIndex uint64
	leader         *leaderState // set while this VM leads
	calls          callTable
	reads          readTable
	prober         *prober

	self            version.MemberID
	knownLeader     knownLeader
	searchCount     int // selects the next VM to ask for the leader
	lastLeaderReply time.Duration
	leaderLastKnown time.Duration // when this VM last knew a leader
	leaseUntil      time.Duration
	heartbeatDue    time.Duration
	heartbeats      sentTimes
	leaving         bool
	drained         bool
	lastRaftTick    time.Duration
	lastEngineTick  time.Duration
	lastRosterTick  time.Duration
	observations    []roster.Observation
	drainsFirstSeen map[drainKey]time.Time // when each drain was first seen
	// retransmissions holds the engine's counts at the last probe round.
	retransmissions map[version.UpstreamID]uint32
}

// View is a summary of the control state for metrics and health checks.
type View struct {
	Index                uint64
	SheetNumber          uint64
	Term                 uint64
	Leader               string
	IsLeader             bool
	Voter                bool
	IsMember             bool
	IsOwner              bool // is one of the current owners
	Leaving              bool // is stopping
	LeaseLive            bool
	LiveVMs              int
	OpenDrains           int
	Settled              uint64 // as Engine.Settled returns it
	OpenConnections      uint64 // entries in the connection table
	OwnedConnections     uint64 // connections owned by this VM
	OpenedConnections    uint64 // connections placed since the start
	ReplicatedExceptions uint64 // exceptions of connections without an entry in the table
	Upstreams            []metrics.UpstreamGauge
	UpdatedAt            time.Duration // by Config.Clock
}

// New recovers the control state from the data folder. Start starts the
// controller.
func New(cfg Config) (*Controller, error) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Controller{
		cfg:     cfg,
		log:     cfg.Log,
		events:  make(chan func(), eventBatch),
		ctx:     ctx,
		cancel:  cancel,
		done:    make(chan struct{}),
		machine: state.New(),
	}
	c.sink = feed.NewSink(feedStateMachine{c})
	c.source = feed.NewSource(0, c.machine.Digest(), c.machine.Snapshot)
	c.calls.init(cfg.Incarnation, c.sendCall)
	c.prober = newProber(c)
	if err := c.openReplica(); err != nil {
		cancel()
		return nil, err
	}
	c.view.Store(&View{})
	return c, nil
}

func (c *Controller) openReplica() error {
	if c.cfg.Folder == nil {
		return nil
	}
	return c.openReplicaFor(c.cfg.Bootstrap)
}

// openReplicaFor opens the replica. initial lists the initial voters of a new fleet.
func (c *Controller) openReplicaFor(initial []string) error {
	opts := replica.Options{
		Raft: raft.Config{
			ID:             c.cfg.Name,
			ElectionTicks:  electionTicks,
			HeartbeatTicks: raftHeartbeatTicks,
			Rand:           rand.New(rand.NewPCG(c.cfg.Seed, c.cfg.Incarnation)),
		},
		Folder: c.cfg.Folder,
	}
	if len(initial) > 0 {
		opts.Bootstrap = &raft.Configuration{Voters: initial}
	}
	r, err := replica.Open(opts)
	if err != nil {
		return err
	}
	c.replica = r
	recovered := r.Recovered()
	return c.restore(&recovered.Snapshot)
}

// reopenReplica opens a replica that has failed again, as a restart of the process would. A
// disk that was full for a moment may have room again. A folder that was lost meanwhile is not
// that of an initial voter any more.
func (c *Controller) reopenReplica(now time.Duration) {
	if c.replica == nil || c.replica.Err() == nil || now < c.reopenDue {
		return
	}
	c.reopenDue = now + reopenInterval
	if !c.replicaClosed {
		c.closeReplica()
		c.replicaClosed = true
	}
	if err := c.openReplicaFor(nil); err != nil {
		c.log.Warn("failed to open replicated log again", "error", err, "retry", reopenInterval.String())
		return
	}
	c.replicaClosed = false
	c.lastRaftTick = now // the replica counts the time since its start
	c.log.Info("replicated log open again", "applied", c.raftApplied, "index", c.machine.Index())
	c.record(audit.Record{Kind: api.AuditLeadership, Subject: c.cfg.Name, Cause: "storage", After: "vote"})
}

// restore replaces the state with a snapshot of the log, unless the state is
// already newer.
func (c *Controller) restore(s *raft.Snapshot) error {
	c.raftApplied = max(c.raftApplied, s.Index)
	c.compactedIndex = max(c.compactedIndex, s.Index)
	if len(s.Data) == 0 || s.Index <= c.machine.Index() {
		return nil
	}
	return c.install(s.Data)
}

// Start starts the control goroutine.
func (c *Controller) Start() {
	c.setPeers(nil)
	c.prober.start()
	go c.loop()
}

// Stop stops the control goroutine and closes the data folder.
func (c *Controller) Stop() {
	c.once.Do(c.cancel)
	<-c.done
	c.prober.stop()
}

// Version returns the version in force, or nil before the first version.
func (c *Controller) Version() *version.Version { return c.published.Load() }

// View returns a recent summary of the control state.
func (c *Controller) View() View { return *c.view.Load() }

func (c *Controller) loop() {
	defer close(c.done)
	defer c.closeReplica()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case m := <-c.cfg.Links.Incoming():
			c.receive(m)
		case f := <-c.events:
			c.runEvent(f)
		case <-ticker.C:
		}
		c.handlePending()
		c.tick()
		c.process()
	}
}

// handlePending handles events that are already queued, so that they share a
// sync of the log.
func (c *Controller) handlePending() {
	for range eventBatch {
		select {
		case m := <-c.cfg.Links.Incoming():
			c.receive(m)
		case f := <-c.events:
			c.runEvent(f)
		default:
			return
		}
	}
}

func (c *Controller) closeReplica() {
	if c.replica == nil || c.replicaClosed {
		return
	}
	if err := c.replica.Close(); err != nil {
		c.log.Error("failed to close replicated log", "error", err)
	}
}

// post queues f to run on the control goroutine.
func (c *Controller) post(ctx context.Context, f func()) error {
	select {
	case c.events <- f:
		return nil
	case <-ctx.Done():
		return result.Errorf(result.Overloaded, "the control goroutine is busy")
	case <-c.ctx.Done():
		return result.Errorf(result.ShuttingDown, "VM %s is stopping", c.cfg.Name)
	}
}

func (c *Controller) now() time.Duration { return c.cfg.Clock() }

// runEvent runs a posted event.
func (c *Controller) runEvent(f func()) {
	c.tickRaft(c.now())
	f()
}

// receive handles a message from another VM.
func (c *Controller) receive(m link.Message) {
	c.tickRaft(c.now())
	switch m.Kind {
	case link.KindRaft:
		c.receiveRaft(m)
	case link.KindHeartbeat:
		c.receiveHeartbeat(m)
	case link.KindHeartbeatReply:
		c.receiveHeartbeatReply(m)
	case link.KindFeed, link.KindSnapshot:
		c.receiveFeed(m)
	case link.KindConnection:
		c.receiveEngineMessage(m)
	case link.KindForward:
		c.receiveCall(m)
	case link.KindForwardReply:
		c.receiveReply(m)
	}
}

// tick runs the periodic tasks that are due.
func (c *Controller) tick() {
	now := c.now()
	c.reopenReplica(now)
	c.tickRaft(now)
	if c.leader != nil || c.leaderName() != "" {
		c.leaderLastKnown = now
	}
	if now-c.lastEngineTick >= engineInterval {
		c.lastEngineTick = now
		c.tickEngine(now)
	}
	if now-c.lastRosterTick >= rosterInterval {
		c.lastRosterTick = now
		c.tickLeader(now)
		c.calls.expire(now)
		c.updateView(now)
	}
	if now >= c.heartbeatDue {
		c.sendHeartbeat(now)
	}
}

// tickRaft advances the replica by one tick for each elapsed interval. It runs
// before each event is handled. Otherwise, after a pause of the process, leases
// and the time in which a voter rejects other candidates would be counted from
// before the pause.
func (c *Controller) tickRaft(now time.Duration) {
	if c.replica == nil || now-c.lastRaftTick < raftTickInterval {
		return
	}
	for now-c.lastRaftTick >= raftTickInterval {
		c.lastRaftTick += raftTickInterval
		if c.replica.Tick() != nil {
			c.lastRaftTick = now
		}
	}
	if c.leader != nil {
		c.setSoftState(c.replica.Status().SoftState)
	}
}

func (c *Controller) tickEngine(now time.Duration) {
	e := c.cfg.Engine
	e.SetLease(now, now < c.leaseUntil)
	c.sendEngineMessages(e.Tick(now))
}

func (c *Controller) sendEngineMessages(out []owner.Outbound) {
	v := c.published.Load()
	if v == nil {
		return
	}
	for _, o := range out {
		m := v.MemberByID(o.To)
		if m == nil {
			continue
		}
		body := encode(engineMessage{From: c.self, Message: o.Message})
		c.cfg.Links.Send(m.Name, link.KindConnection, body)
	}
}

func (c *Controller) receiveEngineMessage(m link.Message) {
	var p engineMessage
	v := c.published.Load()
	if v == nil || !decode(m.Body, &p) {
		return
	}
	from := v.MemberByID(p.From)
	if from == nil || from.Name != m.From {
		return
	}
	c.sendEngineMessages(c.cfg.Engine.Receive(c.now(), p.From, p.Message))
}

func (c *Controller) updateView(now time.Duration) {
	view := &View{
		Index:     c.machine.Index(),
		Leader:    c.leaderName(),
		Term:      c.softState.Term,
		IsLeader:  c.leader != nil,
		Voter:     c.replica != nil && c.replica.Err() == nil,
		IsMember:  c.self != 0,
		LeaseLive: now < c.leaseUntil,
		Settled:   c.cfg.Engine.Settled(),
		UpdatedAt: now,
	}
	view.Leaving = c.leaving
	stats := c.cfg.Engine.Stats()
	view.OpenConnections = uint64(stats.Table.Entries)
	view.ReplicatedExceptions = uint64(stats.ReplicatedExceptions)
	view.OpenedConnections = stats.Opened
	if v := c.published.Load(); v != nil {
		view.SheetNumber = v.Sheet.Number
		view.LiveVMs = len(v.Members)
		view.OpenDrains = countDrains(v)
		c.updateDrainTimes(c.drains(v))
		view.IsOwner = slices.Contains(v.Owners.Current, c.self)
		c.updateViewUpstreams(v, view)
	}
	c.view.Store(view)
}

func (c *Controller) updateViewUpstreams(v *version.Version, view *View) {
	for i := range v.Upstreams {
		u := &v.Upstreams[i]
		open := c.cfg.Engine.OwnedConnections(u.ID)
		view.OwnedConnections += open
		gauge := metrics.UpstreamGauge{Upstream: u.Name, OpenConnections: open, Eligible: u.Eligible()}
		if s := v.ServiceByID(u.Service); s != nil {
			gauge.Service = s.Name
		}
		view.Upstreams = append(view.Upstreams, gauge)
	}
}
