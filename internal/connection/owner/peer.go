package owner

import (
	"sync/atomic"
	"time"

	"heatherport/internal/version"
)

// peer is what is known of another member. It outlives versions.
type peer struct {
	id         version.MemberID
	heard      atomic.Int64 // last message or relayed packet
	heardSince atomic.Int64 // start of the time without a silence
	doubt      atomic.Bool  // it has lately decided without the owner
	applied    atomic.Uint64
	tenure     atomic.Uint64 // highest epoch for which it has handed its slots over
	doubtUntil atomic.Int64  // until then, connections of owners before it may be in doubt
	deepUntil  atomic.Int64
	complete   atomic.Uint64 // highest epoch for which it has also sent all their connections

	// The rest belongs to the control goroutine.
	out       stream
	in        uint64            // last batch applied
	stored    uint64            // storing items received
	numbers   map[uint64]uint64 // hashes that they stored, by their number
	ackDue    bool
	ackNow    bool
	counts    map[version.UpstreamID]int32
	loadSeq   uint64
	synced    uint64 // owner epoch for which its exceptions are complete
	member    bool   // it has been in a published version
	marker    uint64 // items of out that Settled waits for
	allMarker uint64 // items of out that a complete Tenure waits for
	needFull  bool   // the next load report to it must be complete
}

// newPeer returns a peer that counts as heard now. It has made no decisions
// before it became a member, so it has no silence to account for.
func newPeer(id version.MemberID, now time.Duration) *peer {
	p := &peer{id: id, needFull: true, counts: make(map[version.UpstreamID]int32), numbers: make(map[uint64]uint64)}
	p.heard.Store(int64(now))
	p.heardSince.Store(int64(now - synHorizon))
	return p
}

// hear notes a sign of life.
func (p *peer) hear(now time.Duration) {
	last := p.heard.Load()
	if int64(now) <= last {
		return
	}
	if int64(now)-last > int64(silentAfter) {
		p.heardSince.Store(int64(now))
	}
	p.heard.Store(int64(now))
}

// alive reports whether p has been heard lately.
func (p *peer) alive(now time.Duration) bool {
	return int64(now)-p.heard.Load() <= int64(silentAfter)
}

// lost reports whether p has been silent for so long that this member decides
// alone rather than relay to it.
func (p *peer) lost(now time.Duration) bool {
	return int64(now)-p.heard.Load() > int64(lostAfter)
}

// certain reports whether p cannot have decided without the owner within the
// SYN horizon.
func (p *peer) certain(now time.Duration) bool {
	return p.alive(now) && !p.doubt.Load() && p.heardSince.Load() <= int64(now-synHorizon)
}
