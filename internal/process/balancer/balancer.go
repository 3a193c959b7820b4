// Package balancer implements the balancer process, which forwards the packets
// of connections with cookies. It holds no durable state: controllers feed it
// routes and upstreams. While it cannot reach them, it continues with the
// last state.
package balancer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"heatherport/internal/connection/affinity"
	"heatherport/internal/load/share"
	"heatherport/internal/load/uplink"
	"heatherport/internal/process/controller"
	"heatherport/internal/process/logging"
	"heatherport/internal/process/metrics"
	"heatherport/internal/process/settings"
	"heatherport/internal/process/stall"
	"heatherport/internal/version/directory"
	"heatherport/internal/version/routing"
)

const (
	// controlInterval is the tick of the control goroutine.
	controlInterval = 100 * time.Millisecond
	// confirmTimeout is how long a starting balancer waits for a state that a
	// leader confirmed before it serves with an unconfirmed one.
	confirmTimeout = 200 * time.Millisecond
	// startupTime is the time after the start in which a missing route or
	// upstream is attributed to announcements that have not arrived yet.
	startupTime = 4 * time.Second
	// tableCapacity bounds the memory of the connection table to about 20 MB.
	tableCapacity = 60_000
	eventQueue    = 1024
	// endedDelay is the time after the end of an upstream in which packets that
	// it sent may still arrive at callers.
	endedDelay = time.Second
	// publishInterval is the time after which the view is rebuilt without a
	// change, because parts of it depend on time.
	publishInterval = 500 * time.Millisecond
	// publishRatio is the ratio of the time between two views to the time that a view
	// takes: its cost grows with the fleet, and so does the rate of changes. Views then
	// take a tenth of the processor at most.
	publishRatio = 10
	// maxPublishDelay bounds the time for which a change waits for the next view.
	maxPublishDelay = 100 * time.Millisecond
)

// Config configures a Balancer.
type Config struct {
	Settings *settings.Program
	Log      hclog.Logger
	Codec    Codec
	Metrics  *metrics.Balancer
}

// Balancer is the balancer process.
type Balancer struct {
	log         hclog.Logger
	metrics     *metrics.Balancer
	name        string
	domain      string
	regions     map[string]string // region of each failure domain
	coldExcess  float64
	coldSlack   float64
	shares      bool // divide the slots of upstreams among the balancers
	lifetime    time.Duration
	stopTimeout time.Duration
	started     time.Time
	forwarder   *forwarder
	link        netip.AddrPort // receives invitations; invalid for none
	invitations invitations
	events      chan func()
	ctx         context.Context
	cancel      context.CancelFunc
	view        atomic.Pointer[affinity.View]
	ready       atomic.Bool
	stopping    atomic.Bool
	reachesNone atomic.Bool // the balancer is isolated

	// The fields below belong to the control goroutine.
	sources        []*source
	feeds          []*feed
	directory      *directory.Directory
	table          *routing.Table
	retired        *routing.RetiredTargets
	evacuations    evacuations
	isolation      isolation
	balancers      []share.Balancer // of all feeds; kept while there is no feed
	routesSince    time.Duration    // when the first routes arrived
	firstFeed      time.Duration    // when the first feed opened
	lastRebalance  time.Duration
	lastConfirm    time.Duration // of the upstreams
	lastPins       time.Duration // report of pins
	reportedPins   []affinity.Pin
	lastPublish    time.Duration
	nextPublish    time.Duration // earliest time of the next view
	reported       []reportedSuspicion
	needs          needs
	speeds         speeds
	omittedCounted uint64 // omitted log lines already counted in the metric
	changed        bool
}

