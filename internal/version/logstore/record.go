package logstore

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"heatherport/internal/result"
	"heatherport/internal/version/raft"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Layout of the log file in bytes.
const (
	headerSize       = 4096
	slotSize         = 20  // sequence, synced length, CRC-32C
	slotSpacing      = 512 // puts the slots in different sectors
	recordHeaderSize = 8   // length, CRC-32C
	maxRecordSize    = 1 << 30
	// recordTargetSize is the size of entry data above which Save and rewrites
	// start a new record.
	recordTargetSize = 32 << 20
)

// Each record body is a CBOR map: in its first byte the bits of cborMajorType
// have the value cborMap.
const (
	cborMajorType = 0xe0
	cborMap       = 0xa0
)

var logMagic = [8]byte{'H', 'P', 'R', 'L', 'O', 'G', 0, 1}

// logPosition identifies a log entry by index and term.
type logPosition struct {
	Index uint64 `cbor:"1,keyasint,omitempty"`
	Term  uint64 `cbor:"2,keyasint,omitempty"`
}

// record is the body of a log record. Prev is set only in the first record of a
// file and identifies the entry before the first one in the file.
type record struct {
	Prev      *logPosition    `cbor:"1,keyasint,omitempty"`
	HardState *raft.HardState `cbor:"2,keyasint,omitempty"`
	Entries   []raft.Entry    `cbor:"3,keyasint,omitempty"`
}

// appendRecord appends the encoded record to buf. offset is the record's offset
// in the file, which its checksum covers.
func appendRecord(buf []byte, offset int64, r *record) ([]byte, error) {
	body, err := cbor.Marshal(r)
	if err != nil {
		return nil, result.Wrapf(err, result.Internal, "encode a log record")
	}
	if len(body) > maxRecordSize {
		return nil, result.Errorf(result.Internal, "log record of %d bytes exceeds the limit", len(body))
	}
	var header [recordHeaderSize]byte
	binary.BigEndian.PutUint32(header[:4], uint32(len(body)))
	binary.BigEndian.PutUint32(header[4:], recordChecksum(offset, body))
	buf = append(buf, header[:]...)
	return append(buf, body...), nil
}

// recordChecksum returns the checksum of a record. It covers the offset and the
// length, so that bytes at another offset are not mistaken for a record.
func recordChecksum(offset int64, body []byte) uint32 {
	var prefix [12]byte
	binary.BigEndian.PutUint64(prefix[:8], uint64(offset))
	binary.BigEndian.PutUint32(prefix[8:], uint32(len(body)))
	sum := crc32.Update(0, castagnoli, prefix[:])
	return crc32.Update(sum, castagnoli, body)
}

// recordBody returns the body of the record at offset in data and the offset
// after it; ok is false if there is no intact record at offset.
func recordBody(data []byte, offset int64) (body []byte, next int64, ok bool) {
	rest := data[offset:]
	if len(rest) < recordHeaderSize {
		return nil, 0, false
	}
	size := binary.BigEndian.Uint32(rest[:4])
	if size == 0 || size > maxRecordSize || int(size) > len(rest)-recordHeaderSize {
		return nil, 0, false
	}
	body = rest[recordHeaderSize : recordHeaderSize+size]
	if body[0]&cborMajorType != cborMap {
		return nil, 0, false // saves the checksum when searching for records
	}
	if binary.BigEndian.Uint32(rest[4:8]) != recordChecksum(offset, body) {
		return nil, 0, false
	}
	return body, offset + recordHeaderSize + int64(size), true
}

// hasRecordAfter reports whether an intact record starts anywhere after offset.
func hasRecordAfter(data []byte, offset int64) bool {
	for o := offset + 1; o < int64(len(data)); o++ {
		if _, _, ok := recordBody(data, o); ok {
			return true
		}
	}
	return false
}

// headerSlot is one of the two copies of the synced length in the header.
type headerSlot struct {
	sequence uint64
	synced   int64
}

// offset returns the slot's offset in the file, which alternates with sequence.
func (s headerSlot) offset() int64 { return slotSpacing * int64(1+s.sequence%2) }

func (s headerSlot) encode() []byte {
	var b [slotSize]byte
	binary.BigEndian.PutUint64(b[:8], s.sequence)
	binary.BigEndian.PutUint64(b[8:16], uint64(s.synced))
	binary.BigEndian.PutUint32(b[16:], crc32.Checksum(b[:16], castagnoli))
	return b[:]
}

// newestSlot returns the intact slot of a header with the highest sequence.
func newestSlot(header []byte) (newest headerSlot, ok bool) {
	for i := range uint64(2) {
		s, intact := decodeSlot(header[headerSlot{sequence: i}.offset():])
		if intact && (!ok || s.sequence > newest.sequence) {
			newest = s
			ok = true
		}
	}
	return newest, ok
}

func decodeSlot(b []byte) (headerSlot, bool) {
	if binary.BigEndian.Uint32(b[16:slotSize]) != crc32.Checksum(b[:16], castagnoli) {
		return headerSlot{}, false
	}
	s := headerSlot{
		sequence: binary.BigEndian.Uint64(b[:8]),
		synced:   int64(binary.BigEndian.Uint64(b[8:16])),
	}
	return s, s.sequence > 0
}
