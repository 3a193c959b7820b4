package fleet

import (
	"math"
	"time"

	"heatherport/internal/connection"
	"heatherport/internal/connection/flow"
	"heatherport/internal/version"
)

// Traffic opens connections at a fixed rate and sends their packets to members
// at random. It knows the upstream that each connection began at.
type Traffic struct {
	Service              version.ServiceID
	ConnectionRate       float64       // new connections a second
	MeanLifetime         time.Duration // mean; the distribution is heavy-tailed
	PacketsPerConnection int           // a connection, opening and closing ones included
	Stopped              bool
	OnOpen               func(*Conn) // may be nil
	OnClose              func(*Conn) // may be nil

	Opened, Refused uint64
	Broken          uint64 // connections of which a packet reached another upstream or was rejected
	Dropped         uint64 // later packets that members dropped without breaking the connection
	Open            map[version.UpstreamID]int

	fleet *Fleet
	conns map[flow.Key]*Conn
	next  uint64
}

// Conn is one connection and what its caller knows of it.
type Conn struct {
	Key      flow.Key
	ISN      uint32
	Upstream version.UpstreamID
	Broken   bool
	packets  int
	tries    int
}

const (
	synRetry   = time.Second
	synTries   = 7
	paretoTail = 1.5
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
	t.arrive()
}

func (t *Traffic) arrive() {
	if t.Stopped {
		return
	}
	gap := t.fleet.Rand.ExpFloat64() / t.ConnectionRate
	t.fleet.After(time.Duration(gap*float64(time.Second)), func() {
		t.open()
		t.arrive()
	})
}

func (t *Traffic) open() {
	t.next++
	c := &Conn{
		Key:     Key(t.fleet.Leader.Service(t.Service).Key, t.next),
		ISN:     t.fleet.Rand.Uint32() | 1,
		packets: t.PacketsPerConnection,
	}
	t.conns[c.Key] = c
	t.connect(c)
}

// connect sends the opening packet until the connection is known to be open.
func (t *Traffic) connect(c *Conn) {
	t.send(c, connection.FlagOpen)
	c.tries++
	if c.Upstream != 0 || c.tries > synTries || t.conns[c.Key] != c {
		return
	}
	t.fleet.After(synRetry, func() {
		if c.Upstream == 0 && t.conns[c.Key] == c {
			t.connect(c)
		}
	})
}

func (t *Traffic) send(c *Conn, marks connection.PacketFlags) {
	f := t.fleet
	up := f.Ready()
	f.Send(up[f.Rand.IntN(len(up))], connection.Packet{Key: c.Key, Flags: marks, Seq: c.ISN})
}

func (t *Traffic) observe(p *connection.Packet, d *connection.Decision) {
	c := t.conns[p.Key]
	if c == nil {
		return
	}
	switch {
	case d.Action == connection.Forward && c.Upstream == 0:
		t.opened(c, d.Upstream)
	case d.Action == connection.Forward && c.Upstream != d.Upstream:
		t.breakConn(c)
	case d.Action == connection.Refuse && c.Upstream == 0:
		t.Refused++
		delete(t.conns, c.Key)
	case Rejected(d) && c.Upstream != 0:
		t.breakConn(c)
	case d.Action == connection.Drop && c.Upstream != 0:
		t.Dropped++
	}
}

func (t *Traffic) opened(c *Conn, id version.UpstreamID) {
	c.Upstream = id
	t.Opened++
	t.Open[id]++
	if t.OnOpen != nil {
		t.OnOpen(c)
	}
	life := t.lifetime()
	gap := life / time.Duration(max(c.packets-1, 1))
	for i := 1; i < c.packets-1; i++ {
		at := gap*time.Duration(i-1) + t.fleet.random(gap) + connectTime
		t.fleet.After(at, func() { t.send(c, connection.FlagEstablished) })
	}
	t.fleet.After(life+connectTime, func() { t.close(c) })
}

// connectTime is the time for the answer to the opening packet to return.
const connectTime = 5 * time.Millisecond

// lifetime draws from a Pareto distribution with the mean Lifetime, cut off at
// 100 times the mean.
func (t *Traffic) lifetime() time.Duration {
	least := float64(t.MeanLifetime) * (paretoTail - 1) / paretoTail
	u := 1 - t.fleet.Rand.Float64()
	return time.Duration(min(least*math.Pow(u, -1/paretoTail), 100*float64(t.MeanLifetime)))
}

func (t *Traffic) close(c *Conn) {
	t.send(c, connection.FlagEstablished|connection.FlagFin)
	t.Open[c.Upstream]--
	if t.OnClose != nil {
		t.OnClose(c)
	}
	t.fleet.After(time.Second, func() { delete(t.conns, c.Key) })
}

func (t *Traffic) breakConn(c *Conn) {
	if !c.Broken {
		c.Broken = true
		t.Broken++
	}
}

// Known reports whether the connection of a key has begun.
func (t *Traffic) Established(k flow.Key) bool {
	c := t.conns[k]
	return c != nil && c.Upstream != 0
}

// Conns returns the number of open connections.
func (t *Traffic) OpenConnections() int {
	n := 0
	for _, open := range t.Open {
		n += open
	}
	return n
}

// Imbalance returns the greatest number of open connections of an upstream
// over the mean of ids.
func (t *Traffic) Imbalance(ids []version.UpstreamID) float64 {
	most, sum := 0, 0
	for _, id := range ids {
		most = max(most, t.Open[id])
		sum += t.Open[id]
	}
	return float64(most) * float64(len(ids)) / float64(max(sum, 1))
}
