package owner

import (
	"encoding/binary"

	"heatherport/internal/version"
)

// item is one change to the exceptions of a replica. Upstream zero means that
// the connection has ended.
type item struct {
	hash     uint64
	upstream version.UpstreamID
}

// itemBytes is the usual encoded size of an item that stores an exception and
// of the one that removes it later.
const itemBytes = 9 + 3

// appendStore appends an item that stores an exception: twice the upstream ID
// as a varint, and the hash. Items that store are numbered from one.
func appendStore(b []byte, it item) []byte {
	b = binary.AppendUvarint(b, uint64(it.upstream)<<1)
	return binary.BigEndian.AppendUint64(b, it.hash)
}

// appendRemove appends an item that removes the exception of an earlier storing
// item. age counts back from the last storing item, which has age zero.
func appendRemove(b []byte, age uint64) []byte {
	return binary.AppendUvarint(b, age<<1|1)
}

// decodedItem is a decoded item: one that stores if upstream is not zero, else
// one that removes.
type decodedItem struct {
	item
	age uint64
}

// nextItem decodes the first item of b and returns the rest.
func nextItem(b []byte) (d decodedItem, rest []byte, ok bool) {
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

// countWriter encodes open connections by ascending upstream ID. Each varint is
// twice the count of the next ID, or one more than twice a number of IDs to
// skip.
type countWriter struct {
	buf  []byte
	next version.UpstreamID
}

func (w *countWriter) add(id version.UpstreamID, n int32) {
	if id != w.next {
		w.buf = binary.AppendUvarint(w.buf, uint64(id-w.next)<<1|1)
	}
	w.buf = binary.AppendUvarint(w.buf, uint64(max(n, 0))<<1)
	w.next = id + 1
}

// countReader decodes what a countWriter has encoded.
type countReader struct {
	buf  []byte
	next version.UpstreamID
}

// read returns the next count, or false at the end or if the input is
// malformed.
func (r *countReader) read() (id version.UpstreamID, n int32, ok bool) {
	for len(r.buf) > 0 {
		v, size := binary.Uvarint(r.buf)
		if size <= 0 {
			return 0, 0, false
		}
		r.buf = r.buf[size:]
		if v&1 == 1 {
			r.next += version.UpstreamID(v >> 1)
			continue
		}
		r.next++
		return r.next - 1, int32(min(v>>1, 1<<30)), true
	}
	return 0, 0, false
}
