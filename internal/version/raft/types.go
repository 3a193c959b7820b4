package raft

import "math/rand/v2"

// EntryKind tells how a log entry is applied.
type EntryKind uint8

// The kinds of log entries.
const (
	EntryCommand EntryKind = iota // data of the application
	EntryConfig                   // a Configuration, encoded in CBOR
	EntryNoop                     // first entry of a term, without data
)

// Entry is one entry of the replicated log.
type Entry struct {
	Term  uint64    `cbor:"1,keyasint,omitempty"`
	Index uint64    `cbor:"2,keyasint,omitempty"`
	Kind  EntryKind `cbor:"3,keyasint,omitempty"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// entryOverhead is the size in bytes that an entry adds to a message beside
// its data.
const entryOverhead = 24

func (e Entry) size() int { return len(e.Data) + entryOverhead }

// HardState is the state that a node persists before it sends any message
// that depends on it.
type HardState struct {
	Term uint64 `cbor:"1,keyasint,omitempty"`
	Vote string `cbor:"2,keyasint,omitempty"`
	// Commit is a lower bound of the commit index. It speeds up recovery; no
	// safety property depends on it.
	Commit uint64 `cbor:"3,keyasint,omitempty"`
	// Joined reports that this data folder has followed the log since the
	// node was bootstrapped or added as a learner. A node that lost its data
	// folder is not joined and grants no votes, because it may have voted
	// before.
	Joined bool `cbor:"4,keyasint,omitempty"`
}

// Snapshot replaces all log entries up to and including Index.
type Snapshot struct {
	Index  uint64        `cbor:"1,keyasint,omitempty"`
	Term   uint64        `cbor:"2,keyasint,omitempty"`
	Config Configuration `cbor:"3,keyasint,omitempty"`
	Data   []byte        `cbor:"4,keyasint,omitempty"`
}

// State is the durable state from which a node starts. The zero State is that
// of a VM that is to be added as a learner.
type State struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry // consecutive, the first one follows Snapshot.Index
}

// Config holds the parameters of a node. Zero limits take their defaults.
type Config struct {
	// ID is the VM name of this node.
	ID string
	// ElectionTicks is the shortest time without contact to a leader, in
	// ticks, after which a node starts an election. Voters grant no vote for
	// as long after contact to a leader. All nodes use the same value.
	ElectionTicks int
	// HeartbeatTicks is the interval of heartbeats in ticks.
	HeartbeatTicks int
	// LeaseMarginTicks is the part of ElectionTicks by which the leader's
	// read lease is shorter than the promise of its voters. It bounds the
	// clock drift within one election timeout. Default: a quarter of
	// ElectionTicks, at least one.
	LeaseMarginTicks int
	// DisableLeaseReads makes every ReadIndex confirm leadership by a round
	// of heartbeats.
	DisableLeaseReads bool
	// MaxEntriesPerMessage and MaxBytesPerMessage bound one append message.
	// A single entry larger than MaxBytesPerMessage is sent alone.
	MaxEntriesPerMessage int
	MaxBytesPerMessage   int
	// MaxInflight bounds the unacknowledged append messages per peer.
	MaxInflight int
	// MaxUncommittedBytes bounds the proposals that wait for commitment.
	MaxUncommittedBytes int
	// MaxPendingReads bounds the reads that wait for confirmation.
	MaxPendingReads int
	// MaxSnapshotPieceBytes bounds the snapshot data in one message.
	MaxSnapshotPieceBytes int
	// MaxSnapshotBytes bounds a snapshot that this node accepts.
	MaxSnapshotBytes int
	// MaxLearnerLag is the number of entries by which a learner may trail
	// the leader's log when it is promoted.
	MaxLearnerLag uint64
	// TrailingEntries is the number of entries kept in memory behind a
	// snapshot, so that a follower slightly behind needs no snapshot.
	TrailingEntries uint64
	// Rand is the source of election timeouts.
	Rand *rand.Rand
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

// SoftState is volatile state for the application's information.
type SoftState struct {
	Term   uint64
	Leader string // empty when no leader is known
	Role   Role
}

// ReadState answers a ReadIndex call: once the application has applied Index,
// it may serve the read.
type ReadState struct {
	Context uint64
	Index   uint64
}

// Ready holds the effects that a node wants. The caller carries them out in
// this order: install Snapshot, persist HardState and Entries with a sync,
// send Messages, restore the application from Snapshot, apply Committed,
// answer ReadStates; then it calls Advance.
type Ready struct {
	// Snapshot, if set, replaces the log and the application's state.
	Snapshot *Snapshot
	// HardState is set when it has changed.
	HardState *HardState
	// Entries are appended to the log. When the first one's index is not
	// past the end of the stored log, they replace its suffix from there.
	Entries []Entry
	// Messages must not be sent before the above is durable.
	Messages []Message
	// Committed entries are applied in order.
	Committed []Entry
	// ReadStates are the reads that were confirmed.
	ReadStates []ReadState
	// Soft is the current soft state.
	Soft SoftState
}

// ProgressStatus describes the leader's view of a peer.
type ProgressStatus struct {
	ID           string
	MatchIndex   uint64
	NextIndex    uint64
	State        ProgressState
	Learner      bool
	SilentTicks  uint64 // ticks since the last response
	Inflight     int
	PieceOffset  int // acknowledged bytes of the snapshot in transfer
	SnapshotSize int
}

// Status describes a node.
type Status struct {
	ID            string
	Soft          SoftState
	Vote          string
	Joined        bool
	CommitIndex   uint64
	AppliedIndex  uint64 // last index handed out in Ready.Committed
	FirstIndex    uint64
	LastIndex     uint64
	SnapshotIndex uint64
	Config        Configuration
	ConfigIndex   uint64
	ConfigPending bool // the latest configuration is not known to be committed
	LeaseValid    bool
	Transferee    string
	Progress      []ProgressStatus // on the leader only
}
