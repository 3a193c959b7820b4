package owner

import (
	"maps"
	"slices"
	"time"

	"heatherport/internal/connection/table"
	"heatherport/internal/version"
	"heatherport/internal/version/placement"
)

// scanShards is the number of table shards that one tick scans after a change
// of owners or bases.
const scanShards = 16

// scan is the progress of a pass over this member's connections, which a new
// version may require: it queues the exceptions that replicas do not hold yet.
type scan struct {
	shard int
	done  bool
	// ackTargetsSet: everything that the scan found and that predecessors
	// handed over is queued, and setAckTargets was called.
	ackTargetsSet bool
	// allShard and sentAll are the progress of sending the connections
	// without an exception of slots that this member gave up. They follow at
	// the pace of the byte budget.
	allShard int
	sentAll  bool
}

// restart begins a new scan if the step from old to w changes owners or bases,
// or if the previous scan is not done.
func (s *scan) restart(old, w *view) {
	s.ackTargetsSet = false
	if s.done && old != nil && !changesReplication(old, w) {
		return
	}
	s.shard, s.done = 0, false
	s.allShard, s.sentAll = 0, false
}

func changesReplication(old, w *view) bool {
	a, b := old.owners, w.owners
	if a.epoch != b.epoch || !slices.Equal(a.nextSet, b.nextSet) || old.self != w.self {
		return true
	}
	for d, s := range w.services {
		o := old.services[d]
		if o == nil || o.id != s.id || !slices.Equal(o.base, s.base) || !slices.Equal(o.next, s.next) {
			return true
		}
	}
	return false
}

// scanStep scans the next shards. After the last one, it scans the exceptions.
func (e *Engine) scanStep(now time.Duration, w *view) {
	if e.scan.done {
		return
	}
	if e.scan.shard == 0 {
		e.pruneReplicaStates(w)
	}
	for range scanShards {
		e.table.Scan(e.scan.shard, func(ent *table.Entry) { e.scanEntry(now, w, ent) })
		e.scan.shard++
	}
	if e.scan.shard < table.ShardCount {
		return
	}
	for i := range exceptionShards {
		e.exceptions.sweep(i, func(hash uint64, h exception) bool {
			e.scanException(now, w, hash, h)
			return false
		})
	}
	e.scan.done = true
}

// pruneReplicaStates removes what peers hold for slots of which they are no
// longer replicas: they drop it without a message.
func (e *Engine) pruneReplicaStates(w *view) {
	for id, r := range w.peers {
		for hash := range r.out.replicaState {
			if replicas := w.replicas(placement.Slot(hash)); !slices.Contains(replicas[:], id) {
				delete(r.out.replicaState, hash)
			}
		}
	}
}

func (e *Engine) scanException(now time.Duration, w *view, hash uint64, h exception) {
	t := w.targets.get(h.upstream)
	switch {
	case t == nil && !mayBeRetransmitted(now, h.at):
	case t == nil || t.service.deviates(t.id, placement.Bucket(hash)):
		e.replicate(w, item{hash, h.upstream})
	}
}

// mayBeRetransmitted reports whether the opening packet of a connection may
// still be retransmitted. Until then, the connection is kept even if its
// upstream is gone, so that no second upstream gets the packet.
func mayBeRetransmitted(now time.Duration, at table.Time) bool {
	return now-time.Duration(at)*table.Unit < synRetransmitWindow
}

// maxHandoverQueue bounds the connections without an exception that are queued
// for a new owner; new exceptions would otherwise wait behind them.
const maxHandoverQueue = 200

// sendAllStep queues all connections of slots that this member gave up for
// their new owners, a shard at a time.
func (e *Engine) sendAllStep(now time.Duration, w *view) {
	if !e.scan.ackTargetsSet || e.scan.sentAll || !e.predecessorsComplete() {
		return
	}
	for e.scan.allShard < table.ShardCount && len(e.handovers) > 0 {
		if !e.handoverQueuesShort(w) {
			return
		}
		e.table.Scan(e.scan.allShard, func(ent *table.Entry) {
			if ent.Flags&table.Closed == 0 {
				e.sendReleased(now, w, item{ent.Hash(), ent.Upstream}, ent.Seen)
			}
		})
		e.scan.allShard++
	}
	for i := range exceptionShards {
		e.exceptions.sweep(i, func(hash uint64, h exception) bool {
			e.sendReleased(now, w, item{hash, h.upstream}, h.at)
			return false
		})
	}
	for _, r := range w.peers {
		r.completeAckTarget = r.out.queued
	}
	e.scan.sentAll = true
}

