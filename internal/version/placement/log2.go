package placement

import "math/bits"

const (
	logTableBits = 11 // log2 of the number of segments between two powers of two
	logFracBits  = 32 // fractional bits of a logarithm
	logMax       = uint64(64) << logFracBits
)

// logTable holds log2(1 + i/2^logTableBits) with logFracBits fractional bits.
var logTable = newLogTable()

// newLogTable computes every logarithm by repeated squaring of an integer, so
// that all VMs have the same table.
func newLogTable() *[1<<logTableBits + 1]uint64 {
	var t [1<<logTableBits + 1]uint64
	for i := range 1 << logTableBits {
		t[i] = log2Mantissa(1<<63 | uint64(i)<<(63-logTableBits))
	}
	t[1<<logTableBits] = 1 << logFracBits
	return &t
}

// log2Mantissa returns log2(m / 2^63) for m in [2^63, 2^64).
func log2Mantissa(m uint64) uint64 {
	var out uint64
	for bit := logFracBits - 1; bit >= 0; bit-- {
		hi, lo := bits.Mul64(m, m)
		if hi>>63 == 1 {
			out |= 1 << bit
			m = hi
			continue
		}
		m = hi<<1 | lo>>63
	}
	return out
}

// negLog2 returns -log2(h / 2^64) with logFracBits fractional bits, by integer
// arithmetic only. The result is at least one.
func negLog2(h uint64) uint64 {
	if h == 0 {
		return logMax
	}
	lz := bits.LeadingZeros64(h)
	m := h << lz << 1 // mantissa without its leading one
	i := m >> (64 - logTableBits)
	remainder := m << logTableBits >> 32
	lo := logTable[i]
	frac := lo + (logTable[i+1]-lo)*remainder>>32
	return uint64(lz+1)<<logFracBits - frac
}
