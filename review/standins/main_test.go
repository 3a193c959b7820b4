//go:build review

package standins

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// timeLimit bounds a run.
const timeLimit = 110 * time.Second

// Results of a case, as exit codes.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

var cases = map[string]func(w *world) error{
	"foreign-heartbeat":  foreignHeartbeat,
	"rolling-restart":    rollingRestart,
	"cut-off-controller": cutOffController,
	"late-withdrawal":    lateWithdrawal,
	"service-returns":    serviceReturns,
}

// TestMain plays the case that the command line names. The stand-ins are test code, which
// alone may start processes, so that review/build.sh builds them as a test.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD")
		os.Exit(couldNot)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit code.
func play(name, recordPath string) int {
	w, err := newWorld(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer w.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	ended := make(chan error, 1)
	w.note("case %s, with the disruption: %t", name, w.trouble)
	go func() { ended <- cases[name](w) }()
	select {
	case err = <-ended:
	case <-stop:
		err = errors.New("stopped by a signal")
	case <-time.After(timeLimit):
		err = errors.New("not done in time")
	}
	if err != nil {
		w.note("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return couldNot
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.broken) == 0 {
		fmt.Println("held")
		return held
	}
	fmt.Printf("broken %d times, first: %s\n", len(w.broken), w.broken[0])
	return broken
}

// routePorts are the ports of the two routes.
const (
	portOne = 8080
	portTwo = 8443
)

func (w *world) routeOne() netip.AddrPort { return netip.AddrPortFrom(w.routeHost(), portOne) }
func (w *world) routeTwo() netip.AddrPort { return netip.AddrPortFrom(w.routeHost(), portTwo) }

// startDeployment starts the programs, endpoints and clients, and puts a first configuration
// in force.
func (w *world) startDeployment(version int, services []string, routes []route, endpointsPerService int) ([]*client, error) {
	if err := w.startPrograms(8); err != nil {
		return nil, err
	}
	number := uint64(0x1000)
	for s, service := range services {
		for i := range endpointsPerService {
			number++
			e, err := w.startEndpoint(number, service, zones[i%len(zones)], byte(60+s*20+i))
			if err != nil {
				return nil, err
			}
			go e.beats()
		}
	}
	var clients []*client
	for z := range zones {
		c, err := w.startClient(z)
		if err != nil {
			return nil, err
		}
		clients = append(clients, c)
	}
	if _, ok := w.putConfiguration(version, w.configuration(version, services, routes), 10*time.Second); !ok {
		return nil, fmt.Errorf("the first configuration was not acknowledged")
	}
	time.Sleep(2 * time.Second)
	return clients, nil
}

// traffic is a stream of requests with a flow each.
type traffic struct {
	stopped              atomic.Bool
	running              sync.WaitGroup
	mu                   sync.Mutex
	sent                 map[string]time.Time // opening of the flow, by request
	ended                func(f *flow, id string, o outcome)
	attempted, answered_ atomic.Int64
}

// startTraffic sends a request on a new flow from each client at an interval. It calls ended
// with each outcome.
func startTraffic(clients []*client, to netip.AddrPort, interval time.Duration, ended func(f *flow, id string, o outcome)) *traffic {
	t := &traffic{sent: make(map[string]time.Time), ended: ended}
	for _, c := range clients {
		t.running.Go(func() {
			for !t.stopped.Load() {
				t.running.Go(func() { t.one(c, to) })
				time.Sleep(interval)
			}
		})
	}
	return t
}

func (t *traffic) one(c *client, to netip.AddrPort) {
	id := newRequestID()
	f := c.newFlow(to)
	t.mu.Lock()
	t.sent[id] = f.opened
	t.mu.Unlock()
	t.attempted.Add(1)
	o := f.open()
	if o == answered {
		o = f.request(id, 1500*time.Millisecond)
	}
	t.ended(f, id, o)
	if o == answered {
		t.answered_.Add(1)
		c.w.note("client %s request %s sent and answered by %s", f.from, id, f.server)
		f.finish()
		return
	}
	c.w.note("client %s request %s: %s", f.from, id, o)
	f.forget()
}

// openedAt returns when the flow of a request was opened.
func (t *traffic) openedAt(id string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sent[id]
}

// stop ends the traffic.
func (t *traffic) stop() {
	t.stopped.Store(true)
	t.running.Wait()
}
