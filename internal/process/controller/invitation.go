package controller

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"heatherport/internal/process/stream"
)

// A balancer that starts knows only its seeds. After an outage of all VMs the
// seeds may be the last controllers to return. Controllers therefore remember the
// addresses of the balancers, tell each other about them, and after a restart send
// each an Invitation, upon which it takes a feed from them too.
const (
	// balancerRefresh is the interval at which a controller tells others which
	// balancers it feeds. balancerRetention is the time for which balancers stay
	// known without that.
	balancerRefresh   = time.Minute
	balancerRetention = 5 * time.Minute
	// maxBalancers bounds the balancers that are remembered.
	maxBalancers = 10_000
)

// invitationTimes are the times after the start at which a controller sends
// invitations. The VM of a balancer may return later than that of the controller.
var invitationTimes = [...]time.Duration{0, 50 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond, 1200 * time.Millisecond}

// balancerTable holds the addresses of known balancers and when they were last
// fed by a controller.
type balancerTable struct {
	lastFed  map[netip.Addr]time.Duration
	revision uint64 // grows with each change of the set
}

func newBalancerTable() *balancerTable {
	return &balancerTable{lastFed: make(map[netip.Addr]time.Duration)}
}

// add records that balancers are fed. It reports whether one is new.
func (t *balancerTable) add(now time.Duration, addresses ...netip.Addr) (isNew bool) {
	for _, a := range addresses {
		_, known := t.lastFed[a]
		if !known && (!a.IsValid() || len(t.lastFed) >= maxBalancers) {
			continue
		}
		t.lastFed[a] = now
		if !known {
			isNew = true
			t.revision++
		}
	}
	return isNew
}

// expire removes balancers that no controller has fed for balancerRetention.
func (t *balancerTable) expire(now time.Duration) {
	for a, at := range t.lastFed {
		if now-at > balancerRetention {
			delete(t.lastFed, a)
			t.revision++
		}
	}
}

func (t *balancerTable) addresses() []netip.Addr {
	out := make([]netip.Addr, 0, len(t.lastFed))
	for a := range t.lastFed {
		out = append(out, a)
	}
	return out
}

// noteBalancer remembers the balancer at the other end of a subscription, and
// tells other controllers of a new one.
func (c *Controller) noteBalancer(s *subscriber) {
	if c.balancers.add(c.now(), s.address) {
		c.broadcast(KindBalancers, Balancers{Addresses: []netip.Addr{s.address}})
	}
}

// refreshBalancers tells other controllers which balancers this one feeds.
func (c *Controller) refreshBalancers(now time.Duration) {
	if now-c.lastBalancerRefresh < balancerRefresh {
		return
	}
	c.lastBalancerRefresh = now
	var fed []netip.Addr
	for _, s := range c.subscribers {
		fed = append(fed, s.address)
	}
	c.balancers.add(now, fed...)
	c.balancers.expire(now)
	if len(fed) > 0 {
		c.broadcast(KindBalancers, Balancers{Addresses: fed})
	}
}

// invite sends invitations to the balancers that were known before the restart.
func (c *Controller) invite(ctx context.Context, balancers []netip.Addr) {
	frame, err := stream.Encode(KindInvitation, Invitation{Link: c.self.Link, Domain: c.self.Domain})
	if err != nil {
		c.log.Error("failed to encode invitation", "error", err)
		return
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.self.Link.Addr(), 0)))
	if err != nil {
		c.log.Warn("failed to open socket for invitations", "error", err)
		return
	}
	defer conn.Close()
	c.log.Info("inviting balancers", "balancers", len(balancers))
	// Different orders at each controller spread the balancers over them.
	rand.Shuffle(len(balancers), func(i, j int) { balancers[i], balancers[j] = balancers[j], balancers[i] })
	started := time.Now()
	for _, at := range invitationTimes {
		select {
		case <-ctx.Done():
			return
		case <-time.After(at - time.Since(started)):
		}
		for _, b := range balancers {
			if _, err := conn.WriteToUDPAddrPort(frame, netip.AddrPortFrom(b, c.self.Link.Port())); err != nil {
				c.log.Debug("failed to send invitation", "balancer", b, "error", err)
			}
		}
	}
}
