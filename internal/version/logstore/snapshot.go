package logstore

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"heatherport/internal/result"
	"heatherport/internal/version/raft"
)

// snapshotHeaderSize is the size in bytes of the magic, length and CRC-32C.
const snapshotHeaderSize = 20

var snapshotMagic = [8]byte{'H', 'P', 'R', 'S', 'N', 'A', 'P', 1}

func encodeSnapshot(s *raft.Snapshot) ([]byte, error) {
	body, err := cbor.Marshal(s)
	if err != nil {
		return nil, result.Wrapf(err, result.Internal, "encode a snapshot")
	}
	buf := make([]byte, snapshotHeaderSize, snapshotHeaderSize+len(body))
	copy(buf, snapshotMagic[:])
	binary.BigEndian.PutUint64(buf[8:16], uint64(len(body)))
	binary.BigEndian.PutUint32(buf[16:20], crc32.Checksum(body, castagnoli))
	return append(buf, body...), nil
}

func decodeSnapshot(data []byte) (raft.Snapshot, error) {
	var s raft.Snapshot
	if len(data) < snapshotHeaderSize {
		return s, corruptionError(snapshotName, int64(len(data)), "truncated header")
	}
	if [8]byte(data[:8]) != snapshotMagic {
		return s, corruptionError(snapshotName, 0, "unsupported snapshot format")
	}
	body := data[snapshotHeaderSize:]
	if binary.BigEndian.Uint64(data[8:16]) != uint64(len(body)) {
		return s, corruptionError(snapshotName, 8, "wrong length")
	}
	if binary.BigEndian.Uint32(data[16:20]) != crc32.Checksum(body, castagnoli) {
		return s, corruptionError(snapshotName, snapshotHeaderSize, "wrong checksum")
	}
	if err := cbor.Unmarshal(body, &s); err != nil {
		return s, corruptionError(snapshotName, snapshotHeaderSize, "body: "+err.Error())
	}
	return s, nil
}
