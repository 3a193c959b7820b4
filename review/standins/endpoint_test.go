//go:build review

package standins

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	slots       = 2
	workTime    = 20 * time.Millisecond
	firstRepeat = 200 * time.Millisecond
	longestWait = 1600 * time.Millisecond
	maxRepeats  = 8
	maxDatagram = 2048
)

// endpoint plays one incarnation of an endpoint.
type endpoint struct {
	w             *world
	id            string
	handle        uint64
	service, zone string
	address       netip.AddrPort
	born          int64
	conn          *net.UDPConn
	health        net.Listener
	slots         chan struct{}
	// ran is called when a request begins to run.
	ran func(e *endpoint, from netip.AddrPort, id string)

	mu         sync.Mutex
	flows      map[netip.AddrPort]*serverFlow
	seq        uint64
	draining   bool
	cut        bool // no packet and no call passes
	ended      bool
	status     int    // of the last answer to a heartbeat
	controller string // where the next heartbeat goes; empty for any
}

// serverFlow is a flow at an endpoint.
type serverFlow struct {
	clientISN, isn uint32
	open, closed   bool
	next           uint32 // next sequence number that is expected
	sent           uint32 // next own sequence number
	acked          uint32 // highest own sequence number that was acknowledged
	echo           uint32
}

// startEndpoint starts an incarnation with its heartbeats.
func (w *world) startEndpoint(number uint64, service string, zone string, host byte) (*endpoint, error) {
	address := netip.AddrPortFrom(w.host(host), endpointPort)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	health, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, err
	}
	e := &endpoint{
		w: w, id: fmt.Sprintf("i-%08x", number), handle: number, service: service, zone: zone, address: address, born: time.Now().UnixMilli(),
		conn: conn, health: health, slots: make(chan struct{}, slots), flows: make(map[netip.AddrPort]*serverFlow),
	}
	go func() {
		_ = http.Serve(health, http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) }))
	}()
	go e.receive()
	w.mu.Lock()
	w.endpoints = append(w.endpoints, e)
	w.mu.Unlock()
	w.note("endpoint %s of %s starts at %s, born %d", e.id, service, address, e.born)
	return e, nil
}

// name tells the incarnations of an endpoint apart.
func (e *endpoint) name() string { return fmt.Sprintf("%s@%d", e.id, e.born) }

// setCut cuts the endpoint off from all machines, or joins it again.
func (e *endpoint) setCut(cut bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cut = cut
}

// beats sends heartbeats until the endpoint ends.
func (e *endpoint) beats() {
	for !e.isEnded() {
		e.beat()
		time.Sleep(heartbeat)
	}
}

func (e *endpoint) isEnded() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ended
}

// beat sends a heartbeat to one node after the other until it is acknowledged.
func (e *endpoint) beat() bool {
	e.mu.Lock()
	first := e.controller
	e.mu.Unlock()
	nodes := []string{}
	if first != "" {
		nodes = append(nodes, first)
	}
	for _, i := range rand.Perm(len(e.w.controllers)) {
		nodes = append(nodes, e.w.controllers[i].api())
	}
	for _, api := range nodes {
		if e.beatTo(api) {
			return true
		}
	}
	return false
}

func (e *endpoint) lastStatus() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.status
}

// heartbeatBody returns the body of the next heartbeat.
func (e *endpoint) heartbeatBody() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"service": e.service, "address": e.address.String(), "zone": e.zone, "version": "v1", "slots": slots,
		"state": state, "cold_left_ms": 0, "seq": e.seq, "born": e.born,
	})
	return body
}

// beatTo sends a heartbeat to one node.
func (e *endpoint) beatTo(api string) bool {
	body := e.heartbeatBody()
	e.mu.Lock()
	cut := e.cut
	e.mu.Unlock()
	if cut {
		time.Sleep(time.Second) // the connection hangs
		e.mu.Lock()
		cut = e.cut
		e.mu.Unlock()
		if cut {
			return false
		}
	}
	status, answer := e.w.call(api, http.MethodPut, "/api/instances/"+e.id, body)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.status = status
	if status != http.StatusOK {
		e.controller = ""
		return false
	}
	var named struct {
		HeartbeatAddr string `json:"heartbeat_addr"`
	}
	if json.Unmarshal(answer, &named) == nil && named.HeartbeatAddr != "" {
		e.controller = named.HeartbeatAddr
	} else if e.controller == "" {
		e.controller = api
	}
	return true
}

// stop ends the endpoint without a word. It holds no flows afterwards.
func (e *endpoint) stop() {
	e.mu.Lock()
	e.ended = true
	e.mu.Unlock()
	e.conn.Close()
	e.health.Close()
	e.w.note("endpoint %s born %d ends", e.id, e.born)
}

