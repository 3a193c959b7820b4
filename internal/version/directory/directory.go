// Package directory merges what upstreams announce about themselves. The state
// is soft: any controller accepts announcements, and records from several
// controllers merge in any order to the same result.
//
// # Order
//
// An incarnation is identified by the upstream's identifier and its start time.
// Of two records with the same identifier the one with the later start wins.
// Within an incarnation Gone wins over Leaving and Leaving over Serving;
// between equal states the higher sequence number wins. Two controllers that got the
// same announcement may have chosen different owners of the slow start; of these the
// greater name wins.
//
// # Silence and end
//
// An incarnation ends when it withdraws or when a later one starts at its address. Silence
// ends nothing: a controller that is cut off hears of no upstream, although all live. An
// upstream that is silent for longer than a connection may live is forgotten where it is
// silent, without a trace, and known again with its next announcement or the next record
// of another controller.
//
// An ended incarnation stays known for longer than a silent one anywhere, and for longer
// than a network holds up an announcement, so that none of these can revive it. Records
// that are passed on or saved carry their age for the same reason.
package directory

import (
	"container/list"
	"math"
	"net/netip"
	"time"

	"heatherport/internal/result"
)

// Entry is a record with local bookkeeping.
type Entry struct {
	Record
	Known      time.Duration // when the incarnation became known here
	LastUpdate time.Duration // when the record was last confirmed; later after Excuse
	Revision   uint64        // directory revision of its last change
	Ended      time.Duration // when it became Gone
	ColdUntil  time.Duration // end of its slow start

	heard      time.Duration // when the upstream was last heard of, anywhere
	tag        uint32        // of the incarnation
	lastQuorum time.Duration // last time at which a quorum suspected it
	change     *list.Element // position in Directory.changes
}

// Tag returns the tag of the incarnation, as Record.Tag does, without computing
// it again.
func (e *Entry) Tag() uint32 { return e.tag }

// Config sets the expiry of entries.
type Config struct {
	// LapseAfter is the time without an announcement after which an upstream is
	// marked as lapsed. Zero leaves that to the sender of the records.
	LapseAfter time.Duration
	// Retention is the time for which silent upstreams stay known; zero for no limit.
	Retention time.Duration
	// EndedRetention is the time for which ended upstreams stay known; zero for Retention.
	EndedRetention time.Duration
	// Forgotten is called, if it is set, with each upstream that is forgotten.
	Forgotten func(e *Entry)
}

// Directory is the merged state. It is not safe for concurrent use.
type Directory struct {
	cfg       Config
	now       time.Duration // time of the last call
	rev       uint64
	urgentRev uint64 // revision of the last change of a state
	entries   map[string]*Entry
	byAddress map[netip.AddrPort]*Entry // latest incarnation, ended or not
	byTag     map[uint32]*Entry
	changes   *list.List // of *Entry, by Revision
	// reports holds the recent suspicions by tag, also of upstreams whose record
	// has not arrived.
	reports map[uint32]reports
}

// New returns an empty directory.
func New(cfg Config) *Directory {
	return &Directory{
		cfg: cfg, entries: make(map[string]*Entry), byAddress: make(map[netip.AddrPort]*Entry),
		byTag: make(map[uint32]*Entry), changes: list.New(), reports: make(map[uint32]reports),
	}
}

// markChanged gives an entry the next revision. Changes of its state are urgent.
func (d *Directory) markChanged(e *Entry, urgent bool) {
	d.rev++
	e.Revision = d.rev
	if urgent {
		d.urgentRev = d.rev
	}
	if e.change == nil {
		e.change = d.changes.PushBack(e)
		return
	}
	d.changes.MoveToBack(e.change)
}

// Revision returns the revision, which grows with each change.
func (d *Directory) Revision() uint64 { return d.rev }

// UrgentRevision returns the revision of the last change other than of Lapsed and
// Ejected, which only order the choice of upstreams.
func (d *Directory) UrgentRevision() uint64 { return d.urgentRev }

// Len returns the number of upstreams, ended ones included.
func (d *Directory) Len() int { return len(d.entries) }

// Get returns the entry of an identifier, or nil.
func (d *Directory) Get(id string) *Entry { return d.entries[id] }

