package main

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"heatherport/internal/process/keys"
	"heatherport/internal/process/metrics"
	"heatherport/internal/request/api"
	"heatherport/internal/standin"
	"heatherport/internal/version"
)

var permitAddr = netip.MustParseAddrPort("198.51.100.1:443")

const permitUpstreams = 4

// traffic is a fabric, upstreams and callers before a cluster.
type traffic struct {
	*cluster
	fabric  *standin.Fabric
	stats   *standin.Stats
	probes  []net.Listener // of the upstreams, by position
	callers sync.WaitGroup
	hangUp  context.CancelFunc
}

func newTraffic(t *testing.T) *traffic {
	fabric, err := standin.NewFabric(netip.MustParseAddrPort("127.0.0.1:0"), 1)
	must.NoError(t, err)
	t.Cleanup(func() { fabric.Close() })
	tr := &traffic{cluster: newClusterBehind(t, fabric.Addr()), fabric: fabric, stats: standin.NewStats()}
	for _, v := range tr.vms {
		fabric.Add(v.at(fabricPort))
	}
	return tr
}

// permitSheet returns a sheet of the permit service in which the given upstream is
// leaving.
func permitSheet(number, leaving int) []byte {
	b := fmt.Appendf(nil, "version,%d\nservice,permit,%s,tcp,443,10m,no\n", number, permitAddr.Addr())
	for i := range permitUpstreams {
		state := "active"
		if i == leaving {
			state = "leaving"
		}
		b = fmt.Appendf(b, "upstream,permit,permit-%d,%s,3,2000\n", i, state)
	}
	return b
}

func (tr *traffic) submitSheet(number, leaving int) {
	tr.t.Helper()
	tr.waitFor("sheet accepted", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		_, err := tr.client.SubmitSheet(ctx, permitSheet(number, leaving))
		return err == nil
	})
	tr.waitAll("sheet in force", func(h metrics.Health) bool { return h.SheetNumber == uint64(number) })
}

// startUpstreams starts the upstreams, which announce themselves.
func (tr *traffic) startUpstreams() []*standin.Upstream {
	var out []*standin.Upstream
	for i := range permitUpstreams {
		name := fmt.Sprintf("permit-%d", i)
		probe, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(tr.t, err)
		tr.t.Cleanup(func() { probe.Close() })
		tr.probes = append(tr.probes, probe)
		u, err := standin.NewUpstream(context.Background(), tr.stats, standin.UpstreamConfig{
			Name: name, Service: "permit", ServiceAddr: permitAddr, Protocol: version.TCP,
			ListenAddr: netip.MustParseAddrPort("127.0.0.1:0"), ReturnAddr: tr.fabric.Addr(),
			Incarnation: 1, Slots: 3, QueueLimit: 1000, Announce: tr.announcer(name, probe.Addr()),
		})
		must.NoError(tr.t, err)
		tr.t.Cleanup(func() { u.Close() })
		out = append(out, u)
	}
	tr.waitFor("announcements", func() bool {
		s, err := tr.client.Status(context.Background())
		return err == nil && len(s.Upstreams) == permitUpstreams
	})
	return out
}

func (tr *traffic) announcer(name string, probe net.Addr) func(context.Context, standin.Announcement) error {
	tr.command("keys", "issue", "--dir", tr.dir, "--upstream", name)
	store, err := keys.Open(keys.Files{
		CA:          filepath.Join(tr.dir, keys.CAFile),
		Certificate: filepath.Join(tr.dir, keys.CertificateFile(name)),
		Key:         filepath.Join(tr.dir, keys.KeyFile(name)),
	})
	must.NoError(tr.t, err)
	var addrs []netip.AddrPort
	for _, v := range tr.vms {
		addrs = append(addrs, v.at(apiPort))
	}
	client := api.NewClient(addrs, store.ClientTLS(""))
	return func(ctx context.Context, a standin.Announcement) error {
		_, err := client.Announce(ctx, api.Announcement{
			Name: a.Name, Service: a.Service, Address: a.Addr, Incarnation: a.Incarnation, Slots: a.Slots,
			Probe: probe.(*net.TCPAddr).AddrPort(),
		})
		return err
	}
}

