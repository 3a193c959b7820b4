package affinity

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherport/internal/load/uplink"
	"heatherport/internal/version/routing"
)

// sizeWeight averages the bytes of the last 16 connections to an address.
const sizeWeight = 1.0 / 16

// linkAttempt returns an opening packet as an attempt to use the link.
func (e *Engine) linkAttempt(r *routing.Route, p *Packet) uplink.Attempt {
	address := p.Caller.Addr().As16()
	return uplink.Attempt{Priority: r.Priority, Bytes: e.answerTime(p.Service).size, Caller: xxhash.Sum64(address[:])}
}

// admitsByLink reports whether the link carries a connection. Copies are not refused:
// another balancer may have forwarded the packet before.
func (e *Engine) admitsByLink(now time.Duration, r *routing.Route, p *Packet) bool {
	e.cfg.Link.SetDelay(e.openings.Delay())
	switch {
	case !p.isFirst():
		e.cfg.Link.Charge(now, p.Size)
		return true
	case e.cfg.Link.Admits(now, e.linkAttempt(r, p)):
		return true
	}
	e.cfg.Link.Charge(now, p.Size)
	return false
}

// refundLink gives back what an attempt was charged that is refused for another reason.
func (e *Engine) refundLink(now time.Duration, v *View, p *Packet) {
	if r := v.route(p.Service); r != nil && p.Copies == 0 {
		e.cfg.Link.Refund(e.linkAttempt(r, p))
		e.cfg.Link.Charge(now, p.Size)
	}
}

// measureSize adds a packet to the bytes of its connection, and those of a connection
// that ends to the average of its address. Acknowledgements may follow its end.
func (e *Engine) measureSize(c *entry, p *Packet) {
	size := p.Size + uplink.FrameOverhead
	c.size += size
	if c.requests == 0 {
		return
	}
	a := e.answerTime(p.Service)
	switch {
	case c.ended:
		a.size += sizeWeight * float64(size)
	case p.Ending && a.size == 0:
		a.size = float64(c.size)
	case p.Ending:
		a.size += sizeWeight * (float64(c.size) - a.size)
	}
	c.ended = c.ended || p.Ending
}
