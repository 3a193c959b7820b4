package forward

import (
	"sync/atomic"

	"heatherport/internal/result"
)

// counter is an index into counts.
type counter int

const (
	packetsIn counter = iota
	bytesIn
	packetsOut
	bytesOut
	relaysIn
	relaysOut
	relayBytesIn
	relayBytesOut
	refreshesIn
	refreshesOut
	hintsIn
	hintsOut
	refusals
	refusalsLimited
	readErrors
	overflows
	firstCode // first of the counters per result code
)

const (
	codesPerClass = 100
	numCounters   = int(firstCode) + codesPerClass
)

const cacheLineSize = 64 // bytes

// counts are the counters of one batch. They are separate from the shared
// counters so that counting a packet needs no atomic operation.
type counts [numCounters]uint32

func (c *counts) add(i counter, n int) { c[i] += uint32(n) }

// addCode counts a packet that is dropped or refused. Codes outside the packet
// class are counted as Internal.
func (c *counts) addCode(code result.Code) { c[codeCounter(code)]++ }

func codeCounter(code result.Code) counter {
	if code.Class() != result.ClassPacket {
		return firstCode
	}
	return firstCode + counter(code%codesPerClass)
}

// sharedCounts are the counters of one receiver.
type sharedCounts struct {
	_ [cacheLineSize]byte
	n [numCounters]atomic.Uint64
	_ [cacheLineSize]byte
}

// addAndReset adds c to the counters and resets c.
func (s *sharedCounts) addAndReset(c *counts) {
	for i, n := range c {
		if n != 0 {
			s.n[i].Add(uint64(n))
		}
	}
	*c = counts{}
}

// Counters are the totals of a Forwarder since its start.
type Counters struct {
	PacketsIn     uint64 // from the fabric
	BytesIn       uint64 // from the fabric, without UDP headers
	PacketsOut    uint64 // to upstreams
	BytesOut      uint64 // to upstreams, without UDP headers
	RelaysIn      uint64
	RelaysOut     uint64
	RelayBytesIn  uint64 // of relayed packets with their headers
	RelayBytesOut uint64
	RefreshesIn   uint64
	RefreshesOut  uint64
	HintsIn       uint64
	HintsOut      uint64
	Refusals      uint64 // resets and ICMP messages to callers
	// RefusalsLimited counts the ICMP messages suppressed by the rate limit.
	RefusalsLimited uint64
	ReadErrors      uint64
	// Overflows counts the packets that the operating system dropped because
	// the receive buffer of a socket was full.
	Overflows uint64
	// Codes counts dropped and refused packets by cause. Causes without
	// packets are absent.
	Codes map[result.Code]uint64
}

func sumCounters(receivers []*receiver) Counters {
	var sum [numCounters]uint64
	for _, r := range receivers {
		for i := range sum {
			sum[i] += r.shared.n[i].Load()
		}
	}
	return Counters{
		PacketsIn:       sum[packetsIn],
		BytesIn:         sum[bytesIn],
		PacketsOut:      sum[packetsOut],
		BytesOut:        sum[bytesOut],
		RelaysIn:        sum[relaysIn],
		RelaysOut:       sum[relaysOut],
		RelayBytesIn:    sum[relayBytesIn],
		RelayBytesOut:   sum[relayBytesOut],
		RefreshesIn:     sum[refreshesIn],
		RefreshesOut:    sum[refreshesOut],
		HintsIn:         sum[hintsIn],
		HintsOut:        sum[hintsOut],
		Refusals:        sum[refusals],
		RefusalsLimited: sum[refusalsLimited],
		ReadErrors:      sum[readErrors],
		Overflows:       sum[overflows],
		Codes:           codeCounts(sum[firstCode:]),
	}
}

func codeCounts(n []uint64) map[result.Code]uint64 {
	m := make(map[result.Code]uint64)
	for i, count := range n {
		switch {
		case count == 0:
		case i == 0:
			m[result.Internal] = count
		default:
			m[result.Code(int(result.ClassPacket)*codesPerClass+i)] = count
		}
	}
	return m
}
