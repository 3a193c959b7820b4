// Package uplink decides which connection attempts the network link of a balancer can
// carry.
//
// It answers loads at which the link is full while upstreams are not: packets that
// queue at the link delay those of all open connections, callers repeat what they sent,
// and answers come late that others would have had in time. What the link cannot carry
// is therefore refused at the first packet. Each connection is charged with the bytes
// that connections to its address take on average. A refusal costs two packets, and its
// caller comes again: the same callers are refused for a while, so that none is admitted
// in the place of another.
//
// A queue that has formed all the same, because sizes vary or something else uses the
// link, shows in the delay of all openings: fewer connections are admitted until it is
// empty.
//
// It fails where all openings are delayed for another reason than the link.
package uplink

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// FrameOverhead is the size in bytes of what a link carries beyond a datagram: the
	// headers of Ethernet, IPv4 and UDP, and the preamble and gap between frames.
	FrameOverhead = 66
	// targetUse is the part of the link that connections are admitted for.
	targetUse = 0.93
	// drainTime is the time in which a queue at the link is emptied: a queue of 100 ms
	// lowers the target by a quarter. minUse bounds that, because the link need not be
	// the reason for the delay.
	drainTime = 400 * time.Millisecond
	minUse    = 0.6
	// burstTime is the time for which connections may be admitted beyond the target, or
	// urgent ones after others are refused.
	burstTime = 100 * time.Millisecond
	// window is the time over which use is measured.
	window = 200 * time.Millisecond
	// shedFrom is the part of a burst that is left when the first callers are refused; a
	// burst later all are. Urgent callers are refused a burst after others.
	shedFrom = 0.5
	// maxDebt bounds the bursts that may be used beyond the target: at that, no urgent
	// caller is left to refuse.
	maxDebt = 1 + shedFrom
	// shedTurn is the time for which the same callers are refused.
	shedTurn = time.Second
	// dearRatio is the multiple of the average bytes from which a connection is dear.
	dearRatio = 2.0
	// dearTurn is the time after which a dear connection comes before others, so that
	// none is refused for good.
	dearTurn = 500 * time.Millisecond
	// averageWeight averages the last 64 connections.
	averageWeight = 1.0 / 64
)

// Link is the link of a balancer. It is not safe for concurrent use. The zero value
// knows no rate and admits all connections.
type Link struct {
	rate     float64 // bytes per second in each direction; zero if unknown
	tokens   float64 // bytes that may be admitted; negative for a debt
	filled   time.Duration
	average  float64 // bytes of a connection
	lowest   int     // greatest priority number seen; lower is more urgent
	lastDear time.Duration
	delay    time.Duration // of packets in the queue at the link
	in, out  meter
}

// New returns a link that carries rate bytes per second in each direction.
func New(rate float64) *Link { return &Link{rate: rate, tokens: rate * burstTime.Seconds()} }

// meter measures the bytes in one direction.
type meter struct {
	bytes, last float64 // in this window and the one before
	began       time.Duration
}

func (m *meter) add(now time.Duration, size int) {
	m.advance(now)
	m.bytes += float64(size)
}

func (m *meter) advance(now time.Duration) {
	switch passed := now - m.began; {
	case passed >= 2*window:
		*m = meter{began: now}
	case passed >= window:
		*m = meter{last: m.bytes, began: m.began + window}
	}
}

// Received and Sent record the bytes of datagrams.
func (l *Link) Received(now time.Duration, size int) { l.in.add(now, size+FrameOverhead) }

// Sent is the counterpart of Received.
func (l *Link) Sent(now time.Duration, size int) { l.out.add(now, size+FrameOverhead) }

// Use returns the part of the link that was in use in the last window in the busier
// direction. It is zero if the rate is unknown.
func (l *Link) Use(now time.Duration) float64 {
	if l.rate == 0 {
		return 0
	}
	l.in.advance(now)
	l.out.advance(now)
	return max(l.in.last, l.out.last) / (l.rate * window.Seconds())
}

// SetDelay tells the link how long packets wait for it.
func (l *Link) SetDelay(d time.Duration) { l.delay = d }

// Attempt is a connection attempt.
type Attempt struct {
	Priority int     // lower is more urgent
	Bytes    float64 // that connections to its address take; zero while unknown
	Caller   uint64  // hash of the caller's address
}

// Admits reports whether the link can carry one more connection, and charges it if so.
func (l *Link) Admits(now time.Duration, a Attempt) bool {
	if l.rate == 0 {
		return true
	}
	l.fill(now)
	l.lowest = max(l.lowest, a.Priority)
	if a.Bytes == 0 {
		a.Bytes = l.average
	}
	if l.isShed(now, a) || l.awaitsTurn(now, a) {
		return false
	}
	l.tokens -= a.Bytes
	if a.Bytes > 0 {
		if l.average == 0 {
			l.average = a.Bytes
		}
		l.average += averageWeight * (a.Bytes - l.average)
	}
	if l.isDear(a) {
		l.lastDear = now
	}
	return true
}

// Charge takes the bytes of packets that belong to no connection that was admitted: a
// refused attempt, or a repeated opening packet.
func (l *Link) Charge(now time.Duration, datagram int) {
	if l.rate > 0 {
		l.fill(now)
		l.tokens -= float64(datagram + FrameOverhead)
	}
}

// Refund gives back what an attempt was charged that was refused later.
func (l *Link) Refund(a Attempt) {
	if l.rate > 0 {
		l.tokens += a.Bytes
	}
}

func (l *Link) burst() float64 { return l.rate * burstTime.Seconds() }

// target returns the part of the link that connections are admitted for.
func (l *Link) target() float64 {
	return max(targetUse-l.delay.Seconds()/drainTime.Seconds(), minUse)
}

func (l *Link) fill(now time.Duration) {
	l.tokens += l.target() * l.rate * (now - l.filled).Seconds()
	l.filled = now
	l.tokens = min(max(l.tokens, -maxDebt*l.burst()), l.burst())
}

// awaitsTurn reports whether a dear attempt must wait until more is left or dearTurn has
// passed since the last one. Urgent attempts do not.
func (l *Link) awaitsTurn(now time.Duration, a Attempt) bool {
	return l.isDear(a) && a.Priority >= l.lowest && now-l.lastDear < dearTurn && l.tokens < shedFrom*l.burst()
}

// isShed reports whether the callers that are refused include that of an attempt. They
// are the same ones for shedTurn: a caller that was refused comes again at once, and
// would be admitted in the place of another that then comes again.
func (l *Link) isShed(now time.Duration, a Attempt) bool {
	part := shedFrom - l.tokens/l.burst()
	if a.Priority < l.lowest {
		part--
	}
	if part <= 0 {
		return false
	}
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], a.Caller)
	binary.LittleEndian.PutUint64(b[8:], uint64(now/shedTurn))
	position := float64(xxhash.Sum64(b[:])) / (1 << 64)
	return position < part
}

func (l *Link) isDear(a Attempt) bool { return l.average > 0 && a.Bytes > dearRatio*l.average }
