// Package backlog holds packets that a balancer does not forward yet: those that
// arrive before its routes and upstreams do, and late openings while upstreams
// are behind. A caller whose packet is dropped repeats it only after a
// retransmission timeout, which is longer than most starts take.
//
// When packets can be forwarded, those of open connections come first, then
// opening packets in the order in which their callers began to wait, the latest
// first: those can still be answered in time.
package backlog

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Item is a packet that waits.
type Item struct {
	Caller, Service netip.AddrPort
	Opening         bool
	// Began is the time at which the caller sent the packet for the first time.
	Began time.Duration
	// Expires is the time from which the packet is no longer forwarded: the
	// caller has repeated it, perhaps through another balancer, or given up.
	Expires  time.Duration
	Datagram []byte
}

const (
	// maxPackets and maxBytes bound the memory of a queue.
	maxPackets = 1024
	maxBytes   = 1 << 20
)

// Queue holds packets. It is not safe for concurrent use.
type Queue struct {
	items []Item
	bytes int
}

// Len returns the number of packets that wait.
func (q *Queue) Len() int { return len(q.items) }

// Add queues a packet. An opening packet replaces the earlier copy that waits.
// Add reports false when the queue is full.
func (q *Queue) Add(item Item) bool {
	if item.Opening {
		if i := q.openingOf(item.Caller, item.Service); i >= 0 {
			q.bytes += len(item.Datagram) - len(q.items[i].Datagram)
			q.items[i] = item
			return true
		}
	}
	if len(q.items) >= maxPackets || q.bytes+len(item.Datagram) > maxBytes {
		return false
	}
	q.items = append(q.items, item)
	q.bytes += len(item.Datagram)
	return true
}

func (q *Queue) openingOf(caller, service netip.AddrPort) int {
	return slices.IndexFunc(q.items, func(i Item) bool {
		return i.Opening && i.Caller == caller && i.Service == service
	})
}

// Release passes the packets in order to forward, which reports false for one
// that must wait on. The opening packets to the same service that follow it
// wait too. Release returns the packets that expired.
func (q *Queue) Release(now time.Duration, forward func(Item) bool) (expired []Item) {
	slices.SortStableFunc(q.items, compare)
	var blocked []netip.AddrPort
	q.items = slices.DeleteFunc(q.items, func(i Item) bool {
		switch {
		case now >= i.Expires:
			expired = append(expired, i)
		case i.Opening && slices.Contains(blocked, i.Service):
			return false
		case !forward(i):
			if i.Opening {
				blocked = append(blocked, i.Service)
			}
			return false
		}
		q.bytes -= len(i.Datagram)
		return true
	})
	return expired
}

// compare orders the packets of open connections before opening packets, and
// those by the time at which their callers began to wait, the latest first.
func compare(a, b Item) int {
	switch {
	case a.Opening != b.Opening:
		if b.Opening {
			return -1
		}
		return 1
	case !a.Opening:
		return 0
	}
	return cmp.Compare(b.Began, a.Began)
}
