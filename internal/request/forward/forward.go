package forward

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"heatherport/internal/request/relay"
	"heatherport/internal/result"
)

// drainTimeout bounds the time for which Stop handles packets that keep
// arriving.
const drainTimeout = time.Second

// Forwarder owns the sockets and the goroutines that receive and send packets.
type Forwarder struct {
	cfg    Config
	engine Engine
	ring   *relay.Keyring
	clock  func() time.Duration

	fabric    []*socket
	relays    []*socket
	receivers []*receiver
	running   sync.WaitGroup
	stopping  atomic.Bool
	stopOnce  sync.Once
	cancel    context.CancelFunc
}

// New returns a Forwarder that listens on the addresses of cfg but reads no
// packet before Start. The clock must be monotonic.
func New(ctx context.Context, cfg Config, engine Engine, ring *relay.Keyring, clock func() time.Duration) (*Forwarder, error) {
	cfg = cfg.withDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	f := &Forwarder{cfg: cfg, engine: engine, ring: ring, clock: clock}
	if err := f.listen(ctx); err != nil {
		return nil, err
	}
	for i := range f.fabric {
		f.receivers = append(f.receivers,
			newReceiver(f, f.fabric[i], f.fabric[i], f.relays[i]),
			newReceiver(f, f.relays[i], f.fabric[i], f.relays[i]))
	}
	return f, nil
}

func (f *Forwarder) listen(ctx context.Context) error {
	var err error
	f.fabric, err = listen(ctx, f.cfg.FabricAddr, f.cfg.Receivers, &f.cfg)
	if err != nil {
		return err
	}
	f.relays, err = listen(ctx, f.cfg.RelayAddr, f.cfg.Receivers, &f.cfg)
	if err != nil {
		closeAll(f.fabric)
	}
	return err
}

// FabricAddr returns the address that receives callers' packets.
func (f *Forwarder) FabricAddr() netip.AddrPort { return f.fabric[0].addr() }

// RelayAddr returns the address that receives other balancers' messages.
func (f *Forwarder) RelayAddr() netip.AddrPort { return f.relays[0].addr() }

// Counters returns the totals since the start of the Forwarder.
func (f *Forwarder) Counters() Counters { return sumCounters(f.receivers) }

// Start starts the receivers. They run until Stop, even if ctx ends.
func (f *Forwarder) Start(ctx context.Context) error {
	if f.stopping.Load() {
		return result.Errorf(result.ShuttingDown, "forwarder is stopped")
	}
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	f.cancel = cancel
	for _, r := range f.receivers {
		f.running.Go(func() { r.run(run) })
	}
	return nil
}

// Stop handles the packets that are queued at the sockets and then closes the
// sockets. It closes them earlier when ctx ends or when packets still arrive
// after drainTimeout.
func (f *Forwarder) Stop(ctx context.Context) error {
	f.stopOnce.Do(func() { f.stop(ctx) })
	return nil
}

func (f *Forwarder) stop(ctx context.Context) {
	f.stopping.Store(true)
	for _, r := range f.receivers {
		r.input.UDPConn.SetReadDeadline(time.Now().Add(drainIdleTimeout))
	}
	drained := make(chan struct{})
	go func() {
		f.running.Wait()
		close(drained)
	}()
	select {
	case <-drained:
	case <-time.After(drainTimeout):
	case <-ctx.Done():
	}
	f.close()
	<-drained
}

func (f *Forwarder) close() {
	if f.cancel != nil {
		f.cancel()
	}
	closeAll(f.fabric)
	closeAll(f.relays)
}
