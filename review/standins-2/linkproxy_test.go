package standins

import (
	"bytes"
	"net"
	"net/netip"
	"sync"
)

// linkProxy carries the links between the system's own machines to one core machine, so
// that single machines can be cut off from it. It tells who opened a connection by the
// name in its first message.
type linkProxy struct {
	listener net.Listener
	to       string
	machines []*machine

	mu    sync.Mutex
	off   string // machine that is cut off, or ""
	conns map[net.Conn]string
	// silent holds the connections that carry nothing any more, and no end either.
	silent map[net.Conn]bool
}

func newLinkProxy(at, to netip.AddrPort, machines []*machine) (*linkProxy, error) {
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, err
	}
	p := &linkProxy{listener: l, to: to.String(), machines: machines, conns: make(map[net.Conn]string), silent: make(map[net.Conn]bool)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

// cutOff cuts a machine off: its connections are reset, and new ones come to nothing. An
// empty name joins it again.
func (p *linkProxy) cutOff(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.off = name
	for c, opener := range p.conns {
		if name != "" && opener == name {
			c.Close()
		}
	}
}

// silence lets the open connections of a machine go silent for good. New ones work.
func (p *linkProxy) silence(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, opener := range p.conns {
		if opener == name {
			p.silent[c] = true
		}
	}
}

// hush waits for ever on a connection that has gone silent.
func (p *linkProxy) hush(c net.Conn) {
	p.mu.Lock()
	silent := p.silent[c]
	p.mu.Unlock()
	if silent {
		select {}
	}
}

func (p *linkProxy) isOff(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return name != "" && p.off == name
}

func (p *linkProxy) serve(c net.Conn) {
	defer c.Close()
	buf := make([]byte, 64<<10)
	n, err := c.Read(buf)
	if err != nil {
		return
	}
	opener := ""
	for _, m := range p.machines {
		if m.class == "frontend" && bytes.Contains(buf[:n], []byte(m.name)) ||
			m.class == "core" && bytes.Contains(buf[:n], m.controlBytes()) {
			opener = m.name
		}
	}
	if p.isOff(opener) {
		return
	}
	s, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer s.Close()
	p.mu.Lock()
	p.conns[c] = opener
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
	}()
	if _, err := s.Write(buf[:n]); err != nil {
		return
	}
	go func() {
		defer c.Close()
		defer s.Close()
		back := make([]byte, 64<<10)
		for {
			n, err := s.Read(back)
			p.hush(c)
			if err != nil {
				return
			}
			if _, err := c.Write(back[:n]); err != nil {
				return
			}
		}
	}()
	for {
		n, err := c.Read(buf)
		p.hush(c)
		if err != nil {
			return
		}
		if _, err := s.Write(buf[:n]); err != nil {
			return
		}
	}
}

// controlBytes returns the address at which a core machine serves control, which it tells of
// itself when it opens a link, as it stands in a message.
func (m *machine) controlBytes() []byte {
	b, err := netip.AddrPortFrom(m.ip, controlPort).MarshalBinary()
	if err != nil {
		panic(err) // the address is valid
	}
	return b
}
