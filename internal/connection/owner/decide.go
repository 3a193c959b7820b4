package owner

import (
	"time"

	"heatherport/internal/connection"
	"heatherport/internal/connection/table"
	"heatherport/internal/result"
	"heatherport/internal/version"
	"heatherport/internal/version/placement"
)

// request is one packet to decide about. It lives on the stack of Decide.
type request struct {
	now    time.Duration
	view   *view
	packet *connection.Packet
	via    *connection.Relay
	hash   uint64
	slot   uint16
	baseID version.UpstreamID // see baseUpstream; zero until computed
}

// baseUpstream returns the base's first choice for the packet's bucket.
func (r *request) baseUpstream(s *service) version.UpstreamID {
	if r.baseID == 0 {
		r.baseID = s.baseUpstream(r.bucket())
	}
	return r.baseID
}

// deviates reports whether the packet's connection needs an exception if it is
// placed at upstream id.
func (r *request) deviates(s *service, id version.UpstreamID) bool {
	if r.baseUpstream(s) != id {
		return true
	}
	return s.next != nil && placement.First(s.next, r.bucket()) != id
}

func (r *request) bucket() uint16 { return placement.Bucket(r.hash) }

func (r *request) owner() version.MemberID { return r.view.owners.cur.Owner(r.slot) }

// opening reports whether the packet may be the first of its connection.
func (r *request) opening() bool {
	return r.packet.Flags&(connection.FlagOpen|connection.FlagEstablished) != connection.FlagEstablished
}

// positionUnknown reports whether the packet does not show its position in the
// connection: neither that it opens it nor that earlier packets exist.
func (r *request) positionUnknown() bool {
	return r.packet.Flags&(connection.FlagOpen|connection.FlagEstablished) == 0
}

// origin returns the member that received the packet from the fabric.
func (r *request) origin() version.MemberID {
	if r.via == nil {
		return r.view.self
	}
	return r.via.Origin
}

// hops returns the number of relays that the packet may still take.
func (r *request) hops() uint8 {
	if r.via == nil {
		return connection.MaxRelayHops
	}
	return r.via.Hops
}

func drop(code result.Code) connection.Decision {
	return connection.Decision{Action: connection.Drop, Code: code}
}

// MaxPrefetchBatch is the maximum number of packets that Prefetch takes.
const MaxPrefetchBatch = 64

// Prefetch prepares the decisions about at most MaxPrefetchBatch packets: it
// hashes their keys and prefetches their table entries into the CPU cache.
func (e *Engine) Prefetch(packets []connection.Packet) {
	var hashes [MaxPrefetchBatch]uint64
	n := min(len(packets), MaxPrefetchBatch)
	for i := range packets[:n] {
		p := &packets[i]
		p.Hash, p.Hashed = p.KeyHash(), true
		hashes[i] = p.Hash
	}
	e.table.Prefetch(hashes[:n])
}

// Decide returns what to do with a packet. via is the header of a relayed
// packet and nil for a packet from the fabric.
func (e *Engine) Decide(now time.Duration, p *connection.Packet, via *connection.Relay) connection.Decision {
	return e.decideFrom(e.view.Load(), now, p, via)
}

// decideFrom decides by the view w. Meanwhile, another goroutine may store the
// connection at an upstream that only a newer view has. The decision is then
// repeated with the newest view.
func (e *Engine) decideFrom(w *view, now time.Duration, p *connection.Packet, via *connection.Relay) (d connection.Decision) {
	if w == nil {
		return drop(result.DropNotReady)
	}
	r := request{now: now, view: w, packet: p, via: via, hash: p.KeyHash()}
	r.slot = placement.Slot(r.hash)
	e.decide(&r, &d)
	for newer := e.view.Load(); d.Code == result.DropUpstreamGone && newer != r.view; newer = e.view.Load() {
		r.view, r.baseID, d = newer, 0, connection.Decision{}
		e.decide(&r, &d)
	}
	e.stats.count(&r, &d)
	return d
}

func (e *Engine) decide(r *request, d *connection.Decision) {
	if r.via != nil {
		if from := r.view.peers[r.via.From]; from != nil {
			from.recordContact(r.now)
		}
		if r.via.Flags&connection.RelayException != 0 {
			*d = e.recordException(r)
			return
		}
	}
	hit, ok := e.lookup(r)
	if !ok {
		*d = e.decideWithoutEntry(r)
		return
	}
	e.forwardByEntry(r, hit, d)
}

// entrySnapshot is a copy of the fields of a table entry, taken under its lock.
type entrySnapshot struct {
	upstream version.UpstreamID
	flags    table.Flags
	isn      uint32
	refresh  bool          // the owner's entry is to be refreshed
	age      time.Duration // since the last refresh at the owner, or since the owner stored the entry
}

// lookup finds the entry of the packet and updates it.
func (e *Engine) lookup(r *request) (entrySnapshot, bool) {
	s := e.table.Lock(r.hash)
	ent := s.Find(r.hash, &r.packet.Key)
	if ent == nil || e.startsConnection(r, ent) || e.fromNewerVersion(r, ent.Upstream) {
		s.Unlock()
		return entrySnapshot{}, false
	}
	hit := e.touch(r, ent)
	s.Unlock()
	return hit, true
}

// fromNewerVersion reports whether an upstream belongs to a version that this
// member has not applied yet. The owner then forwards the packet.
func (e *Engine) fromNewerVersion(r *request, id version.UpstreamID) bool {
	return id > r.view.maxUpstream && r.owner() != r.view.self
}

