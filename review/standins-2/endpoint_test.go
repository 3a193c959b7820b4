package standins

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"regexp"
	"strconv"
	"sync"
	"time"
)

func itoa(n uint16) string { return strconv.Itoa(int(n)) }

// endpoint is one incarnation of an endpoint.
type endpoint struct {
	w       *world
	id      string
	handle  uint64
	service string
	zone    string
	addr    netip.AddrPort
	born    time.Time
	cold    time.Duration // how long it is cold after its start
	clock   time.Duration // by which the time of day of its machine is ahead at its start
	work    time.Duration
	calls   *caller
	conn    *net.UDPConn
	done    chan struct{}

	mu     sync.Mutex
	state  string
	seq    int
	full   bool // accepts no flow and sends nothing to openings
	next   int  // node that it calls next after a failure
	mute   bool // its calls reach no controller
	flows  map[netip.AddrPort]*serverFlow
	opens  []opening
	ran    []run
	busy   int // requests at work
	strays int // packets of flows that it does not hold
	// answerAfter delays the answer to an opening packet.
	answerAfter func(p *packet) time.Duration
}

// opening is the first opening packet of a flow that an endpoint took.
type opening struct {
	at     time.Time
	via    string
	client netip.AddrPort
	dst    netip.AddrPort
	copies uint32
}

// run is a request that an endpoint began to work on.
type run struct {
	opening
	id string
	at time.Time
}

type serverFlow struct {
	opening
	peer     uint32 // sequence number after what the client sent
	seq      uint32
	echo     uint32
	open     bool
	finished bool
	answer   []byte
	ended    bool
}

func (w *world) startEndpoint(id, serviceName, zone string, addr netip.AddrPort, cold, work time.Duration) (*endpoint, error) {
	return w.startEndpointAt(0, id, serviceName, zone, addr, cold, work)
}

// startEndpointAt starts an endpoint on a machine whose time of day is ahead.
func (w *world) startEndpointAt(clock time.Duration, id, serviceName, zone string, addr netip.AddrPort, cold, work time.Duration) (*endpoint, error) {
	handle, err := strconv.ParseUint(id[2:], 16, 64)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	e := &endpoint{
		w: w, id: id, handle: handle, service: serviceName, zone: zone, addr: addr, born: time.Now(), clock: clock, cold: cold, work: work,
		calls: newCaller(w, id), conn: conn, done: make(chan struct{}), state: "ready", flows: make(map[netip.AddrPort]*serverFlow),
	}
	w.rec.log("endpoint %s of %s starts in %s, cold for %v, born %d", id, serviceName, zone, cold, e.born.Add(clock).UnixMilli())
	go e.receive()
	go e.beat()
	return e, nil
}

