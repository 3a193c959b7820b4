package owner

import (
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
	shard  int
	done   bool
	marked bool // all that the scan found is queued and marked
	final  bool // so is what predecessors handed over
}

// restart begins a scan if the step from old to w changes owners or bases.
func (s *scan) restart(old, w *view) {
	s.marked, s.final = false, false
	if s.done && old != nil && !changesReplication(old, w) {
		return
	}
	s.shard, s.done = 0, false
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
func (e *Engine) scanStep(w *view) {
	if e.scan.done {
		return
	}
	for range scanShards {
		e.table.Scan(e.scan.shard, func(ent *table.Entry) { e.scanEntry(w, ent) })
		e.scan.shard++
	}
	if e.scan.shard < table.ShardCount {
		return
	}
	for i := range heldShards {
		e.held.sweep(i, func(hash uint64, h held) bool {
			e.replicate(w, item{hash, h.upstream})
			return false
		})
	}
	e.scan.done = true
}

// scanEntry brings one entry in line with the view: whether it is counted,
// whether it is at the base, and which replicas hold it.
func (e *Engine) scanEntry(w *view, ent *table.Entry) {
	t := w.targets[ent.Upstream]
	if t == nil {
		return
	}
	slot := placement.Slot(ent.Hash)
	owned := w.owners.cur.Owner(slot) == w.self
	switch {
	case !owned:
		e.stopCounting(w, ent)
	case ent.Flags&(table.Counted|table.Closed) == 0:
		ent.Flags |= table.Counted
		t.counter.Add(1)
	}
	ent.Flags |= table.AtBase
	if !t.service.deviates(t.id, placement.Bucket(ent.Hash)) {
		return
	}
	ent.Flags &^= table.AtBase
	e.replicate(w, item{ent.Hash, t.id})
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
}

// unconfirmedLife is how long an exception from a relayed opening packet is
// kept without a batch that contains it.
const unconfirmedLife = 10 * time.Second

func (e *Engine) stale(now time.Duration, w *view, hash uint64, h held) bool {
	age := now - time.Duration(h.at)*table.Unit
	t := w.targets[h.upstream]
	if t == nil {
		return h.upstream <= w.newest
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
	return e.scan.done && !e.concerns(w, slot)
}

// superseded reports whether the owner of the slot has confirmed all of its
// exceptions and h is none of them.
func (e *Engine) superseded(w *view, slot uint16, h held) bool {
	owner := w.peers[w.owners.cur.Owner(slot)]
	return owner != nil && h.from != owner.id && owner.synced == w.owners.epoch
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
func (e *Engine) settle(w *view) {
	if !e.scan.done {
		return
	}
	if !e.scan.marked {
		w.mark()
		e.scan.marked = true
	}
	if e.settled >= w.version.Index || !e.tenureSettled() {
		return
	}
	if !e.scan.final {
		w.mark()
		e.scan.final = true
	}
	for _, r := range w.peers {
		if r.out.acked < r.marker {
			return
		}
	}
	e.settled = w.version.Index
}

// mark makes settle and tenureFor wait for what is queued so far.
func (w *view) mark() {
	for _, r := range w.peers {
		r.marker = r.out.queued
	}
}

// tenureSettled reports whether this member has handed over what it gave up
// and received what it took.
func (e *Engine) tenureSettled() bool {
	for _, p := range e.preds {
		if !p.handed() {
			return false
		}
	}
	return e.handedOver()
}
