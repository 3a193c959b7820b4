package controller

import (
	"net"
	"sync/atomic"
)

// cut silences the connections that others keep to a VM, in one direction or
// both, without ending them.
type cut struct{ in, out atomic.Bool }

func (c *cut) set(in, out bool) {
	c.in.Store(in)
	c.out.Store(out)
}

// cutListener accepts connections under a cut.
type cutListener struct {
	net.Listener
	cut *cut
}

func (l *cutListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &cutConn{Conn: c, cut: l.cut}, nil
}

// cutConn loses what passes while its direction is cut. A stream that lost
// bytes makes no sense any more, so it stays silent in that direction.
type cutConn struct {
	net.Conn
	cut             *cut
	lostIn, lostOut atomic.Bool
}

func (c *cutConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil {
			return n, err
		}
		if c.cut.in.Load() {
			c.lostIn.Store(true)
		}
		if !c.lostIn.Load() {
			return n, nil
		}
	}
}

func (c *cutConn) Write(b []byte) (int, error) {
	if c.cut.out.Load() {
		c.lostOut.Store(true)
	}
	if c.lostOut.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}
