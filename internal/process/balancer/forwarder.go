package balancer

import (
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"heatherport/internal/connection/affinity"
	"heatherport/internal/connection/backlog"
	"heatherport/internal/load/demand"
	"heatherport/internal/load/speed"
	"heatherport/internal/load/uplink"
	"heatherport/internal/process/logging"
	"heatherport/internal/process/metrics"
	"heatherport/internal/process/stall"
	"heatherport/internal/result"
)

// Codec encodes and decodes packets on the wire.
type Codec interface {
	// Decode decodes a packet. Its error carries a result code.
	Decode(datagram []byte) (affinity.Packet, error)
	// SetCookie writes a cookie into a packet that Decode accepted.
	SetCookie(datagram []byte, cookie uint32)
	// Headroom is the size in bytes of the header that Encapsulate writes.
	Headroom() int
	// Encapsulate writes the header that encapsulates a packet to an upstream.
	Encapsulate(head []byte, upstream *affinity.Upstream)
	// AppendReset appends a reset in answer to p.
	AppendReset(buf []byte, p *affinity.Packet) []byte
	// ReturnAddr returns the address to which packets for a caller are sent.
	ReturnAddr(caller netip.Addr) netip.AddrPort
}

// maxDatagram is the size of the receive buffer in bytes. Longer datagrams are
// truncated and then rejected by the codec.
const maxDatagram = 2048

const (
	// stallLimit is the time without a tick after which the process counts as
	// stalled. Opening packets that waited meanwhile may have been forwarded by
	// another balancer, to an upstream that it chose; placing them here would move
	// their connections to a second upstream. Routers move connections to another
	// balancer after a second, and callers send their last copy of an opening
	// packet after 0.6 s.
	stallLimit = 600 * time.Millisecond
	// stallDrain is the time after a stall in which the packets that queued up
	// meanwhile are read.
	stallDrain = 50 * time.Millisecond
)

// repeatMargin is the time by which a repeated packet may arrive late.
const repeatMargin = 50 * time.Millisecond

// forwarder reads packets from the socket and forwards them.
type forwarder struct {
	codec   Codec
	listen  netip.AddrPort
	log     hclog.Logger
	flowLog *logging.RateLimited
	metrics *metrics.Balancer
	view    *atomic.Pointer[affinity.View]
	started time.Time
	clock   func() time.Duration // stall.Clock except in tests

	conn         *net.UDPConn
	stall        *stall.Detector
	lastPacketAt atomic.Int64 // time of the last packet, relative to started

	mu       sync.Mutex // guards the fields below and flowLog
	engine   *affinity.Engine
	uplink   *uplink.Link
	waiting  backlog.Queue
	queued   backlog.Held  // packets in the queues of the engine
	deadline deadlineTimer // of the queues of the engine
	permits  int           // as last logged
	// lastTick is the time of the last tick, or zero. Packets before delayedUntil
	// may have waited unread during a stall.
	lastTick, delayedUntil time.Duration
}

// ticked records a tick and the stall that ended with it, or zero.
func (f *forwarder) ticked(now, stalled time.Duration) {
	f.lastTick = now
	if stalled > 0 {
		f.delayedUntil = now + stallDrain
	}
}

// isDelayed reports whether a packet that is read now may have waited unread during a
// stall. Unlike stall.Detector it reads no clock; while a VM is suspended, the times
// of the engine stand still too.
func (f *forwarder) isDelayed(now time.Duration) bool {
	return f.lastTick != 0 && now-f.lastTick > stallLimit || now < f.delayedUntil
}

func (f *forwarder) start() error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(f.listen))
	if err != nil {
		return result.Wrapf(err, result.BadSettings, "listen on %s", f.listen)
	}
	f.conn = conn
	go f.run()
	return nil
}

func (f *forwarder) stop() error { return f.conn.Close() }

func (f *forwarder) lastPacket() time.Time {
	return f.started.Add(time.Duration(f.lastPacketAt.Load()))
}

