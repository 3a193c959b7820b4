package forward

import (
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"

	"heatherport/internal/result"
)

// queue holds the datagrams that one batch sends over one socket.
type queue struct {
	conn     batchConn
	messages []ipv4.Message
	addrs    []net.UDPAddr
	kind     []counter // counter that each datagram increments once it is sent
	n        int
}

func newQueue(conn batchConn, size int) *queue {
	q := &queue{
		conn:     conn,
		messages: make([]ipv4.Message, size),
		addrs:    make([]net.UDPAddr, size),
		kind:     make([]counter, size),
	}
	for i := range q.messages {
		q.addrs[i].IP = make(net.IP, 0, net.IPv6len)
		q.messages[i].Buffers = make([][]byte, 1)
		q.messages[i].Addr = &q.addrs[i]
	}
	return q
}

// add queues b, which must not change until the flush. A datagram without a
// valid destination is dropped and counted.
func (q *queue) add(c *counts, b []byte, to netip.AddrPort, kind counter) {
	if !to.IsValid() {
		c.addCode(result.DropSendFailed)
		return
	}
	q.messages[q.n].Buffers[0] = b
	setUDPAddr(&q.addrs[q.n], to)
	q.kind[q.n] = kind
	q.n++
}

// setUDPAddr sets u to a without allocating memory.
func setUDPAddr(u *net.UDPAddr, a netip.AddrPort) {
	u.Port = int(a.Port())
	if addr := a.Addr(); addr.Is4() || addr.Is4In6() {
		b := addr.As4()
		u.IP = append(u.IP[:0], b[:]...)
		return
	}
	b := a.Addr().As16()
	u.IP = append(u.IP[:0], b[:]...)
}

// flush sends the queued datagrams. A datagram that the socket rejects is
// dropped and counted, and the following ones are sent.
func (q *queue) flush(c *counts) {
	for sent := 0; sent < q.n; {
		n, err := q.conn.WriteBatch(q.messages[sent:q.n], 0)
		for range max(n, 0) {
			q.count(c, sent)
			sent++
		}
		if err != nil {
			c.addCode(sendCode(err))
			sent++
		}
	}
	q.n = 0
}

func (q *queue) count(c *counts, i int) {
	size := len(q.messages[i].Buffers[0])
	c.add(q.kind[i], 1)
	switch q.kind[i] {
	case packetsOut:
		c.add(bytesOut, size)
	case relaysOut:
		c.add(relayBytesOut, size)
	}
}

func sendCode(err error) result.Code {
	if errors.Is(err, unix.EMSGSIZE) {
		return result.DropOversize
	}
	return result.DropSendFailed
}
