package control

import (
	"slices"
	"time"

	"heatherport/internal/process/link"
	"heatherport/internal/version"
	"heatherport/internal/version/roster"
	"heatherport/internal/version/state"
)

// sentCapacity is the number of heartbeats whose send time is kept.
const sentCapacity = 8

// sentTimes holds the send times of the last heartbeats. A lease runs from the
// time at which its heartbeat was sent, not from the reply.
type sentTimes struct {
	seq   uint64
	times [sentCapacity]time.Duration
}

// nextSeq returns the next sequence number and stores its send time.
func (s *sentTimes) nextSeq(now time.Duration) uint64 {
	s.seq++
	s.times[s.seq%sentCapacity] = now
	return s.seq
}

// sentAt returns the send time of heartbeat seq, or false if it is not kept.
func (s *sentTimes) sentAt(seq uint64) (time.Duration, bool) {
	if seq == 0 || seq > s.seq || s.seq-seq >= sentCapacity {
		return 0, false
	}
	return s.times[seq%sentCapacity], true
}

// sendHeartbeat sends the state of this VM to the leader, or to a VM that may
// know the leader.
func (c *Controller) sendHeartbeat(now time.Duration) {
	c.heartbeatDue = now + heartbeatInterval
	hb := c.newHeartbeat(now)
	if c.leader != nil {
		c.handleHeartbeat(c.cfg.Name, hb)
		return
	}
	if now-c.lastLeaderReply > leaderTimeout {
		c.knownLeader.markFailed()
	}
	to := c.leaderName()
	if to == "" {
		to = c.nextSearchTarget()
		c.heartbeatDue = now + searchInterval
	}
	if to != "" {
		c.cfg.Links.Send(to, link.KindHeartbeat, encode(hb))
	}
}

// knownLeader is the leader according to the replies of other VMs.
type knownLeader struct {
	name       string // empty if unknown
	term       uint64
	failedTerm uint64 // term of the last leader that timed out
}

// markFailed clears a leader that timed out. Later replies of other VMs that
// name a leader of its term or an earlier one are ignored.
func (k *knownLeader) markFailed() {
	if k.name != "" {
		k.failedTerm = k.term
	}
	k.name = ""
}

// update handles a reply in which the VM from names the leader, and reports
// whether the known leader changed.
func (k *knownLeader) update(from, leader string, term uint64) bool {
	stale := term < k.term || (term <= k.failedTerm && leader != from)
	if leader == "" || stale || (leader == k.name && term == k.term) {
		return false
	}
	k.name = leader
	k.term = term
	return true
}

func (c *Controller) newHeartbeat(now time.Duration) *heartbeat {
	hb := &heartbeat{
		Seq:        c.heartbeats.nextSeq(now),
		Position:   c.sink.Position(),
		LogMissing: c.replica != nil && !c.replica.Status().Joined,
		Leaving:    c.leaving,
		Drained:    c.drained,
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
		hb.Self = c.describeSelf()
	}
	return hb
}

func (c *Controller) describeSelf() *selfDescription {
	return &selfDescription{
		Domain: c.cfg.Domain,
		Relay:  c.cfg.Relay,
		Link:   c.cfg.Link,
		API:    c.cfg.API,
		Voter:  c.replica != nil,
	}
}

// leaderName returns the name of the known leader, or the empty string.
func (c *Controller) leaderName() string {
	if c.voting() && c.softState.Leader != "" {
		return c.softState.Leader
	}
	return c.knownLeader.name
}

// leaderTerm returns the term of the leader that leaderName returns.
func (c *Controller) leaderTerm() uint64 {
	if c.voting() && c.softState.Leader != "" {
		return c.softState.Term
	}
	return c.knownLeader.term
}

// nextSearchTarget returns the VM to ask for the leader. It cycles through the
// peers and, on every second call, through the voters in the settings.
func (c *Controller) nextSearchTarget() string {
	names := c.peerNames()
	if len(names) == 0 {
		return ""
	}
	c.searchCount++
	if voters := c.otherVoters(); c.searchCount%2 == 0 && len(voters) > 0 {
		return voters[c.searchCount/2%len(voters)]
	}
	return names[c.searchCount%len(names)]
}

// otherVoters returns the voters in the settings except this VM.
func (c *Controller) otherVoters() []string {
	return slices.DeleteFunc(slices.Clone(c.cfg.Voters), func(n string) bool { return n == c.cfg.Name })
}

// announceLeadership notifies all members that this VM has become the leader,
// without waiting for their heartbeats.
func (c *Controller) announceLeadership(v *version.Version) {
	r := encode(heartbeatReply{Leader: c.cfg.Name, Term: c.softState.Term, Index: c.machine.Index()})
	for i := range v.Members {
		c.cfg.Links.Send(v.Members[i].Name, link.KindHeartbeatReply, r)
	}
}

// peerNames returns the names of all other known VMs, sorted.
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

// setPeers sets the peers of the links to the members and the seeds.
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

// receiveHeartbeat answers the heartbeat of another VM and sends it the entries
// that it lacks, whether or not this VM leads.
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
		r.Lease = c.leader.handleHeartbeat(c, hb)
	}
	if from == c.cfg.Name {
		c.handleHeartbeatReply(from, &r)
		return
	}
	c.sendMissing(from, hb.Position)
	c.cfg.Links.Send(from, link.KindHeartbeatReply, encode(r))
}

func (c *Controller) receiveHeartbeatReply(m link.Message) {
	var r heartbeatReply
	if decode(m.Body, &r) {
		c.handleHeartbeatReply(m.From, &r)
	}
}

// handleHeartbeatReply updates the known leader and the lease from a reply.
func (c *Controller) handleHeartbeatReply(from string, r *heartbeatReply) {
	now := c.now()
	if r.Leader == from {
		c.lastLeaderReply = now
	}
	if c.knownLeader.update(from, r.Leader, r.Term) {
		c.lastLeaderReply = now
		c.heartbeatDue = min(c.heartbeatDue, now+heartbeatDelay)
	}
	sent, ok := c.heartbeats.sentAt(r.Seq)
	if r.Lease == 0 || !ok {
		return
	}
	c.leaseUntil = max(c.leaseUntil, sent+time.Duration(r.Lease)*time.Millisecond)
}

// updateSelf sets the member ID of this VM to that of its current incarnation in
// v, or to zero if v has none.
func (c *Controller) updateSelf(v *version.Version) {
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