// startsConnection reports whether the packet opens a new connection although
// its 5-tuple has an entry. At a member other than the owner, every opening
// packet with another sequence number counts, so that the owner decides.
func (e *Engine) startsConnection(r *request, ent *table.Entry) bool {
	if r.packet.Flags&connection.FlagOpen == 0 || ent.ISN == r.packet.Seq {
		return false
	}
	if r.owner() != r.view.self {
		return true
	}
	idle := time.Duration(table.At(r.now)-ent.Seen) * table.Unit
	return ent.Flags&table.Closed != 0 || idle >= reopenAfterIdle
}

// touch updates the entry of a packet.
func (e *Engine) touch(r *request, ent *table.Entry) entrySnapshot {
	hit := entrySnapshot{upstream: ent.Upstream, flags: ent.Flags, isn: ent.ISN}
	now := table.At(r.now)
	ent.Seen = now
	closing := r.packet.Flags&(connection.FlagFin|connection.FlagReset) != 0 && ent.Flags&table.Closed == 0
	if closing {
		ent.Flags |= table.Closed
	}
	hit.age = time.Duration(now-ent.Refreshed) * table.Unit
	if r.owner() == r.view.self {
		if closing {
			e.stopCounting(r.view, ent)
		}
		return hit
	}
	interval := min(time.Duration(ent.Idle)*time.Second/4, maxRefreshInterval)
	moved := ent.Epoch != r.view.owners.slots[r.slot].ownerEpoch
	if (closing || moved || hit.age >= interval) && e.ownerReachable(r) {
		hit.refresh = true
		ent.Refreshed, ent.Epoch = now, r.view.owners.slots[r.slot].ownerEpoch
		e.stopCounting(r.view, ent)
	}
	return hit
}

// stopCounting removes the entry from the connection count of its upstream.
func (e *Engine) stopCounting(w *view, ent *table.Entry) {
	if ent.Flags&table.Counted == 0 {
		return
	}
	ent.Flags &^= table.Counted
	e.uncount(w, ent.Upstream)
}

func (e *Engine) ownerReachable(r *request) bool {
	p := r.view.peers[r.owner()]
	return p != nil && p.reachable(r.now)
}

// countRetransmission counts a retransmitted opening packet, which is a sign
// that the upstream does not answer.
func (e *Engine) countRetransmission(r *request, id version.UpstreamID) {
	if t := r.view.targets.get(id); t != nil {
		t.counter.retransmissions.Add(1)
	}
}

// forwardByEntry forwards a packet to the upstream of its entry.
func (e *Engine) forwardByEntry(r *request, hit entrySnapshot, d *connection.Decision) {
	if r.packet.Flags&connection.FlagOpen != 0 && r.via == nil {
		e.countRetransmission(r, hit.upstream)
	}
	if e.needsRecord(r, hit) {
		if via, ok := e.viaStandby(r, hit.upstream); ok {
			*d = via
			return
		}
	}
	e.forwardTo(r, d, hit.upstream, hit.isn, hit.flags)
	if hit.refresh && d.Action == connection.Forward {
		e.addRefresh(r, d, hit)
	}
}

func (e *Engine) forward(r *request, id version.UpstreamID, isn uint32, flags table.Flags) (d connection.Decision) {
	e.forwardTo(r, &d, id, isn, flags)
	return d
}

// forwardTo resolves an upstream just before sending, and adds a hint for the
// origin of a relayed packet. It fills in d, which must be zero.
func (e *Engine) forwardTo(r *request, d *connection.Decision, id version.UpstreamID, isn uint32, flags table.Flags) {
	t, same := r.view.resolve(id, &r.packet.Key)
	if t == nil {
		d.Code = result.DropUpstreamGone
		return
	}
	if !same {
		d.Code = result.DropServiceMismatch
		return
	}
	d.Action, d.Upstream, d.Addr = connection.Forward, id, t.addr
	if r.via != nil {
		e.addHint(r, d, id, isn, flags)
	}
}

// addHint adds the hint that names the connection's upstream to the origin of a
// relayed packet.
func (e *Engine) addHint(r *request, d *connection.Decision, id version.UpstreamID, isn uint32, flags table.Flags) {
	to := r.view.peers[r.via.Origin]
	if to == nil {
		return
	}
	packetFlags := connection.FlagOpen
	if flags&table.Assumed != 0 {
		packetFlags = connection.FlagEstablished
	}
	if flags&table.Closed != 0 {
		packetFlags |= connection.FlagFin
	}
	d.HintTo, d.HintAddr = to.id, to.addr
	d.Hint = connection.Hint{From: r.view.self, Key: r.packet.Key, Upstream: id, ISN: isn, Flags: packetFlags}
}

// addRefresh adds a refresh of the owner's entry to the decision.
func (e *Engine) addRefresh(r *request, d *connection.Decision, hit entrySnapshot) {
	to := r.view.peers[r.owner()]
	if to == nil {
		return
	}
	flags := connection.RelayRefresh
	if hit.flags&table.Assumed != 0 {
		flags |= connection.RelayAssumed
	}
	d.RefreshTo, d.RefreshAddr = to.id, to.addr
	d.Refresh = connection.Relay{
		From: r.view.self, Origin: r.view.self, Flags: flags,
		Upstream: hit.upstream, Epoch: r.view.owners.epoch,
	}
}

func (e *Engine) relayTo(r *request, to *route, flags connection.RelayFlags) connection.Decision {
	if r.hops() == 0 {
		return drop(result.DropRelayHops)
	}
	return connection.Decision{
		Action: connection.RelayTo, Peer: to.id, Addr: to.addr,
		Header: connection.Relay{
			From: r.view.self, Hops: r.hops() - 1, Flags: flags,
			Origin: r.origin(), Epoch: r.view.owners.epoch,
		},
	}
}
