package standin

import (
	"context"
	"crypto/tls"
	"math"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"heatherport/internal/version"
)

// The causes of broken connections, as Report.Broken names them.
var (
	errReset   = errors.New("reset")
	errTimeout = errors.New("timeout")
	errRefused = errors.New("refused")
	errAnswer  = errors.New("wrong answer")
	errQUIC    = errors.New("quic error")
)

const (
	firstPort = 1024
	numPorts  = 1<<16 - firstPort
)

// The lifetimes of connections have a Pareto distribution.
const (
	lifetimeShape = 1.5
	lifetimeCap   = 20 // multiples of the mean
)

// CallerConfig is the configuration of a Caller.
type CallerConfig struct {
	Addr             netip.Addr     // virtual address
	Service          netip.AddrPort // virtual address of the service
	Name             string         // name of the service, which answers carry
	Protocol         version.Protocol
	TLS              *tls.Config   // for UDP
	LongLived        int           // connections opened at once that last until the end
	ArrivalRate      float64       // further connections a second
	MeanLifetime     time.Duration // their mean lifetime
	ThinkTime        time.Duration // pause between the requests of a connection
	ResponseBodySize int           // bytes of the body of an answer, for UDP
	Seed             uint64
}

// Caller opens connections to one service and checks their answers.
type Caller struct {
	cfg    CallerConfig
	fabric *Fabric
	stats  *Stats

	mu     sync.Mutex
	random *rand.Rand
	port   uint16
	open   sync.WaitGroup
}

// NewCaller returns a Caller that is not yet running.
func NewCaller(f *Fabric, s *Stats, cfg CallerConfig) *Caller {
	return &Caller{cfg: cfg, fabric: f, stats: s, random: rand.New(rand.NewPCG(cfg.Seed, 1))}
}

// Run opens connections until ctx ends. It returns once they all have ended:
// each gets the answer to the request under way and is closed.
func (c *Caller) Run(ctx context.Context) {
	defer c.open.Wait()
	for range c.cfg.LongLived {
		c.start(ctx)
	}
	if c.cfg.ArrivalRate <= 0 {
		<-ctx.Done()
		return
	}
	for c.pause(ctx) {
		life, cancel := context.WithTimeout(ctx, c.lifetime())
		context.AfterFunc(life, cancel)
		c.start(life)
	}
}

// pause waits for the next arrival and reports whether ctx still runs.
func (c *Caller) pause(ctx context.Context) bool {
	c.mu.Lock()
	d := time.Duration(c.random.ExpFloat64() / c.cfg.ArrivalRate * float64(time.Second))
	c.mu.Unlock()
	return sleep(ctx, d)
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (c *Caller) lifetime() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	smallest := float64(c.cfg.MeanLifetime) * (lifetimeShape - 1) / lifetimeShape
	d := smallest * math.Pow(1-c.random.Float64(), -1/lifetimeShape)
	return time.Duration(min(d, lifetimeCap*float64(c.cfg.MeanLifetime)))
}

// call is one connection of a caller.
type call interface {
	// connect establishes the connection.
	connect() error
	// ask sends a request and returns its answer.
	ask(q request) (answer, error)
	// idle waits until d has passed, ctx ends or the connection fails.
	idle(ctx context.Context, d time.Duration) error
	// finish closes the connection.
	finish() error
	// release frees the connection's resources.
	release()
}

// start opens a connection that lasts until ctx ends.
func (c *Caller) start(ctx context.Context) {
	id := c.stats.nextID()
	c.open.Go(func() {
		t := c.newCall()
		defer t.release()
		defer c.stats.forgetRuns(id)
		c.stats.update(func(r *Report) { r.Opened++ })
		c.serve(ctx, t, id)
	})
}

func (c *Caller) newCall() call {
	e, in := c.attach()
	if c.cfg.Protocol == version.UDP {
		return newQUICCall(c, e, in)
	}
	return newTCPCall(c, e, in)
}

// attach takes a free port.
func (c *Caller) attach() (endpoint, chan *packet) {
	for {
		e := endpoint{c.cfg.Protocol, netip.AddrPortFrom(c.cfg.Addr, c.nextPort())}
		if in := c.fabric.attach(e); in != nil {
			return e, in
		}
	}
}

func (c *Caller) nextPort() uint16 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port = (c.port + 1) % numPorts
	return firstPort + c.port
}

// serve runs one connection and counts its outcome.
func (c *Caller) serve(ctx context.Context, t call, id uint64) {
	if err := t.connect(); err != nil {
		c.stats.update(func(r *Report) { countFailedStart(r, err) })
		return
	}
	err := c.requests(ctx, t, id)
	if err == nil {
		err = t.finish()
	}
	c.stats.update(func(r *Report) {
		if err != nil {
			r.Broken[err.Error()]++
			return
		}
		r.Finished++
	})
}

func countFailedStart(r *Report, err error) {
	if errors.Is(err, errRefused) {
		r.Refused++
		return
	}
	r.Unanswered++
}

// requests sends requests until ctx ends.
func (c *Caller) requests(ctx context.Context, t call, id uint64) error {
	upstream := ""
	for number := uint32(1); ; number++ {
		q := request{Conn: id, Number: number, Size: c.cfg.ResponseBodySize}
		a, err := t.ask(q)
		if err != nil {
			return err
		}
		c.check(q, a, &upstream)
		if err := t.idle(ctx, c.cfg.ThinkTime); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return nil
		}
	}
}

// check counts an answer and what is wrong with it. upstream is the one that
// gave the connection's earlier answers.
func (c *Caller) check(q request, a answer, upstream *string) {
	if a.Shed {
		c.stats.shed(q)
	}
	c.stats.update(func(r *Report) {
		r.Requests++
		if a.Conn != q.Conn || a.Number != q.Number || a.Service != c.cfg.Name {
			r.CrossConnection++
		}
		if *upstream != "" && *upstream != a.Upstream {
			r.AffinityViolations++
		}
	})
	*upstream = a.Upstream
}
