package directory

import (
	"net/netip"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"heatherport/internal/result"
)

// State is the state of an upstream.
type State uint8

// The states, in the order in which an incarnation passes through them.
const (
	Serving State = iota + 1
	Leaving       // finishes its open connections; accepts no new ones
	Gone          // has withdrawn or was replaced at its address
)

var stateNames = [...]string{"", "serving", "leaving", "gone"}

// String returns the name of s.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Record describes one incarnation of an upstream.
type Record struct {
	ID          string         `cbor:"1,keyasint"`
	Handle      uint64         `cbor:"2,keyasint"` // identifies the upstream in packets sent to it
	Service     string         `cbor:"3,keyasint"`
	Address     netip.AddrPort `cbor:"4,keyasint"`
	Domain      string         `cbor:"5,keyasint"`
	Slots       int            `cbor:"6,keyasint"` // requests served at a time
	State       State          `cbor:"7,keyasint"`
	StartMillis int64          `cbor:"8,keyasint"` // start in Unix milliseconds, by its own clock
	Seq         uint64         `cbor:"9,keyasint"` // sequence number of the announcement
	// SlowStart is how much longer the upstream serves requests slowly after its
	// start.
	SlowStart time.Duration `cbor:"10,keyasint,omitempty"`
	// Lapsed reports that no announcement arrived within Config.LapseAfter.
	Lapsed bool `cbor:"11,keyasint,omitempty"`
	// Ejected reports that several balancers recently suspected the upstream of
	// not answering.
	Ejected bool `cbor:"12,keyasint,omitempty"`
	// Owner is the name of the balancer that alone opens connections to the upstream
	// during its slow start.
	Owner string `cbor:"13,keyasint,omitempty"`
	// SilentMillis is the age of the record in a message or file: the time since the
	// upstream was last heard of, or since it ended. A receiver must not take an old
	// record for a sign of life.
	SilentMillis uint32 `cbor:"14,keyasint,omitempty"`
}

// Limits of the fields of a record. One record must not take the processor or the message
// size that all others share.
const (
	// MaxSlots bounds the slots of an upstream. Dividing them among balancers takes time
	// in proportion to their number.
	MaxSlots = 10_000
	// MaxSlowStart bounds the slow start of an upstream.
	MaxSlowStart = 24 * time.Hour
	maxTextBytes = 255
)

// Check returns an error with code BadAnnouncement if other processes could not read the
// record or could not use it. A Directory does not take such a record.
func (r *Record) Check() error {
	for _, f := range [...]struct{ name, text string }{{"identifier", r.ID}, {"service", r.Service}, {"failure domain", r.Domain}, {"owner", r.Owner}} {
		if len(f.text) > maxTextBytes || !utf8.ValidString(f.text) {
			return result.Errorf(result.BadAnnouncement, "%s of %d bytes is not UTF-8 text of at most %d bytes", f.name, len(f.text), maxTextBytes)
		}
	}
	switch ip := r.Address.Addr(); {
	case r.ID == "":
		return result.Errorf(result.BadAnnouncement, "identifier missing")
	case !r.Address.IsValid(), r.Address.Port() == 0, ip.IsUnspecified(), ip.IsMulticast(), ip.Zone() != "":
		return result.Errorf(result.BadAnnouncement, "%s: packets cannot be sent to address %s", r.ID, r.Address)
	case r.State < Serving, r.State > Gone:
		return result.Errorf(result.BadAnnouncement, "%s: unknown state %d", r.ID, r.State)
	case r.Slots < 0, r.Slots > MaxSlots:
		return result.Errorf(result.BadAnnouncement, "%s: %d slots; at most %d are supported", r.ID, r.Slots, MaxSlots)
	case r.SlowStart < 0, r.SlowStart > MaxSlowStart:
		return result.Errorf(result.BadAnnouncement, "%s: slow start of %s; at most %s is supported", r.ID, r.SlowStart, MaxSlowStart)
	}
	return nil
}

// lenient decodes text that is not UTF-8, which Check then reports.
var lenient = func() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// Records is a list of records in a message or file.
type Records []Record

// UnmarshalCBOR decodes a list. A record that cannot be decoded becomes the zero Record, which
// Check rejects, so that it does not make the others unreadable.
func (r *Records) UnmarshalCBOR(data []byte) error {
	if cbor.Unmarshal(data, (*[]Record)(r)) == nil {
		return nil
	}
	var items []cbor.RawMessage
	if err := cbor.Unmarshal(data, &items); err != nil {
		return result.Wrapf(err, result.BadMessage, "decode list of upstreams")
	}
	*r = make(Records, len(items))
	for i, item := range items {
		if lenient.Unmarshal(item, &(*r)[i]) != nil {
			(*r)[i] = Record{}
		}
	}
	return nil
}

// age returns the age of a received record.
func (r *Record) age() time.Duration { return time.Duration(r.SilentMillis) * time.Millisecond }

// Tag returns the 32-bit tag of the incarnation, which connection cookies
// carry.
func (r *Record) Tag() uint32 {
	h := xxhash.New()
	h.WriteString(r.ID)
	var b [8]byte
	for i := range b {
		b[i] = byte(r.StartMillis >> (8 * i))
	}
	h.Write(b[:])
	tag := uint32(h.Sum64())
	if tag == 0 {
		return 1 // zero means no cookie
	}
	return tag
}

// supersedes reports whether r replaces old, a record with the same identifier.
func (r *Record) supersedes(old *Record) bool {
	switch {
	case r.StartMillis != old.StartMillis:
		return r.StartMillis > old.StartMillis
	case r.State != old.State:
		return r.State > old.State
	case r.Seq != old.Seq:
		return r.Seq > old.Seq
	}
	return r.Owner > old.Owner
}
