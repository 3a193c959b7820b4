package soak

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// mode is the network fault that a proxy applies to its connections.
type mode int

const (
	modePass         mode = iota
	modeDelay             // forwards with a delay
	modeBlackhole         // discards the data of both directions, keeps connections open
	modeDropInbound       // discards the data towards the controller
	modeDropOutbound      // discards the data from the controller
	numModes
	proxyDelay = 150 * time.Millisecond
)

// proxy is a TCP proxy in front of a controller's link port that injects network
// faults.
type proxy struct {
	listener net.Listener
	target   netip.AddrPort

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

func newProxy(listen, target netip.AddrPort) (*proxy, error) {
	l, err := net.Listen("tcp", listen.String())
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// reset closes all connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

func (p *proxy) close() {
	p.listener.Close()
	p.reset()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	t, err := net.DialTimeout("tcp", p.target.String(), time.Second)
	if err != nil {
		c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[t] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { p.forward(t, c, modeDropInbound); done <- struct{}{} }()
	go func() { p.forward(c, t, modeDropOutbound); done <- struct{}{} }()
	<-done
	c.Close()
	t.Close()
	<-done
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, t)
	p.mu.Unlock()
}

// forward copies bytes from one connection to the other. Once bytes were discarded
// the rest of the stream cannot be parsed, so that all later bytes are discarded
// as well.
func (p *proxy) forward(to io.Writer, from io.Reader, dropMode mode) {
	buf := make([]byte, 32<<10)
	discarding := false
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		m := p.currentMode()
		if m == modeBlackhole || m == dropMode {
			discarding = true
		}
		if discarding {
			continue
		}
		if m == modeDelay {
			time.Sleep(proxyDelay)
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
