// Package fleet runs the VMs of a small fleet in one process: eight balancers
// in four failure domains, three of them voters. The demo and tests use it.
package fleet

import (
	"context"
	"fmt"
	"net"
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
)

// Domains are the failure domains of the fleet. VM i is in domain
// i%len(Domains), and the first VM of each of the first three is a voter.
var Domains = []string{"ibadan", "akure", "abeokuta", "oshogbo"}

const (
	capacity    = 50_000
	stopTimeout = 15 * time.Second
)

// The numbers of VMs in the fleet; the voters come first.
const (
	Voters = 3
	VMs    = 8
)

// operatorName is the name in the certificate of the fleet's operator.
const operatorName = "operator"

var loopback = netip.MustParseAddr("127.0.0.1")

// Fleet is a set of VMs in this process.
type Fleet struct {
	dir       string
	authority *keys.Ephemeral
	fabric    *standin.Fabric
	operator  *keys.Store
	allow     func(from, to string) bool
	log       hclog.Logger
	settings  []*settings.Settings

	mu   sync.Mutex
	apps []*app.App // nil once stopped
}

// Options configure a Fleet.
type Options struct {
	Dir    string // data folders are below it
	Fabric *standin.Fabric
	Log    hclog.Logger
	// AllowLink may cut links between VMs; nil allows all.
	AllowLink func(from, to string) bool
}

// New prepares the VMs behind a fabric.
func New(o Options) (*Fleet, error) {
	authority, err := keys.NewEphemeral()
	if err != nil {
		return nil, err
	}
	operator, err := authority.Issue(identity.Operator, operatorName)
	if err != nil {
		return nil, err
	}
	f := &Fleet{dir: o.Dir, authority: authority, fabric: o.Fabric, operator: operator, log: o.Log, allow: o.AllowLink}
	return f, f.configure()
}

// configure gives each VM free ports.
func (f *Fleet) configure() error {
	var peers []settings.Peer
	var initial []string
	for i := range VMs {
		s, err := f.newSettings(i)
		if err != nil {
			return err
		}
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

func (f *Fleet) newSettings(i int) (*settings.Settings, error) {
	domain := Domains[i%len(Domains)]
	s := &settings.Settings{}
	s.VM.Name = fmt.Sprintf("%s-%d", domain, 1+i/len(Domains))
	s.VM.Domain = domain
	s.VM.StopTimeout = stopTimeout
	if i < Voters {
		s.VM.DataDir = filepath.Join(f.dir, s.VM.Name)
	}
	s.Fabric.Return = f.fabric.Addr()
	s.Fabric.Receivers = 1
	s.Fabric.Batch = settings.DefaultBatch
	s.Connections.Capacity = capacity
	s.Connections.ExceptionBudget = settings.DefaultExceptionBudget
	for _, a := range []*netip.AddrPort{&s.Fabric.Listen, &s.Relay.Listen, &s.Link.Listen} {
		if err := freeUDP(a); err != nil {
			return nil, err
		}
	}
	for _, a := range []*netip.AddrPort{&s.API.Listen, &s.Metrics.Listen} {
		if err := freeTCP(a); err != nil {
			return nil, err
		}
	}
	s.Relay.Advertise = s.Relay.Listen
	s.Link.Advertise = s.Link.Listen
	s.API.Advertise = s.API.Listen
	return s, nil
}

func freeUDP(a *netip.AddrPort) error {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(loopback, 0)))
	if err != nil {
		return result.Wrapf(err, result.Internal, "free UDP port")
	}
	defer c.Close()
	*a = c.LocalAddr().(*net.UDPAddr).AddrPort()
	return nil
}

func freeTCP(a *netip.AddrPort) error {
	l, err := net.Listen("tcp", netip.AddrPortFrom(loopback, 0).String())
	if err != nil {
		return result.Wrapf(err, result.Internal, "free TCP port")
	}
	defer l.Close()
	*a = l.Addr().(*net.TCPAddr).AddrPort()
	return nil
}

// Start starts VM i without giving it traffic.
func (f *Fleet) Start(ctx context.Context, i int) error {
	s := f.settings[i]
	store, err := f.authority.Issue(identity.VM, s.VM.Name)
	if err != nil {
		return err
	}
	a, err := app.New(app.Options{Settings: s, Keys: store, Log: f.log.Named(s.VM.Name), AllowLink: f.allow})
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

// Attach lets the fabric send to VM i.
func (f *Fleet) Attach(i int) { f.fabric.Add(f.settings[i].Fabric.Listen) }

// Stop stops VM i gracefully. The fabric takes it out when it is no longer
// ready, a moment after the stop began.
func (f *Fleet) Stop(ctx context.Context, i int) error {
	a := f.take(i)
	time.AfterFunc(fabricDelay, func() { f.fabric.Remove(f.settings[i].Fabric.Listen) })
	return a.Stop(ctx)
}

// fabricDelay is the time in which the fabric notices that a VM stops or dies.
const fabricDelay = time.Second

// Kill ends VM i as a crash does. The fabric goes on sending to it for a moment.
func (f *Fleet) Kill(i int) {
	a := f.take(i)
	a.Kill()
	time.AfterFunc(fabricDelay, func() { f.fabric.Remove(f.settings[i].Fabric.Listen) })
}

// Close kills all VMs that still run.
func (f *Fleet) Close() {
	for _, i := range f.Live() {
		f.fabric.Remove(f.settings[i].Fabric.Listen)
		f.take(i).Kill()
	}
	_ = os.RemoveAll(f.dir)
}

func (f *Fleet) set(i int, a *app.App) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.apps[i] = a
}

// take forgets VM i and returns its process.
func (f *Fleet) take(i int) *app.App {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.apps[i]
	f.apps[i] = nil
	return a
}

// App returns the process of VM i, nil when it does not run.
func (f *Fleet) App(i int) *app.App {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.apps[i]
}

// Name returns the name of VM i.
func (f *Fleet) Name(i int) string { return f.settings[i].VM.Name }

// Live returns the positions of the VMs that run.
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

// Leader returns the position of the VM that leads, or -1.
func (f *Fleet) Leader() int {
	for _, i := range f.Live() {
		if f.App(i).Controller.View().Leading {
			return i
		}
	}
	return -1
}

// OperatorAt returns a client with the operator's certificate for VM i alone.
func (f *Fleet) OperatorAt(i int) *api.Client {
	return api.NewClient([]netip.AddrPort{f.settings[i].API.Listen}, f.operator.ClientTLS(""))
}

// Operator returns a client with the operator's certificate for all live VMs.
func (f *Fleet) Operator() *api.Client { return f.client(f.operator) }

func (f *Fleet) client(store *keys.Store) *api.Client {
	var addrs []netip.AddrPort
	for _, i := range f.Live() {
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
		_, err := f.client(store).Announce(ctx, api.Announcement{
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

// Wait polls until ok holds for every live VM.
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
