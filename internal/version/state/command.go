package state

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"heatherport/internal/result"
	"heatherport/internal/version"
)

// Command is one entry of the replicated log. At most one field is set; a
// command without one only advances the index.
type Command struct {
	SubmitSheet      *SubmitSheet      `cbor:"1,keyasint,omitempty"`
	RegisterUpstream *RegisterUpstream `cbor:"2,keyasint,omitempty"`
	UpstreamStatus   *UpstreamStatus   `cbor:"3,keyasint,omitempty"`
	RemoveUpstream   *RemoveUpstream   `cbor:"4,keyasint,omitempty"`
	JoinMember       *JoinMember       `cbor:"5,keyasint,omitempty"`
	LeaveMember      *LeaveMember      `cbor:"6,keyasint,omitempty"`
	RemoveMember     *RemoveMember     `cbor:"7,keyasint,omitempty"`
	PrepareBase      *PrepareBase      `cbor:"8,keyasint,omitempty"`
	AdvanceBase      *AdvanceBase      `cbor:"9,keyasint,omitempty"`
	PrepareOwners    *PrepareOwners    `cbor:"10,keyasint,omitempty"`
	ActivateOwners   *ActivateOwners   `cbor:"11,keyasint,omitempty"`
}

// SubmitSheet puts a sheet in force unless the number of the one in force is the
// same or higher.
type SubmitSheet struct {
	Number    uint64   `cbor:"1,keyasint"`
	Digest    [32]byte `cbor:"2,keyasint"`
	Canonical []byte   `cbor:"3,keyasint"` // encoded by sheet.Sheet.Canonical
	Operator  string   `cbor:"4,keyasint,omitempty"`
	At        int64    `cbor:"5,keyasint,omitempty"` // time of submission, Unix milliseconds
}

// RegisterUpstream adds an incarnation of an upstream that announced itself.
type RegisterUpstream struct {
	Name        string         `cbor:"1,keyasint"`
	Service     string         `cbor:"2,keyasint"`
	Addr        netip.AddrPort `cbor:"3,keyasint"`
	Incarnation uint64         `cbor:"4,keyasint"`
	Slots       uint32         `cbor:"5,keyasint,omitempty"` // lowers the sheet's slots; zero does not
	LoadFactor  uint8          `cbor:"6,keyasint,omitempty"`
	Probe       netip.AddrPort `cbor:"7,keyasint,omitempty"` // zero if none
}

// UpstreamStatus changes the observed status of upstreams.
type UpstreamStatus struct {
	Updates []StatusUpdate `cbor:"1,keyasint"`
}

// StatusUpdate changes the status of one upstream; nil fields stay as they are.
type StatusUpdate struct {
	ID         version.UpstreamID `cbor:"1,keyasint"`
	Leased     *bool              `cbor:"2,keyasint,omitempty"`
	Healthy    *bool              `cbor:"3,keyasint,omitempty"`
	LoadFactor *uint8             `cbor:"4,keyasint,omitempty"`
	Ramp       *uint8             `cbor:"5,keyasint,omitempty"`
	Cause      Cause              `cbor:"6,keyasint,omitempty"`
}

// RemoveUpstream removes an upstream.
type RemoveUpstream struct {
	ID    version.UpstreamID `cbor:"1,keyasint"`
	Cause Cause              `cbor:"2,keyasint,omitempty"`
}

// JoinMember adds an incarnation of a balancer. It owns no connections until
// owners that include it are prepared and activated.
type JoinMember struct {
	Name        string         `cbor:"1,keyasint"`
	Incarnation uint64         `cbor:"2,keyasint"`
	Domain      string         `cbor:"3,keyasint"`
	Relay       netip.AddrPort `cbor:"4,keyasint"`
	Link        netip.AddrPort `cbor:"5,keyasint"`
	API         netip.AddrPort `cbor:"6,keyasint"`
	Voter       bool           `cbor:"7,keyasint,omitempty"`
}

// LeaveMember marks a balancer as leaving.
type LeaveMember struct {
	ID version.MemberID `cbor:"1,keyasint"`
}

// RemoveMember removes a balancer that failed or has finished leaving.
type RemoveMember struct {
	ID    version.MemberID `cbor:"1,keyasint"`
	Cause Cause            `cbor:"2,keyasint,omitempty"`
}

// PrepareBase sets the next base of a service to its current ranking.
type PrepareBase struct {
	Service version.ServiceID `cbor:"1,keyasint"`
}

// AdvanceBase makes the next base the base. It is rejected unless the next base
// is the one that the entry at index Prepared set.
type AdvanceBase struct {
	Service  version.ServiceID `cbor:"1,keyasint"`
	Prepared uint64            `cbor:"2,keyasint"`
	Cause    Cause             `cbor:"3,keyasint,omitempty"`
}

// PrepareOwners sets the next owners to all members that are not leaving.
type PrepareOwners struct{}

// ActivateOwners makes the next owners the owners. It is rejected unless the
// next owners are those that the entry at index Prepared set.
type ActivateOwners struct {
	Prepared uint64 `cbor:"1,keyasint"`
	Cause    Cause  `cbor:"2,keyasint,omitempty"`
}

func (c *SubmitSheet) SubmittedAt() time.Time { return time.UnixMilli(c.At).UTC() }

// Decoder limits for an encoded command or snapshot.
const (
	maxArrayElements = 1 << 21
	maxNestingLevels = 16
)

var (
	encoder = mustEncMode()
	decoder = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxArrayElements: maxArrayElements,
		MaxNestedLevels:  maxNestingLevels,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// EncodeCommand encodes c for the replicated log.
func EncodeCommand(c Command) ([]byte, error) {
	data, err := encoder.Marshal(c)
	if err != nil {
		return nil, result.Wrapf(err, result.Internal, "encode a command")
	}
	return data, nil
}

// DecodeCommand decodes an entry of the replicated log. Empty data is the
// command that changes nothing.
func DecodeCommand(data []byte) (Command, error) {
	var c Command
	if len(data) == 0 {
		return c, nil
	}
	if err := decoder.Unmarshal(data, &c); err != nil {
		return Command{}, result.Wrapf(err, result.BadMessage, "decode a command")
	}
	return c, nil
}
