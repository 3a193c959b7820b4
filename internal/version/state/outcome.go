package state

import (
	"heatherport/internal/result"
	"heatherport/internal/version"
)

// Outcome is the result of applying one command. It is the same on all replicas.
type Outcome struct {
	Index   uint64
	Code    result.Code
	Detail  string
	Changes []Change

	Sheet    version.SheetRef   // in force after a SubmitSheet, accepted or rejected
	Upstream version.UpstreamID // of a RegisterUpstream; with AddressInUse, the holder of the address
	Member   version.MemberID   // of a JoinMember
}

// Err returns the outcome as an error, nil when the command succeeded.
func (o *Outcome) Err() error {
	if o.Code == result.OK {
		return nil
	}
	return result.Errorf(o.Code, "%s", o.Detail)
}

// ChangeKind is the kind of a Change.
type ChangeKind uint8

// The kinds of changes.
const (
	SheetAccepted ChangeKind = iota + 1
	ServiceAdded
	ServiceChanged
	ServiceRetired
	ServiceRemoved
	UpstreamRegistered
	UpstreamChanged
	UpstreamRemoved
	MemberJoined
	MemberChanged
	MemberRemoved
	OwnersPrepared
	OwnersActivated
	BasePrepared
	BaseAdvanced
)

var changeKindNames = [...]string{
	"none",
	"sheet_accepted",
	"service_added",
	"service_changed",
	"service_retired",
	"service_removed",
	"upstream_registered",
	"upstream_changed",
	"upstream_removed",
	"member_joined",
	"member_changed",
	"member_removed",
	"owners_prepared",
	"owners_activated",
	"base_prepared",
	"base_advanced",
}

// String returns the snake-case name of k.
func (k ChangeKind) String() string {
	if int(k) < len(changeKindNames) {
		return changeKindNames[k]
	}
	return "unknown"
}

// Cause is the reason for a Change.
type Cause uint8

// The causes of changes.
const (
	CauseNone         Cause = iota
	CauseSheet              // a sheet was accepted
	CauseAnnounced          // an upstream announced itself
	CauseReplaced           // a newer incarnation replaced it
	CauseAddressTaken       // another upstream announced the address
	CauseLeaseLapsed        // the lease lapsed
	CauseLeaseRenewed       // the lease was renewed after it had lapsed
	CauseProbesFailed       // a quorum of observers reported failed probes
	CauseProbesPassed       // a quorum of observers reported passed probes
	CauseSlowStart          // the slow-start step rose
	CauseLoadReport         // the upstream reported another load
	CauseRequested          // a VM or an operator requested it
	CauseSettled            // all members with a lease have settled
	CauseWaitExceeded       // a member did not settle in time
)

var causeNames = [...]string{
	"none",
	"sheet",
	"announced",
	"replaced",
	"address_taken",
	"lease_lapsed",
	"lease_renewed",
	"probes_failed",
	"probes_passed",
	"slow_start",
	"load_report",
	"requested",
	"settled",
	"wait_exceeded",
}

// String returns the snake-case name of c.
func (c Cause) String() string {
	if int(c) < len(causeNames) {
		return causeNames[c]
	}
	return "unknown"
}

// Change is one record of the audit trail.
type Change struct {
	Kind    ChangeKind
	Subject string // name of the service, upstream or VM; sheet number
	Before  string
	After   string
	Cause   Cause
	Actor   string // operator of a SheetAccepted
}
