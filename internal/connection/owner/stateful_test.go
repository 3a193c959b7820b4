package owner_test

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"heatherport/internal/connection"
	"heatherport/internal/connection/flow"
	"heatherport/internal/measure/fleet"
	"heatherport/internal/version"
)

// TestMain fixes the seed and the number of histories, so that CI runs the same
// ones each time. Flags on the command line take precedence.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "20")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

// conn is the state that the oracle keeps of one connection.
type conn struct {
	key          flow.Key
	isn          uint32
	service      version.ServiceID
	upstream     version.UpstreamID // of the first opening packet that was forwarded
	opened       map[version.UpstreamID]bool
	at           time.Duration // of the first opening packet
	refused      bool
	closed       bool
	lostUpstream bool
	log          []string
}

// model drives a fleet and checks every decision against the oracle.
type model struct {
	*fleet.Fleet
	t           *rapid.T
	services    []version.ServiceID
	conns       []*conn
	byKey       map[flow.Key]*conn
	left        map[version.UpstreamID]time.Duration // when all members had applied that the upstream takes no new connections
	kills       int
	partitioned bool // a partition has happened
	loss        bool
	next        uint64
	failure     string
}

const (
	nonIdempotent       = 0
	historyLines        = 40
	idleTimeout         = 10 * time.Minute
	synRetransmitWindow = 60 * time.Second // in which callers retransmit opening packets
)

func newModel(t *rapid.T, faults bool) *model {
	cfg := fleet.Config{
		Seed:          rapid.Uint64().Draw(t, "seed"),
		Delay:         time.Millisecond,
		Jitter:        time.Duration(rapid.IntRange(0, 20).Draw(t, "jitter")) * time.Millisecond,
		MaxApplyDelay: time.Duration(rapid.IntRange(0, 800).Draw(t, "lag")) * time.Millisecond,
		MaxClockSkew:  time.Duration(rapid.IntRange(0, 100).Draw(t, "skew")) * time.Second,
	}
	if faults {
		cfg.Loss = float64(rapid.IntRange(0, 10).Draw(t, "loss")) / 100
		cfg.Duplication = float64(rapid.IntRange(0, 10).Draw(t, "repeat")) / 100
	}
	m := &model{
		Fleet: fleet.New(cfg), t: t, loss: cfg.Loss > 0,
		byKey: make(map[flow.Key]*conn), left: make(map[version.UpstreamID]time.Duration),
	}
	m.OnPacket = m.check
	m.OnDecision = m.logDecision
	for i := range 2 {
		id := m.Leader.AddService(i != nonIdempotent, idleTimeout)
		m.services = append(m.services, id)
		for range 4 {
			m.Leader.AddUpstream(id, 2, 0, netip.AddrPort{})
		}
	}
	for range 4 {
		m.Leader.Join(m.Start())
	}
	m.Leader.Bootstrap()
	m.Run(3 * time.Second)
	return m
}

// logDecision logs a decision about a connection for the report of a violation.
func (m *model) logDecision(n *fleet.Node, p *connection.Packet, via *connection.Relay, d *connection.Decision) {
	c := m.byKey[p.Key]
	line := fmt.Sprintf("%v member %d packet flags %d:", m.Now, n.ID, p.Flags)
	if via != nil {
		line += fmt.Sprintf(" from %d relay flags %d,", via.From, via.Flags)
	}
	line += fmt.Sprintf(" action %d code %d upstream %d peer %d", d.Action, d.Code, d.Upstream, d.Peer)
	x := n.Engine.Explain(m.Now, p.Key)
	line += fmt.Sprintf(" (version %d owner %d standby %d base %d exception %d)", n.Applied.Index, x.Owner, x.Standby, x.Base, x.Exception)
	c.log = append(c.log, line)
}

// failWithHistory reports a violation with the history of the connection.
func (m *model) failWithHistory(c *conn, format string, args ...any) {
	history := strings.Join(c.log[max(len(c.log)-historyLines, 0):], "\n  ")
	m.fail("%s\n  %s", fmt.Sprintf(format, args...), history)
}

func (m *model) fail(format string, args ...any) {
	if m.failure == "" {
		m.failure = fmt.Sprintf("%v: %s", m.Now, fmt.Sprintf(format, args...))
	}
}

// check compares one decision with the oracle.
func (m *model) check(n *fleet.Node, p *connection.Packet, d *connection.Decision) {
	c := m.byKey[p.Key]
	opening := p.Flags&connection.FlagOpen != 0
	switch d.Action {
	case connection.Refuse:
		c.refused = true
		if len(c.opened) > 0 {
			m.failWithHistory(c, "member %d refused %v after a forward", n.ID, p.Key.Caller())
		}
	case connection.Forward:
		m.checkService(n, c, d)
		if opening {
			m.checkOpening(n, c, d)
		} else if c.upstream != d.Upstream {
			m.recordMove(n, c, d.Upstream)
		}
	case connection.Drop:
		if !opening && c.upstream != 0 && !c.closed && fleet.Rejected(d) && m.Leader.Upstream(c.upstream) != nil {
			m.recordMove(n, c, 0)
		}
	}
}