// Announce takes an announcement that came from the upstream itself. A delayed
// announcement of an earlier incarnation changes nothing and is not an error.
func (d *Directory) Announce(now time.Duration, r Record) (changed bool, err error) {
	if err := r.Check(); err != nil {
		return false, err
	}
	old := d.entries[r.ID]
	if old != nil && old.StartMillis == r.StartMillis && (old.Service != r.Service || old.Address != r.Address) {
		return false, result.Errorf(result.IncarnationConflict, "%s has already announced service %s at %s", r.ID, old.Service, old.Address)
	}
	return d.Merge(now, r), nil
}

// Merge takes a record from an announcement or from another controller. It
// reports whether anything other than its last update and sequence number has
// changed. A record that Check rejects changes nothing.
func (d *Directory) Merge(now time.Duration, r Record) (changed bool) {
	// Whether an upstream has lapsed or is ejected is decided by each controller
	// from the announcements and suspicions that reach it.
	r.Lapsed, r.Ejected = false, false
	d.now = now
	heard := now - r.age()
	r.SilentMillis = 0
	if r.Check() != nil {
		return false
	}
	old := d.entries[r.ID]
	if d.isExpired(now, r.State, heard) {
		return d.endSuperseded(now, old, &r)
	}
	if old != nil && !r.supersedes(&old.Record) {
		return false
	}
	if holder := d.byAddress[r.Address]; holder != nil && holder.ID != r.ID {
		if holder.StartMillis > r.StartMillis {
			r.State = Gone
		} else {
			d.end(now, holder)
		}
	}
	isLapsed := d.cfg.LapseAfter > 0 && now-heard > d.cfg.LapseAfter
	if old != nil && old.StartMillis == r.StartMillis && old.State == r.State && (!old.Lapsed || isLapsed) {
		old.Seq = r.Seq
		old.LastUpdate = max(old.LastUpdate, heard)
		old.heard = max(old.heard, heard)
		return d.updateSlowStart(now, old, &r)
	}
	d.put(now, heard, old, r)
	return true
}

// endSuperseded ends a known incarnation if a record that is too old to be kept says that it
// has ended or has a successor.
func (d *Directory) endSuperseded(now time.Duration, old *Entry, r *Record) (changed bool) {
	if old == nil || old.State == Gone || r.StartMillis < old.StartMillis || r.StartMillis == old.StartMillis && r.State != Gone {
		return false
	}
	d.end(now, old)
	return true
}

// Restore takes a record that this process saved. The upstream has a new time to announce
// itself before it lapses: while the process was down, it could not.
func (d *Directory) Restore(now time.Duration, r Record) {
	if e := d.entries[r.ID]; d.Merge(now, r) && d.entries[r.ID] != e {
		d.entries[r.ID].LastUpdate = now
	}
}

// isExpired reports whether a directory forgets an upstream in a state that was last heard
// of, or ended, at a time.
func (d *Directory) isExpired(now time.Duration, s State, at time.Duration) bool {
	retention := d.cfg.Retention
	if s == Gone && d.cfg.EndedRetention > 0 {
		retention = d.cfg.EndedRetention
	}
	return retention > 0 && now-at > retention
}

func (d *Directory) put(now, heard time.Duration, old *Entry, r Record) {
	e := &Entry{Record: r, tag: r.Tag(), Known: now, LastUpdate: heard, heard: heard, ColdUntil: now + r.SlowStart}
	if r.State == Gone {
		e.Ended = heard
	}
	if old != nil {
		if old.StartMillis == r.StartMillis {
			e.Known = old.Known
		}
		d.release(old)
	}
	d.entries[r.ID] = e
	d.byTag[e.tag] = e
	d.markChanged(e, true)
	d.applyReports(now, e)
	if holder := d.byAddress[r.Address]; holder == nil || holder.StartMillis <= r.StartMillis {
		d.byAddress[r.Address] = e
	}
}

// slowStartTolerance is the time by which the end of a slow start may move from one
// announcement to the next because of delays.
const slowStartTolerance = 250 * time.Millisecond

// updateSlowStart applies a later announcement of a known incarnation. The upstream may
// have become cold again, or be warm although a record from disk says otherwise, or
// another controller may have chosen its owner.
func (d *Directory) updateSlowStart(now time.Duration, e *Entry, r *Record) (changed bool) {
	until := now + r.SlowStart
	if moved := until - max(e.ColdUntil, now); moved < -slowStartTolerance || moved > slowStartTolerance {
		e.ColdUntil = until
		changed = true
	}
	if r.Owner != "" && r.Owner != e.Owner {
		e.Owner = r.Owner
		changed = true
	}
	if changed {
		d.markChanged(e, true)
	}
	return changed
}

