package controller

import (
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"heatherport/internal/process/stream"
)

var (
	balancerA = netip.MustParseAddr("192.0.2.1")
	balancerB = netip.MustParseAddr("192.0.2.2")
)

func TestBalancersAreForgottenWhenNobodyFeedsThem(t *testing.T) {
	table := newBalancerTable()
	must.True(t, table.add(0, balancerA, balancerB))
	must.False(t, table.add(time.Minute, balancerB))
	table.expire(balancerRetention)
	must.Len(t, 2, table.addresses())
	table.expire(balancerRetention + 1)
	must.Eq(t, []netip.Addr{balancerB}, table.addresses())
	must.Eq(t, 3, table.revision)
}

func TestBalancerTableIsBounded(t *testing.T) {
	table := newBalancerTable()
	a := netip.MustParseAddr("10.0.0.0")
	for range maxBalancers + 5 {
		table.add(0, a)
		a = a.Next()
	}
	must.Len(t, maxBalancers, table.addresses())
	must.False(t, table.add(0, netip.Addr{}))
}

// TestRestartedControllersInviteBalancers checks that a controller that restarts
// invites a balancer that it did not feed itself.
func TestRestartedControllersInviteBalancers(t *testing.T) {
	f := newCluster(t)
	f.submit(f.vms[0], 1)
	b := f.subscribe(f.vms[0], "balancer-1")
	b.await("routes", func() bool { return b.table != nil })
	subscribed := (<-b.open).LocalAddr()
	// Test runs in other processes send invitations to 127.0.0.1 too, from which b has
	// subscribed. The invitation is received at an address of this test's own.
	address := f.network.Host(100)
	must.True(t, f.vms[0].post(func() { f.vms[0].noteBalancer(&subscriber{address: address}) }))
	link, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, linkPort)))
	must.NoError(t, err)
	defer link.Close()

	other := f.vms[2]
	f.eventually("the address is saved elsewhere", func() bool {
		saved, _, err := other.addresses.read()
		return err == nil && len(saved) == 2 && slices.Contains(saved, address) && slices.Contains(saved, subscribed)
	})
	f.stop(other)
	f.start(other, false)
	must.NoError(t, link.SetReadDeadline(time.Now().Add(waitTimeout)))
	buf := make([]byte, 512)
	n, from, err := link.ReadFromUDPAddrPort(buf)
	must.NoError(t, err)
	kind, body, ok := stream.DecodeFrame(buf[:n])
	must.True(t, ok)
	must.Eq(t, KindInvitation, kind)
	var m Invitation
	must.NoError(t, stream.Decode(body, &m))
	must.Eq(t, other.address, m.Link)
	must.Eq(t, other.address.Addr(), from.Addr())
}