func (e *endpoint) receive() {
	buf := make([]byte, maxDatagram)
	for {
		n, via, err := e.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if n < handleSize {
			continue
		}
		if to := binary.BigEndian.Uint64(buf); to != 0 && to != e.handle {
			continue
		}
		p, intact := decode(buf[handleSize:n])
		if !intact {
			e.w.breakRule("UNASKED: endpoint %s got a packet that its sender did not write so, from %s", e.id, via)
			continue
		}
		e.handle1(p, via.Addr())
	}
}

// handle1 handles a packet of a client.
func (e *endpoint) handle1(p *packet, via netip.Addr) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cut {
		return
	}
	f := e.flows[p.from]
	if p.flags&flagSYN != 0 {
		if f == nil || f.clientISN != p.seq {
			f = &serverFlow{clientISN: p.seq, isn: rand.Uint32(), next: p.seq + 1}
			f.sent, f.acked = f.isn+1, f.isn
			e.flows[p.from] = f
			f.echo = p.echo
			e.send(p, f, flagSYN|flagACK, f.isn, nil)
			go e.repeatSYNACK(p, f)
			return
		}
		f.echo = p.echo
		if !f.open {
			e.send(p, f, flagSYN|flagACK, f.isn, nil)
		}
		return
	}
	if p.flags&flagRST != 0 {
		if f != nil && f.open {
			delete(e.flows, p.from)
		}
		return
	}
	// The flow opens where the client acknowledges the endpoint's number.
	holds := f != nil && (f.open || p.ack == f.isn+1)
	if holds && f.open && p.ack-f.isn > f.sent-f.isn {
		holds = false
	}
	if !holds {
		e.w.note("endpoint %s resets %s, a flow that it does not hold, via %s", e.id, p.from, via)
		e.w.mu.Lock()
		e.w.resets[p.from] = e.name()
		e.w.mu.Unlock()
		e.send(p, &serverFlow{echo: p.echo}, flagRST, p.ack, nil)
		return
	}
	f.open, f.echo = true, p.echo
	if int32(p.ack-f.acked) > 0 {
		f.acked = p.ack
	}
	switch {
	case len(p.data) > 0 && p.seq == f.next:
		f.next += uint32(len(p.data))
		go e.run(p, f)
	case len(p.data) > 0:
		e.send(p, f, flagACK, f.sent, nil)
	case p.flags&flagFIN != 0:
		f.closed = true
		f.next++
		e.send(p, f, flagFIN|flagACK, f.sent, nil)
		delete(e.flows, p.from)
	}
}

// repeatSYNACK repeats an unacknowledged SYN+ACK.
func (e *endpoint) repeatSYNACK(p *packet, f *serverFlow) {
	wait := firstRepeat
	for range maxRepeats {
		time.Sleep(wait)
		wait = min(2*wait, longestWait)
		e.mu.Lock()
		if f.open || e.ended || e.flows[p.from] != f {
			e.mu.Unlock()
			return
		}
		e.send(p, f, flagSYN|flagACK, f.isn, nil)
		e.mu.Unlock()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !f.open && e.flows[p.from] == f {
		delete(e.flows, p.from)
	}
}

// run runs a request and sends its answer until it is acknowledged.
func (e *endpoint) run(p *packet, f *serverFlow) {
	e.slots <- struct{}{}
	id := strings.TrimSpace(string(p.data))
	if e.ran != nil {
		e.ran(e, p.from, id)
	}
	time.Sleep(workTime)
	<-e.slots
	data := []byte(fmt.Sprintf("%s %s %s\n", id, e.service, e.name()))
	e.mu.Lock()
	seq, flags := f.sent, uint8(flagACK)
	f.sent += uint32(len(data))
	if e.draining {
		flags |= flagFIN // it closes each flow after its next response
	}
	e.mu.Unlock()
	wait := firstRepeat
	for range maxRepeats {
		e.mu.Lock()
		if e.ended || f.closed || int32(f.acked-seq) > 0 {
			e.mu.Unlock()
			return
		}
		e.send(p, f, flags, seq, data)
		e.mu.Unlock()
		time.Sleep(wait)
		wait = min(2*wait, longestWait)
	}
}

// send sends a packet to the client of p.
func (e *endpoint) send(p *packet, f *serverFlow, flags uint8, seq uint32, data []byte) {
	if e.cut || e.w.loses() {
		if flags&flagSYN != 0 && !e.cut {
			e.w.note("the network loses a SYN+ACK of %s to %s", e.id, p.from)
		}
		return
	}
	a := packet{flags: flags, echo: f.echo, from: p.to, to: p.from, seq: seq, ack: f.next, data: data}
	_, _ = e.conn.WriteToUDPAddrPort(a.encode(), netip.AddrPortFrom(p.from.Addr(), packetPort))
}
