// Package demo runs a fleet in one process: eight VMs in four failure domains,
// with a simulated fabric, callers and upstreams. It makes planned changes and
// kills a VM under traffic, then reports broken connections and other faults.
package demo

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"heatherport/internal/process/app"
	"heatherport/internal/process/cli"
	"heatherport/internal/process/fleet"
	"heatherport/internal/result"
	"heatherport/internal/standin"
	"heatherport/internal/version"
)

// Durations of the demo.
const (
	demoTimeout      = 55 * time.Second
	changeInterval   = 4 * time.Second // traffic between two changes
	warmUpTime       = 6 * time.Second
	drainGracePeriod = 3 * time.Second // after which a leaving upstream must get no new connections
)

type service struct {
	name      string
	addr      netip.AddrPort
	protocol  version.Protocol
	upstreams int
	slots     int
	caller    standin.CallerConfig
}

var services = []service{
	{
		name: "permit", addr: netip.MustParseAddrPort("198.51.100.1:443"), protocol: version.TCP,
		upstreams: 15, slots: 3,
		caller: standin.CallerConfig{LongLived: 450, ArrivalRate: 60, MeanLifetime: 4 * time.Second, ThinkTime: 100 * time.Millisecond},
	},
	{
		name: "allocation", addr: netip.MustParseAddrPort("198.51.100.2:443"), protocol: version.UDP,
		upstreams: 4, slots: 3,
		caller: standin.CallerConfig{LongLived: 24, ArrivalRate: 4, MeanLifetime: 4 * time.Second, ThinkTime: 200 * time.Millisecond, ResponseBodySize: 64 << 10},
	},
}

var loopback = netip.MustParseAddr("127.0.0.1")

// run is the state of one run of the demo.
type run struct {
	options       cli.DemoOptions
	ctx           context.Context
	fabric        *standin.Fabric
	stats         *standin.Stats
	fleet         *fleet.Fleet
	random        *rand.Rand
	upstreams     map[string]*standin.Upstream
	callers       sync.WaitGroup
	cancelCallers context.CancelFunc
	drained       []string // upstreams that are leaving or paused in the current sheet
	report        Report

	upstreamTLS, callerTLS *tls.Config
	started                time.Time
}

// Run runs the demo. It returns an error if a guarantee was violated.
func Run(ctx context.Context, o cli.DemoOptions) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	r := &run{
		options:   o,
		ctx:       ctx,
		stats:     standin.NewStats(),
		random:    rand.New(rand.NewPCG(o.Seed, 0)),
		upstreams: make(map[string]*standin.Upstream),
		started:   time.Now(),
	}
	if err := r.prepare(); err != nil {
		return err
	}
	defer r.close()
	for _, step := range r.steps() {
		r.progress("%s", step.name)
		if err := step.do(); err != nil {
			return err
		}
	}
	return r.finish()
}

func (r *run) progress(format string, args ...any) {
	fmt.Fprintf(r.options.Log, "%5.1fs  "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...)
}

func (r *run) prepare() error {
	dir, err := os.MkdirTemp("", "heatherport-demo-")
	if err != nil {
		return result.Wrapf(err, result.StorageFailed, "create data folder of the demo")
	}
	r.upstreamTLS, r.callerTLS, err = standin.NewTLS()
	if err != nil {
		return err
	}
	r.fabric, err = standin.NewFabric(netip.AddrPortFrom(loopback, 0), r.options.Seed)
	if err != nil {
		return err
	}
	log := hclog.New(&hclog.LoggerOptions{Output: io.Discard})
	if os.Getenv("HEATHERPORT_DEMO_LOG") != "" {
		log = hclog.New(&hclog.LoggerOptions{Output: r.options.Log, Level: hclog.LevelFromString(os.Getenv("HEATHERPORT_DEMO_LOG"))})
	}
	r.fleet, err = fleet.New(fleet.Options{Dir: dir, Fabric: r.fabric, Log: log})
	return err
}

