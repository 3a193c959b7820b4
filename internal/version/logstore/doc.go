// Package logstore stores the durable state of a Raft node (its hard state, log
// entries and latest snapshot) in a data folder.
//
// # Files
//
// The file "lock" is locked by the process that uses the folder. The file
// "snapshot" holds the latest snapshot and is replaced by an atomic rename. The
// file "log" holds a header and records. A record is a length, a CRC-32C that
// also covers the record's offset, and a CBOR body. Each Save appends a record
// (more only for very large batches) and syncs the file before it returns.
// Entries in a later record replace those of the same and higher index in
// earlier ones, so an append also truncates a conflicting suffix. When a
// snapshot is saved, the log is rewritten without the covered entries and
// replaced by a rename.
//
// # Torn tails and corruption
//
// The header holds the synced length in two slots that are written alternately.
// It is written after each successful sync and becomes durable with the next
// sync or with Close. On Open:
//
//   - Damage below the synced length is corruption.
//   - A damaged record above it is corruption if an intact record follows.
//   - Any other damage above it is a torn tail, which is truncated.
//
// After Close, or a process crash without a power loss, the synced length is
// exact, and every modification of a record is detected. After a power loss the synced length
// may not yet include the last acknowledged record. If that record is damaged
// as well, it cannot be distinguished from a torn tail and is truncated. This is
// the only damage to acknowledged data that is not detected.
//
// # Failures
//
// After a failed write or sync the store rejects every further write with the
// same error until it is reopened. Open rewrites the log if it has bytes above
// the synced length, because after a failed sync the page cache may contain
// data that is not on the disk.
package logstore
