package owner

import (
	"time"

	"heatherport/internal/connection"
	"heatherport/internal/connection/flow"
	"heatherport/internal/connection/table"
	"heatherport/internal/result"
	"heatherport/internal/version/placement"
)

// Hint stores the upstream that another member reports for a connection, so
// that later packets are forwarded directly.
func (e *Engine) HandleHint(now time.Duration, h *connection.Hint) {
	w := e.view.Load()
	if w == nil {
		return
	}
	if from := w.peers[h.From]; from != nil {
		from.recordContact(now)
	}
	t, same := w.resolve(h.Upstream, &h.Key)
	if !same {
		return
	}
	var flags table.Flags
	if h.Flags&connection.FlagOpen == 0 {
		flags |= table.Assumed
	}
	e.storeLearned(now, w, &h.Key, h.Key.Hash(), t, h.ISN, flags)
}

// storeLearned stores an entry that another member has reported. The owner
// knows the connection, so the entry counts as just refreshed. An entry that an
// owner already has is never overwritten.
func (e *Engine) storeLearned(now time.Duration, w *view, key *flow.Key, hash uint64, t *target, isn uint32, flags table.Flags) {
	slot := placement.Slot(hash)
	s := e.table.Lock(hash)
	defer s.Unlock()
	ent := s.Find(hash, key)
	if ent != nil && w.owners.cur.Owner(slot) == w.self {
		return
	}
	if ent == nil {
		ent = s.Insert(now, hash, key, t.service.idle)
	}
	if ent == nil {
		return
	}
	e.stopCounting(w, ent)
	if ent.Upstream != t.id || ent.ISN != isn {
		ent.Flags = flags
	}
	ent.Upstream, ent.Refreshed = t.id, table.At(now)
	if isn != 0 {
		ent.ISN = isn
	}
	ent.Epoch = w.owners.slots[slot].ownerEpoch
	deviates := t.service.deviates(t.id, placement.Bucket(hash))
	if !deviates {
		ent.Flags |= table.AtBase
	}
	if w.owners.cur.Owner(slot) == w.self {
		e.countAsOwner(hash, ent, t, deviates)
	}
}

// countAsOwner counts an entry that this owner has received from another
// member, and queues its exception.
func (e *Engine) countAsOwner(hash uint64, ent *table.Entry, t *target, deviates bool) {
	e.exceptions.remove(hash)
	ent.Flags |= table.Counted
	t.counter.Add(1)
	if deviates {
		e.events.push(item{hash, t.id})
	}
}

// Refresh renews the owner's entry of a connection whose packets another member
// forwards itself. A new owner learns the connection from it. The decision
// holds a hint if the other member's entry is wrong, and nothing else.
func (e *Engine) Refresh(now time.Duration, p *connection.Packet, via *connection.Relay) connection.Decision {
	w := e.view.Load()
	if w == nil {
		return drop(result.DropNotReady)
	}
	if from := w.peers[via.From]; from != nil {
		from.recordContact(now)
	}
	r := request{now: now, view: w, packet: p, via: via, hash: p.KeyHash()}
	r.slot = placement.Slot(r.hash)
	if r.owner() != w.self {
		return drop(result.OK)
	}
	t, same := w.resolve(via.Upstream, &p.Key)
	if !same {
		return drop(result.OK)
	}
	return e.refresh(&r, t)
}

func (e *Engine) refresh(r *request, t *target) connection.Decision {
	closing := r.packet.Flags&(connection.FlagFin|connection.FlagReset) != 0
	s := e.table.Lock(r.hash)
	defer s.Unlock()
	ent := s.Find(r.hash, &r.packet.Key)
	if ent == nil {
		e.learnFromRefresh(r, s, t, closing)
		return drop(result.OK)
	}
	if ent.Upstream != t.id {
		return e.resolveConflict(r, ent, t)
	}
	ent.Seen = table.At(r.now)
	if r.via.Flags&connection.RelayAssumed == 0 {
		ent.Flags &^= table.Assumed
	}
	if closing {
		ent.Flags |= table.Closed
		e.stopCounting(r.view, ent)
	}
	return drop(result.OK)
}

// learnFromRefresh stores a connection that the owner did not know.
func (e *Engine) learnFromRefresh(r *request, s *table.Shard, t *target, closing bool) {
	if closing {
		return
	}
	ent := s.Insert(r.now, r.hash, &r.packet.Key, t.service.idle)
	if ent == nil {
		return
	}
	flags := table.Counted
	if r.via.Flags&connection.RelayAssumed != 0 {
		flags |= table.Assumed
	}
	e.fillEntry(r, ent, t, flags)
}

// resolveConflict handles a refresh that holds another upstream than the
// owner's entry. An upstream that the owner only assumed from the base is
// replaced by one that the sender knows. Otherwise the owner's entry stands,
// and a hint corrects the sender.
func (e *Engine) resolveConflict(r *request, ent *table.Entry, t *target) connection.Decision {
	assumed := r.via.Flags&connection.RelayAssumed != 0
	if ent.Flags&table.Assumed != 0 && !assumed {
		e.fillEntry(r, ent, t, table.Counted)
		return drop(result.OK)
	}
	d := drop(result.OK)
	e.addHint(r, &d, ent.Upstream, ent.ISN, ent.Flags)
	return d
}
