// Package api implements the HTTP API for operators and upstreams: its messages,
// its server and its client. Server and client authenticate each other by mutual
// TLS.
package api

import (
	"context"
	"encoding/hex"
	"net/netip"
	"slices"
	"strings"
	"time"

	"heatherport/internal/result"
)

// Control executes the requests on the VM that serves them. Its errors contain a
// result code.
type Control interface {
	// SubmitSheet returns once the sheet is accepted or rejected.
	SubmitSheet(ctx context.Context, req SubmitRequest) (SubmitResponse, error)
	Sheet(ctx context.Context) (SheetResponse, error)
	Status(ctx context.Context) (StatusResponse, error)
	ExplainConnection(ctx context.Context, q ConnectionQuery) (ConnectionExplanation, error)
	ExplainUpstream(ctx context.Context, q UpstreamQuery) (UpstreamExplanation, error)
	ExplainSheet(ctx context.Context) (SheetExplanation, error)
	Audit(ctx context.Context, q AuditQuery) (AuditResponse, error)
	// ChangeVoter starts a change of the voters.
	ChangeVoter(ctx context.Context, req VoterRequest) (VoterResponse, error)
	// Announce renews the lease of an upstream. The name in a is the name in
	// the upstream's certificate.
	Announce(ctx context.Context, a Announcement) (AnnounceResponse, error)
}

