package raft

// MessageType is the type of a Message.
type MessageType uint8

// The message types.
const (
	MessageAppend            MessageType = iota + 1 // AppendEntries
	MessageAppendResponse                           // response to MessageAppend and to a complete snapshot
	MessageHeartbeat                                // maintains leadership and the lease, confirms reads
	MessageHeartbeatResponse                        // response to MessageHeartbeat
	MessagePreVote                                  // asks whether a vote would be granted
	MessagePreVoteResponse                          // response to MessagePreVote
	MessageVote                                     // RequestVote
	MessageVoteResponse                             // response to MessageVote
	MessageSnapshot                                 // InstallSnapshot, one chunk
	MessageSnapshotResponse                         // response to MessageSnapshot while chunks are missing
	MessageTimeoutNow                               // TimeoutNow: start an election at once (leadership transfer)
	MessageReadIndex                                // a follower requests a read index from the leader
	MessageReadIndexResponse                        // response to MessageReadIndex
)

var messageNames = [...]string{
	"", "append", "append_response", "heartbeat", "heartbeat_response",
	"pre_vote", "pre_vote_response", "vote", "vote_response",
	"snapshot", "snapshot_response", "timeout_now",
	"read_index", "read_index_response",
}

// String returns the snake-case name of t, used as a metric label.
func (t MessageType) String() string {
	if int(t) < len(messageNames) {
		return messageNames[t]
	}
	return "unknown"
}

// Message is a message between two nodes.
type Message struct {
	Type MessageType `cbor:"1,keyasint"`
	From string      `cbor:"2,keyasint"`
	To   string      `cbor:"3,keyasint"`
	// Term is the sender's term. In a pre-vote request and a granting response
	// it is the term that the candidate would start.
	Term uint64 `cbor:"4,keyasint,omitempty"`
	// Index is the index that precedes Entries (append), the candidate's
	// last index (votes), the match index (append response), the rejected
	// index (with Reject) or the read index.
	Index uint64 `cbor:"5,keyasint,omitempty"`
	// LogTerm is the term of the entry at Index (append, votes).
	LogTerm uint64  `cbor:"6,keyasint,omitempty"`
	Entries []Entry `cbor:"7,keyasint,omitempty"`
	// Commit is the leader's commit index.
	Commit uint64 `cbor:"8,keyasint,omitempty"`
	// Reject marks a rejected append or vote. In a heartbeat response it means
	// that the sender's log lacks entries that it had acknowledged.
	Reject bool `cbor:"9,keyasint,omitempty"`
	// HintIndex and HintTerm bound the last index at which the logs may match
	// (rejected append).
	HintIndex uint64 `cbor:"10,keyasint,omitempty"`
	HintTerm  uint64 `cbor:"11,keyasint,omitempty"`
	// Round is the number of the heartbeat round and SentTick the leader's
	// tick at which the heartbeat was sent; the response echoes both.
	Round    uint64 `cbor:"12,keyasint,omitempty"`
	SentTick uint64 `cbor:"13,keyasint,omitempty"`
	// Epoch is the index of the configuration that added the peer. It
	// distinguishes current responses from those sent before the peer's removal.
	Epoch uint64 `cbor:"14,keyasint,omitempty"`
	// Force marks a vote request of a leadership transfer, which voters may
	// grant although they have an active leader.
	Force bool `cbor:"15,keyasint,omitempty"`
	// Context identifies a read request; the response echoes it.
	Context uint64 `cbor:"16,keyasint,omitempty"`
	// Chunk is set in MessageSnapshot.
	Chunk *SnapshotChunk `cbor:"17,keyasint,omitempty"`
	// Offset is the number of snapshot bytes received so far.
	Offset int `cbor:"18,keyasint,omitempty"`
	// Learner is set if the recipient is a learner in the leader's
	// configuration (append, snapshot).
	Learner bool `cbor:"19,keyasint,omitempty"`
	// Unjoined is set if the sender grants no votes because
	// HardState.Joined is unset (heartbeat response).
	Unjoined bool `cbor:"20,keyasint,omitempty"`
}

// SnapshotChunk is one chunk of a snapshot in transfer.
type SnapshotChunk struct {
	Index    uint64        `cbor:"1,keyasint,omitempty"`
	Term     uint64        `cbor:"2,keyasint,omitempty"`
	Config   Configuration `cbor:"3,keyasint,omitempty"`
	Offset   int           `cbor:"4,keyasint,omitempty"`
	Size     int           `cbor:"5,keyasint,omitempty"` // of the whole data, in bytes
	Checksum uint32        `cbor:"6,keyasint,omitempty"` // CRC-32C of the whole data
	Data     []byte        `cbor:"7,keyasint,omitempty"`
}

// isFromMember reports whether the message is of a type that only members of
// the receiver's configuration send.
func (m *Message) isFromMember() bool {
	switch m.Type {
	case MessageAppendResponse, MessageHeartbeatResponse, MessageSnapshotResponse,
		MessageVoteResponse, MessagePreVoteResponse, MessageReadIndex, MessageReadIndexResponse:
		return true
	}
	return false
}

// isFromLeader reports whether the message is of a type that only leaders send.
func (m *Message) isFromLeader() bool {
	switch m.Type {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		return true
	}
	return false
}