// New returns a balancer that is not started.
func New(cfg Config) *Balancer {
	s := cfg.Settings
	b := &Balancer{
		log: cfg.Log, metrics: cfg.Metrics, name: s.VM.Name, domain: s.VM.Domain,
		shares: s.Shares, regions: s.Domains, coldExcess: s.ColdExcess, coldSlack: s.ColdSlack,
		lifetime: s.Lifetime, stopTimeout: s.VM.StopTimeout,
		started: time.Now(),
		link:    s.Link.Listen,
		events:  make(chan func(), eventQueue),
	}
	b.directory = directory.New(directory.Config{Retention: s.Lifetime, Forgotten: b.noteForgotten})
	b.view.Store((&affinity.View{}).Index(nil))
	for _, seed := range s.Seeds {
		b.addSource(s.LinkAddress(seed.Addr()), "")
	}
	b.forwarder = &forwarder{
		codec: cfg.Codec, listen: s.Packets, log: cfg.Log, view: &b.view, started: b.started,
		flowLog: logging.NewRateLimited(cfg.Log), metrics: cfg.Metrics, clock: stall.Clock, stall: stall.NewDetector(stallLimit, stallDrain),
		uplink: uplink.New(s.LinkRate),
	}
	b.forwarder.engine = affinity.New(affinity.Config{
		Name:     keyName(controller.BalancerKey(s.VM.Name)),
		Domain:   s.VM.Domain,
		Capacity: tableCapacity,
		Lifetime: s.Lifetime,
		Link:     b.forwarder.uplink,
		Rand:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	return b
}

// Start opens the packet socket and starts the control goroutine.
func (b *Balancer) Start(context.Context) error {
	b.ctx, b.cancel = context.WithCancel(context.Background())
	if err := b.forwarder.start(); err != nil {
		return err
	}
	if b.link.IsValid() {
		if err := b.listenInvitations(b.link); err != nil {
			return err
		}
	}
	go b.run()
	return nil
}

const (
	// minDrainTime is the time in which routers detect that this balancer is not
	// ready: two probes half a second apart, and a delayed one.
	minDrainTime = 1600 * time.Millisecond
	// drainIdleTime is the time without a packet after which no more packets are
	// expected.
	drainIdleTime = time.Second
	// stopMargin is the part of the stop timeout reserved for the exit of the
	// process.
	stopMargin = 800 * time.Millisecond
)

// Stop reports the balancer as not ready and keeps forwarding until the routers
// have moved its traffic to others.
func (b *Balancer) Stop(ctx context.Context) error {
	b.stopping.Store(true)
	begun := time.Now()
	for time.Since(begun) < b.stopTimeout-stopMargin {
		if time.Since(begun) > minDrainTime && time.Since(b.forwarder.lastPacket()) > drainIdleTime {
			break
		}
		select {
		case <-ctx.Done():
			return b.shutDown()
		case <-time.After(controlInterval):
		}
	}
	return b.shutDown()
}

func (b *Balancer) shutDown() error {
	b.cancel()
	b.invitations.close()
	return b.forwarder.stop()
}

// Reload implements daemon.Component. It adds new seeds.
func (b *Balancer) Reload(s *settings.Program) {
	b.post(func() {
		for _, seed := range s.Seeds {
			b.addSource(s.LinkAddress(seed.Addr()), "")
		}
	})
}

// Ready reports whether routers may send packets to this balancer.
func (b *Balancer) Ready() bool {
	return b.ready.Load() && !b.stopping.Load() && !b.reachesNone.Load()
}

func (b *Balancer) now() time.Duration { return time.Since(b.started) }

func (b *Balancer) post(event func()) {
	select {
	case b.events <- event:
	case <-b.ctx.Done():
	}
}

func (b *Balancer) run() {
	ticker := time.NewTicker(controlInterval)
	defer ticker.Stop()
	publish := time.NewTimer(controlInterval)
	defer publish.Stop()
	b.openFeeds()
	for {
		select {
		case <-b.ctx.Done():
			return
		case <-ticker.C:
			b.tick()
		case event := <-b.events:
			event()
		case <-publish.C:
		}
		b.openFeeds()
		if !b.changed {
			continue
		}
		if wait := b.nextPublish - b.now(); wait > 0 {
			publish.Reset(wait)
			continue
		}
		b.publishTimed()
	}
}

func (b *Balancer) tick() {
	b.confirmUpstreams(b.now())
	b.directory.Tick(b.now())
	b.rebalanceFeeds()
	b.expireReported(b.now())
	b.reportSuspicions(b.forwarder.tick())
	b.reportNeeds(b.now())
	b.reportSpeeds(b.now())
	b.reportPins(b.now())
	b.updateIsolation(b.now())
	b.updateGauges()
	if now := b.now(); !b.ready.Load() || now-b.lastPublish > publishInterval {
		b.changed = true
	}
}

// publishTimed publishes a view, and delays the next one by a multiple of the time that
// this one took. A balancer that is not ready delays none.
func (b *Balancer) publishTimed() {
	begun := b.now()
	b.publish()
	ended := b.now()
	b.metrics.ViewTime.Observe((ended - begun).Seconds())
	if b.ready.Load() {
		b.nextPublish = ended + min(publishRatio*(ended-begun), maxPublishDelay)
	}
}

// publish makes a new view available to the forwarder.
func (b *Balancer) publish() {
	b.changed = false
	now := b.now()
	b.lastPublish = now
	confirmed := b.isConfirmed()
	view := &affinity.View{Routes: b.table, Confirmed: confirmed, Current: confirmed && now > startupTime, Balancers: b.balancers, Needs: b.fedNeeds()}
	if now > b.lifetime {
		view.RetiredTargets = b.retired
	}
	upstreams := b.upstreams(now)
	b.view.Store(view.Index(upstreams))
	b.forwarder.release()
	if b.table == nil {
		return
	}
	if b.routesSince == 0 {
		b.routesSince = now
	}
	if ready := confirmed || now-b.routesSince > confirmTimeout; ready && !b.ready.Swap(true) {
		b.log.Info("ready", "number", b.table.Number, "upstreams", len(upstreams), "confirmed", confirmed)
	}
}

// upstreams returns all upstreams with their state according to the feeds.
func (b *Balancer) upstreams(now time.Duration) []affinity.Upstream {
	entries := b.directory.Entries()
	out := make([]affinity.Upstream, len(entries))
	for i, e := range entries {
		out[i] = affinity.Upstream{
			Record:     e.Record,
			Cookie:     e.Tag(),
			LastUpdate: e.LastUpdate,
			Ended:      e.State == directory.Gone && now-e.Ended > endedDelay,
		}
		out[i].Lapsed = b.isLapsed(e.ID)
		out[i].Ejected = b.isEjected(e.ID)
		out[i].Slowness = b.speeds.inForce[out[i].Cookie]
		out[i].Region = b.regions[e.Domain]
		out[i].Evacuated = b.evacuations.isActive(e.Domain)
		b.limitSlowStart(&out[i], e)
	}
	return out
}

// updateGauges updates the metrics that are sampled once per tick.
func (b *Balancer) updateGauges() {
	ready := 0.0
	if b.Ready() {
		ready = 1
	}
	b.metrics.Ready.Set(ready)
	b.metrics.Feeds.Set(float64(len(b.feeds)))
	if b.table != nil {
		b.metrics.ConfigurationNumber.Set(float64(b.table.Number))
	}
	b.updateExclusionGauges()
	b.metrics.OmittedLogLines.Add(float64(b.forwarder.flowLog.Omitted() - b.omittedCounted))
	b.omittedCounted = b.forwarder.flowLog.Omitted()
}
