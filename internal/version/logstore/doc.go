// Package logstore keeps the durable state of a Raft node, its hard state, log
// entries and newest snapshot, in one data folder.
//
// # Files
//
// The file "lock" is locked by the process that uses the folder. The file
// "snapshot" holds the newest snapshot and is replaced by an atomic rename. The
// file "log" holds a header and records; a record is a length, a CRC-32C that
// also covers the record's offset, and a CBOR body. Each Save appends one
// record and syncs the file before it returns. Entries in a later record
// replace those of the same and higher index in earlier ones, so a conflicting
// suffix is truncated by an append. When a snapshot is saved, the log is
// rewritten without the entries that it covers and replaced by a rename.
//
// # Torn tails and damage
//
// The header holds the synced length in two slots written in turn. It is
// written after each successful sync and becomes durable with the next one, or
// with Close. On Open:
//
//   - Damage below the synced length is corruption.
//   - A damaged record above it is corruption when an intact record follows.
//   - Any other damage above it is a torn tail, which is cut.
//
// After Close or a crash of the process alone the synced length is exact, and
// every change of a record is detected. After a loss of power the synced length
// may lack the last acknowledged record. If that record is damaged in addition,
// it can not be told from a torn tail and is cut; this is the only damage to
// acknowledged data that is not detected.
//
// # Failures
//
// After a failed write or sync the store refuses every further write with the
// same error until it is opened anew. Open rewrites the log when it holds bytes
// above the synced length, because after a failed sync the operating system may
// show data that is not on the disk.
package logstore
