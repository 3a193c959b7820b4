package controller

import (
	"net/netip"
	"time"

	"heatherport/internal/process/stream"
)

// maxPins bounds the pins that a controller holds, and so the part of a first feed update that
// they take: about 150 KB.
const maxPins = 4096

// Pins are connections whose opening packets may have reached several upstreams, with the one
// that holds each (affinity.Pin).
type Pins struct {
	Pins []Pin `cbor:"1,keyasint"`
}

// Pin is the upstream of one connection.
type Pin struct {
	Caller    netip.AddrPort `cbor:"1,keyasint"`
	Service   netip.AddrPort `cbor:"2,keyasint"`
	Cookie    uint32         `cbor:"3,keyasint"`
	Sequence  uint32         `cbor:"4,keyasint"`
	AgeMillis uint32         `cbor:"5,keyasint,omitempty"`
}

// Age returns the time since the connection opened.
func (p *Pin) Age() time.Duration { return time.Duration(p.AgeMillis) * time.Millisecond }

type pinKey struct{ caller, service netip.AddrPort }

// heldPin is a pin that a controller passes on until the connection can have no packets any
// more.
type heldPin struct {
	Pin
	opened   time.Duration
	revision uint64
}

// pinTable holds the recent pins of all balancers.
type pinTable struct {
	lifetime time.Duration
	held     []heldPin // by revision
	newest   map[pinKey]uint64
	revision uint64
}

func newPinTable(lifetime time.Duration) *pinTable {
	return &pinTable{lifetime: lifetime, newest: make(map[pinKey]uint64)}
}

// add takes pins and returns those that were not known.
func (t *pinTable) add(now time.Duration, pins []Pin) (fresh []Pin) {
	t.expire(now)
	for _, p := range pins {
		if p.Age() >= t.lifetime || t.isKnown(&p) {
			continue
		}
		if len(t.held) == maxPins {
			t.drop(1)
		}
		t.revision++
		t.held = append(t.held, heldPin{Pin: p, opened: now - p.Age(), revision: t.revision})
		t.newest[pinKey{p.Caller, p.Service}] = t.revision
		fresh = append(fresh, p)
	}
	return fresh
}

func (t *pinTable) isKnown(p *Pin) bool {
	revision, ok := t.newest[pinKey{p.Caller, p.Service}]
	if !ok {
		return false
	}
	h := &t.held[revision-t.held[0].revision]
	return h.Cookie == p.Cookie && h.Sequence == p.Sequence
}

// since returns the pins after a revision, with their ages.
func (t *pinTable) since(now time.Duration, revision uint64) (out []Pin) {
	t.expire(now)
	for i := len(t.held) - 1; i >= 0 && t.held[i].revision > revision; i-- {
		p := t.held[i].Pin
		p.AgeMillis = uint32((now - t.held[i].opened).Milliseconds())
		out = append(out, p)
	}
	return out
}

func (t *pinTable) expire(now time.Duration) {
	n := 0
	for n < len(t.held) && now-t.held[n].opened >= t.lifetime {
		n++
	}
	t.drop(n)
}

// drop forgets the first n pins.
func (t *pinTable) drop(n int) {
	for i := range t.held[:n] {
		h := &t.held[i]
		if k := (pinKey{h.Caller, h.Service}); t.newest[k] == h.revision {
			delete(t.newest, k)
		}
	}
	t.held = t.held[n:]
}

// handlePins takes pins of a balancer that this controller feeds, which it passes on to the
// other controllers, or pins that another controller passes on.
func (c *Controller) handlePins(conn *stream.Conn, p Pins) {
	if !c.stall.IsOver(c.clock()) {
		return // their ages are not known
	}
	fresh := c.pins.add(c.now(), p.Pins)
	if len(fresh) > 0 && c.subscribers[conn] != nil {
		c.broadcast(KindPins, Pins{Pins: fresh})
	}
}
