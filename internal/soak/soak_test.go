package soak

import (
	"flag"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
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
	atOnce          = flag.Int("soak.parallel", 1, "runs at the same time")
	controllerCount = flag.Int("soak.controllers", 4, "controllers, three of them seeds")
	balancerCount   = flag.Int("soak.balancers", 3, "balancers, 240 at most")
	faultTime       = flag.Duration("soak.time", 8*time.Second, "time with faults in a run")
	logDir          = flag.String("soak.logs", "", "folder in which the programs' logs stay")
)

// heatherport is the program under test.
var heatherport string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "heatherport-soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	heatherport = filepath.Join(dir, "heatherport")
	if out, err := exec.Command("go", "build", "-o", heatherport, "heatherport/cmd/heatherport").CombinedOutput(); err != nil {
		fmt.Fprintln(os.Stderr, string(out), err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// logFolder is where the programs of a run keep settings, data and logs.
func logFolder(t *testing.T, seed uint64) string {
	if *logDir == "" {
		return t.TempDir()
	}
	return filepath.Join(*logDir, fmt.Sprint("seed-", seed))
}

func hexID(id uint64) string { return fmt.Sprintf("i-%x", id) }

func TestSoak(t *testing.T) {
	slots := make(chan struct{}, *atOnce)
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

// run plays one seed.
func run(t *testing.T, seed uint64, length time.Duration) {
	w := newWorld(t, seed)
	defer w.end()
	for _, p := range append(w.controllers, w.balancers...) {
		p.start()
	}
	for range 4 {
		w.newUpstream("one")
		w.newUpstream("two")
	}
	w.caller = w.startCaller(w.networks[0].Host(5))
	go w.probe()
	if !w.eventually(recoveryTime, "a first configuration is accepted", func() bool { return w.operator.put(1) }) {
		return
	}
	w.eventually(recoveryTime, "balancers are ready", w.allReady)
	go w.traffic()
	go w.operator.work()
	w.disturb(length)
	w.checkRecovery()
}

func (w *world) allReady() bool {
	for _, p := range w.balancers {
		resp, err := w.http.Get(fmt.Sprintf("http://%s:%d/api/readyz", p.ip, readyPort))
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

// disturb plays faults in series that overlap: each takes turns with others on
// other programs, and the loss of a disk is alone among those of controllers.
func (w *world) disturb(length time.Duration) {
	var going sync.WaitGroup
	begun := time.Now()
	for time.Since(begun) < length {
		f := draw(w, faults)
		gap := time.Duration(w.intN(1200)) * time.Millisecond
		if f.disk {
			going.Wait()
			time.Sleep(touchTime) // so that no second disk is behind
		}
		w.t.Logf("%s %s", time.Now().UTC().Format("15:04:05.000"), f.name)
		w.faulted()
		done := make(chan struct{})
		going.Go(func() {
			defer close(done)
			f.run(w)
			w.faulted()
		})
		if f.disk {
			<-done
			time.Sleep(touchTime)
			continue
		}
		// Faults of one kind of program follow each other, others overlap.
		if w.intN(2) == 0 {
			<-done
		}
		time.Sleep(gap)
	}
	going.Wait()
	w.faulted()
}

// checkRecovery checks that all is well again once the faults are over.
func (w *world) checkRecovery() {
	w.eventually(recoveryTime, "balancers are ready again", w.allReady)
	w.eventually(recoveryTime, "a configuration is accepted again", func() bool { return w.operator.put(3) })
	for _, c := range w.controllers {
		w.eventually(recoveryTime, c.name+" answers reads", func() bool { return w.operator.read(c) })
	}
	time.Sleep(touchTime)
	asked, served := w.asked.Load(), w.served.Load()
	good := 0
	const tries = 100
	var going sync.WaitGroup
	var mu sync.Mutex
	for i := range tries {
		going.Go(func() {
			port := []uint16{routeOne, routeTwo}[i%2]
			if w.caller.connect(netip.AddrPortFrom(w.host, port), 2, 100*time.Millisecond) {
				mu.Lock()
				good++
				mu.Unlock()
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	going.Wait()
	w.t.Logf("%d of %d connections served during the run, %d of %d after it", served, asked, good, tries)
	if good != tries {
		w.broken("%d of %d connections served after recovery", good, tries)
	}
}

// end ends all programs, by the processes that this run started, and reports.
func (w *world) end() {
	w.mu.Lock()
	failures := w.failures
	w.mu.Unlock()
	w.cancel()
	for _, p := range append(w.controllers, w.balancers...) {
		if p.command != nil {
			p.kill()
		}
		if p.proxy != nil {
			p.proxy.close()
		}
		p.log.Close()
	}
	w.mu.Lock()
	for _, u := range w.upstreams {
		u.cancel()
		u.conn.Close()
	}
	w.mu.Unlock()
	if w.caller != nil {
		w.caller.conn.Close()
	}
	w.running.Wait()
	for _, n := range w.networks {
		n.Release()
	}
	must.SliceEmpty(w.t, failures, must.Sprintf("seed %d:\n%s", w.seed, strings.Join(failures, "\n")))
}
