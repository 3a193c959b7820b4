package soak

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeatInterval = 300 * time.Millisecond
	// drainDuration is how long a draining upstream serves after its announcement
	// was acknowledged. New connections that are opened more than drainDeadline
	// after the acknowledgement are a violation.
	drainDuration = 2 * time.Second
	drainDeadline = 3 * time.Second
	// coldStart is the slow start of an upstream and coldLimit the number of new
	// connections that it takes in a second of it, as the configuration and the
	// settings have them.
	coldStart = 2 * time.Second
	coldLimit = 5
	// evacuationDeadline is the time from the acknowledgement of an evacuation, or
	// from the last fault of a balancer, until the balancer opens no more
	// connections to the failure domain.
	evacuationDeadline = 5 * time.Second
)

// upstream simulates one incarnation of an upstream.
type upstream struct {
	h           *harness
	id          string
	handle      uint64
	service     string
	domain      string
	address     netip.AddrPort
	startMillis int64
	coldUntil   time.Time
	conn        *net.UDPConn
	cancel      context.CancelFunc
	silent      atomic.Bool // announces nothing
	hung        atomic.Bool // accepts connections but answers no requests

	mu         sync.Mutex
	flows      map[netip.AddrPort]*upstreamConn
	seq        uint64
	draining   bool
	drainAcked time.Time // when the draining state was acknowledged
	isAlive    bool
	returnPort uint16
	openings   []opening // the last ones while it was cold
}

// opening is a new connection at an upstream.
type opening struct {
	via string // balancer
	at  time.Time
}

func (o opening) String() string { return o.via + " " + o.at.UTC().Format("15:04:05.000") }

// upstreamConn is the state of a connection at an upstream.
type upstreamConn struct {
	sequence uint32 // sequence number of the upstream
	sent     uint32 // bytes of all answers, including repeated ones
	cookie   uint32
	open     bool
}

func (h *harness) startUpstream(id string, handle uint64, service, domain string, address netip.AddrPort, cold time.Duration) *upstream {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		h.t.Errorf("upstream %s: %v", id, err)
		return nil
	}
	ctx, cancel := context.WithCancel(h.ctx)
	u := &upstream{
		h: h, id: id, handle: handle, service: service, domain: domain, address: address, startMillis: time.Now().UnixMilli(), coldUntil: time.Now().Add(cold),
		conn: conn, cancel: cancel, flows: make(map[netip.AddrPort]*upstreamConn), isAlive: true, returnPort: packetPort,
	}
	h.running.Go(u.receive)
	h.running.Go(func() { u.announceLoop(ctx) })
	h.addUpstream(u)
	return u
}

// crash stops the upstream without withdrawing it. It reports whether it was alive.
func (u *upstream) crash() bool {
	u.mu.Lock()
	wasAlive := u.isAlive
	u.isAlive = false
	u.mu.Unlock()
	u.cancel()
	u.conn.Close()
	return wasAlive
}

