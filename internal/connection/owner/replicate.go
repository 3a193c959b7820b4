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

// scan is the walk over the own connections that a new version makes
// necessary: it queues the exceptions that replicas do not hold yet.
type scan struct {
	shard int
	done  bool
	final bool // all that the scan found and predecessors handed over is queued and marked
	// The connections without an exception of slots that were given up
	// follow, at the pace of the byte budget.
	allShard int
	sentAll  bool
}

// restart begins a scan if the step from old to w changes owners or bases.
func (s *scan) restart(old, w *view) {
	s.final = false
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

// scanStep advances the scan.
func (e *Engine) scanStep(now time.Duration, w *view) {
	if e.scan.done {
		return
	}
	if e.scan.shard == 0 {
		e.pruneShadows(w)
	}
	for range scanShards {
		e.table.Scan(e.scan.shard, func(ent *table.Entry) { e.scanEntry(now, w, ent) })
		e.scan.shard++
	}
	if e.scan.shard < table.ShardCount {
		return
	}
	for i := range heldShards {
		e.held.sweep(i, func(hash uint64, h held) bool {
			e.scanHeld(now, w, hash, h)
			return false
		})
	}
	e.scan.done = true
}

// pruneShadows forgets what members hold for slots of which they are no longer
// replicas: they drop it without a message.
func (e *Engine) pruneShadows(w *view) {
	for id, r := range w.peers {
		for hash := range r.out.shadow {
			if replicas := w.replicas(placement.Slot(hash)); !slices.Contains(replicas[:], id) {
				delete(r.out.shadow, hash)
			}
		}
	}
}

func (e *Engine) scanHeld(now time.Duration, w *view, hash uint64, h held) {
	t := w.targets.get(h.upstream)
	switch {
	case t == nil && !young(now, h.at):
	case t == nil || t.service.deviates(t.id, placement.Bucket(hash)):
		e.replicate(w, item{hash, h.upstream})
	}
}

// young reports whether the opening packet of a connection may still be
// retransmitted. Until then, the connection counts even if its upstream is
// gone, so that no second upstream gets the packet.
func young(now time.Duration, at table.Time) bool {
	return now-time.Duration(at)*table.Unit < synHorizon
}

// sendAllAhead bounds the items queued for a new owner beyond its exceptions,
// which would otherwise wait behind them.
const sendAllAhead = 200

// sendAllStep queues all connections of slots that were given up for their new
// owners, a shard at a time.
func (e *Engine) sendAllStep(now time.Duration, w *view) {
	if !e.scan.final || e.scan.sentAll || !e.allKnown() {
		return
	}
	for e.scan.allShard < table.ShardCount && len(e.handovers) > 0 {
		if !e.handoversIdle(w) {
			return
		}
		e.table.Scan(e.scan.allShard, func(ent *table.Entry) {
			if ent.Flags&table.Closed == 0 {
				e.sendGiven(now, w, item{ent.Hash(), ent.Upstream}, ent.Seen)
			}
		})
		e.scan.allShard++
	}
	for i := range heldShards {
		e.held.sweep(i, func(hash uint64, h held) bool {
			e.sendGiven(now, w, item{hash, h.upstream}, h.at)
			return false
		})
	}
	for _, r := range w.peers {
		r.allMarker = r.out.queued
	}
	e.scan.sentAll = true
}

// handoversIdle reports whether the queues to all new owners are short.
func (e *Engine) handoversIdle(w *view) bool {
	for id := range e.handovers {
		if r := w.peers[id]; r != nil && len(r.out.queue) > sendAllAhead {
			return false
		}
	}
	return true
}

func (e *Engine) sendGiven(now time.Duration, w *view, it item, at table.Time) {
	gave := w.owners.slots[placement.Slot(it.hash)].gave
	if r := w.peers[gave]; r != nil && (w.targets.get(it.upstream) != nil || young(now, at)) {
		r.out.set(it.hash, it.upstream)
	}
}

// scanEntry brings one entry in line with the view: whether it is counted,
// whether it is at the base, and which replicas hold it.
func (e *Engine) scanEntry(now time.Duration, w *view, ent *table.Entry) {
	t := w.targets.get(ent.Upstream)
	if t == nil {
		if young(now, ent.Seen) {
			e.replicate(w, item{ent.Hash(), ent.Upstream})
		}
		return
	}
	slot := placement.Slot(ent.Hash())
	owned := w.owners.cur.Owner(slot) == w.self
	switch {
	case !owned:
		e.reportAlone(w, ent)
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

// reportAlone tells the owner of a connection that this member opened without
// it.
func (e *Engine) reportAlone(w *view, ent *table.Entry) {
	slot := placement.Slot(ent.Hash())
	if ent.Flags&(table.Counted|table.Assumed) != table.Counted || w.owners.slots[slot].gave != 0 {
		return
	}
	if r := w.peers[w.owners.cur.Owner(slot)]; r != nil {
		r.out.set(ent.Hash(), ent.Upstream)
	}
}

// replicas returns the members that must hold the exceptions of a slot.
func (w *view) replicas(slot uint16) [3]version.MemberID {
	o := w.owners
	if gave := o.slots[slot].gave; gave != 0 {
		return [3]version.MemberID{gave, o.cur.Standby(slot)}
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
	return w.owners.cur.Owner(slot) == w.self || w.owners.slots[slot].gave != 0
}

// replicate queues one exception for the replicas of its slot, and returns for
// how many it had to.
func (e *Engine) replicate(w *view, it item) int {
	n := 0
	for _, id := range w.replicas(placement.Slot(it.hash)) {
		if r := w.peers[id]; r != nil && r.out.set(it.hash, it.upstream) {
			n++
		}
	}
	return n
}

// heldStep sweeps a part of the received exceptions: it drops those that no
// longer concern this member and those that nothing has confirmed or used.
func (e *Engine) heldStep(now time.Duration, w *view) {
	e.sweepAt++
	e.held.sweep(e.sweepAt, func(hash uint64, h held) bool { return e.stale(now, w, hash, h) })
	if e.sweepAt%heldShards == 0 {
		e.sweepNumbers()
	}
}

// sweepNumbers forgets the numbers of exceptions that were dropped without a
// message.
func (e *Engine) sweepNumbers() {
	for _, p := range e.peers {
		maps.DeleteFunc(p.numbers, func(_, hash uint64) bool {
			h, ok := e.held.get(hash)
			return !ok || h.from != p.id && h.also != p.id
		})
	}
}

// unconfirmedLife is how long an exception from a relayed opening packet is
// kept without a batch that contains it.
const unconfirmedLife = 10 * time.Second

func (e *Engine) stale(now time.Duration, w *view, hash uint64, h held) bool {
	age := now - time.Duration(h.at)*table.Unit
	t := w.targets.get(h.upstream)
	if t == nil {
		return h.upstream <= w.newest && !young(now, h.at)
	}
	slot := placement.Slot(hash)
	if w.owners.cur.Owner(slot) == w.self {
		if age < t.service.idle || now < w.owners.slots[slot].since+t.service.idle {
			return false
		}
		e.events.push(item{hash: hash})
		return true
	}
	if !h.confirmed && age > unconfirmedLife || e.superseded(w, slot, h) {
		return true
	}
	return e.scan.done && !e.concerns(w, slot) && !e.behind(w)
}

// behind reports whether a peer has applied a newer version. Under that, this
// member may be a replica of more slots.
func (e *Engine) behind(w *view) bool {
	for _, p := range e.peers {
		if p.applied.Load() > w.version.Index {
			return true
		}
	}
	return false
}

// superseded reports whether the owner of the slot has confirmed all of its
// exceptions and h is none of them.
func (e *Engine) superseded(w *view, slot uint16, h held) bool {
	owner := w.peers[w.owners.cur.Owner(slot)]
	return owner != nil && h.from != owner.id && h.also != owner.id && owner.synced == w.owners.epoch
}

// concerns reports whether this member must hold the exceptions of a slot.
func (e *Engine) concerns(w *view, slot uint16) bool {
	o := w.owners
	if o.cur.Owner(slot) == w.self || o.cur.Standby(slot) == w.self || o.slots[slot].gave != 0 {
		return true
	}
	return o.next != nil && (o.next.Owner(slot) == w.self || o.next.Standby(slot) == w.self)
}

// settle advances Settled.
func (e *Engine) settle(now time.Duration, w *view) {
	if !e.scan.done {
		return
	}
	if !e.scan.final && e.tenureReceived() {
		w.mark()
		e.scan.final = true
	}
	if e.scan.final && e.settled < w.version.Index && e.handedOver() && w.acknowledged() {
		e.settled = w.version.Index
	}
	if e.settled == w.version.Index && now >= e.knownAt && e.allKnown() {
		e.based = e.settled
	}
}

// acknowledged reports whether the replicas hold all that was marked.
func (w *view) acknowledged() bool {
	for _, r := range w.peers {
		if r.out.acked < r.marker {
			return false
		}
	}
	return true
}

// allKnown reports whether predecessors have sent all their connections.
func (e *Engine) allKnown() bool {
	for _, p := range e.preds {
		if !p.finished() {
			return false
		}
	}
	return true
}

// mark makes settle and tenureFor wait for what is queued so far.
func (w *view) mark() {
	for _, r := range w.peers {
		r.marker = r.out.queued
	}
}

// tenureReceived reports whether predecessors have handed over their slots.
func (e *Engine) tenureReceived() bool {
	for _, p := range e.preds {
		if !p.handed() {
			return false
		}
	}
	return true
}
