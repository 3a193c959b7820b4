// Package fleet runs a small fleet of VMs in one process: eight balancers in
// four failure domains, three of them voters, with real sockets on the loopback
// interface. The demo, tests and measurements use it.
package fleet

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"heatherport/internal/process/app"
	"heatherport/internal/process/keys"
	"heatherport/internal/process/settings"
	"heatherport/internal/request/api"
	"heatherport/internal/request/identity"
	"heatherport/internal/result"
	"heatherport/internal/standin"
	"heatherport/internal/standin/loopback"
)

// domains are the failure domains of the fleet; each has two VMs, and the
// first VM of each of the first three is a voter.
var domains = []string{"ibadan", "akure", "abeokuta", "oshogbo"}

const (
	vmsPerDomain = 2
	voters       = 3      // the first VMs
	capacity     = 50_000 // entries of a connection table
	stopTimeout  = 15 * time.Second
)

// Ports of a VM. Each VM has its own address. The ports are below the ephemeral
// range of the system, so that they stay free while the VM is down.
const (
	fabricPort  = 5555
	relayPort   = 5556
	linkPort    = 5557
	apiPort     = 8443
	metricsPort = 9464
)

// address returns the loopback address of VM i.
func (f *Fleet) address(i int) netip.Addr { return f.network.Host(byte(1 + i)) }

// Options configure a Fleet.
type Options struct {
	Dir    string          // parent of the data folders, removed by Close
	Fabric *standin.Fabric // carries the callers' packets
	Log    hclog.Logger
}

// Fleet is a set of VMs in this process.
type Fleet struct {
	Options
	// Partition holds the blocked links.
	Partition Partition
	network   *loopback.Network
	authority *keys.Ephemeral
	operator  *keys.Store
	settings  []*settings.Settings

	mu   sync.Mutex
	apps []*app.App // elements are nil while stopped
}

// New prepares the VMs of a new fleet.
func New(o Options) (*Fleet, error) {
	authority, err := keys.NewEphemeral()
	if err != nil {
		return nil, err
	}
	operator, err := authority.Issue(identity.Operator, "operator")
	if err != nil {
		return nil, err
	}
	network, err := loopback.Reserve()
	if err != nil {
		return nil, err
	}
	f := &Fleet{Options: o, network: network, authority: authority, operator: operator}
	return f, f.configure()
}

// configure creates the settings of each VM.
func (f *Fleet) configure() error {
	var peers []settings.Peer
	var initial []string
	for i := range len(domains) * vmsPerDomain {
		s := f.newSettings(i)
		f.settings = append(f.settings, s)
		peers = append(peers, settings.Peer{Name: s.VM.Name, Link: s.Link.Listen})
		if s.VM.DataDir != "" {
			initial = append(initial, s.VM.Name)
		}
	}
	for _, s := range f.settings {
		s.Peers = peers
		s.Voters.Initial = initial
		if s.VM.DataDir == "" {
			continue
		}
		if err := app.Bootstrap(s); err != nil {
			return err
		}
	}
	f.apps = make([]*app.App, len(f.settings))
	return nil
}

func (f *Fleet) newSettings(i int) *settings.Settings {
	domain := domains[i%len(domains)]
	s := &settings.Settings{}
	s.VM.Name = fmt.Sprintf("%s-%d", domain, 1+i/len(domains))
	s.VM.Domain = domain
	s.VM.StopTimeout = stopTimeout
	if i < voters {
		s.VM.DataDir = filepath.Join(f.Dir, s.VM.Name)
	}
	s.Fabric.Return = f.Fabric.Addr()
	s.Fabric.Receivers = 1
	s.Fabric.Batch = settings.DefaultBatch
	s.Connections.Capacity = capacity
	addr := f.address(i)
	s.Connections.ExceptionBudget = settings.DefaultExceptionBudget
	s.Fabric.Listen = netip.AddrPortFrom(addr, fabricPort)
	s.Relay.Listen = netip.AddrPortFrom(addr, relayPort)
	s.Link.Listen = netip.AddrPortFrom(addr, linkPort)
	s.API.Listen = netip.AddrPortFrom(addr, apiPort)
	s.Metrics.Listen = netip.AddrPortFrom(addr, metricsPort)
	s.Relay.Advertise = s.Relay.Listen
	s.Link.Advertise = s.Link.Listen
	s.API.Advertise = s.API.Listen
	return s
}