// drain announces that the upstream is draining, and withdraws and stops it after
// drainDuration.
func (u *upstream) drain() {
	u.mu.Lock()
	u.draining = true
	u.mu.Unlock()
	for range 40 {
		if u.announce(u.h.ctx) {
			u.mu.Lock()
			u.drainAcked = time.Now()
			u.mu.Unlock()
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(drainDuration)
	u.h.callAnyController(u.h.ctx, http.MethodDelete, "/api/instances/"+u.id, nil)
	u.crash()
}

func (u *upstream) announceLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !u.silent.Load() {
			u.announce(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

func (u *upstream) announce(ctx context.Context) bool {
	u.mu.Lock()
	u.seq++
	state := "ready"
	if u.draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"service": u.service, "address": u.address.String(), "zone": u.domain, "version": "v1", "slots": 2,
		"state": state, "cold_left_ms": max(time.Until(u.coldUntil).Milliseconds(), 0), "seq": u.seq, "born": u.startMillis,
	})
	u.mu.Unlock()
	if err != nil {
		return false
	}
	status, _ := u.h.callAnyController(ctx, http.MethodPut, "/api/instances/"+u.id, body)
	return status == http.StatusOK
}

func (u *upstream) receive() {
	buf := make([]byte, 2048)
	for {
		n, via, err := u.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return // closed by crash
		}
		if n < 8 {
			continue
		}
		if to := binary.BigEndian.Uint64(buf); to != 0 && to != u.handle {
			continue // addressed to an earlier upstream at this address
		}
		p, isIntact := decode(buf[8:n])
		if !isIntact {
			u.h.reportViolation("upstream %s received a packet that is malformed or has a wrong checksum", u.id)
			continue
		}
		b := u.h.balancerAt(via.Addr())
		if b == nil {
			u.h.reportViolation("upstream %s received a packet from %s, which is no balancer", u.id, via)
			continue
		}
		u.handlePacket(p, b)
	}
}

func (u *upstream) handlePacket(p *packet, via *process) {
	u.mu.Lock()
	defer u.mu.Unlock()
	c := u.flows[p.from()]
	if c != nil {
		c.cookie = p.Echo
	}
	switch {
	case p.Flags&flagSYN != 0:
		if c == nil {
			c = &upstreamConn{sequence: rand.Uint32(), cookie: p.Echo}
			u.flows[p.from()] = c
			u.checkOpening(p, via)
		}
		u.answer(p, c, flagSYN|flagACK, nil)
	case p.Flags&flagRST != 0:
		delete(u.flows, p.from())
	case c == nil || p.Ack-c.sequence-1 > c.sent:
		u.h.recordMisrouted(u, p)
		u.answer(p, &upstreamConn{}, flagRST, nil)
	case p.Flags&flagFIN != 0:
		u.answer(p, c, flagACK, nil)
	case len(p.data) > 0 && u.hung.Load():
	case len(p.data) > 0:
		c.open = true
		text := append([]byte(u.id+" "), p.data...)
		c.sent += uint32(len(text))
		u.answer(p, c, flagACK, text)
	}
}

// checkOpening checks that a new connection belongs to the upstream's service, was
// not opened too long after the upstream began to drain or its failure domain was
// evacuated, and is within the limit of a cold upstream.
func (u *upstream) checkOpening(p *packet, via *process) {
	now := time.Now()
	if since := u.h.operator.evacuatedSince(u.domain); !since.IsZero() {
		if fault := time.Unix(0, via.lastFault.Load()); fault.After(since) {
			since = fault
		}
		if now.Sub(since) > evacuationDeadline {
			u.h.reportViolation("%s opened a connection at %s %s after the evacuation of %s was acknowledged and without a fault", via.name, u.id, now.Sub(since), u.domain)
		}
	}
	if now.Before(u.coldUntil) {
		u.openings = append(u.openings, opening{via.name, now})
		if i := len(u.openings) - 1 - coldLimit; i >= 0 && now.Sub(u.openings[i].at) < time.Second {
			u.h.reportViolation("cold upstream %s in %s got more than %d connections within a second: %v", u.id, u.domain, coldLimit, u.openings[i:])
		}
	}
	if want := u.h.serviceOf(p.to()); want != u.service {
		u.h.reportViolation("connection to service %s opened at upstream %s of service %s", want, u.id, u.service)
	}
	if sent := u.h.openedAt(p.from()); !u.drainAcked.IsZero() && sent.Sub(u.drainAcked) > drainDeadline && u.h.noFaultSince(u.drainAcked.Add(-faultFreePeriod)) {
		u.h.reportViolation("connection opened at %s %s after its draining state was acknowledged", u.id, sent.Sub(u.drainAcked))
	}
}

// balancerAt returns the balancer with an address, or nil.
func (h *harness) balancerAt(ip netip.Addr) *process {
	for _, b := range h.routers.balancers {
		if b.ip == ip.Unmap() {
			return b
		}
	}
	return nil
}

func (u *upstream) answer(p *packet, c *upstreamConn, flags uint8, data []byte) {
	a := newPacket(flags, p.to(), p.from(), data)
	a.Seq, a.Ack, a.Echo = c.sequence, p.Seq, c.cookie
	if u.h.shouldDrop() {
		return
	}
	to := netip.AddrPortFrom(p.from().Addr(), u.returnPort)
	_, _ = u.conn.WriteToUDPAddrPort(a.encode(), to) // an error counts as a lost packet
}

// callAnyController sends a request to the controllers in random order until one
// answers with a status below 500.
func (h *harness) callAnyController(ctx context.Context, method, path string, body []byte) (status int, answer []byte) {
	order := rand.Perm(len(h.controllers))
	for _, i := range order {
		status, answer = h.callController(ctx, h.controllers[i], method, path, body)
		if status != 0 && status < 500 {
			return status, answer
		}
	}
	return status, answer
}

func (h *harness) callController(ctx context.Context, p *process, method, path string, body []byte) (status int, answer []byte) {
	if p.isolated.Load() {
		return 0, nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", p.ip, apiPort, path), bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	resp, err := h.http.Do(r)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	var b bytes.Buffer
	if _, err := b.ReadFrom(resp.Body); err != nil {
		return 0, nil
	}
	return resp.StatusCode, b.Bytes()
}
