package table

import (
	"unsafe"

	"golang.org/x/sys/unix"
)

const hugePage = 2 << 20

// adviseHugePages asks the system to back the array with huge pages, which
// saves most of the address translation of scattered accesses. It is advice
// only: errors are ignored, and arrays below one huge page are left alone.
func adviseHugePages[T any](array []T) {
	size := len(array) * int(unsafe.Sizeof(array[0]))
	start := uintptr(unsafe.Pointer(&array[0]))
	skip := int(-start & (hugePage - 1))
	size = (size - skip) &^ (hugePage - 1)
	if size <= 0 {
		return
	}
	_ = unix.Madvise(unsafe.Slice((*byte)(unsafe.Pointer(&array[0])), skip+size)[skip:], unix.MADV_HUGEPAGE)
}