func (r *run) close() {
	if r.cancelCallers != nil {
		r.cancelCallers()
	}
	for _, u := range r.upstreams {
		u.Close()
	}
	r.fleet.Close()
	r.fabric.Close()
}

type step struct {
	name string
	do   func() error
}

func (r *run) steps() []step {
	return []step{
		{"starting 8 VMs in 4 failure domains, 3 of them voters", r.startFleet},
		{"submitting sheet 1", func() error { return r.submit(1, nil) }},
		{"starting upstreams; they announce themselves", r.startUpstreams},
		{"starting callers", r.startCallers},
		{"sheet 2: permit-01 leaves, permit-02 is paused", r.drainUpstreams},
		{"a VM stops gracefully while another upstream leaves (sheet 3)", r.stopAndDrain},
		{"the stopped VM joins again", r.rejoin},
		{"the leader is killed", r.killLeader},
		{"ending callers", r.endCallers},
	}
}

func (r *run) startFleet() error {
	if err := r.fleet.StartAll(r.ctx); err != nil {
		return err
	}
	err := r.fleet.Wait(r.ctx, "membership", func(a *app.App) bool { return a.Controller.View().IsOwner })
	if err != nil {
		return err
	}
	for _, i := range r.fleet.Live() {
		r.fleet.Attach(i)
	}
	return nil
}

// submit submits a sheet and waits until it is in force on all VMs. Upstreams
// not in states are active.
func (r *run) submit(number int, states map[string]string) error {
	start := time.Now()
	out, err := r.fleet.Operator().SubmitSheet(r.ctx, []byte(sheetCSV(number, states)))
	if err != nil {
		return err
	}
	accepted := time.Now()
	err = r.fleet.Wait(r.ctx, "sheet", func(a *app.App) bool { return a.Controller.View().Index >= out.Index })
	if err != nil {
		return err
	}
	inForce := time.Since(accepted)
	r.report.MaxSheetInForce = max(r.report.MaxSheetInForce, inForce)
	r.progress("  accepted after %d ms, in force on all VMs %d ms later", accepted.Sub(start).Milliseconds(), inForce.Milliseconds())
	return nil
}

func sheetCSV(number int, states map[string]string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "version,%d\n", number)
	for _, s := range services {
		fmt.Fprintf(&b, "service,%s,%s,%s,%d,10m,no\n", s.name, s.addr.Addr(), s.protocol, s.addr.Port())
		for i := range s.upstreams {
			name := upstreamName(s.name, i)
			state := "active"
			if v, ok := states[name]; ok {
				state = v
			}
			fmt.Fprintf(&b, "upstream,%s,%s,%s,%d,2000\n", s.name, name, state, s.slots)
		}
	}
	return b.String()
}

func upstreamName(service string, i int) string { return fmt.Sprintf("%s-%02d", service, i+1) }

func (r *run) startUpstreams() error {
	n := 0
	for _, s := range services {
		for i := range s.upstreams {
			name := upstreamName(s.name, i)
			announce, err := r.fleet.Announcer(name)
			if err != nil {
				return err
			}
			u, err := standin.NewUpstream(r.ctx, r.stats, standin.UpstreamConfig{
				Name: name, Service: s.name, ServiceAddr: s.addr, Protocol: s.protocol, TLS: r.upstreamTLS,
				ListenAddr: netip.AddrPortFrom(loopback, 0), ReturnAddr: r.fabric.Addr(),
				Incarnation: uint64(time.Now().UnixNano()), Slots: s.slots, QueueLimit: 1000,
				ServiceTime: 2 * time.Millisecond, Announce: announce,
			})
			if err != nil {
				return err
			}
			r.upstreams[name] = u
			n++
		}
	}
	return r.fleet.Wait(r.ctx, "announcements", func(a *app.App) bool {
		v := a.Controller.Version()
		return v != nil && len(v.Upstreams) == n
	})
}

