package link

import "heatherport/internal/result"

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages.
const (
	KindHeartbeat      Kind = 1 + iota // balancer to leader, periodic
	KindHeartbeatReply                 // leader to balancer
	KindFeed                           // committed entries to a VM that lacks them
	KindSnapshot                       // one chunk of a state snapshot
	KindRaft                           // between voters
	KindConnection                     // between owners: load reports, exceptions, handovers
	KindForward                        // a call forwarded to the leader
	KindForwardReply                   // the reply to a forwarded call
	kindEnd
)

// KindCount is the number of kinds plus one; valid kinds are below it.
const KindCount = int(kindEnd)

var kindNames = [KindCount]string{
	"", "heartbeat", "heartbeat_reply", "feed", "snapshot", "raft", "connection", "forward", "forward_reply",
}

// String returns the name of k, which is also its metric label.
func (k Kind) String() string {
	if int(k) < KindCount {
		return kindNames[k]
	}
	return "unknown"
}

// replaceable reports whether a newer message of kind k supersedes an older one
// that is still queued for the same peer.
func (k Kind) replaceable() bool {
	return k == KindHeartbeat || k == KindHeartbeatReply
}

// bulk reports whether messages of kind k may be large. They use a separate
// stream, so that they do not delay heartbeats.
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
