package soak

import (
	"flag"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var (
	seedCount       = flag.Int("soak.seeds", 1, "number of seeds to run")
	firstSeed       = flag.Uint64("soak.first", 1, "first seed")
	parallelRuns    = flag.Int("soak.parallel", 1, "number of concurrent runs")
	controllerCount = flag.Int("soak.controllers", 4, "number of controllers; the first three are seeds")
	balancerCount   = flag.Int("soak.balancers", 3, "number of balancers, at most 240")
	faultTime       = flag.Duration("soak.time", 8*time.Second, "time in a run during which faults are injected")
	fromCommit      = flag.String("soak.from", "", "commit whose build the programs start with; restarts upgrade, roll back and upgrade again")
	logDir          = flag.String("soak.logs", "", "folder for the programs' settings, data and logs, kept after the run; default: a temporary folder")
)

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "heatherport-soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if err := buildNodes(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// logFolder returns the folder for the settings, data and logs of a run.
func logFolder(t *testing.T, seed uint64) string {
	if *logDir == "" {
		return t.TempDir()
	}
	return filepath.Join(*logDir, fmt.Sprint("seed-", seed))
}

func hexID(id uint64) string { return fmt.Sprintf("i-%x", id) }

func TestSoak(t *testing.T) {
	slots := make(chan struct{}, *parallelRuns)
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			run(t, seed, *faultTime)
		})
	}
}

// run runs the schedule of faults of one seed.
func run(t *testing.T, seed uint64, duration time.Duration) {
	h := newHarness(t, seed)
	defer h.shutdown()
	if !h.startAll() {
		return
	}
	go h.generateTraffic()
	go h.operator.run()
	h.operator.ordering.Go(h.operator.runLongEvacuations)
	h.operator.ordering.Go(h.operator.runShortEvacuations)
	h.injectFaults(duration)
	h.checkRecovery()
}

// startAll starts all programs and upstreams, and waits until connections can be served.
func (h *harness) startAll() bool {
	for _, p := range append(h.controllers, h.balancers...) {
		p.start()
	}
	for range 4 {
		h.newUpstream("one", 0)
		h.newUpstream("two", 0)
	}
	h.caller = h.startCaller(h.networks[0].Host(5))
	go h.probeBalancers()
	return h.eventually(recoveryTimeout, "a first configuration is accepted", func() bool { return h.operator.put(1) }) &&
		h.eventually(recoveryTimeout, "balancers are ready", h.allReady)
}

func (h *harness) allReady() bool {
	for _, p := range h.balancers {
		resp, err := h.http.Get(fmt.Sprintf("http://%s:%d/api/readyz", p.ip, readyPort))
		if err != nil {
			return false
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// injectFaults injects random faults until duration has passed. Faults may overlap,
// but the loss of a disk runs alone, since the settings tolerate the loss of one
// disk only.
func (h *harness) injectFaults(duration time.Duration) {
	var active sync.WaitGroup
	start := time.Now()
	for time.Since(start) < duration {
		f := randomElement(h, faults)
		gap := time.Duration(h.intN(1200)) * time.Millisecond
		if f.losesDisk {
			active.Wait()
			time.Sleep(faultFreePeriod) // no other controller may still be catching up
		}
		h.t.Logf("%s %s", time.Now().UTC().Format("15:04:05.000"), f.name)
		h.recordFault()
		done := make(chan struct{})
		active.Go(func() {
			defer close(done)
			f.run(h)
			h.recordFault()
		})
		if f.losesDisk {
			<-done
			time.Sleep(faultFreePeriod)
			continue
		}
		// About half of the faults end before the next one starts.
		if h.intN(2) == 0 {
			<-done
		}
		time.Sleep(gap)
	}
	active.Wait()
	h.recordFault()
}

// checkRecovery checks that the system recovers after the last fault: it is ready,
// accepts and returns configurations, and serves all connections.
func (h *harness) checkRecovery() {
	h.eventually(recoveryTimeout, "balancers are ready again", h.allReady)
	h.eventually(recoveryTimeout, "a configuration is accepted again", func() bool { return h.operator.put(3) })
	for _, c := range h.controllers {
		h.eventually(recoveryTimeout, c.name+" answers reads", func() bool { return h.operator.read(c) })
		h.eventually(recoveryTimeout, c.name+" lists evacuations", func() bool { return h.operator.listEvacuations(c) })
	}
	h.operator.noEvacuations.Store(true)
	h.operator.ordering.Wait()
	for _, d := range domains {
		h.eventually(recoveryTimeout, "the evacuation of "+d+" ends", func() bool { return h.operator.evacuate(d, false, 1) })
	}
	time.Sleep(faultFreePeriod)
	attempted, served := h.attempted.Load(), h.served.Load()
	succeeded := 0
	const attempts = 100
	var active sync.WaitGroup
	var mu sync.Mutex
	for i := range attempts {
		active.Go(func() {
			port := []uint16{routeOne, routeTwo}[i%2]
			if h.caller.connect(netip.AddrPortFrom(h.host, port), 2, 100*time.Millisecond) {
				mu.Lock()
				succeeded++
				mu.Unlock()
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	active.Wait()
	h.t.Logf("%d of %d connections served during the run, %d of %d after it", served, attempted, succeeded, attempts)
	if succeeded != attempts {
		h.reportViolation("%d of %d connections served after recovery", succeeded, attempts)
	}
}

// printControlLog writes what the controllers logged about leaders, voters and stalls.
// The logs themselves are deleted with the test's folder.
func (h *harness) printControlLog() {
	for _, c := range h.controllers {
		data, err := os.ReadFile(filepath.Join(c.dir, "log.json"))
		if err != nil {
			h.t.Logf("%s: %v", c.name, err)
			continue
		}
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, "leadership changed") || strings.Contains(line, "voter") || strings.Contains(line, "stalled") || strings.Contains(line, "failed to propose") {
				h.t.Logf("%s: %s", c.name, strings.TrimSpace(line))
			}
		}
	}
}

// shutdown kills the programs and stops the stand-ins that this run started, and
// fails the test if violations were reported.
func (h *harness) shutdown() {
	h.mu.Lock()
	failures := h.violations
	h.mu.Unlock()
	h.cancel()
	for _, p := range append(h.controllers, h.routers.balancers...) {
		if p.command != nil {
			p.kill()
		}
		if p.proxy != nil {
			p.proxy.close()
		}
		p.log.Close()
	}
	for _, u := range h.allUpstreams() {
		u.cancel()
		u.conn.Close()
	}
	if h.caller != nil {
		h.caller.conn.Close()
	}
	h.running.Wait()
	for _, n := range h.networks {
		n.Release()
	}
	if len(failures) > 0 {
		h.printControlLog()
	}
	must.SliceEmpty(h.t, failures, must.Sprintf("seed %d:\n%s", h.seed, strings.Join(failures, "\n")))
}
