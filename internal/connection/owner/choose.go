package owner

import (
	"time"

	"heatherport/internal/connection"
	"heatherport/internal/connection/load"
	"heatherport/internal/connection/table"
	"heatherport/internal/result"
	"heatherport/internal/version"
	"heatherport/internal/version/placement"
)

// chooser iterates over the ranking of a bucket for a new connection.
type chooser struct {
	iterator placement.Iterator
	open     [placement.MaxCached]int64
}

// firstRanked returns the first upstream of the current ranking, whatever its
// load, or nil.
func (s *service) firstRanked(bucket uint16) *target {
	var iterator placement.Iterator
	iterator.Reset(s.current, bucket)
	i, ok := iterator.Next()
	if !ok {
		return nil
	}
	return s.targets[i]
}

// maxCandidates bounds the upstreams below their connection limit that are
// examined for a new connection.
const maxCandidates = placement.MaxCached

// choose returns the upstream for a new connection: the first of the ranking
// whose open connections stay within the load limit times its fair share, else
// the one with the fewest for its weight among the first maxCandidates below
// their connection limit. It returns nil when all upstreams are at their
// connection limit.
func (e *Engine) choose(r *request, s *service) *target {
	others := r.view.otherOwners
	var c chooser
	var total int64
	for i, t := range s.targets {
		n := int64(t.counter.Estimate(others * peerShare))
		total += n
		if i < len(c.open) {
			c.open[i] = n
		}
	}
	c.iterator.Reset(s.current, r.bucket())
	var least *target
	var leastOpen int64
	var leastWeight uint64
	room := 0
	for i, ok := c.iterator.Next(); ok; i, ok = c.iterator.Next() {
		t := s.targets[i]
		if s.baseIsCurrent && r.baseID == 0 {
			r.baseID = t.id
		}
		n := c.estimate(i, t, others)
		if t.limit > 0 && n >= t.limit {
			continue
		}
		weight := uint64(s.current[i].Weight)
		if e.limit.Allows(n, total, weight, s.sum) {
			return t
		}
		if least == nil || uint64(n)*leastWeight < uint64(leastOpen)*weight {
			least, leastOpen, leastWeight = t, n, weight
		}
		if room++; room == maxCandidates {
			break
		}
	}
	return least
}

// peerShare is the part, in units of 1/load.Scale, of this owner's additions
// since its last report that each peer is assumed to have made too.
const peerShare = load.Scale

func (c *chooser) estimate(i int, t *target, others int32) int64 {
	if i < len(c.open) {
		return c.open[i]
	}
	return int64(t.counter.Estimate(others * peerShare))
}

// open chooses an upstream for a new connection, stores it and forwards the
// packet, through the standby if the connection is an exception.
func (e *Engine) open(r *request, s *service, st *slotState) connection.Decision {
	t := e.previousUpstream(r, s)
	if t == nil {
		t = e.choose(r, s)
	}
	if t == nil {
		return e.refuse(r, s, st)
	}
	if t = e.replicableChoice(r, s, t); t == nil {
		return drop(result.DropInDoubt)
	}
	up, ok := e.store(r, t, table.Counted)
	if !ok {
		return drop(result.DropTableFull)
	}
	e.opened.Add(1)
	if up == t.id && r.deviates(s, up) {
		if d, ok := e.viaStandby(r, up); ok {
			return d
		}
	}
	return e.forward(r, up, r.packet.Seq, 0)
}

// replicableChoice returns t, or the base's first choice if t deviates from it
// and the standby cannot record the exception now: the exception would be lost
// with this owner. It returns nil, so that the packet is dropped, when the
// base's first choice already has far more than its fair share and the standby
// is reachable but has not applied this version yet: it can record the
// exception when the packet is retransmitted.
func (e *Engine) replicableChoice(r *request, s *service, t *target) *target {
	if r.view.otherOwners == 0 || !r.deviates(s, t.id) || e.recordingStandby(r, t) != nil {
		return t
	}
	b := r.view.targets.get(r.baseUpstream(s))
	if b == nil || !b.active || e.atConnLimit(r, b) {
		return t
	}
	if e.standbyLags(r) && e.farAboveFairShare(r, s, b) {
		return nil
	}
	return b
}

// standbyLags reports whether the standby is reachable but is not known to have
// applied this version.
func (e *Engine) standbyLags(r *request) bool {
	to := r.view.peers[r.view.owners.cur.Standby(r.slot)]
	return to != nil && to.reachable(r.now) && to.applied.Load() < r.view.version.Index
}

// Limits for a base's first choice that is used in place of another choice.
const (
	fairShareFactor  = 2 // multiple of the fair share
	slackConnections = 8 // connections above that multiple
)