// handoverQueuesShort reports whether the queue to every new owner has at most
// maxHandoverQueue items.
func (e *Engine) handoverQueuesShort(w *view) bool {
	for id := range e.handovers {
		if r := w.peers[id]; r != nil && len(r.out.queue) > maxHandoverQueue {
			return false
		}
	}
	return true
}

func (e *Engine) sendReleased(now time.Duration, w *view, it item, at table.Time) {
	newOwner := w.owners.slots[placement.Slot(it.hash)].handedTo
	if r := w.peers[newOwner]; r != nil && (w.targets.get(it.upstream) != nil || mayBeRetransmitted(now, at)) {
		r.out.set(it.hash, it.upstream)
	}
}

// scanEntry updates one entry for the view: whether it is counted, whether it
// is at the base, and which replicas hold it.
func (e *Engine) scanEntry(now time.Duration, w *view, ent *table.Entry) {
	t := w.targets.get(ent.Upstream)
	if t == nil {
		if mayBeRetransmitted(now, ent.Seen) {
			e.replicate(w, item{ent.Hash(), ent.Upstream})
		}
		return
	}
	slot := placement.Slot(ent.Hash())
	owned := w.owners.cur.Owner(slot) == w.self
	switch {
	case !owned:
		e.reportToOwner(w, ent)
		e.stopCounting(w, ent)
	case ent.Flags&(table.Counted|table.Closed) == 0:
		ent.Flags |= table.Counted
		t.counter.Add(1)
	}
	ent.Flags |= table.AtBase
	if !t.service.deviates(t.id, placement.Bucket(ent.Hash())) {
		return
	}
	ent.Flags &^= table.AtBase
	e.replicate(w, item{ent.Hash(), t.id})
}

// reportToOwner queues a connection that this member opened without the owner
// for that owner.
func (e *Engine) reportToOwner(w *view, ent *table.Entry) {
	slot := placement.Slot(ent.Hash())
	if ent.Flags&(table.Counted|table.Assumed) != table.Counted || w.owners.slots[slot].handedTo != 0 {
		return
	}
	if r := w.peers[w.owners.cur.Owner(slot)]; r != nil {
		r.out.set(ent.Hash(), ent.Upstream)
	}
}

// replicas returns the members that must hold the exceptions of a slot.
func (w *view) replicas(slot uint16) [3]version.MemberID {
	o := w.owners
	if newOwner := o.slots[slot].handedTo; newOwner != 0 {
		return [3]version.MemberID{newOwner, o.cur.Standby(slot)}
	}
	if o.cur.Owner(slot) != w.self {
		return [3]version.MemberID{}
	}
	out := [3]version.MemberID{o.cur.Standby(slot)}
	if o.next != nil {
		out[1], out[2] = o.next.Owner(slot), o.next.Standby(slot)
	}
	return out
}

// replicates reports whether this member replicates the exceptions of a slot.
func (w *view) replicates(slot uint16) bool {
	return w.owners.cur.Owner(slot) == w.self || w.owners.slots[slot].handedTo != 0
}

// replicate queues one exception for the replicas of its slot, and returns for
// how many of them it had to.
func (e *Engine) replicate(w *view, it item) int {
	n := 0
	for _, id := range w.replicas(placement.Slot(it.hash)) {
		if r := w.peers[id]; r != nil && r.out.set(it.hash, it.upstream) {
			n++
		}
	}
	return n
}

// sweepExceptions sweeps one shard of the exceptions. It removes those that
// this member need not hold any longer and those that were not confirmed or
// used in time.
func (e *Engine) sweepExceptions(now time.Duration, w *view) {
	e.sweepShard++
	e.exceptions.sweep(e.sweepShard, func(hash uint64, h exception) bool { return e.expired(now, w, hash, h) })
	if e.sweepShard%exceptionShards == 0 {
		e.pruneNumbers()
	}
}

