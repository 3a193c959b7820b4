// Package forward receives packets from the fabric and from other balancers,
// asks an Engine for a decision about each of them, and executes the decisions.
package forward

import (
	"net/netip"
	"time"

	"heatherport/internal/connection"
	"heatherport/internal/result"
	"heatherport/internal/version"
)

// Defaults and bounds of a Config.
const (
	defaultReceivers  = 2
	defaultBatch      = 64
	defaultPacketSize = 9216 // bytes
	maxReceivers      = 64
	maxBatch          = 1024
	maxPacketSize     = 65535 // bytes
	minPacketSize     = 1280  // bytes
)

// maxICMPRate limits the ICMP messages per second that a receiver sends. RFC
// 1812, section 4.3.2.8, and RFC 4443, section 2.4, require a limit.
const maxICMPRate = 1000

// Config is the configuration of a Forwarder.
type Config struct {
	// FabricAddr receives the packets of callers, each in a Foo-over-UDP
	// datagram. Port 0 selects a free port.
	FabricAddr netip.AddrPort
	// RelayAddr receives messages of other balancers. Port 0 selects a free
	// port.
	RelayAddr netip.AddrPort
	// ReturnAddr is the address of the fabric to which refusals for callers
	// are sent.
	ReturnAddr netip.AddrPort
	// Receivers is the number of sockets for each of the two addresses. Each
	// socket has its own goroutine. 0 selects the default.
	Receivers int
	// Batch is the maximum number of packets per system call. 0 selects the
	// default.
	Batch int
	// PacketSize is the maximum packet size in bytes. 0 selects the default.
	PacketSize int
	// ReadBuffer and WriteBuffer are the sizes in bytes of each socket's
	// buffers. 0 keeps the system's default.
	ReadBuffer  int
	WriteBuffer int
}

func (c Config) withDefaults() Config {
	if c.Receivers == 0 {
		c.Receivers = defaultReceivers
	}
	if c.Batch == 0 {
		c.Batch = defaultBatch
	}
	if c.PacketSize == 0 {
		c.PacketSize = defaultPacketSize
	}
	return c
}

func (c *Config) check() error {
	switch {
	case !c.FabricAddr.IsValid():
		return result.Errorf(result.BadSettings, "no fabric address")
	case !c.RelayAddr.IsValid():
		return result.Errorf(result.BadSettings, "no relay address")
	case !c.ReturnAddr.IsValid():
		return result.Errorf(result.BadSettings, "no return address")
	case c.Receivers < 1 || c.Receivers > maxReceivers:
		return result.Errorf(result.BadSettings, "%d receivers: must be 1 to %d", c.Receivers, maxReceivers)
	case c.Batch < 1 || c.Batch > maxBatch:
		return result.Errorf(result.BadSettings, "batch of %d: must be 1 to %d", c.Batch, maxBatch)
	case c.PacketSize < minPacketSize || c.PacketSize > maxPacketSize:
		return result.Errorf(result.BadSettings, "packet size %d: must be %d to %d", c.PacketSize, minPacketSize, maxPacketSize)
	case c.ReadBuffer < 0 || c.WriteBuffer < 0:
		return result.Errorf(result.BadSettings, "negative socket buffer size")
	}
	return nil
}

// Engine decides about packets. Its methods are called concurrently and must
// not retain their arguments.
type Engine interface {
	// Warm prefetches what the decisions about a batch of packets from the
	// fabric need.
	Prefetch(packets []connection.Packet)
	// Decide decides about one packet. via is the header of a relayed packet;
	// it is nil for a packet from the fabric.
	Decide(now time.Duration, p *connection.Packet, via *connection.Relay) connection.Decision
	// Refresh renews the entry of a connection. Only the hint of the returned
	// decision is executed.
	Refresh(now time.Duration, p *connection.Packet, via *connection.Relay) connection.Decision
	// Hint handles a hint from another balancer.
	HandleHint(now time.Duration, h *connection.Hint)
	// Member reports whether id is a member that may send from this address.
	IsMember(id version.MemberID, from netip.AddrPort) bool
}
