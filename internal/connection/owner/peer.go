package owner

import (
	"sync/atomic"
	"time"

	"heatherport/internal/version"
)

// peer is the state kept about another member. It outlives versions.
type peer struct {
	id          version.MemberID
	lastContact atomic.Int64 // time of the last message or relayed packet
	// contactSince is the start of the time without a gap of more than
	// unreachableAfter between contacts.
	contactSince atomic.Int64
	// decidedAlone reports that the peer has decided without the owner
	// within the SYN retransmit window.
	decidedAlone  atomic.Bool
	applied       atomic.Uint64
	handoverEpoch atomic.Uint64 // highest epoch for which the peer has handed over its slots
	// retransmitUntil is the time until which callers may retransmit opening
	// packets that owners before the peer forwarded.
	retransmitUntil atomic.Int64
	// exceptionsMissingUntil is the time until which exceptions of owners
	// before the peer may be missing.
	exceptionsMissingUntil atomic.Int64
	completeEpoch          atomic.Uint64 // highest epoch for which the peer has also sent all their connections

	// The fields below belong to the control goroutine.
	out               stream
	receivedSeq       uint64            // last batch applied
	storesReceived    uint64            // number of storing items received
	hashByNumber      map[uint64]uint64 // hashes of the received storing items, by their number
	ackDue            bool
	ackNow            bool
	counts            map[version.UpstreamID]int32
	reportSeq         uint64
	synced            uint64 // owner epoch for which its exceptions are complete
	member            bool   // it has been in a published version
	ackTarget         uint64 // items of out that Settled waits for
	completeAckTarget uint64 // items of out that a complete Handover waits for
	needFull          bool   // the next load report to it must be complete
}

// newPeer returns a peer whose last contact is now. Its contactSince is a full
// SYN retransmit window ago, because it has decided nothing before it became a
// member.
func newPeer(id version.MemberID, now time.Duration) *peer {
	p := &peer{id: id, needFull: true, counts: make(map[version.UpstreamID]int32), hashByNumber: make(map[uint64]uint64)}
	p.lastContact.Store(int64(now))
	p.contactSince.Store(int64(now - synRetransmitWindow))
	return p
}

// recordContact records a message or relayed packet from p.
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

// reachable reports whether the last contact with p is at most unreachableAfter
// ago.
func (p *peer) reachable(now time.Duration) bool {
	return int64(now)-p.lastContact.Load() <= int64(unreachableAfter)
}

// longUnreachable reports whether p has been unreachable for so long that this
// member decides alone rather than relay to it.
func (p *peer) longUnreachable(now time.Duration) bool {
	return int64(now)-p.lastContact.Load() > int64(decideAloneAfter)
}

// cannotHaveDecidedAlone reports whether p cannot have decided without the
// owner within the SYN retransmit window.
func (p *peer) cannotHaveDecidedAlone(now time.Duration) bool {
	return p.reachable(now) && !p.decidedAlone.Load() && p.contactSince.Load() <= int64(now-synRetransmitWindow)
}
