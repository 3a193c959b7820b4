package balancer

import (
	"errors"
	"net"
	"net/netip"

	"heatherport/internal/process/controller"
	"heatherport/internal/process/stream"
	"heatherport/internal/result"
)

// maxInvitation is the size in bytes of the receive buffer for invitations.
const maxInvitation = 512

// invitations receives the datagrams of controllers that offer a feed after a
// restart.
type invitations struct{ conn *net.UDPConn }

// listenInvitations starts to receive invitations at the link address.
func (b *Balancer) listenInvitations(address netip.AddrPort) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return result.Wrapf(err, result.BadSettings, "listen on %s", address)
	}
	b.invitations.conn = conn
	go b.receiveInvitations(conn)
	return nil
}

func (i *invitations) close() {
	if i.conn != nil {
		i.conn.Close()
	}
}

func (b *Balancer) receiveInvitations(conn *net.UDPConn) {
	buf := make([]byte, maxInvitation)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			b.log.Warn("failed to read invitation", "error", err)
			continue
		}
		kind, body, ok := stream.DecodeFrame(buf[:n])
		var m controller.Invitation
		// The sender must be the controller itself.
		if !ok || kind != controller.KindInvitation || stream.Decode(body, &m) != nil || m.Link.Addr() != from.Addr().Unmap() {
			b.log.Debug("invitation ignored", "from", from)
			continue
		}
		b.post(func() { b.acceptInvitation(m) })
	}
}

// acceptInvitation takes a feed from the controller if one is missing.
func (b *Balancer) acceptInvitation(m controller.Invitation) {
	isNew := b.addSource(m.Link, m.Domain)
	if isNew {
		b.log.Info("controller invites", "controller", m.Link, "domain", m.Domain)
	}
	if s := b.sourceAt(m.Link); !s.inUse && b.openFeedCount() < feedCount {
		b.openFeed(s)
	}
}
