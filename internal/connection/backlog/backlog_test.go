package backlog

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var (
	service = netip.MustParseAddrPort("198.51.100.1:443")
	other   = netip.MustParseAddrPort("198.51.100.1:80")
)

// item returns a packet from a port of the caller.
func item(port uint16, opening bool, began, expires time.Duration) Item {
	return Item{
		Caller: netip.AddrPortFrom(netip.MustParseAddr("203.0.113.7"), port), Service: service,
		Opening: opening, Began: began, Expires: expires, Datagram: []byte{byte(port)},
	}
}

// released returns the ports of the packets that are forwarded.
func released(q *Queue, now time.Duration, forward func(Item) bool) (ports []uint16, expired []Item) {
	expired = q.Release(now, func(i Item) bool {
		ok := forward(i)
		if ok {
			ports = append(ports, i.Caller.Port())
		}
		return ok
	})
	return ports, expired
}

func always(Item) bool { return true }

func TestOpenConnectionsThenLatestCallersFirst(t *testing.T) {
	var q Queue
	for _, i := range []Item{
		item(1, true, 100, time.Second), item(2, false, 0, time.Second),
		item(3, true, 300, time.Second), item(4, true, 200, time.Second), item(5, false, 0, time.Second),
	} {
		must.True(t, q.Add(i))
	}
	ports, expired := released(&q, 400, always)
	must.Eq(t, []uint16{2, 5, 3, 4, 1}, ports)
	must.SliceEmpty(t, expired)
	must.Zero(t, q.Len())
	must.Zero(t, q.bytes)
}

func TestCopyReplacesOpening(t *testing.T) {
	var q Queue
	q.Add(item(1, true, 0, 200))
	second := item(1, true, 0, 600)
	second.Datagram = []byte{9, 9}
	q.Add(second)
	must.Eq(t, 1, q.Len())
	must.Eq(t, 2, q.bytes)
	ports, expired := released(&q, 300, always)
	must.Eq(t, []uint16{1}, ports)
	must.SliceEmpty(t, expired)
}

func TestExpiredPacketsAreNotForwarded(t *testing.T) {
	var q Queue
	q.Add(item(1, true, 0, 200))
	q.Add(item(2, false, 0, 300))
	ports, expired := released(&q, 200, always)
	must.Eq(t, []uint16{2}, ports)
	must.Len(t, 1, expired)
	must.Zero(t, q.Len())
}

// All openings to a service wait behind the first one that has to.
func TestOpeningThatMustWaitBlocksItsServiceOnly(t *testing.T) {
	var q Queue
	elsewhere := item(4, true, 50, time.Second)
	elsewhere.Service = other
	for _, i := range []Item{item(1, true, 300, time.Second), item(2, true, 200, time.Second), item(3, true, 100, time.Second), elsewhere} {
		q.Add(i)
	}
	asked := 0
	ports, _ := released(&q, 400, func(i Item) bool {
		asked++
		return i.Caller.Port() != 2
	})
	must.Eq(t, []uint16{1, 4}, ports)
	must.Eq(t, 3, asked)
	must.Eq(t, 2, q.Len())
	ports, _ = released(&q, 400, always)
	must.Eq(t, []uint16{2, 3}, ports)
}

func TestQueueIsBounded(t *testing.T) {
	var q Queue
	for port := range uint16(maxPackets) {
		must.True(t, q.Add(item(port, false, 0, time.Second)))
	}
	must.False(t, q.Add(item(1, false, 0, time.Second)))
	var full Queue
	big := item(1, false, 0, time.Second)
	big.Datagram = make([]byte, maxBytes)
	must.True(t, full.Add(big))
	must.False(t, full.Add(item(2, false, 0, time.Second)))
}
