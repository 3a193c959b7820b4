package owner

import (
	"slices"
	"time"

	"heatherport/internal/version"
	"heatherport/internal/version/placement"
)

// ownership is the state of all slots under one owner epoch. Its owner tables
// are immutable.
type ownership struct {
	epoch   uint64
	members []version.MemberID // Owners.Current
	cur     *placement.OwnerTable
	next    *placement.OwnerTable // nil unless new owners are being prepared
	nextSet []version.MemberID
	slots   [placement.Slots]slotState
}

// firstEpoch is the epoch of the first owners. No member has decided anything
// before it.
const firstEpoch = 1

// slotState is what this member knows of a slot besides its owner.
type slotState struct {
	ownerEpoch uint16 // low bits of the epoch in which the owner last changed
	// handedTo is the new owner, if this member gave up the slot in this
	// epoch or is still handing it over.
	handedTo version.MemberID
	since    time.Duration // when this member became the owner
	// retransmitUntil is the time until which callers may retransmit opening
	// packets that a lost owner forwarded.
	retransmitUntil time.Duration
	// exceptionsMissingUntil is the time until which exceptions of lost
	// owners may be missing too.
	exceptionsMissingUntil time.Duration
	predecessor            *predecessor // previous owner, while it is a member
}

// retransmitEnd returns the time until which opening packets of the slot may be
// retransmissions of packets that a lost owner has forwarded.
func (st *slotState) retransmitEnd() time.Duration {
	if st.predecessor == nil {
		return st.retransmitUntil
	}
	return max(st.retransmitUntil, time.Duration(st.predecessor.retransmitUntil.Load()))
}

// exceptionsMissingEnd returns the time until which exceptions of recently
// opened connections may be missing, because their owner and its standby were
// lost one after the other.
func (st *slotState) exceptionsMissingEnd() time.Duration {
	if st.predecessor == nil {
		return st.exceptionsMissingUntil
	}
	return max(st.exceptionsMissingUntil, time.Duration(st.predecessor.exceptionsMissingUntil.Load()))
}

// predecessor is the member that owned slots before this one did.
type predecessor struct {
	*peer
	epoch uint64
}

// handedOver reports whether p has handed over its slots.
func (p *predecessor) handedOver() bool { return p.handoverEpoch.Load() >= p.epoch }

// handoverComplete reports whether p has also sent all connections of its
// slots.
func (p *predecessor) handoverComplete() bool { return p.completeEpoch.Load() >= p.epoch }

// pendingHandover is the progress of a handover to a new owner.
type pendingHandover struct {
	epoch         uint64
	acked         bool
	completeAcked bool // acknowledged as complete
	sentAt        time.Duration
}

// newOwnership derives the slot states for w from those of old. It runs on the
// control goroutine.
func (e *Engine) newOwnership(now time.Duration, w *view, old *ownership) *ownership {
	owners := &w.version.Owners
	o := &ownership{epoch: owners.Epoch, members: owners.Current, nextSet: owners.Next}
	o.cur = e.ownerTable(owners.Current)
	if len(owners.Next) > 0 && !slices.Equal(owners.Next, owners.Current) {
		o.next = e.ownerTable(owners.Next)
	}
	prev := e.previousTable(owners, old)
	if old != nil && old.epoch == o.epoch {
		o.slots = old.slots
	} else {
		e.dropHandovers()
		for slot := range o.slots {
			o.slots[slot] = e.newSlotState(now, w, o, old, prev, uint16(slot))
		}
	}
	e.dropLostPredecessors(now, w, o)
	return o
}

// previousTable returns the owners before owners.Epoch, or nil if there were
// none.
func (e *Engine) previousTable(owners *version.Owners, old *ownership) *placement.OwnerTable {
	if len(owners.Previous) > 0 {
		return e.ownerTable(owners.Previous)
	}
	if old != nil {
		return old.cur
	}
	return nil
}

// newSlotState returns the state of a slot in a new epoch.
func (e *Engine) newSlotState(now time.Duration, w *view, o, old *ownership, prev *placement.OwnerTable, slot uint16) slotState {
	var st slotState
	var before version.MemberID
	if prev != nil {
		before = prev.Owner(slot)
	}
	owned := old != nil && old.cur.Owner(slot) == w.self
	owner := o.cur.Owner(slot)
	if old != nil {
		st.ownerEpoch = old.slots[slot].ownerEpoch
	}
	if before != owner {
		st.ownerEpoch = uint16(o.epoch)
	}
	switch {
	case owner != w.self:
		if owned || before == w.self {
			e.releaseSlot(&st, owner, o.epoch)
			st.retransmitUntil, st.exceptionsMissingUntil = old.lossWindows(slot)
		} else if old != nil && e.handoverPending(old.slots[slot].handedTo) {
			st.handedTo = old.slots[slot].handedTo
			st.retransmitUntil, st.exceptionsMissingUntil = old.lossWindows(slot)
		}
	case owned:
		st = old.slots[slot]
	default:
		e.acquireSlot(now, w, o, &st, before, e.wasReplica(now, w, old, slot, before))
	}
	return st
}

