package backlog

import "net/netip"

// Held keeps the opening packets that wait in the queues of the engine, which
// decides when each is released. It is not safe for concurrent use.
type Held struct {
	datagrams map[connection][]byte
}

type connection struct{ caller, service netip.AddrPort }

// Len returns the number of packets.
func (h *Held) Len() int { return len(h.datagrams) }

// Put keeps a packet. It replaces an earlier copy of it.
func (h *Held) Put(caller, service netip.AddrPort, datagram []byte) {
	if h.datagrams == nil {
		h.datagrams = make(map[connection][]byte)
	}
	h.datagrams[connection{caller, service}] = datagram
}

// Take removes and returns a packet, or nil if there is none.
func (h *Held) Take(caller, service netip.AddrPort) []byte {
	k := connection{caller, service}
	datagram := h.datagrams[k]
	delete(h.datagrams, k)
	return datagram
}
