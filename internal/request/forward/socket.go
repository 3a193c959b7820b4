package forward

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"syscall"

	"golang.org/x/net/ipv4"
	"golang.org/x/net/ipv6"
	"golang.org/x/sys/unix"

	"heatherport/internal/result"
)

// batchConn reads and writes several datagrams per system call.
type batchConn interface {
	ReadBatch(ms []ipv4.Message, flags int) (int, error)
	WriteBatch(ms []ipv4.Message, flags int) (int, error)
}

// socket is a UDP socket that shares its address with others by SO_REUSEPORT.
type socket struct {
	*net.UDPConn
	batchConn
}

// listen opens n sockets on addr.
func listen(ctx context.Context, addr netip.AddrPort, n int, cfg *Config) ([]*socket, error) {
	sockets := make([]*socket, 0, n)
	for range n {
		s, err := listenOne(ctx, addr, cfg)
		if err != nil {
			closeAll(sockets)
			return nil, err
		}
		sockets = append(sockets, s)
		addr = s.addr() // for port 0, the other sockets share the port that the system chose
	}
	return sockets, nil
}

func listenOne(ctx context.Context, addr netip.AddrPort, cfg *Config) (*socket, error) {
	lc := net.ListenConfig{Control: setOptions}
	network := "udp"
	if addr.Addr().Is4() {
		network = "udp4"
	}
	c, err := lc.ListenPacket(ctx, network, addr.String())
	if err != nil {
		return nil, result.Wrapf(err, result.BadSettings, "listen on %s", addr)
	}
	conn := c.(*net.UDPConn)
	if err := setBuffers(conn, cfg); err != nil {
		conn.Close()
		return nil, result.Wrapf(err, result.BadSettings, "set socket buffers of %s", addr)
	}
	s := &socket{UDPConn: conn, batchConn: ipv6.NewPacketConn(conn)}
	if network == "udp4" {
		s.batchConn = ipv4.NewPacketConn(conn)
	}
	return s, nil
}

// setOptions lets the socket share its address and report packets that it
// drops.
func setOptions(_, _ string, c syscall.RawConn) error {
	var operr error
	err := c.Control(func(fd uintptr) {
		operr = setSocketOptions(int(fd))
	})
	if err != nil {
		return err
	}
	return operr
}

func setSocketOptions(fd int) error {
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err != nil {
		return err
	}
	return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RXQ_OVFL, 1)
}

// overflowSize is the size in bytes of the control message of SO_RXQ_OVFL.
var overflowSize = unix.CmsgSpace(overflowDataSize)

const overflowDataSize = 4 // bytes

// overflow returns the number of packets that a socket has dropped since it was
// opened, from the control messages oob of a received packet. Before the first
// drop there is no such message.
func overflow(oob []byte) (uint32, bool) {
	if len(oob) < unix.CmsgLen(overflowDataSize) {
		return 0, false
	}
	header, data, _, err := unix.ParseOneSocketControlMessage(oob)
	if err != nil || header.Level != unix.SOL_SOCKET || header.Type != unix.SO_RXQ_OVFL {
		return 0, false
	}
	return binary.NativeEndian.Uint32(data), true
}

func setBuffers(c *net.UDPConn, cfg *Config) error {
	if cfg.ReadBuffer > 0 {
		if err := c.SetReadBuffer(cfg.ReadBuffer); err != nil {
			return err
		}
	}
	if cfg.WriteBuffer > 0 {
		return c.SetWriteBuffer(cfg.WriteBuffer)
	}
	return nil
}

func (s *socket) addr() netip.AddrPort {
	return s.UDPConn.LocalAddr().(*net.UDPAddr).AddrPort()
}

func closeAll(sockets []*socket) {
	for _, s := range sockets {
		s.UDPConn.Close()
	}
}