func (m *model) checkService(n *fleet.Node, c *conn, d *connection.Decision) {
	u := n.Applied.UpstreamByID(d.Upstream)
	if u == nil || u.Service != c.service || u.Addr != d.Addr {
		m.failWithHistory(c, "member %d sent a packet of service %d to upstream %d at %v", n.ID, c.service, d.Upstream, d.Addr)
	}
}

func (m *model) checkOpening(n *fleet.Node, c *conn, d *connection.Decision) {
	if c.upstream == 0 {
		c.upstream = d.Upstream
		if at, gone := m.left[d.Upstream]; gone && c.at > at+time.Second && !m.partitioned {
			m.failWithHistory(c, "member %d opened %v at leaving upstream %d", n.ID, c.key.Caller(), d.Upstream)
		}
	}
	c.opened[d.Upstream] = true
	if len(c.opened) > 1 && c.service == m.services[nonIdempotent] {
		m.failWithHistory(c, "member %d sent the first packet of %v to a second upstream: %v", n.ID, c.key.Caller(), c.opened)
	}
	if len(c.opened) > 1 && m.Leader.Upstream(c.upstream) != nil {
		m.recordMove(n, c, d.Upstream)
	}
}

// recordMove records that a connection has lost its upstream. Planned changes
// and the loss of one member must not cause that.
func (m *model) recordMove(n *fleet.Node, c *conn, to version.UpstreamID) {
	c.lostUpstream = true
	if m.kills <= 1 && !m.partitioned {
		m.failWithHistory(c, "member %d moved %v from %d to %d", n.ID, c.key.Caller(), c.upstream, to)
	}
}

// Check is run by rapid after every operation.
func (m *model) Check(t *rapid.T) {
	for id := range m.left {
		if u := m.Leader.Upstream(id); u == nil || u.State <= version.Joining {
			delete(m.left, id)
		}
	}
	if m.failure != "" {
		t.Fatal(m.failure)
	}
}

func (m *model) member(label string) *fleet.Node {
	up := m.Running()
	return up[rapid.IntRange(0, len(up)-1).Draw(m.t, label)]
}

