// Package controller implements the controller process. It keeps the operators'
// configuration in a replicated log and the announcements of upstreams as soft
// state, and feeds both to balancers.
//
// Three parts run concurrently: the replicated log, which may block on its
// disk; the control goroutine, which owns the directory of upstreams and the
// feeds; and the connections to other processes.
package controller

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"heatherport/internal/process/logging"
	"heatherport/internal/process/metrics"
	"heatherport/internal/process/settings"
	"heatherport/internal/process/stall"
	"heatherport/internal/process/stream"
	"heatherport/internal/result"
	"heatherport/internal/version/directory"
	"heatherport/internal/version/register"
	"heatherport/internal/version/routing"
	"heatherport/internal/version/vfs"
)

const (
	// callTimeout bounds a call. It is below one second, after which callers try
	// another controller.
	callTimeout = 850 * time.Millisecond
	// callRetry is the time between two attempts to reach a leader.
	callRetry = 50 * time.Millisecond
	// controlInterval is the tick of the control goroutine.
	controlInterval = 100 * time.Millisecond
	// renewInterval is the time between two Renewals messages.
	renewInterval = 500 * time.Millisecond
	// lapseHeartbeats is the number of heartbeat intervals without an
	// announcement after which an upstream is marked as lapsed.
	lapseHeartbeats = 3
	// helloInterval is the time between two Hello messages. One in helloKnown carries the
	// addresses of other known controllers; in each, they would be most of what hundreds
	// of controllers send.
	helloInterval = time.Second
	helloKnown    = 10
	// peerMaxAge is the longest time since the last message of a controller for
	// which upstreams and balancers are still sent to it.
	peerMaxAge = 1500 * time.Millisecond
	// stallLimit is the time between two ticks from which the process counts as
	// stalled. Suspicions of several seconds, read at once, would seem to be a
	// quorum, and upstreams would seem silent because their announcements were not
	// read.
	stallLimit = time.Second
	// stallDrain is the time after a stall in which what arrived during it is
	// read.
	stallDrain = 500 * time.Millisecond
)

// Config configures a Controller.
type Config struct {
	Settings *settings.Program
	Log      hclog.Logger
	// ParseRoutes parses the body of a document into its table of routes.
	ParseRoutes func(document []byte) (*routing.Table, error)
	Metrics     *metrics.Controller
	// Listener accepts links. If it is nil, Start listens at the link address of
	// the settings.
	Listener net.Listener
	// OpenFolder opens the data folder. If it is nil, vfs.Dir does.
	OpenFolder func(path string) (vfs.FS, error)
}

// Controller is the controller process.
type Controller struct {
	cfg       Config
	log       hclog.Logger
	self      Member
	started   time.Time
	consensus *consensus
	peers     *peerTable
	links     *links
	upstreams *hintStore[directory.Record]
	addresses *hintStore[netip.Addr] // of balancers
	events    chan func()
	cancel    context.CancelFunc
	calls     *callTracker
	listener  net.Listener
	diskTasks sync.WaitGroup // goroutines that use the data folder

	// The fields below belong to the control goroutine.
	directory           *directory.Directory
	table               *routing.Table
	evacuations         *Evacuations
	fleets              fleetTable
	needs               gathered[*Needs]
	speeds              gathered[*Speeds]
	pins                *pinTable
	ends                map[string]evacuationEnd // last end of an evacuation, by domain
	confirmed           bool                     // table and evacuations hold all that was acknowledged
	subscribers         map[*stream.Conn]*subscriber
	unknown             unknownKinds
	encoded             feedFrames // updates to the last state that was sent
	lastFed             feedState  // at lastFeedTime
	fullFeed            fullFeed
	lastFeedTime        time.Duration
	stall               *stall.Detector
	clock               func() time.Duration // stall.Clock except in tests
	lastTick            time.Duration
	renewed             []uint32 // tags announced here since the last Renewals message
	recordsNumber       uint64   // number of the last Records message
	ackWaiters          map[uint64][]chan struct{}
	unacked             map[string]uint64 // number of the Records message with the unacknowledged end of an upstream, by ID
	sharedRevision      uint64            // revision of the directory sent to peers
	forgotten           []string          // silent upstreams that were forgotten since the last line about them
	endedLog            *logging.RateLimited
	stallEnded          time.Time // when the last stall was noticed
	lastRenewal         time.Duration
	lastHello           time.Duration
	hellos              int
	balancers           *balancerTable
	lastBalancerRefresh time.Duration
}

