package control

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"heatherport/internal/connection/owner"
	"heatherport/internal/request/api"
	"heatherport/internal/result"
	"heatherport/internal/version"
	"heatherport/internal/version/feed"
	"heatherport/internal/version/raft"
	"heatherport/internal/version/roster"
)

// heartbeat goes from each VM to the leader, or to another VM while the
// leader is unknown.
type heartbeat struct {
	Seq      uint64           `cbor:"1,keyasint"`
	Roster   roster.Heartbeat `cbor:"2,keyasint"`
	Position feed.Position    `cbor:"3,keyasint"`
	Self     *selfDescription `cbor:"4,keyasint,omitempty"` // set until the VM is a member
	// LogMissing is set if the VM has a data folder but no log. It grants no
	// votes until it is added to the voters again.
	LogMissing bool `cbor:"5,keyasint,omitempty"`
	// Leaving is set while the VM stops, Drained once nothing depends on it any
	// more.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	Drained bool `cbor:"7,keyasint,omitempty"`
}

// selfDescription describes a VM that is not a member yet.
type selfDescription struct {
	Domain string         `cbor:"1,keyasint"`
	Relay  netip.AddrPort `cbor:"2,keyasint"`
	Link   netip.AddrPort `cbor:"3,keyasint"`
	API    netip.AddrPort `cbor:"4,keyasint"`
	Voter  bool           `cbor:"5,keyasint,omitempty"`
}

// heartbeatReply answers a heartbeat.
type heartbeatReply struct {
	Seq    uint64 `cbor:"1,keyasint"` // of the heartbeat
	Leader string `cbor:"2,keyasint,omitempty"`
	Term   uint64 `cbor:"3,keyasint,omitempty"`
	// Lease is the duration of the lease in milliseconds from the time at which
	// the heartbeat was sent. Zero grants no lease.
	Lease uint32 `cbor:"4,keyasint,omitempty"`
	Index uint64 `cbor:"5,keyasint,omitempty"` // applied by the sender of the reply
}

// engineMessage carries a message between engines.
type engineMessage struct {
	From    version.MemberID `cbor:"1,keyasint"`
	Message owner.Message    `cbor:"2,keyasint"`
}

// call is a request that only the leader can serve. One field is set.
type call struct {
	ID       uint64             `cbor:"1,keyasint"`
	Submit   *submitCall        `cbor:"2,keyasint,omitempty"`
	Announce *api.Announcement  `cbor:"3,keyasint,omitempty"`
	Sheet    *sheetCall         `cbor:"4,keyasint,omitempty"`
	Status   *statusCall        `cbor:"5,keyasint,omitempty"`
	Upstream *api.UpstreamQuery `cbor:"6,keyasint,omitempty"`
	Voter    *raft.ConfigChange `cbor:"7,keyasint,omitempty"`
}

// submitCall submits a validated sheet.
type submitCall struct {
	Number    uint64   `cbor:"1,keyasint"`
	Digest    [32]byte `cbor:"2,keyasint"`
	Canonical []byte   `cbor:"3,keyasint"`
	Operator  string   `cbor:"4,keyasint"`
	At        int64    `cbor:"5,keyasint"` // Unix milliseconds
}

// sheetCall requests the sheet in force.
type sheetCall struct{}

// statusCall requests the part of a status that only the leader has.
type statusCall struct{}

// reply is the answer to a call. A code other than OK is an error.
type reply struct {
	ID       uint64                   `cbor:"1,keyasint"`
	Code     result.Code              `cbor:"2,keyasint,omitempty"`
	Detail   string                   `cbor:"3,keyasint,omitempty"`
	Submit   *api.SubmitResponse      `cbor:"4,keyasint,omitempty"`
	Announce *api.AnnounceResponse    `cbor:"5,keyasint,omitempty"`
	Sheet    *api.SheetResponse       `cbor:"6,keyasint,omitempty"`
	Status   *leaderStatus            `cbor:"7,keyasint,omitempty"`
	Upstream *api.UpstreamExplanation `cbor:"8,keyasint,omitempty"`
	Voter    *api.VoterResponse       `cbor:"9,keyasint,omitempty"`
}

// err returns the error that r carries, or nil.
func (r *reply) err() error {
	if r.Code == result.OK {
		return nil
	}
	return result.Errorf(r.Code, "%s", r.Detail)
}

func errorReply(err error) reply {
	r := reply{Code: result.CodeOf(err)}
	r.Detail = detailOf(err)
	return r
}

// leaderStatus is the part of a status that only the leader has.
type leaderStatus struct {
	Leader  string         `cbor:"1,keyasint"`
	Term    uint64         `cbor:"2,keyasint"`
	Members []memberStatus `cbor:"3,keyasint"`
	Voters  []string       `cbor:"4,keyasint"`
}

type memberStatus struct {
	ID      version.MemberID `cbor:"1,keyasint"`
	Live    bool             `cbor:"2,keyasint"`
	Applied uint64           `cbor:"3,keyasint"`
	Settled uint64           `cbor:"4,keyasint"`
}

// encode returns the CBOR encoding of v, a message of this package or of a
// package whose messages it transports.
func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic("encode control message: " + err.Error())
	}
	return data
}

// decode decodes data into v and reports whether it is valid.
func decode(data []byte, v any) bool {
	return cbor.Unmarshal(data, v) == nil
}