// Start starts VM i. The fabric sends it no traffic before Attach.
func (f *Fleet) Start(ctx context.Context, i int) error {
	s := f.settings[i]
	store, err := f.authority.Issue(identity.VM, s.VM.Name)
	if err != nil {
		return err
	}
	a, err := app.New(app.Options{Settings: s, Keys: store, Log: f.Log.Named(s.VM.Name), AllowLink: f.Partition.allow})
	if err != nil {
		return err
	}
	if err := a.Start(ctx); err != nil {
		return err
	}
	f.set(i, a)
	return nil
}

// StartAll starts all VMs.
func (f *Fleet) StartAll(ctx context.Context) error {
	for i := range f.settings {
		if err := f.Start(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// Attach makes the fabric send traffic to VM i.
func (f *Fleet) Attach(i int) { f.Fabric.Add(f.settings[i].Fabric.Listen) }

// Stop stops VM i gracefully. The fabric removes the VM fabricDetectionTime after
// the stop began, because it is no longer ready.
func (f *Fleet) Stop(ctx context.Context, i int) error {
	a := f.detach(i)
	time.AfterFunc(fabricDetectionTime, func() { f.Fabric.Remove(f.settings[i].Fabric.Listen) })
	return a.Stop(ctx)
}

// fabricDetectionTime is the time after which the fabric detects that a VM stops
// or has failed.
const fabricDetectionTime = time.Second

// Kill stops VM i abruptly, like a crash. The fabric keeps sending to it for
// fabricDetectionTime.
func (f *Fleet) Kill(i int) {
	a := f.detach(i)
	a.Kill()
	time.AfterFunc(fabricDetectionTime, func() { f.Fabric.Remove(f.settings[i].Fabric.Listen) })
}

// Close kills all running VMs.
func (f *Fleet) Close() {
	for _, i := range f.Live() {
		f.Fabric.Remove(f.settings[i].Fabric.Listen)
		f.detach(i).Kill()
	}
	f.network.Release()
	_ = os.RemoveAll(f.Dir)
}

func (f *Fleet) set(i int, a *app.App) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.apps[i] = a
}

// detach removes VM i from the running VMs and returns its process.
func (f *Fleet) detach(i int) *app.App {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.apps[i]
	f.apps[i] = nil
	return a
}

// App returns the process of VM i, or nil if it is not running.
func (f *Fleet) App(i int) *app.App {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.apps[i]
}

// Size returns the number of VMs, running or not.
func (f *Fleet) Size() int { return len(f.settings) }

// Settings returns the settings of VM i.
func (f *Fleet) Settings(i int) *settings.Settings { return f.settings[i] }

// Name returns the name of VM i.
func (f *Fleet) Name(i int) string { return f.settings[i].VM.Name }

// Live returns the indexes of the running VMs.
func (f *Fleet) Live() []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	var live []int
	for i, a := range f.apps {
		if a != nil {
			live = append(live, i)
		}
	}
	return live
}

// Leader returns the index of the VM that leads, or -1.
func (f *Fleet) Leader() int {
	for _, i := range f.Live() {
		if f.App(i).Controller.View().IsLeader {
			return i
		}
	}
	return -1
}

// Operator returns a client with the operator's certificate for all live VMs.
func (f *Fleet) Operator() *api.Client { return f.client(f.operator, f.Live()) }

// OperatorAt returns a client with the operator's certificate that calls only
// VM i.
func (f *Fleet) OperatorAt(i int) *api.Client { return f.client(f.operator, []int{i}) }

func (f *Fleet) client(store *keys.Store, vms []int) *api.Client {
	var addrs []netip.AddrPort
	for _, i := range vms {
		addrs = append(addrs, f.settings[i].API.Listen)
	}
	return api.NewClient(addrs, store.ClientTLS(""))
}

// Announcer returns a function by which the upstream called name announces
// itself to any live VM.
func (f *Fleet) Announcer(name string) (func(context.Context, standin.Announcement) error, error) {
	store, err := f.authority.Issue(identity.Upstream, name)
	if err != nil {
		return nil, err
	}
	return func(ctx context.Context, a standin.Announcement) error {
		load := float64(a.Load) / 255
		_, err := f.client(store, f.Live()).Announce(ctx, api.Announcement{
			Name:        a.Name,
			Service:     a.Service,
			Address:     a.Addr,
			Incarnation: a.Incarnation,
			Slots:       a.Slots,
			Load:        &load,
		})
		return err
	}, nil
}

// Wait polls until ok returns true for every live VM.
func (f *Fleet) Wait(ctx context.Context, what string, ok func(a *app.App) bool) error {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		missing := ""
		for _, i := range f.Live() {
			if a := f.App(i); a != nil && !ok(a) {
				missing = f.Name(i)
				break
			}
		}
		if missing == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return result.Errorf(result.NotInForceYet, "%s: still waiting for %s", what, missing)
		case <-ticker.C:
		}
	}
}
