package forward

import (
	"context"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"
	"golang.org/x/time/rate"

	"heatherport/internal/connection"
	"heatherport/internal/request/relay"
	"heatherport/internal/request/wire"
	"heatherport/internal/result"
	"heatherport/internal/version"
)

const (
	// maxFlowMessages is the maximum number of messages that one decision
	// sends in addition to the packet: a hint and a refresh.
	maxFlowMessages = 2
	// drainIdleTimeout is how long a stopping receiver waits for another packet.
	drainIdleTimeout = 20 * time.Millisecond
	// readErrorBackoff is the delay after a read error. It keeps a failing
	// socket from using a whole core.
	readErrorBackoff = 10 * time.Millisecond
)

// receiver reads one socket. Only its own goroutine accesses the fields, except
// for shared.
type receiver struct {
	f      *Forwarder
	input  *socket
	handle func(r *receiver, n int) // handles the first n messages

	// readBuffers hold the received datagrams. A packet always starts after
	// HeaderSize bytes, so that it can be relayed without being copied.
	readBuffers [][]byte
	messages    []ipv4.Message
	fabric      *queue // to upstreams and callers
	relays      *queue // to balancers

	decoder      *wire.Decoder
	refuser      *wire.Refuser
	icmpLimiter  *rate.Limiter
	codec        *relay.Codec
	now          time.Duration
	decoded      []connection.Packet // packets of the batch
	messageIndex []int               // index in messages of each decoded packet
	packet       connection.Packet
	message      relay.Message
	hint         connection.Hint

	flowBuffers        [][]byte // buffers of hints and refreshes
	flowBuffersUsed    int      // number in use by the batch
	refusalBuffers     [][]byte // buffers of refusals
	refusalBuffersUsed int      // number in use by the batch

	overflowTotal uint32 // packets that the socket has dropped since it was opened

	counts counts
	shared sharedCounts
}

// newReceiver returns a receiver that reads in and sends over fabric and relays.
// The socket in is one of these two.
func newReceiver(f *Forwarder, in, fabric, relays *socket) *receiver {
	batch := f.cfg.Batch
	r := &receiver{
		f:              f,
		input:          in,
		handle:         (*receiver).handleFabricBatch,
		fabric:         newQueue(fabric, batch),
		relays:         newQueue(relays, batch*(1+maxFlowMessages)),
		decoder:        wire.NewDecoder(),
		refuser:        wire.NewRefuser(),
		icmpLimiter:    rate.NewLimiter(maxICMPRate, maxICMPRate),
		codec:          relay.NewCodec(f.ring, f.clock),
		flowBuffers:    makeBuffers(batch*maxFlowMessages, relay.FlowMessageSize),
		refusalBuffers: makeBuffers(batch, wire.MaxRefusalSize),
		readBuffers:    makeBuffers(batch, relay.HeaderSize+f.cfg.PacketSize),
		messages:       make([]ipv4.Message, batch),
		decoded:        make([]connection.Packet, 0, batch),
		messageIndex:   make([]int, 0, batch),
	}
	headroom := relay.HeaderSize
	if in == relays {
		r.handle = (*receiver).handleRelayBatch
		headroom = 0
	}
	for i := range r.messages {
		r.messages[i].Buffers = [][]byte{r.readBuffers[i][headroom:]}
		r.messages[i].OOB = make([]byte, overflowSize)
	}
	return r
}

func makeBuffers(n, size int) [][]byte {
	out := make([][]byte, n)
	for i := range out {
		out[i] = make([]byte, size)
	}
	return out
}

// run handles packets until the socket is closed or, once the forwarder stops,
// until no packet arrives within drainIdleTimeout.
func (r *receiver) run(ctx context.Context) {
	for {
		n, err := r.input.ReadBatch(r.messages, 0)
		r.handleBatch(n)
		switch {
		case err == nil:
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			if r.f.stopping.Load() {
				return
			}
		default:
			r.handleReadError(ctx)
		}
		if r.f.stopping.Load() {
			r.input.UDPConn.SetReadDeadline(time.Now().Add(drainIdleTimeout))
		}
	}
}

func (r *receiver) handleReadError(ctx context.Context) {
	r.counts.add(readErrors, 1)
	r.shared.addAndReset(&r.counts)
	select {
	case <-ctx.Done():
	case <-time.After(readErrorBackoff):
	}
}

// handleBatch handles the first n messages and sends the resulting datagrams.
func (r *receiver) handleBatch(n int) {
	r.now = r.f.clock()
	if n > 0 {
		r.handle(r, n)
		r.countOverflow(&r.messages[n-1])
	}
	r.fabric.flush(&r.counts)
	r.relays.flush(&r.counts)
	r.flowBuffersUsed = 0
	r.refusalBuffersUsed = 0
	r.shared.addAndReset(&r.counts)
}

// countOverflow counts the packets that the socket has dropped since the last
// batch.
func (r *receiver) countOverflow(last *ipv4.Message) {
	total, ok := overflow(last.OOB[:last.NN])
	if !ok {
		return
	}
	r.counts.add(overflows, int(total-r.overflowTotal))
	r.overflowTotal = total
}

// handleFabricBatch handles the first n messages as packets of callers. It
// decodes all of them before the first decision, so that the engine can
// prefetch what the decisions need.
func (r *receiver) handleFabricBatch(n int) {
	r.decoded = r.decoded[:0]
	r.messageIndex = r.messageIndex[:0]
	for i := range n {
		r.decode(i)
	}
	r.f.engine.Prefetch(r.decoded)
	for k, i := range r.messageIndex {
		r.packet = r.decoded[k]
		d := r.f.engine.Decide(r.now, &r.packet, nil)
		r.execute(r.readBuffers[i][:relay.HeaderSize+r.messages[i].N], &d, nil)
	}
}