func (tr *traffic) startCallers() {
	ctx, cancel := context.WithCancel(context.Background())
	tr.hangUp = cancel
	tr.t.Cleanup(cancel)
	c := standin.NewCaller(tr.fabric, tr.stats, standin.CallerConfig{
		Addr: netip.MustParseAddr("203.0.113.10"), Service: permitAddr, Name: "permit", Protocol: version.TCP,
		LongLived: 60, ArrivalRate: 30, MeanLifetime: time.Second, ThinkTime: 50 * time.Millisecond, Seed: 1,
	})
	tr.callers.Go(func() { c.Run(ctx) })
}

// progress waits until callers have opened n more connections.
func (tr *traffic) progress(n uint64) {
	tr.t.Helper()
	goal := tr.stats.Report().Opened + n
	tr.waitFor("connections", func() bool { return tr.stats.Report().Opened >= goal })
}

// TestTrafficOverProcesses runs callers through four processes while a sheet
// drains an upstream, one VM dies by SIGKILL and one stops by SIGTERM.
func TestTrafficOverProcesses(t *testing.T) {
	const step = 60 // connections between two changes
	t.Parallel()
	tr := newTraffic(t)
	tr.submitSheet(1, -1)
	upstreams := tr.startUpstreams()
	tr.startCallers()
	tr.progress(2 * step)

	tr.submitSheet(2, 0)
	tr.progress(4 * step) // more than the time that a change may take
	upstreams[0].MarkDraining()
	tr.progress(step)

	const killed, stopped = 3, 2
	tr.kill(killed)
	tr.progress(step)
	tr.fabric.Remove(tr.vms[killed].at(fabricPort))
	tr.progress(step)
	tr.start(killed)
	tr.waitReady()
	tr.fabric.Add(tr.vms[killed].at(fabricPort))
	tr.progress(step)

	tr.signal(stopped, syscall.SIGTERM)
	tr.progress(step)
	tr.fabric.Remove(tr.vms[stopped].at(fabricPort))
	must.Eq(t, 0, tr.end(stopped).ExitStatus())
	tr.progress(step)

	tr.hangUp()
	tr.callers.Wait()
	r := tr.stats.Report()
	t.Logf("%d connections opened, %d requests answered", r.Opened, r.Requests)
	must.MapEmpty(t, r.Broken)
	must.Zero(t, r.CrossService)
	must.Zero(t, r.CrossConnection)
	must.Zero(t, r.AffinityViolations)
	must.Zero(t, r.DuplicateAttempts)
	must.Zero(t, r.DuplicateRuns)
	must.Zero(t, r.RefusedButRun)
	must.Zero(t, r.AcceptedWhileDraining)
}

// TestProbesEjectFailingUpstream closes what an upstream's probes connect to.
// The upstream must get no new connections and keep those it has.
func TestProbesEjectFailingUpstream(t *testing.T) {
	const failing = 1
	t.Parallel()
	tr := newTraffic(t)
	tr.submitSheet(1, -1)
	upstreams := tr.startUpstreams()
	tr.startCallers()
	tr.progress(60)

	must.NoError(t, tr.probes[failing].Close())
	name := fmt.Sprintf("permit-%d", failing)
	tr.waitFor("ejection", func() bool {
		x, err := tr.client.ExplainUpstream(context.Background(), api.UpstreamQuery{Name: name})
		return err == nil && !x.Healthy && !x.Eligible && len(x.Observations) > 1
	})
	tr.waitFor("ejection everywhere", func() bool { return tr.ejectedEverywhere(name) })
	upstreams[failing].MarkDraining() // counts connections that reach it from now on
	tr.progress(120)

	tr.hangUp()
	tr.callers.Wait()
	r := tr.stats.Report()
	must.MapEmpty(t, r.Broken)
	must.Zero(t, r.AcceptedWhileDraining)
}

// ejectedEverywhere reports whether each VM has the upstream as not healthy.
func (tr *traffic) ejectedEverywhere(name string) bool {
	for _, v := range tr.vms {
		s, err := tr.operator(v).Status(context.Background())
		if err != nil {
			return false
		}
		for _, u := range s.Upstreams {
			if u.Name == name && u.Healthy {
				return false
			}
		}
	}
	return true
}
