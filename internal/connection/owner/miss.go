package owner

import (
	"time"

	"heatherport/internal/connection"
	"heatherport/internal/connection/table"
	"heatherport/internal/result"
	"heatherport/internal/version"
)

// decideWithoutEntry handles a packet without a usable entry: it decides here,
// or relays the packet to the member that decides.
func (e *Engine) decideWithoutEntry(r *request) connection.Decision {
	s := r.view.services[destinationOf(&r.packet.Key)]
	if s == nil {
		return drop(result.DropUnknownService)
	}
	st := &r.view.owners.slots[r.slot]
	if r.via != nil && r.via.Flags&connection.RelayHandover != 0 {
		return e.decideAsOwner(r, s, st)
	}
	if r.owner() != r.view.self {
		return e.decideAsNonOwner(r, s, st)
	}
	if e.predecessorMayKnow(r, st) {
		if to := r.view.peers[st.predecessor.id]; to != nil && r.hops() > 0 {
			return e.relayTo(r, to, 0)
		}
	}
	if st.predecessor != nil && !st.predecessor.handedOver() {
		return e.decideAlone(r, s)
	}
	return e.decideAsOwner(r, s, st)
}

// predecessorMayKnow reports whether the previous owner may know a connection
// that this member does not. Before the handover, that holds for any
// connection; after it, for recently opened ones while their opening packets
// may be retransmitted.
func (e *Engine) predecessorMayKnow(r *request, st *slotState) bool {
	if st.predecessor == nil || !st.predecessor.reachable(r.now) {
		return false
	}
	if !st.predecessor.handedOver() {
		return true
	}
	return r.opening() && r.now < st.since+synRetransmitWindow && !st.predecessor.handoverComplete()
}

// decideAsNonOwner handles a packet without an entry at a member that does not
// own the slot.
func (e *Engine) decideAsNonOwner(r *request, s *service, st *slotState) connection.Decision {
	owner := r.view.peers[r.owner()]
	if owner != nil && owner.reachable(r.now) {
		var flags connection.RelayFlags
		if st.handedTo == owner.id {
			if r.opening() && !s.idempotent && r.now < st.exceptionsMissingUntil {
				return drop(result.DropInDoubt)
			}
			flags = connection.RelayHandover
			if r.now < st.retransmitUntil {
				flags |= connection.RelayPossibleRetransmit
			}
		}
		return e.relayTo(r, owner, flags)
	}
	standby := r.view.owners.cur.Standby(r.slot)
	if standby == r.view.self || r.via != nil && r.via.Flags&connection.RelayOwnerUnreachable != 0 {
		return e.decideAlone(r, s)
	}
	to := r.view.peers[standby]
	if to != nil && to.reachable(r.now) && r.hops() > 0 {
		return e.relayTo(r, to, connection.RelayOwnerUnreachable)
	}
	if owner != nil && !owner.longUnreachable(r.now) && r.hops() > 0 {
		return e.relayTo(r, owner, 0)
	}
	if to != nil && !to.longUnreachable(r.now) && r.hops() > 0 {
		return e.relayTo(r, to, connection.RelayOwnerUnreachable)
	}
	return e.decideAlone(r, s)
}

// decideAsOwner decides about a connection that no other member decides about.
func (e *Engine) decideAsOwner(r *request, s *service, st *slotState) connection.Decision {
	if d, ok := e.followException(r, s); ok {
		return d
	}
	if !r.opening() {
		return e.assumeBase(r, s)
	}
	if !e.lease.Load() {
		return e.openWithoutOwner(r, s)
	}
	if r.now < st.retransmitEnd() || r.possibleRetransmit() || st.predecessor != nil && !st.predecessor.handoverComplete() && r.now < st.since+synRetransmitWindow && !st.predecessor.reachable(r.now) {
		return e.openAfterOwnerLoss(r, s, st)
	}
	return e.open(r, s, st)
}

// possibleRetransmit reports whether the previous owner relayed the packet with
// the flag for a possible retransmission.
func (r *request) possibleRetransmit() bool {
	return r.via != nil && r.via.Flags&connection.RelayPossibleRetransmit != 0
}

// decideAlone decides although another member may decide about the same
// connection.
func (e *Engine) decideAlone(r *request, s *service) connection.Decision {
	e.lastDecidedAlone.Store(int64(r.now))
	if d, ok := e.followException(r, s); ok {
		return d
	}
	if !r.opening() {
		return e.assumeBase(r, s)
	}
	return e.openWithoutOwner(r, s)
}

// followException decides by an exception that was replicated to this member.
func (e *Engine) followException(r *request, s *service) (connection.Decision, bool) {
	h, ok := e.exceptions.get(r.hash)
	if !ok {
		return connection.Decision{}, false
	}
	t := r.view.targets.get(h.upstream)
	if t == nil && (!r.opening() || !s.idempotent && mayBeRetransmitted(r.now, h.at)) {
		return drop(result.DropUpstreamGone), true
	}
	if t == nil || t.service != s {
		return connection.Decision{}, false
	}
	up, ok := e.store(r, t, table.Counted)
	if !ok {
		return e.forward(r, t.id, 0, 0), true
	}
	return e.forward(r, up, 0, 0), true
}