// decode decodes message i and adds its packet to decoded.
func (r *receiver) decode(i int) {
	size := r.messages[i].N
	r.counts.add(packetsIn, 1)
	r.counts.add(bytesIn, size)
	if r.dropIfOversize(i) {
		return
	}
	b := r.readBuffers[i][relay.HeaderSize : relay.HeaderSize+size]
	k := len(r.decoded)
	r.decoded = append(r.decoded, connection.Packet{})
	if code := r.decoder.Decode(b, &r.decoded[k]); code != result.OK {
		r.counts.addCode(code)
		r.decoded = r.decoded[:k]
		return
	}
	r.messageIndex = append(r.messageIndex, i)
}

// handleRelayBatch handles the first n messages as messages of other balancers.
func (r *receiver) handleRelayBatch(n int) {
	for i := range n {
		r.handleRelayMessage(i)
	}
}

// handleRelayMessage handles message i as a message of another balancer.
func (r *receiver) handleRelayMessage(i int) {
	if r.dropIfOversize(i) {
		return
	}
	full := r.readBuffers[i][:r.messages[i].N]
	if code := r.codec.Open(full, &r.message); code != result.OK {
		r.counts.addCode(code)
		return
	}
	if !r.f.engine.IsMember(r.message.Header.From, sourceOf(&r.messages[i])) {
		r.counts.addCode(result.DropNotMember)
		return
	}
	r.dispatch(full)
}

// dispatch handles an authenticated message of a member.
func (r *receiver) dispatch(full []byte) {
	switch r.message.Type {
	case relay.TypePacket:
		r.counts.add(relaysIn, 1)
		r.counts.add(relayBytesIn, len(full))
		r.handleRelayedPacket(full)
	case relay.TypeRefresh:
		r.counts.add(refreshesIn, 1)
		d := r.f.engine.Refresh(r.now, &r.message.Packet, &r.message.Header)
		r.sendFlowMessages(&d, &r.message.Packet)
	case relay.TypeHint:
		r.counts.add(hintsIn, 1)
		r.hint = r.message.Hint()
		r.f.engine.HandleHint(r.now, &r.hint)
	}
}

func (r *receiver) handleRelayedPacket(full []byte) {
	if code := r.decoder.Decode(r.message.Body, &r.packet); code != result.OK {
		r.counts.addCode(code)
		return
	}
	d := r.f.engine.Decide(r.now, &r.packet, &r.message.Header)
	r.execute(full, &d, &r.message.Header)
}

// dropIfOversize reports whether message i was larger than its buffer. It counts
// such a message as dropped.
func (r *receiver) dropIfOversize(i int) bool {
	if r.messages[i].Flags&unix.MSG_TRUNC == 0 {
		return false
	}
	r.counts.addCode(result.DropOversize)
	return true
}

func sourceOf(m *ipv4.Message) netip.AddrPort {
	a, ok := m.Addr.(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	ap := a.AddrPort()
	return netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
}

// execute executes d for the packet in full, which starts after HeaderSize bytes
// that are reserved for a relay header.
func (r *receiver) execute(full []byte, d *connection.Decision, via *connection.Relay) {
	packet := full[relay.HeaderSize:]
	switch d.Action {
	case connection.Forward:
		r.fabric.add(&r.counts, packet, d.Addr, packetsOut)
	case connection.RelayTo:
		r.relayPacket(full, d, via)
	case connection.Refuse:
		r.refuse(packet, d.Code)
	default:
		r.counts.addCode(d.Code)
	}
	r.sendFlowMessages(d, &r.packet)
}

// relayPacket sends the packet in full to another balancer. It drops a relayed
// packet whose remaining hops would not decrease, so that no decision of the
// engine makes a packet circulate.
func (r *receiver) relayPacket(full []byte, d *connection.Decision, via *connection.Relay) {
	if via != nil && d.Header.Hops >= via.Hops {
		r.counts.addCode(result.DropRelayHops)
		return
	}
	r.codec.SealPacket(full, &d.Header)
	r.relays.add(&r.counts, full, d.Addr, relaysOut)
}

func (r *receiver) refuse(packet []byte, cause result.Code) {
	r.counts.addCode(cause)
	if r.packet.Key.Protocol == version.UDP && !r.icmpLimiter.Allow() {
		r.counts.add(refusalsLimited, 1)
		return
	}
	refusal, err := r.refuser.Refuse(packet)
	if err != nil {
		r.counts.addCode(result.CodeOf(err))
		return
	}
	if refusal == nil {
		return
	}
	b := append(r.refusalBuffers[r.refusalBuffersUsed][:0], refusal...)
	r.refusalBuffersUsed++
	r.fabric.add(&r.counts, b, r.f.cfg.ReturnAddr, refusals)
}

// sendFlowMessages sends the hint and the refresh of d.
func (r *receiver) sendFlowMessages(d *connection.Decision, p *connection.Packet) {
	if d.HintTo != 0 {
		r.relays.add(&r.counts, r.codec.SealHint(r.nextFlowBuffer(), &d.Hint), d.HintAddr, hintsOut)
	}
	if d.RefreshTo != 0 {
		r.relays.add(&r.counts, r.codec.SealRefresh(r.nextFlowBuffer(), &d.Refresh, p), d.RefreshAddr, refreshesOut)
	}
}

func (r *receiver) nextFlowBuffer() []byte {
	r.flowBuffersUsed++
	return r.flowBuffers[r.flowBuffersUsed-1]
}
