// Package loopback gives stand-ins loopback networks of their own, so that the
// fixed ports of VMs are free whatever other processes run beside them.
package loopback

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"

	"heatherport/internal/result"
)

// guardPort is bound on the last address of a network while it is held. Like
// the ports of VMs it lies below those that the system gives to clients.
const guardPort = 9999

const (
	guardHost = 254
	// firstByte keeps clear of 127.0 and of networks that tests name outright.
	firstByte = 1
	lastByte  = 250
	networks  = 250 // third bytes tried
)

// Network is the /24 of a stand-in. It is held until it is released or the
// process ends.
type Network struct {
	prefix [3]byte
	guard  net.Listener
}

// reserved counts the networks of this process.
var reserved atomic.Uint32

// Reserve holds a network that nobody else holds.
func Reserve() (*Network, error) {
	second := byte(firstByte + os.Getpid()%(lastByte-firstByte))
	for range networks {
		n := &Network{prefix: [3]byte{127, second, byte(reserved.Add(1) % networks)}}
		guard, err := net.Listen("tcp", netip.AddrPortFrom(n.Host(guardHost), guardPort).String())
		if err != nil {
			continue // another process holds it
		}
		n.guard = guard
		return n, nil
	}
	return nil, result.Errorf(result.Internal, "no loopback network is free below 127.%d", second)
}

// Host returns an address of the network.
func (n *Network) Host(host byte) netip.Addr {
	return netip.AddrFrom4([4]byte{n.prefix[0], n.prefix[1], n.prefix[2], host})
}

// Release lets the network go.
func (n *Network) Release() { n.guard.Close() }
