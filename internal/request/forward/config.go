// Package forward moves packets: it receives them from the fabric and from
// other balancers, asks an Engine for a decision about each, and carries the
// decisions out.
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

// maxICMPRate is the number of ICMP messages a second that a receiver sends at
// most, as RFC 1812, section 4.3.2.8, and RFC 4443, section 2.4, require.
const maxICMPRate = 1000

// Config is the configuration of a Forwarder.
type Config struct {
	// FabricAddr receives the packets of callers, each in a Foo-over-UDP
	// datagram. Port 0 takes a free one.
	FabricAddr netip.AddrPort
	// RelayAddr receives messages of other balancers. Port 0 takes a free one.
	RelayAddr netip.AddrPort
	// ReturnAddr is the address of the fabric that takes refusals to callers.
	ReturnAddr netip.AddrPort
	// Receivers is the number of sockets, each with its goroutine, for either
	// address. 0 takes a default.
	Receivers int
	// Batch is the number of packets that one system call moves at most. 0
	// takes a default.
	Batch int
	// PacketSize is the size in bytes of the largest packet. 0 takes a default.
	PacketSize int
	// ReadBuffer and WriteBuffer are the sizes in bytes of each socket's
	// buffers. 0 leaves them as the system sets them.
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

// Engine decides about packets. Its methods are called by several goroutines
// at a time and may keep none of their arguments.
type Engine interface {
	// Warm prepares the decisions about a batch of packets from the fabric.
	Warm(packets []connection.Packet)
	// Decide decides about one packet. via is nil for a packet from the fabric.
	Decide(now time.Duration, p *connection.Packet, via *connection.Relay) connection.Decision
	// Refresh renews the entry of a connection. Of the decision, only the
	// hint is carried out.
	Refresh(now time.Duration, p *connection.Packet, via *connection.Relay) connection.Decision
	// Hint takes a hint.
	Hint(now time.Duration, h *connection.Hint)
	// Member reports whether id is a member that may send from the address.
	Member(id version.MemberID, from netip.AddrPort) bool
}
