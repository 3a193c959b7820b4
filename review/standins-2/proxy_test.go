package standins

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// proxy is a link to a TCP address that can be cut. What is sent into the cut is held and
// arrives when the cut ends, as TCP sends it again: first the bytes, and the end of the
// connection one round trip later. A connection that is opened during the cut is not
// answered and comes to nothing.
type proxy struct {
	listener net.Listener
	to       string

	mu     sync.Mutex
	healed chan struct{} // closed unless the link is cut
	cuts   int
}

const roundTrip = 3 * time.Millisecond

func newProxy(at netip.AddrPort, to string) (*proxy, error) {
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, to: to, healed: make(chan struct{})}
	close(p.healed)
	go p.serve()
	return p, nil
}

func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.healed = make(chan struct{})
	p.cuts++
}

func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.healed)
}

// pass waits while the link is cut. It reports whether it had to.
func (p *proxy) pass() (held bool) {
	p.mu.Lock()
	healed := p.healed
	p.mu.Unlock()
	select {
	case <-healed:
		return false
	default:
	}
	<-healed
	return true
}

func (p *proxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			if p.pass() { // its opening packet was lost
				c.Close()
				return
			}
			s, err := net.Dial("tcp", p.to)
			if err != nil {
				c.Close()
				return
			}
			go p.carry(c, s)
			p.carry(s, c)
		}()
	}
}

func (p *proxy) carry(from, to net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		p.pass()
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			time.Sleep(roundTrip)
			to.Close()
			return
		}
	}
}