// waitIdle waits for a moment without a request at work.
func (e *endpoint) waitIdle() {
	for range 1000 {
		e.mu.Lock()
		idle := e.busy == 0
		e.mu.Unlock()
		if idle {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// crash ends the incarnation without a word.
func (e *endpoint) crash() {
	e.w.rec.log("endpoint %s crashes", e.id)
	close(e.done)
	e.conn.Close()
}

func (e *endpoint) beat() {
	at := 0 // the node of its own zone, which the answers to heartbeats name
	for i, c := range e.w.cores {
		if c.zone == e.zone {
			at = i
		}
	}
	for {
		if !e.heartbeat(at) {
			e.mu.Lock()
			at, e.next = e.next, (e.next+1)%len(e.w.cores)
			e.mu.Unlock()
			select {
			case <-e.done:
				return
			case <-time.After(50 * time.Millisecond):
			}
			continue
		}
		select {
		case <-e.done:
			return
		case <-time.After(heartbeat):
		}
	}
}

// heartbeat sends one heartbeat to core machine i.
func (e *endpoint) heartbeat(i int) bool {
	e.mu.Lock()
	mute := e.mute
	e.seq++
	body, err := json.Marshal(map[string]any{
		"service": e.service, "address": e.addr.String(), "zone": e.zone, "version": "v1", "slots": 2, "state": e.state,
		"cold_left_ms": max(e.cold-time.Since(e.born), 0).Milliseconds(), "seq": e.seq, "born": e.born.Add(e.clock).UnixMilli(),
	})
	e.mu.Unlock()
	if err != nil {
		panic(err) // it holds only plain values
	}
	if mute { // behind the cut the call gets no answer
		select {
		case <-e.done:
		case <-time.After(time.Second):
		}
		return false
	}
	status, _ := e.calls.once(i, "PUT", "/api/instances/"+e.id, body)
	return status/100 == 2
}

// setNext sets the node that the endpoint calls next after a heartbeat has failed.
func (e *endpoint) setNext(i int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.next = i
}

func (e *endpoint) setMute(mute bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mute = mute
}

func (e *endpoint) setFull(full bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.full = full
}

func (e *endpoint) receive() {
	buf := make([]byte, 4096)
	for {
		n, from, err := e.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if n < handleSize {
			continue
		}
		if to := binary.BigEndian.Uint64(buf); to != 0 && to != e.handle {
			continue // not the intended endpoint
		}
		p, whole, ok := decode(buf[handleSize:n])
		if !ok || !whole {
			e.w.rec.log("UNASKED: endpoint %s gets a packet that its sender did not write so", e.id)
			continue
		}
		via := "?"
		if f := e.w.frontAt(from.Addr()); f != nil {
			via = f.name
		}
		e.handlePacket(&p, via)
	}
}

func (e *endpoint) send(f *serverFlow, flags byte, data []byte) {
	p := packet{flags: flags, echo: f.echo, src: f.dst, dst: f.client, seq: f.seq, ack: f.peer, data: data}
	_, _ = e.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(f.client.Addr(), packetPort))
}

var requestID = regexp.MustCompile(`X-Heatherport-Request-Id: (\S+)`)

func (e *endpoint) handlePacket(p *packet, via string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.flows[p.src]
	if p.flags&flagSYN != 0 {
		e.handleOpening(f, p, via)
		return
	}
	switch {
	case f == nil || p.flags&flagRST == 0 && !f.open && p.ack != f.seq+1:
		if p.flags&flagRST == 0 {
			e.strays++
			e.w.rec.log("endpoint %s gets a packet of flow %v, which it does not hold, by %s, and sends a reset", e.id, p.src, via)
			e.send(&serverFlow{opening: opening{client: p.src, dst: p.dst}, seq: p.ack, peer: p.seq, echo: p.echo}, flagRST, nil)
		}
		return
	case p.flags&flagRST != 0:
		delete(e.flows, p.src)
		return
	}
	f.echo = p.echo
	if !f.open {
		f.open, f.seq = true, f.seq+1
	}
	if len(p.data) > 0 && p.seq == f.peer {
		f.peer += uint32(len(p.data))
		e.run(f, p, via)
		return
	}
	if p.flags&flagFIN != 0 {
		if p.seq == f.peer {
			f.peer++
		}
		e.send(f, flagFIN|flagACK, nil)
	}
}

func (e *endpoint) handleOpening(f *serverFlow, p *packet, via string) {
	if f == nil {
		if e.full {
			e.w.rec.log("endpoint %s is full and takes no opening packet (%v to %v, copy %d, by %s)", e.id, p.src, p.dst, p.ack, via)
			return
		}
		o := opening{at: time.Now(), via: via, client: p.src, dst: p.dst, copies: p.ack}
		f = &serverFlow{opening: o, peer: p.seq + 1, seq: rand.Uint32(), echo: p.echo}
		e.flows[p.src] = f
		e.opens = append(e.opens, o)
		wait := time.Duration(0)
		if e.answerAfter != nil {
			wait = e.answerAfter(p)
		}
		go e.answerOpening(f, wait)
		return
	}
	f.echo = p.echo
	if !f.open {
		e.send(f, flagSYN|flagACK, nil)
	}
}

// answerOpening sends a SYN+ACK, and again after 200 ms, doubled up to 1.6 s, eight times
// at most, until the flow is open.
func (e *endpoint) answerOpening(f *serverFlow, wait time.Duration) {
	time.Sleep(wait)
	pause := 200 * time.Millisecond
	for range 9 {
		e.mu.Lock()
		if f.open {
			e.mu.Unlock()
			return
		}
		e.send(f, flagSYN|flagACK, nil)
		e.mu.Unlock()
		time.Sleep(pause)
		pause = min(2*pause, 1600*time.Millisecond)
	}
}

// run works on a request and answers it.
func (e *endpoint) run(f *serverFlow, p *packet, via string) {
	id := ""
	if m := requestID.FindSubmatch(p.data); m != nil {
		id = string(m[1])
	}
	e.ran = append(e.ran, run{opening: f.opening, id: id, at: time.Now()})
	e.w.rec.log("endpoint %s in %s runs request %s to %v, by %s", e.id, e.zone, id, f.dst, via)
	text := []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Heatherport-Server-Stamp: %s/%s\r\nContent-Length: 2\r\n\r\nok", e.id, id))
	e.busy++
	go func() {
		time.Sleep(e.work)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.busy--
		e.send(f, flagACK, text)
		f.seq += uint32(len(text))
	}()
}

// opened returns the openings and runs so far.
func (e *endpoint) seen() (opens []opening, ran []run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]opening(nil), e.opens...), append([]run(nil), e.ran...)
}

// drain says that the endpoint is leaving until a node acknowledges it, and returns when.
func (e *endpoint) drain(first int) (acked time.Time, ok bool) {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	for i := range 20 {
		at := (first + i) % len(e.w.cores)
		ok := e.heartbeat(at)
		e.w.rec.log("endpoint %s tells %s that it is draining; acknowledged: %v", e.id, e.w.cores[at].name, ok)
		if ok {
			return time.Now(), true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return acked, false
}