func (r *run) startCallers() error {
	ctx, cancel := context.WithCancel(r.ctx)
	r.cancelCallers = cancel
	for i, s := range services {
		cfg := s.caller
		cfg.Addr = netip.AddrFrom4([4]byte{203, 0, 113, byte(10 + i)})
		cfg.Service = s.addr
		cfg.Name = s.name
		cfg.Protocol = s.protocol
		cfg.TLS = r.callerTLS
		cfg.Seed = r.options.Seed + uint64(i)
		c := standin.NewCaller(r.fabric, r.stats, cfg)
		r.callers.Go(func() { c.Run(ctx) })
	}
	return r.sleep(warmUpTime)
}

func (r *run) sleep(d time.Duration) error {
	select {
	case <-r.ctx.Done():
		return result.Errorf(result.NotReady, "the demo took longer than %s", demoTimeout)
	case <-time.After(d):
		return nil
	}
}

// submitAndMarkDraining submits a sheet. After the grace period it marks the
// upstreams in states as draining, so that new connections are counted as faults.
func (r *run) submitAndMarkDraining(number int, states map[string]string) error {
	if err := r.submit(number, states); err != nil {
		return err
	}
	if err := r.sleep(drainGracePeriod); err != nil {
		return err
	}
	for name := range states {
		r.upstreams[name].MarkDraining()
		r.drained = append(r.drained, name)
	}
	return nil
}

func (r *run) drainUpstreams() error {
	r.report.recordImbalance(r.stats.Report(), r.drained)
	if err := r.submitAndMarkDraining(2, map[string]string{"permit-01": "leaving", "permit-02": "paused"}); err != nil {
		return err
	}
	return r.sleep(changeInterval)
}

// stoppedVM is the index of the VM that stops gracefully and joins again.
const stoppedVM = 5

func (r *run) stopAndDrain() error {
	stopped := make(chan error, 1)
	go func() { stopped <- r.fleet.Stop(r.ctx, stoppedVM) }()
	err := r.submitAndMarkDraining(3, map[string]string{"permit-01": "leaving", "permit-02": "paused", "permit-03": "leaving"})
	if err != nil {
		return err
	}
	if err := <-stopped; err != nil {
		return err
	}
	r.progress("  %s has handed over and stopped", r.fleet.Name(stoppedVM))
	return nil
}

func (r *run) rejoin() error {
	if err := r.fleet.Start(r.ctx, stoppedVM); err != nil {
		return err
	}
	err := r.fleet.Wait(r.ctx, "joining", func(a *app.App) bool { return a.Controller.View().IsOwner })
	if err != nil {
		return err
	}
	r.fleet.Attach(stoppedVM)
	if err := r.sleep(changeInterval); err != nil {
		return err
	}
	r.report.BrokenOnPlannedChanges = r.brokenTotal()
	return nil
}

func (r *run) brokenTotal() uint64 {
	report := r.stats.Report()
	return report.BrokenTotal()
}

func (r *run) killLeader() error {
	i := r.fleet.Leader()
	if i < 0 {
		return result.Errorf(result.NoLeader, "no VM is the leader")
	}
	r.fleet.Kill(i)
	r.progress("  %s is dead", r.fleet.Name(i))
	return r.sleep(2 * changeInterval)
}

func (r *run) endCallers() error {
	r.report.recordImbalance(r.stats.Report(), r.drained)
	r.cancelCallers()
	r.callers.Wait()
	return nil
}

func (r *run) finish() error {
	r.report.setCounts(r.stats.Report())
	r.report.BrokenAfterKill = r.report.Broken - r.report.BrokenOnPlannedChanges
	r.report.Elapsed = time.Since(r.started)
	if err := r.report.write(r.options.Output, r.options.JSON); err != nil {
		return err
	}
	return r.report.checkGuarantees()
}
