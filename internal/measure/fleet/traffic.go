package fleet

import (
	"math"
	"time"

	"heatherport/internal/connection"
	"heatherport/internal/connection/flow"
	"heatherport/internal/version"
)

// Traffic opens connections at random times with a fixed mean rate and sends
// each packet to a random ready member. It records the first upstream of each
// connection, to detect broken connections.
type Traffic struct {
	Service              version.ServiceID
	ConnectionRate       float64       // mean, new connections per second
	MeanLifetime         time.Duration // of a heavy-tailed distribution
	PacketsPerConnection int           // including the opening and the closing packet
	Stopped              bool
	OnOpen               func(*Conn) // may be nil
	OnClose              func(*Conn) // may be nil

	Opened, Refused uint64
	Broken          uint64                     // connections of which a packet reached another upstream or was rejected
	Dropped         uint64                     // packets after the opening that members dropped without breaking the connection
	Open            map[version.UpstreamID]int // open connections by upstream

	fleet      *Fleet
	conns      map[flow.Key]*Conn
	nextCaller uint64
}

// Conn is the state of one connection at its caller.
type Conn struct {
	Key      flow.Key
	ISN      uint32
	Upstream version.UpstreamID
	Broken   bool
	packets  int
	attempts int
}

const (
	synRetransmitInterval = time.Second
	maxSynRetransmits     = 7
	paretoShape           = 1.5
)

// Attach starts t on f.
func (t *Traffic) Attach(f *Fleet) {
	t.fleet = f
	t.conns = make(map[flow.Key]*Conn)
	t.Open = make(map[version.UpstreamID]int)
	previous := f.OnPacket
	f.OnPacket = func(n *Node, p *connection.Packet, d *connection.Decision) {
		if previous != nil {
			previous(n, p, d)
		}
		t.observe(p, d)
	}
	t.scheduleArrival()
}

func (t *Traffic) scheduleArrival() {
	if t.Stopped {
		return
	}
	interval := t.fleet.Rand.ExpFloat64() / t.ConnectionRate
	t.fleet.After(time.Duration(interval*float64(time.Second)), func() {
		t.open()
		t.scheduleArrival()
	})
}

func (t *Traffic) open() {
	t.nextCaller++
	c := &Conn{
		Key:     Key(t.fleet.Leader.Service(t.Service).Key, t.nextCaller),
		ISN:     t.fleet.Rand.Uint32() | 1,
		packets: t.PacketsPerConnection,
	}
	t.conns[c.Key] = c
	t.connect(c)
}

// connect sends the opening packet, and retransmits it until the connection has
// an upstream.
func (t *Traffic) connect(c *Conn) {
	t.send(c, connection.FlagOpen)
	c.attempts++
	if c.Upstream != 0 || c.attempts > maxSynRetransmits || t.conns[c.Key] != c {
		return
	}
	t.fleet.After(synRetransmitInterval, func() {
		if c.Upstream == 0 && t.conns[c.Key] == c {
			t.connect(c)
		}
	})
}

func (t *Traffic) send(c *Conn, flags connection.PacketFlags) {
	f := t.fleet
	ready := f.Ready()
	f.Send(ready[f.Rand.IntN(len(ready))], connection.Packet{Key: c.Key, Flags: flags, Seq: c.ISN})
}

func (t *Traffic) observe(p *connection.Packet, d *connection.Decision) {
	c := t.conns[p.Key]
	if c == nil {
		return
	}
	switch {
	case d.Action == connection.Forward && c.Upstream == 0:
		t.markOpened(c, d.Upstream)
	case d.Action == connection.Forward && c.Upstream != d.Upstream:
		t.markBroken(c)
	case d.Action == connection.Refuse && c.Upstream == 0:
		t.Refused++
		delete(t.conns, c.Key)
	case Rejected(d) && c.Upstream != 0:
		t.markBroken(c)
	case d.Action == connection.Drop && c.Upstream != 0:
		t.Dropped++
	}
}

func (t *Traffic) markOpened(c *Conn, id version.UpstreamID) {
	c.Upstream = id
	t.Opened++
	t.Open[id]++
	if t.OnOpen != nil {
		t.OnOpen(c)
	}
	lifetime := t.lifetime()
	interval := lifetime / time.Duration(max(c.packets-1, 1))
	for i := 1; i < c.packets-1; i++ {
		at := interval*time.Duration(i-1) + t.fleet.randomDuration(interval) + handshakeTime
		t.fleet.After(at, func() { t.send(c, connection.FlagEstablished) })
	}
	t.fleet.After(lifetime+handshakeTime, func() { t.close(c) })
}

// handshakeTime is the time from the opening packet until the caller gets the
// answer.
const handshakeTime = 5 * time.Millisecond

// lifetime draws from a Pareto distribution with the mean MeanLifetime,
// truncated at 100 times the mean.
func (t *Traffic) lifetime() time.Duration {
	minimum := float64(t.MeanLifetime) * (paretoShape - 1) / paretoShape
	u := 1 - t.fleet.Rand.Float64()
	return time.Duration(min(minimum*math.Pow(u, -1/paretoShape), 100*float64(t.MeanLifetime)))
}

func (t *Traffic) close(c *Conn) {
	t.send(c, connection.FlagEstablished|connection.FlagFin)
	t.Open[c.Upstream]--
	if t.OnClose != nil {
		t.OnClose(c)
	}
	t.fleet.After(time.Second, func() { delete(t.conns, c.Key) })
}

func (t *Traffic) markBroken(c *Conn) {
	if !c.Broken {
		c.Broken = true
		t.Broken++
	}
}

// Established reports whether a packet of the connection has been forwarded to
// an upstream.
func (t *Traffic) Established(k flow.Key) bool {
	c := t.conns[k]
	return c != nil && c.Upstream != 0
}

// OpenConnections returns the number of open connections.
func (t *Traffic) OpenConnections() int {
	n := 0
	for _, open := range t.Open {
		n += open
	}
	return n
}

// Imbalance returns the greatest number of open connections of an upstream
// divided by the mean over ids.
func (t *Traffic) Imbalance(ids []version.UpstreamID) float64 {
	maxOpen, sum := 0, 0
	for _, id := range ids {
		maxOpen = max(maxOpen, t.Open[id])
		sum += t.Open[id]
	}
	return float64(maxOpen) * float64(len(ids)) / float64(max(sum, 1))
}
