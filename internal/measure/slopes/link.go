package slopes

import (
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sys/unix"

	"heatherport/internal/measure"
	"heatherport/internal/process/keys"
	"heatherport/internal/process/link"
	"heatherport/internal/request/identity"
	"heatherport/internal/request/relay"
)

const (
	udpHeaders      = 28 // IPv4 and UDP
	messagesPerSize = 8
	messageInterval = 250 * time.Millisecond
	linkIdleTime    = 4 * time.Second
	maxDatagram     = 2048
)

// relayMessageSizes returns the sizes of relay headers and flow messages,
// including the headers of IPv4 and UDP.
func relayMessageSizes() []measure.Figure {
	return []measure.Figure{
		{Name: "relay_header_bytes", Value: relay.HeaderSize + udpHeaders, Unit: "bytes"},
		{Name: "hint_bytes", Value: relay.FlowMessageSize + udpHeaders, Unit: "bytes"},
	}
}

// linkCost counts the datagrams of a control link and their bytes, including
// IPv4 and UDP headers: while the link is idle, and for messages of several
// sizes.
func linkCost() []measure.Figure {
	p := newLinkPair()
	defer p.close()
	var f figures
	messages, bytes := p.count(func() { time.Sleep(linkIdleTime) })
	f.add("link_idle_datagrams", messages/linkIdleTime.Seconds(), "datagrams/s")
	f.add("link_idle_bytes", bytes/linkIdleTime.Seconds(), "bytes/s")
	for _, size := range []int{16, 64, 256, 1024} {
		_, bytes := p.count(func() {
			for range messagesPerSize {
				p.exchange(size)
				time.Sleep(messageInterval)
			}
		})
		f.add(fmt.Sprintf("link_message_bytes_b%d", size), bytes/messagesPerSize, "bytes")
	}
	return f
}

// linkPair is the link between two VMs through a proxy that counts datagrams.
type linkPair struct {
	a, b             *link.Links
	proxy            *net.UDPConn
	target           netip.AddrPort
	datagrams, bytes atomic.Int64
}

func newLinkPair() *linkPair {
	ca, err := keys.NewEphemeral()
	check(err)
	p := &linkPair{a: startLinks(ca, "vm-a"), b: startLinks(ca, "vm-b")}
	p.target = p.b.Addr()
	p.proxy, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	check(err)
	go p.forward()
	p.a.SetPeers([]link.Peer{{Name: "vm-b", Addr: p.proxy.LocalAddr().(*net.UDPAddr).AddrPort()}})
	p.exchange(1)
	time.Sleep(messageInterval)
	return p
}

func startLinks(ca *keys.Ephemeral, name string) *link.Links {
	store, err := ca.Issue(identity.VM, name)
	check(err)
	l := link.New(link.Config{
		Self:   name,
		Listen: netip.MustParseAddrPort("127.0.0.1:0"),
		Server: store.ServerTLS(identity.VM),
		Client: store.ClientTLS(""),
		Log:    hclog.NewNullLogger(),
	})
	check(l.Start())
	return l
}

// forward passes datagrams between the two VMs until the proxy is closed.
func (p *linkPair) forward() {
	var from netip.AddrPort
	buf := make([]byte, maxDatagram)
	for {
		n, src, err := p.proxy.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p.datagrams.Add(1)
		p.bytes.Add(int64(n + udpHeaders))
		dst := from
		if src != p.target {
			from, dst = src, p.target
		}
		if _, err := p.proxy.WriteToUDPAddrPort(buf[:n], dst); err != nil {
			return
		}
	}
}

// exchange sends one message and waits until it has arrived.
func (p *linkPair) exchange(size int) {
	p.a.Send("vm-b", link.KindConnection, make([]byte, size))
	<-p.b.Incoming()
}

// count returns the datagrams and bytes in both directions while f runs.
func (p *linkPair) count(f func()) (datagrams, bytes float64) {
	d, o := p.datagrams.Load(), p.bytes.Load()
	f()
	return float64(p.datagrams.Load() - d), float64(p.bytes.Load() - o)
}

func (p *linkPair) close() {
	p.a.Stop()
	p.b.Stop()
	_ = p.proxy.Close()
}

const (
	hubMessages        = 400
	hubMessageInterval = time.Millisecond
)

// linkHubCost measures one VM with links to several others: the heap of both
// ends of a link, and the CPU time of both ends for a message that is sent alone,
// after the previous one has arrived.
func linkHubCost() []measure.Figure {
	var f figures
	for _, n := range []int{4, 16, 64, 128} {
		ca, err := keys.NewEphemeral()
		check(err)
		hub := startLinks(ca, "hub")
		peers, heap := measureHeap(func() []*link.Links { return startPeers(ca, hub, n) })
		f.add(fmt.Sprintf("link_heap_n%d", n), heap/float64(n)/bytesPerMB, "MB")
		cpu := cpuTimeOf(func() {
			for i := range hubMessages {
				peers[i%n].Send("hub", link.KindHeartbeat, make([]byte, smallCommandSize))
				<-hub.Incoming()
				time.Sleep(hubMessageInterval)
			}
		})
		f.add(fmt.Sprintf("link_message_cpu_n%d", n), float64(cpu.Nanoseconds())/hubMessages/nsPerUs, "µs")
		hub.Stop()
		for _, p := range peers {
			p.Stop()
		}
	}
	return f
}

// startPeers starts n VMs and connects them to hub.
func startPeers(ca *keys.Ephemeral, hub *link.Links, n int) []*link.Links {
	peers := make([]*link.Links, n)
	for i := range peers {
		peers[i] = startLinks(ca, fmt.Sprintf("vm-%d", i))
		peers[i].SetPeers([]link.Peer{{Name: "hub", Addr: hub.Addr()}})
		peers[i].Send("hub", link.KindHeartbeat, nil)
		<-hub.Incoming()
	}
	return peers
}

// cpuTimeOf returns the user and system time that the process uses during f.
func cpuTimeOf(f func()) time.Duration {
	before := cpuTime()
	f()
	return cpuTime() - before
}

func cpuTime() time.Duration {
	var u unix.Rusage
	check(unix.Getrusage(unix.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
