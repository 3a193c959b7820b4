package controller

import (
	"net"
	"sync/atomic"
)

// partition drops the traffic of the connections that others opened to a VM, in
// one direction or both, without closing them.
type partition struct{ in, out atomic.Bool }

func (p *partition) set(in, out bool) {
	p.in.Store(in)
	p.out.Store(out)
}

// partitionListener accepts connections that are subject to a partition.
type partitionListener struct {
	net.Listener
	partition *partition
}

func (l *partitionListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &partitionConn{Conn: c, partition: l.partition}, nil
}

// partitionConn drops data while its direction is partitioned. After a loss the
// stream cannot be decoded any more, so all later data in this direction is
// dropped too.
type partitionConn struct {
	net.Conn
	partition             *partition
	droppedIn, droppedOut atomic.Bool
}

func (c *partitionConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil {
			return n, err
		}
		if c.partition.in.Load() {
			c.droppedIn.Store(true)
		}
		if !c.droppedIn.Load() {
			return n, nil
		}
	}
}

func (c *partitionConn) Write(b []byte) (int, error) {
	if c.partition.out.Load() {
		c.droppedOut.Store(true)
	}
	if c.droppedOut.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}