// tick does the periodic work and returns the new suspicions against upstreams.
func (f *forwarder) tick() []affinity.Suspicion {
	gap := f.stall.Tick(f.clock())
	if gap > 0 {
		f.log.Warn("process stalled", "for", gap)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Since(f.started)
	f.ticked(now, gap)
	if gap > 0 {
		f.engine.IgnorePending()
		f.releaseWaiting(now)
	}
	suspicions := f.engine.Tick(now, f.view.Load())
	f.releaseQueued(now)
	f.updateGauges()
	return suspicions
}

func (f *forwarder) run() {
	head := f.codec.Headroom()
	buf := make([]byte, head+maxDatagram)
	reply := make([]byte, 0, maxDatagram)
	for {
		n, _, err := f.conn.ReadFromUDPAddrPort(buf[head:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			f.log.Warn("failed to read packet", "error", err)
			continue
		}
		f.handle(buf[:head+n], head, reply)
	}
}

// handle forwards, refuses or drops the packet that begins at buf[head], or
// queues a copy of it.
func (f *forwarder) handle(buf []byte, head int, reply []byte) {
	now := time.Since(f.started)
	f.lastPacketAt.Store(int64(now))
	f.metrics.Received.Inc()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.uplink.Received(now, len(buf)-head)
	p, err := f.codec.Decode(buf[head:])
	if err != nil {
		f.drop(&p, result.CodeOf(err))
		return
	}
	p.Size = len(buf)
	f.metrics.LinkBytes(metrics.Received, purposeOf(&p), len(buf)-head)
	p.Delayed = f.isDelayed(now)
	if p.Opening && !f.stall.IsOver(f.clock()) {
		f.drop(&p, result.DropStale)
		return
	}
	view := f.view.Load()
	verdict := f.engine.Decide(now, view, &p)
	if p.Opening {
		f.queued.Take(p.Caller, p.Service) // this packet replaces an earlier copy
	}
	if verdict.Wait {
		f.keep(now, slices.Clone(buf), &p, &verdict)
	} else {
		f.carryOut(now, view, buf, head, &p, &verdict, reply)
	}
	f.releaseQueued(now)
	if !verdict.Wait {
		f.releaseWaiting(now)
	}
}

// keep keeps a packet that has to wait.
func (f *forwarder) keep(now time.Duration, datagram []byte, p *affinity.Packet, v *affinity.Verdict) {
	if v.Queued {
		f.queued.Put(p.Caller, p.Service, datagram)
	} else if !f.waiting.Add(backlog.Item{
		Caller: p.Caller, Service: p.Service, Opening: p.Opening,
		Began: now - p.Waited, Expires: now + p.Repeat + repeatMargin, Datagram: datagram,
	}) {
		f.drop(p, result.DropNotReady)
		return
	}
	f.metrics.Waited.Inc()
	f.reportWaiting(p, v)
}

// carryOut forwards, refuses or drops the packet p, which begins at buf[head].
func (f *forwarder) carryOut(now time.Duration, view *affinity.View, buf []byte, head int, p *affinity.Packet, verdict *affinity.Verdict, reply []byte) {
	switch {
	case verdict.Upstream != nil:
		f.codec.SetCookie(buf[head:], verdict.Upstream.Cookie)
		f.codec.Encapsulate(buf[:head], verdict.Upstream)
		f.send(now, buf, verdict.Upstream.Address)
		f.metrics.LinkBytes(metrics.Sent, purposeOf(p), len(buf))
		f.metrics.Forwarded.Inc()
	case verdict.Refuse:
		reset := f.codec.AppendReset(reply, p)
		f.send(now, reset, f.codec.ReturnAddr(p.Caller.Addr()))
		f.metrics.LinkBytes(metrics.Sent, metrics.Refusals, len(reset))
		f.metrics.Refused(verdict.Code)
	default:
		f.drop(p, verdict.Code)
	}
	f.report(now, view, p, verdict)
}

// release decides again on the packets that wait.
func (f *forwarder) release() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Since(f.started)
	f.releaseWaiting(now)
	f.releaseQueued(now)
}

// releaseQueued carries out what the engine decides on the packets in its queues.
func (f *forwarder) releaseQueued(now time.Duration) {
	if f.queued.Len() == 0 {
		return
	}
	head := f.codec.Headroom()
	view := f.view.Load()
	f.engine.Release(now, view, func(p *affinity.Packet, v affinity.Verdict) {
		datagram := f.queued.Take(p.Caller, p.Service)
		if datagram == nil {
			f.log.Error("queued packet is missing", "flow", flowID(p))
			return
		}
		f.carryOut(now, view, datagram, head, p, &v, nil)
	})
	if at, ok := f.engine.NextDeadline(); ok {
		f.deadline.set(now, at, f.release)
	}
}

// releaseWaiting decides again on the packets that wait for routes, and on late
// openings.
func (f *forwarder) releaseWaiting(now time.Duration) {
	if f.waiting.Len() == 0 {
		return
	}
	head := f.codec.Headroom()
	view := f.view.Load()
	// The callers of openings that waited here during a stall have sent copies through
	// other balancers or given up.
	stalled := !f.stall.IsOver(f.clock())
	expired := f.waiting.Release(now, func(item backlog.Item) bool {
		p, err := f.codec.Decode(item.Datagram[head:])
		if err != nil {
			f.drop(&p, result.CodeOf(err))
			return true
		}
		if p.Opening && stalled {
			f.drop(&p, result.DropStale)
			return true
		}
		p.Size = len(item.Datagram)
		p.Waited, p.Held, p.HeldFor = now-item.Began, true, now-(item.Expires-p.Repeat-repeatMargin)
		verdict := f.engine.Decide(now, view, &p)
		switch {
		case verdict.Queued:
			f.queued.Put(p.Caller, p.Service, item.Datagram)
		case verdict.Wait:
			return false
		default:
			f.carryOut(now, view, item.Datagram, head, &p, &verdict, nil)
		}
		return true
	})
	for _, item := range expired {
		p := affinity.Packet{Caller: item.Caller, Service: item.Service, Opening: item.Opening}
		f.drop(&p, result.DropExpired)
	}
}

// updateGauges updates the metrics of the engine.
func (f *forwarder) updateGauges() {
	f.metrics.Connections.Set(float64(f.engine.Len()))
	u := f.engine.Usage()
	f.metrics.Permits.Set(float64(u.Permits))
	f.metrics.PermitsUsed.Set(float64(u.Own))
	f.metrics.Spillover.Set(float64(u.Spillover))
	f.metrics.Queued.Set(float64(u.Queued))
	f.metrics.LinkUse.Set(f.uplink.Use(time.Since(f.started)))
	if u.Permits != f.permits {
		f.log.Info("permits changed", "permits", u.Permits, "before", f.permits, "balancers", len(f.view.Load().Balancers))
		f.permits = u.Permits
	}
}

// purposeOf returns what a packet uses the link for.
func purposeOf(p *affinity.Packet) metrics.Purpose {
	switch {
	case p.Opening:
		return metrics.Openings
	case p.Length > 0:
		return metrics.Data
	}
	return metrics.Acknowledgements
}

func (f *forwarder) drop(p *affinity.Packet, code result.Code) {
	f.metrics.Dropped(code)
	if f.flowLog.Allow(time.Now()) {
		f.flowLog.Info("packet dropped", "flow", flowID(p), "cause", code.String(), "cookie", p.Cookie, "opening", p.Opening, "copies", p.Copies)
	}
}

func (f *forwarder) send(now time.Duration, datagram []byte, to netip.AddrPort) {
	f.uplink.Sent(now, len(datagram))
	if _, err := f.conn.WriteToUDPAddrPort(datagram, to); err != nil {
		f.log.Debug("failed to send packet", "to", to, "error", err)
	}
}

// needs returns what callers need of the services, as far as others are to know it.
func (f *forwarder) needs() map[string]demand.Need {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engine.Needs()
}

// speeds returns the levels of the upstreams that others are to know of.
func (f *forwarder) speeds() map[uint32]speed.Level {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engine.Speeds(time.Since(f.started))
}

// evacuatedConnections returns the open connections to evacuated upstreams.
func (f *forwarder) evacuatedConnections(view *affinity.View) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engine.EvacuatedConnections(view)
}

// unopened returns the number of connections that were placed since the last one
// opened, and the age of the first of them.
func (f *forwarder) unopened(now time.Duration) (count int, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engine.Unopened(now)
}
