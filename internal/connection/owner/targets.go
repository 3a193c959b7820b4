package owner

import (
	"math/bits"

	"heatherport/internal/version"
)

// targetIndex finds targets by upstream ID. It is immutable once built. A
// look-up costs less than one in a map.
type targetIndex struct {
	cells []*target
	shift uint8
}

// newTargetIndex returns an index for n targets with a load factor of at most
// one half.
func newTargetIndex(n int) targetIndex {
	size := bits.Len(uint(2*n + 1))
	return targetIndex{cells: make([]*target, 1<<size), shift: uint8(32 - size)}
}

func (x *targetIndex) home(id version.UpstreamID) uint32 {
	const golden = 0x9e3779b1 // Fibonacci hashing spreads consecutive IDs
	return uint32(id) * golden >> x.shift
}

func (x *targetIndex) add(t *target) {
	at := x.home(t.id)
	for x.cells[at] != nil {
		at = (at + 1) & uint32(len(x.cells)-1)
	}
	x.cells[at] = t
}

// get returns the target of an upstream, or nil.
func (x *targetIndex) get(id version.UpstreamID) *target {
	at := x.home(id)
	for {
		t := x.cells[at]
		if t == nil || t.id == id {
			return t
		}
		at = (at + 1) & uint32(len(x.cells)-1)
	}
}
