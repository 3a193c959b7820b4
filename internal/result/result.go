// Package result holds the numbered result codes of heatherport and the error
// type that carries one. Every refusal, drop and failure that is reported to a
// caller or an operator or logged has one of these codes; docs/CODES.md lists
// them.
package result

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Code is a numbered result. The hundreds digit is its Class.
type Code uint16

// Class groups codes; it is also the exit code of the command line.
type Class uint8

// The classes of result codes.
const (
	ClassOK          Class = 0 // success
	ClassUsage       Class = 1 // bad arguments, settings or sheet: correct the input
	ClassRefused     Class = 2 // valid input that the current state does not allow
	ClassUnavailable Class = 3 // no leader, no majority or no peer reachable: try again
	ClassUnknown     Class = 4 // outcome unknown: a resend is safe
	ClassStorage     Class = 5 // failed disk or damaged stored state
	ClassSecurity    Class = 6 // certificates, keys, authentication
	ClassPacket      Class = 7 // causes for dropping or refusing a packet
	ClassInternal    Class = 9 // a defect in heatherport
)

// The result codes.
const (
	OK Code = 0

	BadArguments     Code = 101
	BadSettings      Code = 102
	BadSheet         Code = 103
	SheetTooLarge    Code = 104
	BadAnnouncement  Code = 105
	BadMessage       Code = 106
	UnsupportedProto Code = 107
	BadRoutes        Code = 108
	UnknownDomain    Code = 109

	SheetConflict       Code = 201
	SheetStale          Code = 202
	UpstreamNotInSheet  Code = 203
	IncarnationStale    Code = 204
	VoterChangePending  Code = 205
	MemberUnknown       Code = 206
	NotFound            Code = 207
	AddressInUse        Code = 208
	MemberNameTaken     Code = 209
	ShuttingDown        Code = 210
	IncarnationConflict Code = 211
	VersionStale        Code = 212
	StateDiverged       Code = 213
	MemberWithoutDisk   Code = 214
	LearnerBehind       Code = 221
	QuorumAtRisk        Code = 222

	NoLeader      Code = 301
	NotReady      Code = 302
	Unreachable   Code = 303
	Overloaded    Code = 304
	NotInForceYet Code = 305

	OutcomeUnknown Code = 401

	StorageFailed  Code = 501
	StorageCorrupt Code = 502
	StorageLocked  Code = 503
	StorageFull    Code = 504
	BuildTooOld    Code = 505

	BadCertificate Code = 601
	NotAuthorized  Code = 602
	KeyMissing     Code = 603

	DropTruncated       Code = 701
	DropMalformed       Code = 702
	DropFragment        Code = 703
	DropUnknownService  Code = 704
	DropProtocol        Code = 705
	DropNoUpstream      Code = 706
	DropInDoubt         Code = 707
	DropUpstreamGone    Code = 708
	DropServiceMismatch Code = 709
	DropRelayAuth       Code = 710
	DropRelayHops       Code = 711
	DropRelayMalformed  Code = 712
	DropNotMember       Code = 713
	DropNotReady        Code = 714
	DropSendFailed      Code = 715
	RefusedFull         Code = 716
	RefusedNoUpstream   Code = 717
	DropTableFull       Code = 718
	DropOversize        Code = 719
	DropUnknownTag      Code = 720
	DropNoCookie        Code = 721
	RefusedNoRoute      Code = 722
	DropStale           Code = 723
	RefusedOverloaded   Code = 724
	DropExpired         Code = 725
	RefusedEvacuated    Code = 726
	RefusedRegion       Code = 727
	RefusedCold         Code = 728
	RefusedLinkFull     Code = 729

	Internal      Code = 901
	PromiseBroken Code = 902
)

// Class returns the class of c.
func (c Code) Class() Class { return Class(c / 100) }

// String returns the number and name of c, for example "201 sheet_conflict".
func (c Code) String() string { return fmt.Sprintf("%d %s", uint16(c), c.Name()) }

// Name returns the snake-case name of c, used as a metric label.
func (c Code) Name() string {
	if e, ok := table[c]; ok {
		return e.Name
	}
	return "unregistered"
}

// Error is an error with a result code.
type Error struct {
	Code   Code
	Detail string
	cause  error
}

// Error implements error.
func (e *Error) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("%s: %s: %v", e.Code, e.Detail, e.cause)
	}
	return fmt.Sprintf("%s: %s", e.Code, e.Detail)
}

// Unwrap returns the cause, if any.
func (e *Error) Unwrap() error { return e.cause }

// Errorf returns an Error with the given code and a formatted detail.
func Errorf(c Code, format string, args ...any) error {
	return errors.WithStackDepth(&Error{Code: c, Detail: fmt.Sprintf(format, args...)}, 1)
}

// Wrapf returns an Error with the given code that wraps cause.
func Wrapf(cause error, c Code, format string, args ...any) error {
	return errors.WithStackDepth(&Error{Code: c, Detail: fmt.Sprintf(format, args...), cause: cause}, 1)
}

// CodeOf returns the code of err: OK for nil, Internal for an error without a
// code.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return Internal
}
