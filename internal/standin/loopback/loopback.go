// Package loopback reserves loopback networks for tests and for the demo, so that
// the fixed ports of VMs do not conflict with those of other processes.
package loopback

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"

	"heatherport/internal/result"
)

// lockPort is bound on address lockHost of a network while the network is
// reserved. Like the ports of VMs, it is below the ephemeral port range.
const lockPort = 9999

const (
	lockHost = 254
	// minSecondByte excludes 127.0.0.0/16 and networks with fixed addresses in
	// tests.
	minSecondByte  = 1
	maxSecondByte  = 250
	thirdByteCount = 250 // third bytes to try
)

// Network is a reserved /24 network. The reservation ends with Release or with
// the process.
type Network struct {
	prefix [3]byte
	lock   net.Listener
}

// reservationAttempts counts the attempts of this process to reserve a network. It
// determines the third byte to try next.
var reservationAttempts atomic.Uint32

// Reserve reserves a network that is not reserved by any process.
func Reserve() (*Network, error) {
	second := byte(minSecondByte + os.Getpid()%(maxSecondByte-minSecondByte))
	for range thirdByteCount {
		n := &Network{prefix: [3]byte{127, second, byte(reservationAttempts.Add(1) % thirdByteCount)}}
		lock, err := net.Listen("tcp", netip.AddrPortFrom(n.Host(lockHost), lockPort).String())
		if err != nil {
			continue // already reserved
		}
		n.lock = lock
		return n, nil
	}
	return nil, result.Errorf(result.Internal, "no free loopback network in 127.%d.0.0/16", second)
}

// Host returns the address of the network with the given last byte.
func (n *Network) Host(host byte) netip.Addr {
	return netip.AddrFrom4([4]byte{n.prefix[0], n.prefix[1], n.prefix[2], host})
}

// Release ends the reservation of the network.
func (n *Network) Release() { n.lock.Close() }