// Digest is the digest of a sheet. It is encoded in JSON as hexadecimal text.
type Digest [32]byte

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, d[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(b []byte) error {
	if hex.DecodedLen(len(b)) != len(d) {
		return result.Errorf(result.BadMessage, "digest is not %d bytes long", len(d))
	}
	if _, err := hex.Decode(d[:], b); err != nil {
		return result.Wrapf(err, result.BadMessage, "digest")
	}
	return nil
}

// String returns d in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// SubmitRequest contains a sheet as an operator sent it.
type SubmitRequest struct {
	Operator string // name of the operator's certificate
	Sheet    []byte // CSV
}

// SubmitResponse confirms that a sheet is accepted.
type SubmitResponse struct {
	Number uint64 `json:"number"`
	Digest Digest `json:"digest"`
	Index  uint64 `json:"index"`  // log index of the acceptance
	Resent bool   `json:"resent"` // the same sheet had been accepted before
	// Pending contains the live VMs that have not confirmed the sheet.
	Pending []string `json:"pending"`
}

// SheetResponse is the sheet in force.
type SheetResponse struct {
	Number   uint64    `json:"number"`
	Digest   Digest    `json:"digest"`
	Index    uint64    `json:"index"`
	Operator string    `json:"operator"`
	Accepted time.Time `json:"accepted"`
	CSV      string    `json:"csv"`
}

// StatusResponse is the state of all VMs and upstreams as known to one VM.
type StatusResponse struct {
	VM          string `json:"vm"` // VM that responded
	Ready       bool   `json:"ready"`
	Index       uint64 `json:"index"` // index of the version in force on VM
	SheetNumber uint64 `json:"sheet_number"`
	SheetDigest Digest `json:"sheet_digest"`
	Leader      string `json:"leader,omitempty"`
	Term        uint64 `json:"term"`
	// Majority reports whether a leader answered the call that VM made for this
	// status.
	Majority bool `json:"majority"`
	// Lease reports whether the membership lease of VM is valid.
	Lease bool `json:"lease"`
	// Stale reports whether there may be newer versions that VM does not know.
	Stale     bool             `json:"stale"`
	VMs       []VMStatus       `json:"vms"`
	Upstreams []UpstreamStatus `json:"upstreams"`
	Drains    []Drain          `json:"drains"`
}

// VMStatus is the state of one VM.
type VMStatus struct {
	Name            string `json:"name"`
	Domain          string `json:"domain"`
	State           string `json:"state"` // joining, active or leaving
	Live            bool   `json:"live"`  // its membership lease is valid
	Voter           bool   `json:"voter"`
	Leader          bool   `json:"leader"`
	AppliedIndex    uint64 `json:"applied_index"`
	OpenConnections uint64 `json:"open_connections"`
}

// UpstreamStatus is the state of one upstream.
type UpstreamStatus struct {
	Name            string         `json:"name"`
	Service         string         `json:"service"`
	State           string         `json:"state"` // state declared in the sheet
	Address         netip.AddrPort `json:"address"`
	Incarnation     uint64         `json:"incarnation"`
	Healthy         bool           `json:"healthy"`
	Leased          bool           `json:"leased"` // its announcement lease is valid
	Slots           uint32         `json:"slots"`
	OpenConnections uint64         `json:"open_connections"`
	ConnectionLimit uint32         `json:"connection_limit"`
}

// Drain is a drain that has not ended.
type Drain struct {
	Kind            string    `json:"kind"` // upstream, vm or base
	Name            string    `json:"name"`
	Service         string    `json:"service,omitempty"`
	Since           time.Time `json:"since"`
	OpenConnections uint64    `json:"open_connections"`
	// WaitingFor is the condition that ends the drain.
	WaitingFor string `json:"waiting_for"`
}

// ConnectionQuery selects a connection.
type ConnectionQuery struct {
	Caller   netip.AddrPort
	Service  netip.AddrPort
	Protocol string // tcp or udp
}

// ConnectionExplanation contains the upstream of a connection and the reasons for
// the choice.
type ConnectionExplanation struct {
	VM       string `json:"vm"` // VM that responded
	Service  string `json:"service"`
	Hash     uint64 `json:"hash,string"` // a string, because many JSON parsers do not represent all 64-bit integers
	Bucket   uint32 `json:"bucket"`
	Owner    string `json:"owner"`
	Standby  string `json:"standby"`
	Epoch    uint64 `json:"epoch"` // epoch of the owners
	Index    uint64 `json:"index"` // index of the version
	Known    bool   `json:"known"` // VM holds an entry for the connection
	Upstream string `json:"upstream,omitempty"`
	// Exception reports whether the upstream differs from the first upstream of
	// the base ranking.
	Exception bool             `json:"exception"`
	Current   []RankedUpstream `json:"current"` // ranking of new connections
	Base      []RankedUpstream `json:"base"`    // ranking of connections without an exception
	Reasons   []string         `json:"reasons"` // in the order of the decision
}

// RankedUpstream is an upstream in the ranking of a bucket.
type RankedUpstream struct {
	Upstream        string `json:"upstream"`
	Weight          uint32 `json:"weight"`
	OpenConnections uint64 `json:"open_connections"` // estimate over all VMs
	ConnectionLimit uint64 `json:"limit"`            // open connections up to which it is chosen
	Eligible        bool   `json:"eligible"`
	Reason          string `json:"reason,omitempty"` // why it is not eligible
}

// UpstreamQuery selects an upstream.
type UpstreamQuery struct {
	Name string
}

// UpstreamExplanation contains the reasons why an upstream receives new
// connections or does not.
type UpstreamExplanation struct {
	UpstreamStatus
	VM       string    `json:"vm"` // VM that responded
	Eligible bool      `json:"eligible"`
	Since    time.Time `json:"since"` // time of the last change of Eligible
	Weight   uint32    `json:"weight"`
	Reasons  []string  `json:"reasons"`
	// Observations contains the reports of the VMs about the upstream.
	Observations []Observation `json:"observations"`
}

// Observation is the report of one VM about an upstream.
type Observation struct {
	VM      string    `json:"vm"`
	Kind    string    `json:"kind"` // lease, probe or retransmission
	Healthy bool      `json:"healthy"`
	Since   time.Time `json:"since"`
	Detail  string    `json:"detail,omitempty"`
}

// SheetExplanation lists the VMs on which the sheet is in force.
type SheetExplanation struct {
	VM      string      `json:"vm"` // VM that responded
	Number  uint64      `json:"number"`
	Digest  Digest      `json:"digest"`
	Index   uint64      `json:"index"`
	InForce []string    `json:"in_force"`
	Pending []PendingVM `json:"pending"`
}

// PendingVM is a VM that has not confirmed the sheet.
type PendingVM struct {
	Name         string `json:"name"`
	Live         bool   `json:"live"`
	AppliedIndex uint64 `json:"applied_index"`
	Reason       string `json:"reason"`
}

// VoterRequest adds a VM to the voters of the replicated log, or removes it.
type VoterRequest struct {
	Name   string `json:"name"`
	Remove bool   `json:"remove,omitempty"`
}

// VoterResponse confirms that a change of the voters has been started. An added
// VM is a learner until it has caught up with the log.
type VoterResponse struct {
	Index  uint64   `json:"index"`
	Voters []string `json:"voters"`
}

// Announcement registers an upstream. The upstream sends it periodically.
type Announcement struct {
	Name        string         `json:"name"`
	Service     string         `json:"service"`
	Address     netip.AddrPort `json:"address"`     // FOU endpoint
	Incarnation uint64         `json:"incarnation"` // increases with each start of the upstream
	Slots       uint32         `json:"slots"`
	// Load is the upstream's load between 0 and 1, or nil if it is not reported.
	Load *float64 `json:"load,omitempty"`
	// Probe is a TCP endpoint that accepts connections while the upstream is
	// healthy. Without it, health depends on the announcements only.
	Probe netip.AddrPort `json:"probe,omitzero"`
}

// AnnounceResponse confirms an announcement and contains the duration of the
// lease.
type AnnounceResponse struct {
	Upstream     uint32 `json:"upstream_id"`
	Index        uint64 `json:"index"`
	LeaseSeconds uint32 `json:"lease_seconds"`
	RenewSeconds uint32 `json:"renew_seconds"` // time until the next announcement
}

// AuditKind groups audit records.
type AuditKind string

// The kinds of audit records.
const (
	AuditSheet      AuditKind = "sheet"
	AuditRoster     AuditKind = "roster"
	AuditPlacement  AuditKind = "placement"
	AuditLeadership AuditKind = "leadership"
	AuditKeys       AuditKind = "keys"
	AuditMember     AuditKind = "member"
)

// Valid reports whether k is one of the kinds.
func (k AuditKind) Valid() bool {
	switch k {
	case AuditSheet, AuditRoster, AuditPlacement, AuditLeadership, AuditKeys, AuditMember:
		return true
	}
	return false
}

// AuditRecord describes a change.
type AuditRecord struct {
	Time    time.Time   `json:"time"`
	VM      string      `json:"vm"`  // VM that wrote the record
	Who     string      `json:"who"` // operator, upstream or VM that caused the change
	Kind    AuditKind   `json:"kind"`
	Subject string      `json:"subject"` // what changed
	Cause   string      `json:"cause,omitempty"`
	Before  string      `json:"before,omitempty"`
	After   string      `json:"after,omitempty"`
	Code    result.Code `json:"code"`
	Index   uint64      `json:"index,omitempty"` // log index of the change
}

// AuditQuery selects audit records; zero fields select all.
type AuditQuery struct {
	Since   time.Time // inclusive
	Until   time.Time // exclusive
	Kind    AuditKind
	Subject string // word that the subject contains
	Who     string
	// Limit is the maximum number of records. The newest ones are selected. Zero
	// selects all, or DefaultAuditLimit records in a request to the API.
	Limit int
}

// Default and maximum of AuditQuery.Limit.
const (
	DefaultAuditLimit = 1000
	MaxAuditLimit     = 100_000
)

// Match reports whether q selects r.
func (q *AuditQuery) Match(r *AuditRecord) bool {
	switch {
	case !q.Since.IsZero() && r.Time.Before(q.Since):
		return false
	case !q.Until.IsZero() && !r.Time.Before(q.Until):
		return false
	case q.Kind != "" && r.Kind != q.Kind:
		return false
	case q.Subject != "" && !slices.Contains(strings.Fields(r.Subject), q.Subject):
		return false
	case q.Who != "" && r.Who != q.Who:
		return false
	}
	return true
}

// AuditResponse contains audit records, oldest first.
type AuditResponse struct {
	Records []AuditRecord `json:"records"`
}

// ErrorResponse is the body of every unsuccessful response.
type ErrorResponse struct {
	Code   result.Code `json:"code"`
	Name   string      `json:"name"`
	Detail string      `json:"detail"`
}
