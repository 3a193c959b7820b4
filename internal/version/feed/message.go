// Package feed replicates the log to VMs that are not voters and to VMs that
// fell behind. A source pushes applied log entries to its subscribers. A
// subscriber whose position is not in the source's history receives a snapshot
// in chunks; after a loss the transfer resumes where it stopped.
// Subscribers report their position in every heartbeat, so no message needs an
// acknowledgement of its own. Source and Sink do no I/O and read no clock:
// messages and time are passed in, and messages to send are returned.
package feed

// Entry is one applied entry of the replicated log.
type Entry struct {
	Index uint64 `cbor:"1,keyasint"`
	Data  []byte `cbor:"2,keyasint"`
}

// Position is the progress of a subscriber.
type Position struct {
	Applied uint64 `cbor:"1,keyasint"` // index of the last applied entry
	Digest  uint64 `cbor:"2,keyasint"` // of the state at Applied
	// ChunkIndex and ChunkOffset identify the snapshot being received and the
	// number of its bytes received so far. Both are zero if there is none.
	ChunkIndex  uint64 `cbor:"3,keyasint,omitempty"`
	ChunkOffset int    `cbor:"4,keyasint,omitempty"`
}

// Batch carries consecutive entries.
type Batch struct {
	Prev    uint64  `cbor:"1,keyasint"` // index of the entry before the first
	Entries []Entry `cbor:"2,keyasint"`
	Digest  uint64  `cbor:"3,keyasint"` // of the state after the last entry
}

// Chunk is a part of a snapshot.
type Chunk struct {
	Index  uint64 `cbor:"1,keyasint"` // of the last entry in the snapshot
	Digest uint64 `cbor:"2,keyasint"` // of the state in the snapshot
	Total  int    `cbor:"3,keyasint"` // size of the whole snapshot in bytes
	Offset int    `cbor:"4,keyasint"`
	Data   []byte `cbor:"5,keyasint"`
}

// Message is a message between a source and a subscriber. Exactly one field is
// set.
type Message struct {
	Position *Position `cbor:"1,keyasint,omitempty"` // subscriber to source
	Batch    *Batch    `cbor:"2,keyasint,omitempty"` // source to subscriber
	Chunk    *Chunk    `cbor:"3,keyasint,omitempty"` // source to subscriber
}