func (m *model) open(t *rapid.T) {
	m.next++
	s := rapid.SampledFrom(m.services).Draw(t, "service")
	c := &conn{
		key: fleet.Key(m.Leader.Service(s).Key, m.next), isn: uint32(m.next), at: m.Now,
		service: s, opened: make(map[version.UpstreamID]bool),
	}
	m.conns = append(m.conns, c)
	m.byKey[c.key] = c
	m.sendOpening(c)
	m.Run(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
}

func (m *model) sendOpening(c *conn) {
	m.Send(m.member("at"), connection.Packet{Key: c.key, Flags: connection.FlagOpen, Seq: c.isn})
}

// openMany opens enough connections to make choices deviate from the base.
func (m *model) openMany(t *rapid.T) {
	for range rapid.IntRange(5, 30).Draw(t, "count") {
		m.open(t)
	}
}

func (m *model) conn(t *rapid.T) *conn {
	if len(m.conns) == 0 {
		t.Skip("no connections")
	}
	return m.conns[rapid.IntRange(0, len(m.conns)-1).Draw(t, "connection")]
}

func (m *model) retransmit(t *rapid.T) {
	c := m.conn(t)
	if c.closed || c.refused || m.Now > c.at+synRetransmitWindow {
		t.Skip("ended")
	}
	m.sendOpening(c)
	m.Run(20 * time.Millisecond)
}

// packets sends later packets of a connection to several members.
func (m *model) packets(t *rapid.T) {
	c := m.conn(t)
	if !m.isLive(c) {
		t.Skip("ended")
	}
	for range rapid.IntRange(1, 5).Draw(t, "count") {
		m.Send(m.member("at"), connection.Packet{Key: c.key, Flags: connection.FlagEstablished})
		m.Run(10 * time.Millisecond)
	}
}

func (m *model) isLive(c *conn) bool {
	return c.upstream != 0 && !c.closed && !c.lostUpstream && m.Leader.Upstream(c.upstream) != nil
}

func (m *model) closeConn(t *rapid.T) {
	c := m.conn(t)
	if !m.isLive(c) {
		t.Skip("ended")
	}
	c.closed = true
	m.Send(m.member("at"), connection.Packet{Key: c.key, Flags: connection.FlagEstablished | connection.FlagFin})
	m.Run(20 * time.Millisecond)
}

func (m *model) wait(t *rapid.T) {
	m.Run(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
}

func (m *model) joinUpstream(t *rapid.T) {
	s := rapid.SampledFrom(m.services).Draw(t, "service")
	if len(m.Leader.Upstreams(s, version.Active)) >= 8 {
		t.Skip("enough upstreams")
	}
	m.Leader.AddUpstream(s, uint32(rapid.IntRange(1, 3).Draw(t, "slots")), 0, netip.AddrPort{})
}

// stopUpstream makes an upstream leave or pause.
func (m *model) stopUpstream(t *rapid.T) {
	s := rapid.SampledFrom(m.services).Draw(t, "service")
	active := m.Leader.Upstreams(s, version.Active)
	if len(active) < 2 {
		t.Skip("last upstream")
	}
	id := rapid.SampledFrom(active).Draw(t, "upstream")
	m.Leader.SetState(id, rapid.SampledFrom([]version.UpstreamState{version.Leaving, version.Paused}).Draw(t, "state"))
	m.recordLeft(id)
}

// recordLeft records when every member has applied that id takes no new
// connections.
func (m *model) recordLeft(id version.UpstreamID) {
	m.After(100*time.Millisecond, func() {
		u := m.Leader.Upstream(id)
		if u == nil || u.State <= version.Joining {
			return
		}
		for _, n := range m.Running() {
			if n.Applied == nil {
				continue
			}
			if a := n.Applied.UpstreamByID(id); a == nil || a.State <= version.Joining {
				m.recordLeft(id)
				return
			}
		}
		m.left[id] = m.Now
	})
}

func (m *model) resumeUpstream(t *rapid.T) {
	s := rapid.SampledFrom(m.services).Draw(t, "service")
	paused := m.Leader.Upstreams(s, version.Paused)
	if len(paused) == 0 {
		t.Skip("none paused")
	}
	m.Leader.SetState(rapid.SampledFrom(paused).Draw(t, "upstream"), version.Active)
}

// reuseAddress gives the address of a leaving upstream to one of another
// service, or to a new incarnation of the same one.
func (m *model) reuseAddress(t *rapid.T) {
	from := rapid.SampledFrom(m.services).Draw(t, "service")
	leaving := m.Leader.Upstreams(from, version.Leaving)
	if len(leaving) == 0 {
		t.Skip("none leaving")
	}
	old := *m.Leader.Upstream(leaving[0])
	m.Leader.RemoveUpstream(old.ID)
	m.Leader.AddUpstream(rapid.SampledFrom(m.services).Draw(t, "new service"), 2, 0, old.Addr)
}

func (m *model) joinMember(t *rapid.T) {
	if len(m.Running()) >= 7 {
		t.Skip("enough members")
	}
	n := m.Start()
	m.Leader.Join(n)
	m.waitApplied(n)
}

// waitApplied runs the fleet until a new member has applied a version, because
// callers' packets do not reach it before it is ready.
func (m *model) waitApplied(n *fleet.Node) {
	for range 20 {
		if n.Applied != nil {
			return
		}
		m.Run(200 * time.Millisecond)
	}
}

// stopMember begins to stop a member gracefully. The member stops when it has
// drained.
func (m *model) stopMember(t *rapid.T) {
	if len(m.Running()) <= 3 {
		t.Skip("too few members")
	}
	n := m.member("member")
	m.Leader.Leave(n)
	wait := rapid.Bool().Draw(t, "wait")
	stop := func() {}
	stop = func() {
		if n.Up && n.Engine.Drained() {
			m.Fleet.Kill(n)
			return
		}
		m.After(300*time.Millisecond, stop)
	}
	m.After(300*time.Millisecond, stop)
	if wait {
		m.Run(10 * time.Second)
	}
}

// killMember stops a member without notice.
func (m *model) killMember(t *rapid.T) {
	if len(m.Running()) <= 3 {
		t.Skip("too few members")
	}
	m.kills++
	m.Fleet.Kill(m.member("member"))
}

func (m *model) partition(t *rapid.T) {
	up := m.Running()
	m.partitioned = true
	side := rapid.IntRange(1, len(up)-1).Draw(t, "size")
	oneWay := rapid.Bool().Draw(t, "one way")
	for _, a := range up[:side] {
		for _, b := range up[side:] {
			m.Block(a, b)
			if !oneWay {
				m.Block(b, a)
			}
		}
		if !oneWay {
			m.BlockLeader(a)
		}
	}
}

func (m *model) heal(*rapid.T) { m.Heal() }

// settle ends all faults, waits until the fleet has settled, and sends packets
// of every live connection to all members, whose decisions check compares with
// the oracle.
func (m *model) settle() {
	m.Heal()
	for _, n := range m.Leader.Removed() {
		m.Fleet.Kill(n)
	}
	m.Run(45 * time.Second)
	for _, c := range m.conns {
		if !m.isLive(c) {
			continue
		}
		for _, n := range m.Running() {
			m.Send(n, connection.Packet{Key: c.key, Flags: connection.FlagEstablished})
		}
		m.Run(30 * time.Millisecond)
	}
}

func (m *model) plannedActions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"open": m.open, "openMany": m.openMany, "retransmit": m.retransmit, "packets": m.packets,
		"packets again": m.packets, "close": m.closeConn, "wait": m.wait,
		"joinUpstream": m.joinUpstream, "stopUpstream": m.stopUpstream, "resumeUpstream": m.resumeUpstream,
		"takeOver": m.reuseAddress, "joinMember": m.joinMember, "stopMember": m.stopMember,
		"": m.Check,
	}
}

