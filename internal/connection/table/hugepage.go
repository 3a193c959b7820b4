package table

import (
	"unsafe"

	"golang.org/x/sys/unix"
)

const hugePage = 2 << 20

// adviseHugePages asks the kernel to back the array with huge pages, which
// avoids most TLB misses of random accesses. It is advice only: errors are
// ignored, and arrays smaller than one huge page are left as they are.
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
