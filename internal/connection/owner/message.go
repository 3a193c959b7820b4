package owner

import "heatherport/internal/version"

// Message is what engines exchange over control links. Any part may be absent.
type Message struct {
	Load        *LoadReport     `cbor:"1,keyasint,omitempty"`
	Exceptions  *ExceptionBatch `cbor:"2,keyasint,omitempty"`
	Ack         *Ack            `cbor:"3,keyasint,omitempty"`
	Handover    *Handover       `cbor:"4,keyasint,omitempty"`
	HandoverAck *Handover       `cbor:"5,keyasint,omitempty"`
}

// Load is the periodic report of a member and serves as its heartbeat.
type LoadReport struct {
	Seq                      uint64 `cbor:"1,keyasint"`
	Applied                  uint64 `cbor:"2,keyasint"`           // version index
	Synced                   uint64 `cbor:"3,keyasint,omitempty"` // owner epoch for which every exception is acknowledged
	Full                     bool   `cbor:"4,keyasint,omitempty"` // Counts holds every upstream with connections
	DecidedAlone             bool   `cbor:"5,keyasint,omitempty"` // the sender has lately decided without the owner
	Leaving                  bool   `cbor:"6,keyasint,omitempty"` // the sender wants to stop
	MissingExceptionsSeconds uint32 `cbor:"8,keyasint,omitempty"` // see Tenure.Deep
	Counts                   []byte `cbor:"7,keyasint,omitempty"` // see countWriter
}

// Exceptions is one batch of a stream from an owner to one replica. Batches
// are applied in order of Seq, without gaps.
type ExceptionBatch struct {
	Seq    uint64 `cbor:"1,keyasint"`
	Items  []byte `cbor:"2,keyasint"` // see appendStore and appendRemove
	Urgent bool   `cbor:"3,keyasint,omitempty"`
	Index  uint64 `cbor:"4,keyasint"` // version index of the sender
}

// Ack acknowledges all batches up to Seq.
type Ack struct {
	Seq uint64 `cbor:"1,keyasint"`
}

// Tenure hands over all slots that the sender owned before Epoch and does not
// own under it. It is sent once all exceptions of those slots are acknowledged,
// and again, as complete, once all their connections are.
type Handover struct {
	Epoch    uint64 `cbor:"1,keyasint"`
	Complete bool   `cbor:"2,keyasint,omitempty"`
	// Wait is the time in seconds for which the sender itself may still
	// not know all connections of its slots.
	UnknownSeconds uint32 `cbor:"3,keyasint,omitempty"`
	// Doubt is the time in seconds for which callers may retransmit opening
	// packets that a lost owner has forwarded.
	RetransmitSeconds uint32 `cbor:"4,keyasint,omitempty"`
	// Deep is the same for connections whose exceptions may be missing.
	MissingExceptionsSeconds uint32 `cbor:"5,keyasint,omitempty"`
}

// Outbound is a message to send to a member.
type Outbound struct {
	To      version.MemberID
	Message Message
}
