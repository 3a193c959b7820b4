package raft

// EntryKind is the kind of a log entry.
type EntryKind uint8

// The kinds of log entries.
const (
	EntryCommand EntryKind = iota // data of the application
	EntryConfig                   // a Configuration, encoded in CBOR
	EntryNoop                     // first entry of a leader's term, without data
)

// Entry is one entry of the replicated log.
type Entry struct {
	Term  uint64    `cbor:"1,keyasint,omitempty"`
	Index uint64    `cbor:"2,keyasint,omitempty"`
	Kind  EntryKind `cbor:"3,keyasint,omitempty"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// entryOverheadBytes is the size that an entry adds to a message on top of its
// data.
const entryOverheadBytes = 24

func (e Entry) size() int { return len(e.Data) + entryOverheadBytes }

// HardState is the state that a node persists before it sends any message
// that depends on it.
type HardState struct {
	Term uint64 `cbor:"1,keyasint,omitempty"`
	Vote string `cbor:"2,keyasint,omitempty"`
	// Commit is a lower bound of the commit index. It speeds up recovery and
	// is not needed for safety.
	Commit uint64 `cbor:"3,keyasint,omitempty"`
	// Joined is set if this data folder has stored the node's votes and log
	// since the node was bootstrapped or added as a learner. A node that lost
	// its data folder has it unset and grants no votes, because it may have
	// voted before.
	Joined bool `cbor:"4,keyasint,omitempty"`
}

// Snapshot replaces all log entries up to and including Index.
type Snapshot struct {
	Index  uint64        `cbor:"1,keyasint,omitempty"`
	Term   uint64        `cbor:"2,keyasint,omitempty"`
	Config Configuration `cbor:"3,keyasint,omitempty"`
	Data   []byte        `cbor:"4,keyasint,omitempty"`
}

// State is the durable state from which a node starts. A VM that is to be added
// as a learner starts from the zero State.
type State struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry // consecutive, starting after Snapshot.Index
}

// Role is the role of a node in its term.
type Role uint8

// The roles of a node.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

var roleNames = [...]string{"follower", "pre-candidate", "candidate", "leader"}

// String returns the name of r.
func (r Role) String() string {
	if int(r) < len(roleNames) {
		return roleNames[r]
	}
	return "unknown"
}