// export returns the record of an entry with its age and the rest of its slow start.
func (d *Directory) export(e *Entry) Record {
	r := e.Record
	r.SlowStart = max(e.ColdUntil-d.now, 0)
	since := e.heard
	if e.State == Gone {
		since = e.Ended
	}
	r.SilentMillis = uint32(min(max((d.now-since).Milliseconds(), 0), math.MaxUint32))
	return r
}

// release removes an entry from the indexes.
func (d *Directory) release(e *Entry) {
	if d.byAddress[e.Address] == e {
		delete(d.byAddress, e.Address)
	}
	if d.byTag[e.tag] == e {
		delete(d.byTag, e.tag)
	}
	d.changes.Remove(e.change)
}

func (d *Directory) end(now time.Duration, e *Entry) {
	if e.State == Gone {
		return
	}
	e.State = Gone
	e.Ended = now
	d.markChanged(e, true)
}

// Withdraw ends the incarnation of an identifier that started at startMillis. It changes
// nothing if another one is known.
func (d *Directory) Withdraw(now time.Duration, id string, startMillis int64) (changed bool) {
	e := d.entries[id]
	if e == nil || e.StartMillis != startMillis || e.State == Gone {
		return false
	}
	d.end(now, e)
	return true
}

// Renew confirms the incarnations with the given tags, which announced
// themselves at another controller.
func (d *Directory) Renew(now time.Duration, tags []uint32) (changed bool) {
	for _, tag := range tags {
		e := d.byTag[tag]
		if e == nil || e.State == Gone {
			continue
		}
		e.LastUpdate, e.heard = now, now
		changed = d.setLapsed(e, false) || changed
	}
	return changed
}

// Confirm confirms an upstream of which others have heard, in a directory that does not mark
// upstreams as lapsed itself.
func (d *Directory) Confirm(now time.Duration, id string) {
	if e := d.entries[id]; e != nil {
		e.heard = now
	}
}

// Excuse extends the time until upstreams lapse by a stall of this process, in which it read
// no announcements. It does not make them younger: others may have heard that they ended.
func (d *Directory) Excuse(stall time.Duration) {
	for _, e := range d.entries {
		e.LastUpdate += stall
	}
}

// Age makes upstreams older by a time in which the clock of the directory stood still.
func (d *Directory) Age(suspended time.Duration) {
	for _, e := range d.entries {
		e.heard -= suspended
		e.Ended -= suspended
	}
}

// Tick marks upstreams without recent announcements as lapsed, ends expired ejections and
// forgets upstreams whose retention has passed.
func (d *Directory) Tick(now time.Duration) (changed bool) {
	d.now = now
	changed = d.tickReports(now)
	for id, e := range d.entries {
		changed = d.expireEjection(now, e) || changed
		switch {
		case e.State == Gone:
			if d.isExpired(now, Gone, e.Ended) {
				d.forget(id, e)
			}
		case d.isExpired(now, e.State, e.heard):
			d.forget(id, e)
			changed = true
		case d.cfg.LapseAfter > 0 && now-e.LastUpdate > d.cfg.LapseAfter:
			changed = d.setLapsed(e, true) || changed
		}
	}
	return changed
}

func (d *Directory) forget(id string, e *Entry) {
	delete(d.entries, id)
	d.release(e)
	if d.cfg.Forgotten != nil {
		d.cfg.Forgotten(e)
	}
}

func (d *Directory) setLapsed(e *Entry, lapsed bool) bool {
	if e.Lapsed == lapsed {
		return false
	}
	e.Lapsed = lapsed
	d.markChanged(e, false)
	return true
}

// Entries returns all entries. Callers must not modify them.
func (d *Directory) Entries() []*Entry {
	out := make([]*Entry, 0, len(d.entries))
	for _, e := range d.entries {
		out = append(out, e)
	}
	return out
}

// Since returns the records that changed after the given revision, the last
// change first.
func (d *Directory) Since(rev uint64) []Record {
	var out []Record
	for c := d.changes.Back(); c != nil; c = c.Prev() {
		e := c.Value.(*Entry)
		if e.Revision <= rev {
			break
		}
		out = append(out, d.export(e))
	}
	return out
}
