package soak

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// mode is what a proxy does to the connections through it.
type mode int

const (
	pass     mode = iota
	slow          // each piece is late
	silent        // nothing passes, no connection ends
	cutIn         // nothing passes towards the program
	cutOut        // nothing passes from the program
	modes         // number of modes
	slowness = 150 * time.Millisecond
)

// proxy stands between a controller's link and all that connect to it.
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

func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

func (p *proxy) get() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// reset ends all connections with a reset.
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
			return // closed
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
	go func() { p.copy(t, c, cutIn); done <- struct{}{} }()
	go func() { p.copy(c, t, cutOut); done <- struct{}{} }()
	<-done
	c.Close()
	t.Close()
	<-done
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, t)
	p.mu.Unlock()
}

// copy passes bytes on; what comes while the direction is cut is lost, and
// with it the connection's sense, so nothing more passes on it.
func (p *proxy) copy(to io.Writer, from io.Reader, cut mode) {
	buf := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		m := p.get()
		if m == silent || m == cut {
			lost = true
		}
		if lost {
			continue
		}
		if m == slow {
			time.Sleep(slowness)
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
