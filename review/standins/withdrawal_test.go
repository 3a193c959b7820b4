//go:build review

package standins

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// lateWithdrawal plays the case in which an endpoint is cut off from all machines while it
// leaves: its withdrawal is held up. It starts again behind the cut under its id.
func lateWithdrawal(w *world) error {
	const cutTime = 5 * time.Second
	services := []string{"rounds-api"}
	clients, err := w.startDeployment(3, services, []route{{"r-1", "safe", portOne, services[0]}}, 8)
	if err != nil {
		return err
	}
	var stopped atomic.Bool
	var running sync.WaitGroup
	var flows, resets, arrivals atomic.Int64
	for _, c := range clients {
		running.Go(func() {
			for !stopped.Load() {
				running.Go(func() {
					flows.Add(1)
					if !w.keepFlow(c, 3, 6*time.Second, 8*time.Second) {
						resets.Add(1)
					}
				})
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(contactTime)
	old := w.endpoints[0]
	old.mu.Lock()
	old.draining = true
	old.mu.Unlock()
	for !old.beat() {
		time.Sleep(100 * time.Millisecond)
	}
	w.note("the draining state of %s is acknowledged", old.name())
	time.Sleep(drainTime + 500*time.Millisecond)

	api := w.controllers[1].api()
	held, err := w.connect(old, api)
	if err != nil {
		return err
	}
	begun := time.Now()
	if w.trouble {
		w.calmFrom.Store(time.Now().Add(time.Hour).UnixNano())
		old.setCut(true)
		w.note("%s is cut off from all machines", old.name())
		w.note("%s sends DELETE to %s; the cut holds it up", old.name(), w.controllers[1].name)
	} else {
		w.withdraw(old, held)
	}
	time.Sleep(time.Second)
	old.stop()
	time.Sleep(time.Second)
	next, err := w.startEndpoint(old.handle, old.service, old.zone, old.address.Addr().As4()[3])
	if err != nil {
		return err
	}
	next.ran = func(*endpoint, netip.AddrPort, string) { arrivals.Add(1) }
	next.setCut(w.trouble)
	go next.beats()
	if w.trouble {
		time.Sleep(cutTime - time.Since(begun))
		next.setCut(false)
		w.calmFrom.Store(time.Now().Add(contactTime).UnixNano())
		w.note("%s is joined again", next.name())
		// TCP sends unacknowledged bytes again after 0.2 s, 0.6 s, 1.4 s, 3 s and 6.2 s.
		time.Sleep(6200*time.Millisecond - time.Since(begun))
		w.withdraw(old, held)
	}
	time.Sleep(2 * time.Second)
	before := arrivals.Load()
	time.Sleep(12 * time.Second)
	w.note("requests at %s: %d, and %d in the 12 s after it was joined for 3 s", next.name(), before, arrivals.Load()-before)
	stopped.Store(true)
	running.Wait()
	w.note("%d flows, %d reset by another endpoint or by the system", flows.Load(), resets.Load())
	return nil
}

// connect opens a connection of an endpoint to a node and sends a heartbeat on it, as a
// client does that keeps its connections.
func (w *world) connect(e *endpoint, api string) (net.Conn, error) {
	conn, err := net.Dial("tcp", api)
	if err != nil {
		return nil, err
	}
	body := e.heartbeatBody()
	fmt.Fprintf(conn, "PUT /api/instances/%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", e.id, api, len(body), body)
	return conn, w.readAnswer(conn, fmt.Sprintf("heartbeat of %s", e.name()))
}

// readAnswer reads the answer to a call on a connection.
func (w *world) readAnswer(conn net.Conn, call string) error {
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	w.note("%s: %d", call, resp.StatusCode)
	return nil
}

// withdraw delivers the withdrawal of an endpoint and then the end of its connection, which
// follows a round trip later.
func (w *world) withdraw(e *endpoint, conn net.Conn) {
	fmt.Fprintf(conn, "%s /api/instances/%s HTTP/1.1\r\nHost: %s\r\n\r\n", http.MethodDelete, e.id, conn.RemoteAddr())
	w.note("the DELETE of %s arrives", e.name())
	if w.trouble {
		time.Sleep(3 * time.Millisecond)
		conn.Close()
		return
	}
	if err := w.readAnswer(conn, "withdrawal of "+e.name()); err != nil {
		w.note("withdrawal of %s: %v", e.name(), err)
	}
	conn.Close()
}