// pruneNumbers removes the numbers of exceptions that were dropped without a
// message.
func (e *Engine) pruneNumbers() {
	for _, p := range e.peers {
		maps.DeleteFunc(p.hashByNumber, func(_, hash uint64) bool {
			h, ok := e.exceptions.get(hash)
			return !ok || h.from != p.id && h.alsoFrom != p.id
		})
	}
}

// unconfirmedRetention is how long an exception from a relayed opening packet
// is kept without a batch that contains it.
const unconfirmedRetention = 10 * time.Second

func (e *Engine) expired(now time.Duration, w *view, hash uint64, h exception) bool {
	age := now - time.Duration(h.at)*table.Unit
	t := w.targets.get(h.upstream)
	if t == nil {
		return h.upstream <= w.maxUpstream && !mayBeRetransmitted(now, h.at)
	}
	slot := placement.Slot(hash)
	if w.owners.cur.Owner(slot) == w.self {
		if age < t.service.idle || now < w.owners.slots[slot].since+t.service.idle {
			return false
		}
		e.events.push(item{hash: hash})
		return true
	}
	if !h.confirmed && age > unconfirmedRetention || e.superseded(w, slot, h) {
		return true
	}
	return e.scan.done && !e.mustHold(w, slot) && !e.peerAhead(w)
}

// peerAhead reports whether a peer has applied a newer version. Under that
// version, this member may be a replica of more slots.
func (e *Engine) peerAhead(w *view) bool {
	for _, p := range e.peers {
		if p.applied.Load() > w.version.Index {
			return true
		}
	}
	return false
}

// superseded reports whether the slot's owner has replicated all of its
// exceptions and h is not one of them.
func (e *Engine) superseded(w *view, slot uint16, h exception) bool {
	owner := w.peers[w.owners.cur.Owner(slot)]
	return owner != nil && h.from != owner.id && h.alsoFrom != owner.id && owner.synced == w.owners.epoch
}

// mustHold reports whether this member must hold the exceptions of a slot.
func (e *Engine) mustHold(w *view, slot uint16) bool {
	o := w.owners
	if o.cur.Owner(slot) == w.self || o.cur.Standby(slot) == w.self || o.slots[slot].handedTo != 0 {
		return true
	}
	return o.next != nil && (o.next.Owner(slot) == w.self || o.next.Standby(slot) == w.self)
}

// updateSettled advances Settled and SettledBase.
func (e *Engine) updateSettled(now time.Duration, w *view) {
	if !e.scan.done {
		return
	}
	if !e.scan.ackTargetsSet && e.predecessorsHandedOver() {
		w.setAckTargets()
		e.scan.ackTargetsSet = true
	}
	if e.scan.ackTargetsSet && e.settled < w.version.Index && e.handoversAcked() && w.acknowledged() {
		e.settled = w.version.Index
	}
	if e.settled == w.version.Index && now >= e.allKnownAt && e.predecessorsComplete() {
		e.settledBase = e.settled
	}
}

// acknowledged reports whether the replicas hold everything up to their ack
// targets.
func (w *view) acknowledged() bool {
	for _, r := range w.peers {
		if r.out.acked < r.ackTarget {
			return false
		}
	}
	return true
}

// predecessorsComplete reports whether predecessors have sent all their
// connections.
func (e *Engine) predecessorsComplete() bool {
	for _, p := range e.predecessors {
		if !p.handoverComplete() {
			return false
		}
	}
	return true
}

// setAckTargets makes updateSettled and handoverFor wait for everything that is
// queued so far.
func (w *view) setAckTargets() {
	for _, r := range w.peers {
		r.ackTarget = r.out.queued
	}
}

// predecessorsHandedOver reports whether predecessors have handed over their
// slots.
func (e *Engine) predecessorsHandedOver() bool {
	for _, p := range e.predecessors {
		if !p.handedOver() {
			return false
		}
	}
	return true
}
