package register

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"heatherport/internal/result"
)

// FeatureLevel is the highest level of entries and snapshots that this build reads.
//
// The level in force is agreed through the log and never falls. A leader raises it once
// all members speak the higher one, and an entry of a level is proposed only while that
// level is in force. Whatever is added to entries or snapshots gets the next level:
//
//	0  documents and evacuations
//	1  the level itself
const FeatureLevel = 1

// strict rejects fields that this build does not know.
var strict = func() cbor.DecMode {
	mode, err := cbor.DecOptions{ExtraReturnErrors: cbor.ExtraDecErrorUnknownField}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// decodeStored decodes an entry or a snapshot. One that needs a newer build is not
// interpreted: a field that this build does not know may change what the others mean.
func decodeStored(data []byte) (*stored, error) {
	var s stored
	err := strict.Unmarshal(data, &s)
	var unknown *cbor.UnknownFieldError
	switch {
	case errors.As(err, &unknown):
		return nil, result.Errorf(result.BuildTooOld, "entry of the replicated log has a field of a newer build; this build reads feature level %d", FeatureLevel)
	case err != nil:
		return nil, result.Wrapf(err, result.StorageCorrupt, "decode log entry")
	case s.Level > FeatureLevel:
		return nil, result.Errorf(result.BuildTooOld, "entry of the replicated log needs a build of feature level %d; this build reads %d", s.Level, FeatureLevel)
	}
	return &s, nil
}

// Check returns an error with code BuildTooOld if this build cannot read an entry.
func Check(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	if _, err := decodeStored(data); result.CodeOf(err) == result.BuildTooOld {
		return err
	}
	return nil
}

// Requires returns the level that must be in force before an entry is proposed.
func Requires(data []byte) (level uint64) {
	if s, err := decodeStored(data); err == nil {
		return s.Level
	}
	return 0
}

// EncodeRaise returns the log entry that raises the level in force. Its own level is zero:
// builds without levels read it as an entry that changes nothing.
func EncodeRaise(level uint64) ([]byte, error) { return (&stored{Raise: level}).encode() }

// Level returns the feature level in force.
func (r *Register) Level() uint64 { return r.level }
