package owner

import (
	"encoding/binary"

	"heatherport/internal/version"
)

// item is one change to a replica's exceptions. Upstream zero removes.
type item struct {
	hash     uint64
	upstream version.UpstreamID
}

// itemBytes is the usual encoded size of an item.
const itemBytes = 10

// appendItem appends the hash and the upstream ID as a varint.
func appendItem(b []byte, it item) []byte {
	b = binary.BigEndian.AppendUint64(b, it.hash)
	return binary.AppendUvarint(b, uint64(it.upstream))
}

// nextItem decodes the first item of b and returns the rest.
func nextItem(b []byte) (item, []byte, bool) {
	if len(b) < 9 {
		return item{}, nil, false
	}
	up, n := binary.Uvarint(b[8:])
	if n <= 0 {
		return item{}, nil, false
	}
	return item{binary.BigEndian.Uint64(b), version.UpstreamID(up)}, b[8+n:], true
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
