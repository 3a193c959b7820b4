package table

import "sync/atomic"

const (
	tagBits  = 16
	maxIndex = 1 << tagBits // maximum number of cells; the tag alone selects the home cell
	// maxLimit is the number of entries that an index can hold at a load factor
	// of three quarters.
	maxLimit = maxIndex * 3 / 4
)

// cell holds a tag of the hash in the high bits and the number of the entry
// plus one in the low bits. A zero cell is empty. Cells are small so that the
// index of hundreds of thousands of connections fits into the processor's
// second-level cache.
type cell uint32

func (c cell) tag() uint32 { return uint32(c >> tagBits) }

func (c cell) entry() int32 { return int32(c&(1<<tagBits-1)) - 1 }

// tagOf returns tagBits bits of the hash that do not select the shard.
func tagOf(hash uint64) uint32 { return uint32(hash>>shardBits) & (1<<tagBits - 1) }

// index finds entries by open addressing with linear probing. The home cell
// follows from the tag, so a cell can be moved without reading its entry.
type index struct {
	cells []cell // accessed atomically, because Prefetch reads them without the lock
	mask  uint32
}

// indexSize returns the number of cells for limit entries at a load factor of
// at most three quarters.
func indexSize(limit int) int {
	size := 8
	for size*3/4 < limit {
		size <<= 1
	}
	return size
}

func (x *index) home(tag uint32) uint32 { return tag & x.mask }

func (x *index) nextCell(at uint32) uint32 { return (at + 1) & x.mask }

func (x *index) load(at uint32) cell { return cell(atomic.LoadUint32((*uint32)(&x.cells[at]))) }

func (x *index) store(at uint32, c cell) { atomic.StoreUint32((*uint32)(&x.cells[at]), uint32(c)) }

func (x *index) add(tag uint32, entry int32) {
	at := x.home(tag)
	for x.load(at) != 0 {
		at = x.nextCell(at)
	}
	x.store(at, cell(tag)<<tagBits|cell(entry+1))
}

// remove empties a cell and moves later cells back, so that a probe never stops
// at an empty cell before its target.
func (x *index) remove(at uint32) {
	for next := x.nextCell(at); x.load(next) != 0; next = x.nextCell(next) {
		home := x.home(x.load(next).tag())
		if (next-home)&x.mask < (next-at)&x.mask {
			continue
		}
		x.store(at, x.load(next))
		at = next
	}
	x.store(at, 0)
}
