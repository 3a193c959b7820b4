package affinity

import (
	"net/netip"
	"time"
)

// Pin says which upstream holds a connection whose opening packet and its copies may have
// reached several. All of them answer, and those that do not hold the connection repeat their
// answers for seconds, so that its packets carry the cookie of any of them.
type Pin struct {
	Caller, Service netip.AddrPort
	Cookie          uint32        // of the upstream that holds the connection
	Sequence        uint32        // near the sequence numbers of the connection
	At              time.Duration // when the connection opened
}

const (
	// minPinAge is the time after which a pin is passed on. Connections of a single request
	// have ended by then.
	minPinAge = 200 * time.Millisecond
	// maxNewPins bounds the pins that wait to be passed on, maxPins those learned from
	// others.
	maxNewPins = 64
	maxPins    = 8192
)

// pins holds what balancers tell each other about connections that may have reached several
// upstreams.
type pins struct {
	fresh   []Pin       // of connections that opened here and have not been passed on
	learned map[key]Pin // from other balancers
}

// noteAmbiguous records a connection that has just opened and whose opening packet may have
// reached another upstream than its own.
func (e *Engine) noteAmbiguous(now time.Duration, k key, c *entry, placed uint32, p *Packet) {
	if len(c.tried) < 2 && !c.copied && placed == c.cookie {
		return
	}
	if len(e.pins.fresh) == maxNewPins {
		e.pins.fresh = e.pins.fresh[1:]
	}
	e.pins.fresh = append(e.pins.fresh, Pin{Caller: k.caller, Service: k.service, Cookie: c.cookie, Sequence: p.Sequence, At: now})
}

// TakePins returns up to limit pins to pass on to other balancers: those of connections that
// have been open for a moment, or all if the balancer stops.
func (e *Engine) TakePins(now time.Duration, limit int, stopping bool) (out []Pin) {
	left := e.pins.fresh[:0]
	for _, pin := range e.pins.fresh {
		c := e.table[key{pin.Caller, pin.Service}]
		switch {
		case c == nil || c.ended || c.cookie != pin.Cookie || !isNear(c.lastSeq, pin.Sequence):
		case !stopping && (now-pin.At < minPinAge || len(out) == limit):
			left = append(left, pin)
		default:
			out = append(out, pin)
		}
	}
	e.pins.fresh = left
	return out
}

// LearnPin takes a pin of another balancer.
func (e *Engine) LearnPin(now time.Duration, pin Pin) {
	k := key{pin.Caller, pin.Service}
	if now-pin.At >= e.cfg.Lifetime {
		return
	}
	if _, known := e.pins.learned[k]; !known && len(e.pins.learned) >= maxPins {
		return
	}
	if e.pins.learned == nil {
		e.pins.learned = make(map[key]Pin)
	}
	e.pins.learned[k] = pin
	// A packet may have come here before the pin. What opened here is known better.
	if c := e.table[k]; c != nil && c.pinned && len(c.tried) == 0 && c.cookie != pin.Cookie && isNear(c.lastSeq, pin.Sequence) {
		e.uncountLoad(now, c)
		c.cookie = pin.Cookie
	}
}

// pinnedCookie returns the cookie of the upstream that holds a connection of which this balancer
// sees the first packet: that of its pin, if there is one, or that of the packet.
func (e *Engine) pinnedCookie(v *View, k key, p *Packet) uint32 {
	pin, ok := e.pins.learned[k]
	if !ok || !isNear(p.Sequence, pin.Sequence) || v.Upstream(pin.Cookie) == nil {
		return p.Cookie
	}
	return pin.Cookie
}

func (e *Engine) expirePins(now time.Duration) {
	for k, pin := range e.pins.learned {
		if now-pin.At >= e.cfg.Lifetime {
			delete(e.pins.learned, k)
		}
	}
}