// lossWindows returns the times until which, after the loss of an owner, opening
// packets of a slot may be retransmissions and exceptions may be missing. o may
// be nil.
func (o *ownership) lossWindows(slot uint16) (retransmitEnd, exceptionsMissingEnd time.Duration) {
	if o == nil {
		return 0, 0
	}
	st := &o.slots[slot]
	return st.retransmitEnd(), st.exceptionsMissingEnd()
}

// releaseSlot records that this member gives a slot to a new owner.
func (e *Engine) releaseSlot(st *slotState, owner version.MemberID, epoch uint64) {
	if owner == 0 {
		return
	}
	st.handedTo = owner
	if h := e.handovers[owner]; h == nil || h.epoch < epoch {
		e.handovers[owner] = &pendingHandover{epoch: epoch}
	}
}

// handoverPending reports whether the handover of an earlier epoch is not
// complete yet.
func (e *Engine) handoverPending(to version.MemberID) bool {
	h := e.handovers[to]
	return h != nil && !h.completeAcked
}

// acquireSlot records that this member becomes the owner of a slot.
func (e *Engine) acquireSlot(now time.Duration, w *view, o *ownership, st *slotState, before version.MemberID, replica bool) {
	st.since = now
	if before == 0 && o.epoch <= firstEpoch {
		st.since = now - synRetransmitWindow
		return
	}
	r := w.peers[before]
	if r == nil {
		e.recordOwnerLoss(now, w, st, replica)
		return
	}
	st.predecessor = e.predecessor(r.peer, o.epoch)
}

// predecessor returns the predecessor p of an epoch. All slots that p owned
// share it.
func (e *Engine) predecessor(p *peer, epoch uint64) *predecessor {
	for _, known := range e.predecessors {
		if known.peer == p && known.epoch == epoch {
			return known
		}
	}
	pred := &predecessor{peer: p, epoch: epoch}
	e.predecessors = append(e.predecessors, pred)
	return pred
}

// dropLostPredecessors removes the predecessors that are no longer members, and
// records the loss of those whose handover was not complete.
func (e *Engine) dropLostPredecessors(now time.Duration, w *view, o *ownership) {
	for slot := range o.slots {
		st := &o.slots[slot]
		if st.predecessor == nil || w.peers[st.predecessor.id] != nil {
			continue
		}
		st.retransmitUntil, st.exceptionsMissingUntil = st.retransmitEnd(), st.exceptionsMissingEnd()
		if !st.predecessor.handoverComplete() {
			e.recordOwnerLoss(now, w, st, false)
		}
		st.predecessor = nil
	}
}

// recordOwnerLoss records that the previous owner was lost together with its
// entries and exceptions. Opening packets may be retransmissions until the SYN
// retransmit window has passed. All connections are known after the longest
// idle timeout, when each of them has had to send a packet.
//
// replica is true if this member was the standby and held the exceptions.
func (e *Engine) recordOwnerLoss(now time.Duration, w *view, st *slotState, replica bool) {
	st.retransmitUntil = now + synRetransmitWindow
	e.retransmitUntil = st.retransmitUntil
	if !replica {
		st.exceptionsMissingUntil = st.retransmitUntil
		e.exceptionsMissingUntil = st.exceptionsMissingUntil
	}
	for i := range w.version.Services {
		e.allKnownAt = max(e.allKnownAt, now+w.version.Services[i].IdleTimeout)
	}
}

// wasReplica reports whether this member held all exceptions of a slot as the
// standby of an owner that has departed.
func (e *Engine) wasReplica(now time.Duration, w *view, old *ownership, slot uint16, owner version.MemberID) bool {
	if old == nil || old.cur.Owner(slot) != owner || old.cur.Standby(slot) != w.self {
		return false
	}
	p := e.departed[owner]
	return p != nil && p.synced >= old.epoch && p.exceptionsMissingUntil.Load() <= int64(now)
}

// dropHandovers removes the complete handovers.
func (e *Engine) dropHandovers() {
	for id, h := range e.handovers {
		if h.completeAcked {
			delete(e.handovers, id)
		}
	}
}

// ownerTable returns the table of a set of members, from a small cache.
func (e *Engine) ownerTable(set []version.MemberID) *placement.OwnerTable {
	for i := range e.ownerTables {
		if slices.Equal(e.ownerTables[i].set, set) {
			return e.ownerTables[i].table
		}
	}
	const maxTables = 4
	if len(e.ownerTables) >= maxTables {
		e.ownerTables = slices.Delete(e.ownerTables, 0, 1)
	}
	t := placement.NewOwnerTable(set)
	e.ownerTables = append(e.ownerTables, cachedTable{slices.Clone(set), t})
	return t
}

type cachedTable struct {
	set   []version.MemberID
	table *placement.OwnerTable
}