// farAboveFairShare reports whether b has far more than its fair share of
// connections.
func (e *Engine) farAboveFairShare(r *request, s *service, b *target) bool {
	var total int64
	for _, t := range s.targets {
		total += int64(t.counter.Estimate(r.view.otherOwners * peerShare))
	}
	n := int64(b.counter.Estimate(r.view.otherOwners * peerShare))
	return n*int64(len(s.targets)) > fairShareFactor*total+slackConnections*int64(len(s.targets))
}

// recordingStandby returns the standby if it can record an exception for t now.
func (e *Engine) recordingStandby(r *request, t *target) *route {
	to := r.view.peers[r.view.owners.cur.Standby(r.slot)]
	if to == nil || !to.reachable(r.now) || to.applied.Load() < t.counter.firstIndex {
		return nil
	}
	return to
}

// atConnLimit reports whether t has reached its connection limit.
func (e *Engine) atConnLimit(r *request, t *target) bool {
	return t.limit > 0 && int64(t.counter.Estimate(r.view.otherOwners*peerShare)) >= t.limit
}

// previousUpstream returns the upstream of the connection that used the same
// 5-tuple before, if it takes new connections: entries of other members may
// still hold it.
func (e *Engine) previousUpstream(r *request, s *service) *target {
	if r.positionUnknown() {
		return nil
	}
	sh := e.table.Lock(r.hash)
	ent := sh.Find(r.hash, &r.packet.Key)
	var id version.UpstreamID
	if ent != nil {
		id = ent.Upstream
	}
	sh.Unlock()
	t := r.view.targets.get(id)
	if t == nil || !t.active || t.service != s || e.atConnLimit(r, t) {
		return nil
	}
	return t
}

// refuse handles a new connection for which there is no upstream, or none below
// its limit. The packet is dropped without a refusal unless it is certain that
// no member has forwarded an earlier packet of the connection.
func (e *Engine) refuse(r *request, s *service, st *slotState) connection.Decision {
	code := result.RefusedFull
	if len(s.targets) == 0 {
		code = result.RefusedNoUpstream
	}
	if !e.knowsRecentConnections(r, st) {
		return drop(result.DropNoUpstream)
	}
	return connection.Decision{Action: connection.Refuse, Code: code}
}

// knowsRecentConnections reports whether this member would know any connection
// that was opened within the SYN retransmit window.
func (e *Engine) knowsRecentConnections(r *request, st *slotState) bool {
	windowStart := r.now - synRetransmitWindow
	if r.owner() != r.view.self || st.since > windowStart || !e.lease.Load() {
		return false
	}
	if e.lastEviction.Load() > int64(windowStart) || r.packet.Flags&connection.FlagOpen == 0 {
		return false
	}
	for _, p := range r.view.peers {
		if !p.cannotHaveDecidedAlone(r.now) {
			return false
		}
	}
	return true
}

// recordWindow is how long after a decision its retransmitted opening packets
// still go through the standby. By its end, batches have replicated the
// exception.
const recordWindow = 3 * time.Second

// needsRecord reports whether an opening packet at the owner must go through
// the standby, which may not hold the exception yet.
func (e *Engine) needsRecord(r *request, hit entrySnapshot) bool {
	if r.packet.Flags&connection.FlagOpen == 0 || hit.flags&table.AtBase != 0 {
		return false
	}
	return r.owner() == r.view.self && hit.age < recordWindow
}

// viaStandby sends an opening packet to the standby, which records the
// exception and forwards the packet.
func (e *Engine) viaStandby(r *request, id version.UpstreamID) (connection.Decision, bool) {
	if r.owner() != r.view.self {
		return connection.Decision{}, false
	}
	t, same := r.view.resolve(id, &r.packet.Key)
	if !same {
		return connection.Decision{}, false
	}
	to := e.recordingStandby(r, t)
	if to == nil {
		return connection.Decision{}, false
	}
	return connection.Decision{
		Action: connection.RelayTo, Peer: to.id, Addr: to.addr,
		Header: connection.Relay{
			From: r.view.self, Flags: connection.RelayException, Origin: r.origin(),
			Upstream: id, Epoch: r.view.owners.epoch,
		},
	}, true
}

// recordException stores the exception that an owner has decided and forwards
// the packet.
func (e *Engine) recordException(r *request) connection.Decision {
	t, same := r.view.resolve(r.via.Upstream, &r.packet.Key)
	if t == nil {
		return drop(result.DropUpstreamGone)
	}
	if !same {
		return drop(result.DropServiceMismatch)
	}
	if h, ok := e.exceptions.get(r.hash); !ok || !h.confirmed || h.upstream != t.id {
		e.exceptions.put(r.hash, exception{upstream: t.id, from: r.via.From, at: table.At(r.now)})
	}
	e.storeLearned(r.now, r.view, &r.packet.Key, r.hash, t, r.packet.Seq, 0)
	return e.forward(r, t.id, r.packet.Seq, 0)
}
