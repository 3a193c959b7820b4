// Package audit keeps the trail of changes: JSON lines in files that rotate by
// size, or a bounded ring in memory on a VM without a disk. A trail never stops
// the VM: failed writes are counted.
package audit

import "heatherport/internal/request/api"

// Record is one change.
type Record = api.AuditRecord

// Query selects records.
type Query = api.AuditQuery

// Trail is safe for concurrent use.
type Trail interface {
	// Append never waits for a disk.
	Append(r Record)
	// Records returns the newest records that match q, oldest first.
	Records(q Query) ([]Record, error)
	// Failures returns the number of records that could not be kept.
	Failures() uint64
	Close() error
}
