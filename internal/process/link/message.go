package link

import "heatherport/internal/result"

// Kind tells what a message carries.
type Kind uint8

// The kinds of messages.
const (
	KindHeartbeat      Kind = 1 + iota // balancer to leader, periodic
	KindHeartbeatReply                 // leader to balancer
	KindFeed                           // committed entries to a VM that lacks them
	KindSnapshot                       // one piece of a state snapshot
	KindRaft                           // between voters
	KindConnection                     // between owners: loads, exceptions, tenure
	KindForward                        // a call handed on to the leader
	KindForwardReply                   // its answer
	kindEnd
)

// Kinds is the number of kinds plus one; valid kinds are below it.
const Kinds = int(kindEnd)

var kindNames = [Kinds]string{
	"", "heartbeat", "heartbeat_reply", "feed", "snapshot", "raft", "connection", "forward", "forward_reply",
}

// String returns the name of k, which is also its metric label.
func (k Kind) String() string {
	if int(k) < Kinds {
		return kindNames[k]
	}
	return "unknown"
}

// replaceable reports whether a newer message of kind k to the same peer
// makes an older one that still waits useless.
func (k Kind) replaceable() bool {
	return k == KindHeartbeat || k == KindHeartbeatReply
}

// bulk reports whether messages of kind k may be large; they use a stream of
// their own so that heartbeats do not wait behind them.
func (k Kind) bulk() bool {
	return k == KindSnapshot || k == KindFeed
}

// Message is a received message.
type Message struct {
	From string // VM name from the peer's certificate
	Kind Kind
	Body []byte
}

const (
	headerSize  = 5       // kind, then the body length as a big-endian uint32
	maxBodySize = 4 << 20 // bytes
)

var errTooLarge = result.Errorf(result.BadMessage, "message exceeds %d bytes", maxBodySize)