// assumeBase forwards a packet of an existing connection without an exception to
// the base's first choice.
func (e *Engine) assumeBase(r *request, s *service) connection.Decision {
	t := r.view.targets.get(r.baseUpstream(s))
	if t == nil {
		return drop(result.DropNoUpstream)
	}
	up, ok := e.store(r, t, table.Counted|table.Assumed)
	if !ok {
		up = t.id
	}
	return e.forward(r, up, 0, table.Assumed)
}

// openAfterOwnerLoss decides about a packet that may be the retransmission of
// one that a lost owner has forwarded. A connection without an exception was
// placed at the base's first choice, so that is the only safe upstream while it
// takes new connections.
func (e *Engine) openAfterOwnerLoss(r *request, s *service, st *slotState) connection.Decision {
	if !s.idempotent && r.now < st.exceptionsMissingEnd() {
		return drop(result.DropInDoubt)
	}
	t := r.view.targets.get(r.baseUpstream(s))
	hasRoom := t != nil && t.active && !e.atConnLimit(r, t)
	if hasRoom || t != nil && r.positionUnknown() && r.now < st.retransmitEnd()-synRetransmitWindow+positionUnknownGrace {
		return e.openAt(r, t)
	}
	recent := t == nil || t.active || t.counter.leftAt > r.now-synRetransmitWindow
	if recent && !s.idempotent {
		return drop(result.DropInDoubt)
	}
	return e.open(r, s, st)
}

// positionUnknownGrace is how long after the loss of an owner a packet of
// unknown position without an entry counts as one of an existing connection.
// Other members refresh their connections at the new owner within this time.
const positionUnknownGrace = 2 * time.Second

// openWithoutOwner opens a connection of an idempotent service at the base's
// first choice or, if that takes no new connections, at the first upstream of
// the ranking. Members with the same version choose alike without communication.
func (e *Engine) openWithoutOwner(r *request, s *service) connection.Decision {
	if !s.idempotent {
		return drop(result.DropInDoubt)
	}
	t := r.view.targets.get(r.baseUpstream(s))
	if t == nil || !t.active {
		t = s.firstRanked(r.bucket())
	}
	if t == nil {
		return drop(result.DropNoUpstream)
	}
	return e.openAt(r, t)
}

// openAt stores a new connection at t and forwards the packet.
func (e *Engine) openAt(r *request, t *target) connection.Decision {
	up, ok := e.store(r, t, table.Counted)
	if !ok {
		return drop(result.DropTableFull)
	}
	e.opened.Add(1)
	return e.forward(r, up, r.packet.Seq, 0)
}

// store stores a decision in the table. If another goroutine has just decided
// about the same connection, its decision is kept and returned.
func (e *Engine) store(r *request, t *target, flags table.Flags) (version.UpstreamID, bool) {
	s := e.table.Lock(r.hash)
	defer s.Unlock()
	ent := s.Find(r.hash, &r.packet.Key)
	if ent != nil && !e.startsConnection(r, ent) && !e.fromNewerVersion(r, ent.Upstream) {
		return ent.Upstream, true
	}
	if ent == nil {
		ent = s.Insert(r.now, r.hash, &r.packet.Key, t.service.idle)
	}
	if ent == nil {
		return 0, false
	}
	e.fillEntry(r, ent, t, flags)
	return t.id, true
}

// fillEntry overwrites an entry with a decision and queues the change to its
// exception.
func (e *Engine) fillEntry(r *request, ent *table.Entry, t *target, flags table.Flags) {
	e.stopCounting(r.view, ent)
	now := table.At(r.now)
	wasException := ent.Upstream != 0 && ent.Flags&table.AtBase == 0
	ent.Upstream, ent.Flags, ent.Seen, ent.Refreshed = t.id, flags, now, now
	ent.ISN = 0
	if r.packet.Flags&connection.FlagOpen != 0 {
		ent.ISN = r.packet.Seq
	}
	ent.Epoch = r.view.owners.slots[r.slot].ownerEpoch
	if r.owner() == r.view.self {
		e.exceptions.remove(r.hash)
	}
	if r.packet.Flags&(connection.FlagFin|connection.FlagReset) != 0 {
		ent.Flags = ent.Flags&^table.Counted | table.Closed
	}
	if ent.Flags&table.Counted != 0 {
		t.counter.Add(1)
	}
	if r.deviates(t.service, t.id) {
		e.events.push(item{r.hash, t.id})
		return
	}
	ent.Flags |= table.AtBase
	if wasException {
		e.events.push(item{hash: r.hash})
	}
}