// New returns a controller that is not started.
func New(cfg Config) *Controller {
	s := cfg.Settings
	if cfg.OpenFolder == nil {
		cfg.OpenFolder = vfs.Dir
	}
	c := &Controller{
		cfg:         cfg,
		log:         cfg.Log,
		self:        Member{Domain: s.VM.Domain, Link: s.Link.Advertise, API: s.API, Level: register.FeatureLevel},
		started:     time.Now(),
		peers:       newPeerTable(),
		upstreams:   newHintStore[directory.Record](cfg.OpenFolder, s.VM.DataDir, upstreamsFile, s.Lifetime/2, cfg.Log.Named("upstreams")),
		addresses:   newHintStore[netip.Addr](cfg.OpenFolder, s.VM.DataDir, balancersFile, 0, cfg.Log.Named("balancers")),
		balancers:   newBalancerTable(),
		fleets:      fleetTable{byController: make(map[string]*Fleet)},
		needs:       newGathered(gatherInterval, MergeNeeds),
		speeds:      newGathered(speedsInterval, MergeSpeeds),
		pins:        newPinTable(s.Lifetime),
		stall:       stall.NewDetector(stallLimit, stallDrain),
		clock:       stall.Clock,
		endedLog:    logging.NewRateLimited(cfg.Log),
		events:      make(chan func(), eventQueue),
		calls:       newCallTracker(),
		subscribers: make(map[*stream.Conn]*subscriber),
		ackWaiters:  make(map[uint64][]chan struct{}),
		ends:        make(map[string]evacuationEnd),
		unacked:     make(map[string]uint64),
	}
	c.directory = directory.New(directory.Config{
		LapseAfter: lapseHeartbeats * s.Heartbeat, Retention: s.Lifetime, EndedRetention: max(endedRetention, 2*s.Lifetime), Forgotten: c.noteForgotten,
	})
	var initialVoters []netip.AddrPort
	if s.FirstStart {
		initialVoters = seedLinks(s)
	}
	if !slices.Contains(initialVoters, s.Link.Advertise) {
		initialVoters = nil
	}
	c.consensus = newConsensus(consensusConfig{
		DataDir: s.VM.DataDir, OpenFolder: cfg.OpenFolder, Self: c.self, InitialVoters: initialVoters, ToleratedDiskLosses: s.ToleratedDiskLosses,
		Log: cfg.Log.Named("log"), Metrics: cfg.Metrics, Send: c.sendLog, InForce: c.inForce, Evacuated: c.evacuated, Confirmed: c.confirm, Controllers: c.peers.candidates,
	})
	return c
}

// Reload implements daemon.Component. It connects to new seeds.
func (c *Controller) Reload(s *settings.Program) { c.links.connect(seedLinks(s)...) }

func seedLinks(s *settings.Program) []netip.AddrPort {
	var out []netip.AddrPort
	for _, seed := range s.Seeds {
		out = append(out, s.LinkAddress(seed.Addr()))
	}
	return out
}

