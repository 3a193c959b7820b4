package owner

import (
	"encoding/binary"

	"heatherport/internal/version"
)

// item is one change to a replica's exceptions. Upstream zero means that the
// connection ended.
type item struct {
	hash     uint64
	upstream version.UpstreamID
}

// itemBytes is the usual encoded size of an item that stores an exception and
// of the one that removes it later.
const itemBytes = 9 + 3

// appendStore appends an item that stores an exception: twice the upstream ID
// as a varint, and the hash. The items that store are numbered from one.
func appendStore(b []byte, it item) []byte {
	b = binary.AppendUvarint(b, uint64(it.upstream)<<1)
	return binary.BigEndian.AppendUint64(b, it.hash)
}

// appendRemove appends an item that removes what the age-th last storing item
// has stored.
func appendRemove(b []byte, age uint64) []byte {
	return binary.AppendUvarint(b, age<<1|1)
}

// decoded is one decoded item: a storing one if upstream is not zero, else one
// that removes.
type decoded struct {
	item
	age uint64
}

// nextItem decodes the first item of b and returns the rest.
func nextItem(b []byte) (d decoded, rest []byte, ok bool) {
	v, n := binary.Uvarint(b)
	if n <= 0 {
		return d, nil, false
	}
	if v&1 == 1 {
		d.age = v >> 1
		return d, b[n:], true
	}
	if len(b) < n+8 {
		return d, nil, false
	}
	d.upstream, d.hash = version.UpstreamID(v>>1), binary.BigEndian.Uint64(b[n:])
	return d, b[n+8:], d.upstream != 0
}

// appendCount appends the difference to the previous upstream ID and the
// number of open connections, both as varints.
func appendCount(b []byte, gap version.UpstreamID, n int32) []byte {
	b = binary.AppendUvarint(b, uint64(gap))
	return binary.AppendUvarint(b, uint64(max(n, 0)))
}

// nextCount decodes the first count of b and returns the rest.
func nextCount(b []byte) (gap version.UpstreamID, n int32, rest []byte, ok bool) {
	g, k := binary.Uvarint(b)
	if k <= 0 {
		return 0, 0, nil, false
	}
	c, l := binary.Uvarint(b[k:])
	if l <= 0 {
		return 0, 0, nil, false
	}
	return version.UpstreamID(g), int32(min(c, 1<<30)), b[k+l:], true
}
