package control

import (
	"slices"
	"time"

	"heatherport/internal/process/link"
	"heatherport/internal/version"
	"heatherport/internal/version/roster"
	"heatherport/internal/version/state"
)

// sentCapacity is the number of heartbeats whose sending time is remembered.
const sentCapacity = 8

// sentTimes remembers when the last heartbeats left, so that a lease counts
// from the sending and not from the reply.
type sentTimes struct {
	seq   uint64
	times [sentCapacity]time.Duration
}

func (s *sentTimes) next(now time.Duration) uint64 {
	s.seq++
	s.times[s.seq%sentCapacity] = now
	return s.seq
}

// at returns when heartbeat seq left; false if that is forgotten.
func (s *sentTimes) at(seq uint64) (time.Duration, bool) {
	if seq == 0 || seq > s.seq || s.seq-seq >= sentCapacity {
		return 0, false
	}
	return s.times[seq%sentCapacity], true
}

// sendHeartbeat tells the leader, or a VM that may know it, what this VM has.
func (c *Controller) sendHeartbeat(now time.Duration) {
	c.heartbeatDue = now + heartbeatInterval
	hb := c.newHeartbeat(now)
	if c.leader != nil {
		c.handleHeartbeat(c.cfg.Name, hb)
		return
	}
	if now-c.lastReply > leaderTimeout {
		c.known.fail()
	}
	to := c.leaderName()
	if to == "" {
		to = c.nextTarget()
		c.heartbeatDue = now + searchInterval
	}
	if to != "" {
		c.cfg.Links.Send(to, link.KindHeartbeat, encode(hb))
	}
}

// knownLeader is what a VM has heard of the leader.
type knownLeader struct {
	name   string // empty if unknown
	term   uint64
	failed uint64 // term of the last leader that stopped answering
}

// fail forgets a leader that stopped answering; what others still say of its
// term counts no more.
func (k *knownLeader) fail() {
	if k.name != "" {
		k.failed = k.term
	}
	k.name = ""
}

// learn takes what the VM from says of the leader and reports whether that is
// news.
func (k *knownLeader) learn(from, leader string, term uint64) bool {
	stale := term < k.term || (term <= k.failed && leader != from)
	if leader == "" || stale || (leader == k.name && term == k.term) {
		return false
	}
	k.name = leader
	k.term = term
	return true
}

func (c *Controller) newHeartbeat(now time.Duration) *heartbeat {
	hb := &heartbeat{
		Seq:      c.heartbeats.next(now),
		Position: c.sink.Position(),
		Vacant:   c.replica != nil && !c.replica.Status().Joined,
		Leaving:  c.leaving,
		Drained:  c.drained,
	}
	hb.Roster = roster.Heartbeat{
		Member:       c.self,
		Name:         c.cfg.Name,
		Incarnation:  c.cfg.Incarnation,
		Applied:      c.machine.Index(),
		Digest:       c.machine.Digest(),
		Settled:      c.cfg.Engine.Settled(),
		SettledBase:  c.cfg.Engine.SettledBase(),
		Observations: c.observations,
	}
	if c.self == 0 {
		hb.Self = c.describe()
	}
	return hb
}

func (c *Controller) describe() *self {
	return &self{
		Domain: c.cfg.Domain,
		Relay:  c.cfg.Relay,
		Link:   c.cfg.Link,
		API:    c.cfg.API,
		Voter:  c.replica != nil,
	}
}

// leaderName returns the VM believed to lead, or the empty string.
func (c *Controller) leaderName() string {
	if c.voting() && c.soft.Leader != "" {
		return c.soft.Leader
	}
	return c.known.name
}

// leaderTerm returns the term of the leader that leaderName names.
func (c *Controller) leaderTerm() uint64 {
	if c.voting() && c.soft.Leader != "" {
		return c.soft.Term
	}
	return c.known.term
}

// nextTarget returns the VM to ask for the leader, a different one each time.
func (c *Controller) nextTarget() string {
	names := c.peerNames()
	if len(names) == 0 {
		return ""
	}
	c.target++
	if voters := c.otherVoters(); c.target%2 == 0 && len(voters) > 0 {
		return voters[c.target/2%len(voters)]
	}
	return names[c.target%len(names)]
}

