package owner

import (
	"sync/atomic"
	"time"

	"heatherport/internal/version"
)

// peer is what is known of another member. It outlives versions.
type peer struct {
	id         version.MemberID
	lastContact      atomic.Int64 // last message or relayed packet
	contactSince atomic.Int64 // start of the time without a silence
	decidedAlone      atomic.Bool  // it has lately decided without the owner
	applied    atomic.Uint64
	handoverEpoch     atomic.Uint64 // highest epoch for which it has handed its slots over
	retransmitUntil atomic.Int64  // until then, connections of owners before it may be in doubt
	exceptionsMissingUntil  atomic.Int64
	completeEpoch   atomic.Uint64 // highest epoch for which it has also sent all their connections

	// The rest belongs to the control goroutine.
	out       stream
	receivedSeq        uint64            // last batch applied
	storesReceived    uint64            // storing items received
	hashByNumber   map[uint64]uint64 // hashes that they stored, by their number
	ackDue    bool
	ackNow    bool
	counts    map[version.UpstreamID]int32
	reportSeq   uint64
	synced    uint64 // owner epoch for which its exceptions are complete
	member    bool   // it has been in a published version
	ackTarget    uint64 // items of out that Settled waits for
	completeAckTarget uint64 // items of out that a complete Tenure waits for
	needFull  bool   // the next load report to it must be complete
}

// newPeer returns a peer that counts as heard now. It has made no decisions
// before it became a member, so it has no silence to account for.
func newPeer(id version.MemberID, now time.Duration) *peer {
	p := &peer{id: id, needFull: true, counts: make(map[version.UpstreamID]int32), hashByNumber: make(map[uint64]uint64)}
	p.lastContact.Store(int64(now))
	p.contactSince.Store(int64(now - synRetransmitWindow))
	return p
}

// recordContact notes a sign of life.
func (p *peer) recordContact(now time.Duration) {
	last := p.lastContact.Load()
	if int64(now) <= last {
		return
	}
	if int64(now)-last > int64(unreachableAfter) {
		p.contactSince.Store(int64(now))
	}
	p.lastContact.Store(int64(now))
}

// reachable reports whether p has been heard lately.
func (p *peer) reachable(now time.Duration) bool {
	return int64(now)-p.lastContact.Load() <= int64(unreachableAfter)
}

// longUnreachable reports whether p has been silent for so long that this member decides
// alone rather than relay to it.
func (p *peer) longUnreachable(now time.Duration) bool {
	return int64(now)-p.lastContact.Load() > int64(decideAloneAfter)
}

// cannotHaveDecidedAlone reports whether p cannot have decided without the owner within the
// SYN horizon.
func (p *peer) cannotHaveDecidedAlone(now time.Duration) bool {
	return p.reachable(now) && !p.decidedAlone.Load() && p.contactSince.Load() <= int64(now-synRetransmitWindow)
}
