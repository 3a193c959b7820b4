// Package audit stores the audit trail of changes: as JSON lines in files that
// are rotated by size, or in a bounded ring buffer in memory on a VM without a
// disk. Failed writes are counted and do not stop the VM.
package audit

import "heatherport/internal/request/api"

// Record describes one change.
type Record = api.AuditRecord

// Query selects records.
type Query = api.AuditQuery

// Trail is an audit trail. It is safe for concurrent use.
type Trail interface {
	// Append adds a record. It never waits for a disk.
	Append(r Record)
	// Records returns the newest records that match q, oldest first.
	Records(q Query) ([]Record, error)
	// Failures returns the number of records that could not be stored.
	Failures() uint64
	Close() error
}
