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
	conn batchConn
	ms   []ipv4.Message
	dst  []net.UDPAddr
	kind []counter // what each datagram counts as once it is sent
	n    int
}

func newQueue(conn batchConn, size int) *queue {
	q := &queue{
		conn: conn,
		ms:   make([]ipv4.Message, size),
		dst:  make([]net.UDPAddr, size),
		kind: make([]counter, size),
	}
	for i := range q.ms {
		q.dst[i].IP = make(net.IP, 0, net.IPv6len)
		q.ms[i].Buffers = make([][]byte, 1)
		q.ms[i].Addr = &q.dst[i]
	}
	return q
}

// add queues b, which must stay unchanged until the flush. Without a valid
// destination it drops and counts b.
func (q *queue) add(c *counts, b []byte, to netip.AddrPort, kind counter) {
	if !to.IsValid() {
		c.addCode(result.DropSendFailed)
		return
	}
	q.ms[q.n].Buffers[0] = b
	setUDPAddr(&q.dst[q.n], to)
	q.kind[q.n] = kind
	q.n++
}

// setUDPAddr sets u to a without allocation.
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

// flush sends the queued datagrams. One that the socket refuses is dropped and
// counted, and those after it are sent.
func (q *queue) flush(c *counts) {
	for sent := 0; sent < q.n; {
		n, err := q.conn.WriteBatch(q.ms[sent:q.n], 0)
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
	size := len(q.ms[i].Buffers[0])
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