// checkAgreement checks that all members send packets of every live connection
// to one upstream.
func (m *model) checkAgreement() {
	m.Run(refreshTime)
	seen := make(map[version.UpstreamID]bool)
	observe := m.OnPacket
	m.OnPacket = func(n *fleet.Node, p *connection.Packet, d *connection.Decision) {
		if d.Action == connection.Forward {
			seen[d.Upstream] = true
		}
	}
	defer func() { m.OnPacket = observe }()
	for _, c := range m.conns {
		if c.upstream == 0 || c.closed || m.Leader.Upstream(c.upstream) == nil {
			continue
		}
		m.sendToAll(c) // refreshes and corrects wrong entries
		seen = make(map[version.UpstreamID]bool)
		m.sendToAll(c)
		if len(seen) > 1 {
			m.failWithHistory(c, "members disagree about %v: %v", c.key.Caller(), seen)
		}
	}
}

func (m *model) sendToAll(c *conn) {
	for _, n := range m.Ready() {
		m.Send(n, connection.Packet{Key: c.key, Flags: connection.FlagEstablished})
	}
	m.Run(50 * time.Millisecond)
}

// refreshTime is the time within which members refresh the owner's entries.
const refreshTime = 31 * time.Second

// The kinds of histories.
func plannedHistory(t *rapid.T) { history(t, false) }

func lossyHistory(t *rapid.T) { history(t, true) }

func killHistory(t *rapid.T) { history(t, false, "kill") }

func partitionHistory(t *rapid.T) { history(t, true, "kill", "partition") }

func history(t *rapid.T, lossy bool, faults ...string) {
	m := newModel(t, lossy)
	actions := m.plannedActions()
	if slices.Contains(faults, "kill") {
		actions["killMember"] = m.killMember
	}
	if slices.Contains(faults, "partition") {
		actions["partition"], actions["heal"] = m.partition, m.heal
	}
	t.Repeat(actions)
	m.settle()
	m.checkAgreement()
	m.Check(t)
}

func TestPlannedChangesMoveNoConnection(t *testing.T) {
	t.Parallel()
	rapid.Check(t, plannedHistory)
}

func TestPlannedChangesOverLossyLinks(t *testing.T) {
	t.Parallel()
	rapid.Check(t, lossyHistory)
}

func TestKilledMembers(t *testing.T) {
	t.Parallel()
	rapid.Check(t, killHistory)
}

func TestPartitions(t *testing.T) {
	t.Parallel()
	rapid.Check(t, partitionHistory)
}

// TestRegressionSeeds runs the histories that once violated a property.
func TestRegressionSeeds(t *testing.T) {
	for _, f := range []struct {
		name    string
		seed    string
		history func(*rapid.T)
	}{
		{"base connections unknown to a new owner", "20262915", plannedHistory},
		{"first upstream removed before a retransmission", "20264364", lossyHistory},
		{"retransmit window lost in a second handover", "20264690", killHistory},
		{"handover overtaken by the next epoch", "20278224", lossyHistory},
		{"exception from two senders", "20261207", plannedHistory},
		{"owner lost while its standby lagged", "20431440", killHistory},
		{"three heartbeats lost", "20510775", lossyHistory},
		{"drained member forgotten", "20356470", plannedHistory},
		{"all owners lost", "21175832", partitionHistory},
	} {
		t.Run(f.name, func(t *testing.T) {
			setFlag(t, "rapid.seed", f.seed)
			setFlag(t, "rapid.checks", "1")
			rapid.Check(t, f.history)
		})
	}
}

// setFlag sets a flag for the duration of a test.
func setFlag(t *testing.T, name, value string) {
	old := flag.Lookup(name).Value.String()
	must.NoError(t, flag.Set(name, value))
	t.Cleanup(func() { must.NoError(t, flag.Set(name, old)) })
}
