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

// The errors that break connections. Their texts are the keys of Report.Broken.
var (
	errReset       = errors.New("reset")
	errTimeout     = errors.New("timeout")
	errRefused     = errors.New("refused")
	errBadResponse = errors.New("wrong answer")
	errQUIC        = errors.New("quic error")
)

const (
	firstPort = 1024
	portCount = 1<<16 - firstPort
)

// Parameters of the Pareto distribution of connection lifetimes.
const (
	lifetimeShape     = 1.5
	maxLifetimeFactor = 20 // maximum, in multiples of the mean
)

// CallerConfig is the configuration of a Caller.
type CallerConfig struct {
	Addr             netip.Addr     // virtual address of the caller
	Service          netip.AddrPort // virtual address of the service
	Name             string         // service name expected in responses
	Protocol         version.Protocol
	TLS              *tls.Config   // for UDP
	LongLived        int           // connections opened at the start and kept open until Run ends
	ArrivalRate      float64       // further connections per second
	MeanLifetime     time.Duration // mean lifetime of the further connections
	ThinkTime        time.Duration // pause between the requests of a connection
	ResponseBodySize int           // bytes, for UDP
	Seed             uint64
}

// Caller opens connections to one service and checks the responses.
type Caller struct {
	cfg    CallerConfig
	fabric *Fabric
	stats  *Stats

	mu     sync.Mutex
	random *rand.Rand
	port   uint16
	conns  sync.WaitGroup
}

// NewCaller returns a Caller that is not yet running.
func NewCaller(f *Fabric, s *Stats, cfg CallerConfig) *Caller {
	return &Caller{cfg: cfg, fabric: f, stats: s, random: rand.New(rand.NewPCG(cfg.Seed, 1))}
}

// Run opens connections until ctx is done. It returns when all connections have
// ended. Each one waits for the response to its pending request, then closes.
func (c *Caller) Run(ctx context.Context) {
	defer c.conns.Wait()
	for range c.cfg.LongLived {
		c.startConn(ctx)
	}
	if c.cfg.ArrivalRate <= 0 {
		<-ctx.Done()
		return
	}
	for c.waitArrival(ctx) {
		connCtx, cancel := context.WithTimeout(ctx, c.randomLifetime())
		context.AfterFunc(connCtx, cancel)
		c.startConn(connCtx)
	}
}

// waitArrival waits for the arrival of the next connection. Inter-arrival times
// are exponential. It returns false when ctx is done first.
func (c *Caller) waitArrival(ctx context.Context) bool {
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

func (c *Caller) randomLifetime() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	scale := float64(c.cfg.MeanLifetime) * (lifetimeShape - 1) / lifetimeShape
	d := scale * math.Pow(1-c.random.Float64(), -1/lifetimeShape)
	return time.Duration(min(d, maxLifetimeFactor*float64(c.cfg.MeanLifetime)))
}

// callerConn is one connection of a caller.
type callerConn interface {
	// connect establishes the connection.
	connect() error
	// roundTrip sends a request and returns its response.
	roundTrip(req request) (response, error)
	// idle waits until d has passed, ctx is done or the connection fails.
	idle(ctx context.Context, d time.Duration) error
	// close closes the connection.
	close() error
	// release frees the connection's resources.
	release()
}

// startConn opens a connection and sends requests on it until ctx is done.
func (c *Caller) startConn(ctx context.Context) {
	id := c.stats.nextID()
	c.conns.Go(func() {
		conn := c.newConn()
		defer conn.release()
		defer c.stats.removeLastRun(id)
		c.stats.update(func(r *Report) { r.Opened++ })
		c.runConn(ctx, conn, id)
	})
}

func (c *Caller) newConn() callerConn {
	e, in := c.attachFreePort()
	if c.cfg.Protocol == version.UDP {
		return newQUICCallerConn(c, e, in)
	}
	return newTCPCallerConn(c, e, in)
}

// attachFreePort attaches an endpoint with the next free port to the fabric.
func (c *Caller) attachFreePort() (endpoint, chan *packet) {
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
	c.port = (c.port + 1) % portCount
	return firstPort + c.port
}

// runConn runs one connection and records its outcome.
func (c *Caller) runConn(ctx context.Context, conn callerConn, id uint64) {
	if err := conn.connect(); err != nil {
		c.stats.update(func(r *Report) { countFailedConnect(r, err) })
		return
	}
	err := c.sendRequests(ctx, conn, id)
	if err == nil {
		err = conn.close()
	}
	c.stats.update(func(r *Report) {
		if err != nil {
			r.Broken[err.Error()]++
			return
		}
		r.Finished++
	})
}

func countFailedConnect(r *Report, err error) {
	if errors.Is(err, errRefused) {
		r.Refused++
		return
	}
	r.Unanswered++
}

// sendRequests sends requests one after the other until ctx is done.
func (c *Caller) sendRequests(ctx context.Context, conn callerConn, id uint64) error {
	upstream := ""
	for number := uint32(1); ; number++ {
		req := request{Conn: id, Number: number, Size: c.cfg.ResponseBodySize}
		resp, err := conn.roundTrip(req)
		if err != nil {
			return err
		}
		c.check(req, resp, &upstream)
		if err := conn.idle(ctx, c.cfg.ThinkTime); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return nil
		}
	}
}

// check counts a response and its faults. upstream points to the upstream of
// the connection's previous response, or to an empty string, and is updated.
func (c *Caller) check(req request, resp response, upstream *string) {
	if resp.Shed {
		c.stats.recordShed(req)
	}
	c.stats.update(func(r *Report) {
		r.Requests++
		if resp.Conn != req.Conn || resp.Number != req.Number || resp.Service != c.cfg.Name {
			r.CrossConnection++
		}
		if *upstream != "" && *upstream != resp.Upstream {
			r.AffinityViolations++
		}
	})
	*upstream = resp.Upstream
}