// otherVoters returns the voters that the settings name, but this VM.
func (c *Controller) otherVoters() []string {
	return slices.DeleteFunc(slices.Clone(c.cfg.Voters), func(n string) bool { return n == c.cfg.Name })
}

// announceLeadership tells all members at once that this VM leads now.
func (c *Controller) announceLeadership(v *version.Version) {
	r := encode(heartbeatReply{Leader: c.cfg.Name, Term: c.soft.Term, Index: c.machine.Index()})
	for i := range v.Members {
		c.cfg.Links.Send(v.Members[i].Name, link.KindHeartbeatReply, r)
	}
}

// peerNames returns all other VMs that this VM knows, in order.
func (c *Controller) peerNames() []string {
	var names []string
	for _, p := range c.cfg.Seeds {
		names = append(names, p.Name)
	}
	if v := c.published.Load(); v != nil {
		for i := range v.Members {
			names = append(names, v.Members[i].Name)
		}
	}
	slices.Sort(names)
	names = slices.Compact(names)
	return slices.DeleteFunc(names, func(n string) bool { return n == c.cfg.Name })
}

// setPeers makes the members and the seeds known to the links.
func (c *Controller) setPeers(v *version.Version) {
	peers := slices.Clone(c.cfg.Seeds)
	if v != nil {
		for i := range v.Members {
			m := &v.Members[i]
			peers = slices.DeleteFunc(peers, func(p link.Peer) bool { return p.Name == m.Name })
			peers = append(peers, link.Peer{Name: m.Name, Addr: m.Link})
		}
	}
	c.cfg.Links.SetPeers(peers)
}

// receiveHeartbeat answers the heartbeat of another VM, and feeds it what it
// lacks whether or not this VM leads.
func (c *Controller) receiveHeartbeat(m link.Message) {
	var hb heartbeat
	if !decode(m.Body, &hb) || hb.Roster.Name != m.From {
		return
	}
	c.handleHeartbeat(m.From, &hb)
}

func (c *Controller) handleHeartbeat(from string, hb *heartbeat) {
	r := heartbeatReply{Seq: hb.Seq, Leader: c.leaderName(), Term: c.leaderTerm(), Index: c.machine.Index()}
	if c.leader != nil {
		r.Leader = c.cfg.Name
		r.Lease = c.leader.heartbeat(c, hb)
	}
	if from == c.cfg.Name {
		c.acceptReply(from, &r)
		return
	}
	c.feed(from, hb.Position)
	c.cfg.Links.Send(from, link.KindHeartbeatReply, encode(r))
}

func (c *Controller) receiveHeartbeatReply(m link.Message) {
	var r heartbeatReply
	if decode(m.Body, &r) {
		c.acceptReply(m.From, &r)
	}
}

// acceptReply learns the leader and the lease from a reply.
func (c *Controller) acceptReply(from string, r *heartbeatReply) {
	now := c.now()
	if r.Leader == from {
		c.lastReply = now
	}
	if c.known.learn(from, r.Leader, r.Term) {
		c.lastReply = now
		c.heartbeatDue = min(c.heartbeatDue, now+heartbeatDelay)
	}
	sent, ok := c.heartbeats.at(r.Seq)
	if r.Lease == 0 || !ok {
		return
	}
	c.leaseUntil = max(c.leaseUntil, sent+time.Duration(r.Lease)*time.Millisecond)
}

// adoptSelf finds the member that is this incarnation of this VM.
func (c *Controller) adoptSelf(v *version.Version) {
	var id version.MemberID
	for i := range v.Members {
		m := &v.Members[i]
		if m.Name == c.cfg.Name && m.Incarnation == c.cfg.Incarnation {
			id = m.ID
		}
	}
	if id == c.self {
		return
	}
	c.log.Info("membership changed", "member", id, "before", c.self)
	c.self = id
	c.cfg.Engine.SetSelf(id)
}

// joinCommand returns the command that makes the sender of hb a member.
func joinCommand(hb *heartbeat) state.Command {
	return state.Command{JoinMember: &state.JoinMember{
		Name:        hb.Roster.Name,
		Incarnation: hb.Roster.Incarnation,
		Domain:      hb.Self.Domain,
		Relay:       hb.Self.Relay,
		Link:        hb.Self.Link,
		API:         hb.Self.API,
		Voter:       hb.Self.Voter,
	}}
}