// Start listens for links and starts all parts.
func (c *Controller) Start(context.Context) error {
	l := c.cfg.Listener
	if l == nil {
		var err error
		address := c.cfg.Settings.Link.Listen
		if l, err = net.Listen("tcp", address.String()); err != nil {
			return result.Wrapf(err, result.BadSettings, "listen on %s", address)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.listener = l
	c.cancel = cancel
	c.links = newLinks(ctx, c.self.Link, c.linkCallbacks)
	c.restoreUpstreams()
	invited, _ := c.addresses.load()
	c.balancers.add(c.now(), invited...)
	c.diskTasks.Go(func() { c.upstreams.run(ctx.Done()) })
	c.diskTasks.Go(func() { c.addresses.run(ctx.Done()) })
	c.diskTasks.Go(func() { c.consensus.run(ctx) })
	go c.run(ctx)
	go stream.Serve(ctx, l, stream.Callbacks{Handle: c.handleMessage, Close: c.removeSubscriber})
	c.links.connect(seedLinks(c.cfg.Settings)...)
	if len(invited) > 0 {
		go c.invite(ctx, invited)
	}
	return nil
}

const (
	// leadershipTransferTime is the time for a transfer of leadership, which takes
	// two round trips and a disk sync.
	leadershipTransferTime = 300 * time.Millisecond
	// flushTime is the time in which queued messages reach the other controllers and
	// the directory is saved.
	flushTime = 50 * time.Millisecond
)

// Stop rejects further calls, transfers leadership, waits for the calls in progress
// and stops all parts. What upstreams announced last is sent to the other controllers
// and saved before.
func (c *Controller) Stop(ctx context.Context) error {
	c.calls.stop()
	if c.consensus.Status().IsLeader {
		c.consensus.transferLeadership()
		select {
		case <-ctx.Done():
		case <-time.After(leadershipTransferTime):
		}
	}
	c.calls.wait(ctx)
	c.post(c.flush)
	select {
	case <-ctx.Done():
	case <-time.After(flushTime):
	}
	return c.shutDown(ctx)
}

// flush sends and saves what has changed since the last tick.
func (c *Controller) flush() {
	c.shareChanges()
	c.sendRenewals()
	c.upstreams.saveLast(c.directory.Since(0))
}

// shutDown stops all parts without a transfer of leadership. If the disk stalls,
// it waits until ctx is done.
func (c *Controller) shutDown(ctx context.Context) error {
	c.cancel()
	err := c.listener.Close()
	done := make(chan struct{})
	go func() {
		c.diskTasks.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		c.log.Warn("disk operations did not finish before shutdown", "error", ctx.Err())
	}
	return err
}

func (c *Controller) now() time.Duration { return time.Since(c.started) }

// post queues an event for the control goroutine. It reports false when the
// queue is full.
func (c *Controller) post(event func()) bool {
	select {
	case c.events <- event:
		return true
	default:
		return false
	}
}

func (c *Controller) run(ctx context.Context) {
	ticker := time.NewTicker(controlInterval)
	defer ticker.Stop()
	feedTicker := time.NewTicker(urgentFeedInterval)
	defer feedTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.tick()
		case <-feedTicker.C:
		case event := <-c.events:
			event()
		}
		c.shareChanges()
		c.feedAll()
	}
}

func (c *Controller) tick() {
	now := c.now()
	c.noteStall(now)
	c.lastTick = now
	c.directory.Tick(now)
	c.logForgotten()
	c.upstreams.save(now, c.directory.Revision(), func() []directory.Record { return c.directory.Since(0) })
	c.addresses.save(now, c.balancers.revision, c.balancers.addresses)
	c.refreshBalancers(now)
	c.refreshFleet(now)
	c.refreshNeeds(now)
	c.refreshSpeeds(now)
	c.expireEnds()
	c.updateGauges()
	if now-c.lastRenewal >= renewInterval {
		c.lastRenewal = now
		c.sendRenewals()
	}
	if now-c.lastHello >= helloInterval {
		c.lastHello = now
		h := Hello{Self: c.member()}
		if c.hellos++; c.hellos%helloKnown == 0 {
			h = c.hello()
		}
		c.broadcast(KindHello, h)
	}
}

func (c *Controller) updateGauges() {
	m := c.cfg.Metrics
	m.Subscribers.Set(float64(len(c.subscribers)))
	m.Upstreams.Set(float64(c.directory.Len()))
	s := c.consensus.Status()
	m.ConfigurationNumber.Set(float64(s.Number))
	leads := 0.0
	if s.IsLeader {
		leads = 1
	}
	m.IsLeader.Set(leads)
}

// member describes this controller. It has no ID until its log is open.
func (c *Controller) member() Member {
	m := c.self
	m.ID = c.consensus.Status().ID
	return m
}

func (c *Controller) hello() Hello {
	return Hello{Self: c.member(), Known: c.links.addresses()}
}

// inForce takes a document that came into force.
func (c *Controller) inForce(d register.Document) {
	table, err := c.cfg.ParseRoutes(d.Body)
	if err != nil {
		c.log.Error("failed to parse configuration in force", "number", d.Number, "error", err)
		return
	}
	c.log.Info("configuration in force", "number", d.Number, "routes", table.Len())
	c.events <- func() {
		if c.table == nil || c.table.Number < table.Number {
			c.table = table
		}
	}
}

// confirm takes whether the state that the log passed on before is the newest.
func (c *Controller) confirm(confirmed bool) {
	c.events <- func() { c.confirmed = confirmed }
}
