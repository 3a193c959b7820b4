package standin

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"

	"heatherport/internal/result"
	"heatherport/internal/version"
)

const (
	socketBufferSize  = 4 << 20 // bytes
	maxPacketSize     = 65535   // bytes
	endpointQueueSize = 256     // packets queued for one endpoint
)

// Fabric simulates the network between callers and balancers. It sends each
// packet of a caller to a balancer chosen at random. It returns the responses of
// upstreams and the refusals of balancers (resets, ICMP messages) to callers.
type Fabric struct {
	conn *net.UDPConn
	done chan struct{}

	mu         sync.Mutex
	random     *rand.Rand
	balancers  []netip.AddrPort
	blackholed map[netip.AddrPort]bool
	lossRate   float64
	endpoints  map[endpoint]chan<- *packet
}

// endpoint is an address that a caller uses.
type endpoint struct {
	protocol version.Protocol
	addr     netip.AddrPort
}

// NewFabric returns a running Fabric whose socket is bound to addr.
func NewFabric(addr netip.AddrPort, seed uint64) (*Fabric, error) {
	conn, err := listen(addr)
	if err != nil {
		return nil, err
	}
	f := &Fabric{
		conn:       conn,
		done:       make(chan struct{}),
		random:     rand.New(rand.NewPCG(seed, seed)),
		blackholed: make(map[netip.AddrPort]bool),
		endpoints:  make(map[endpoint]chan<- *packet),
	}
	go f.receive()
	return f, nil
}

func listen(addr netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, result.Wrapf(err, result.BadSettings, "listen on %s", addr)
	}
	conn.SetReadBuffer(socketBufferSize)
	conn.SetWriteBuffer(socketBufferSize)
	return conn, nil
}

func localAddr(c *net.UDPConn) netip.AddrPort { return c.LocalAddr().(*net.UDPAddr).AddrPort() }

// Addr returns the address that receives packets to callers.
func (f *Fabric) Addr() netip.AddrPort { return localAddr(f.conn) }

// Close closes the socket and waits until the fabric has stopped.
func (f *Fabric) Close() error {
	err := f.conn.Close()
	<-f.done
	return err
}

// Add adds the balancer at addr to those that receive packets.
func (f *Fabric) Add(addr netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.blackholed, addr)
	if !slices.Contains(f.balancers, addr) {
		f.balancers = append(f.balancers, addr)
	}
}

// Remove removes the balancer at addr from those that receive packets.
func (f *Fabric) Remove(addr netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.blackholed, addr)
	f.balancers = slices.DeleteFunc(f.balancers, func(a netip.AddrPort) bool { return a == addr })
}

// Blackhole drops all further packets to the balancer at addr. It simulates a
// failed balancer that the fabric has not detected yet. Add and Remove end it.
func (f *Fabric) Blackhole(addr netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blackholed[addr] = true
}

// SetLossRate sets the probability, from 0 to 1, that a caller's packet is lost.
func (f *Fabric) SetLossRate(rate float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lossRate = rate
}

// send sends a caller's packet to a balancer.
func (f *Fabric) send(b []byte) {
	if to := f.pickBalancer(); to.IsValid() {
		f.conn.WriteToUDPAddrPort(b, to)
	}
}

// pickBalancer returns the address of the balancer for the next packet, or the
// zero AddrPort if the packet is lost.
func (f *Fabric) pickBalancer() netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.balancers) == 0 || f.random.Float64() < f.lossRate {
		return netip.AddrPort{}
	}
	to := f.balancers[f.random.IntN(len(f.balancers))]
	if f.blackholed[to] {
		return netip.AddrPort{}
	}
	return to
}

// attach registers an endpoint and returns the channel that receives its
// packets. It returns nil if the endpoint is in use.
func (f *Fabric) attach(e endpoint) chan *packet {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.endpoints[e] != nil {
		return nil
	}
	in := make(chan *packet, endpointQueueSize)
	f.endpoints[e] = in
	return in
}

func (f *Fabric) detach(e endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.endpoints, e)
}

// receive delivers the packets of upstreams and balancers to callers.
func (f *Fabric) receive() {
	defer close(f.done)
	b := make([]byte, maxPacketSize)
	for {
		n, _, err := f.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if p := decode(slices.Clone(b[:n])); p != nil {
			f.deliver(p)
		}
	}
}

// deliver queues p for its endpoint. It drops p if the endpoint is detached or
// its queue is full.
func (f *Fabric) deliver(p *packet) {
	f.mu.Lock()
	in := f.endpoints[endpoint{p.protocol, p.dst}]
	f.mu.Unlock()
	select {
	case in <- p:
	default:
	}
}
