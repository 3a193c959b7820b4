// Package raft implements the Raft consensus algorithm as a deterministic state
// machine.
//
// A Node has no clock, goroutine, I/O or global source of randomness. Its
// inputs are Tick, Step and Config.Rand; its outputs are returned by Ready. The
// caller persists the state in a Ready before it sends the messages of the same
// Ready, and then calls Advance. No other method may be called between Ready
// and Advance. A Node is not safe for concurrent use.
//
// In addition to the basic algorithm it implements pre-vote, check-quorum,
// lease reads, read index, learners, single-server membership changes,
// leadership transfer, flow control per peer, and chunked snapshots.
//
// # Leases
//
// A voter grants no vote within ElectionTicks after a message from a leader or
// after its own start, except in a leadership transfer. A leader whose
// heartbeat a majority has acknowledged may therefore serve reads for
// ElectionTicks less LeaseMarginTicks, counted from the tick at which the
// heartbeat was sent. The caller must call Tick once for each elapsed interval,
// including those in which the process was suspended, before it passes messages
// or reads to the node. A leader that has sent MessageTimeoutNow in a
// leadership transfer serves no lease reads for the rest of its term.
//
// # Membership
//
// A node uses the latest configuration in its log, committed or not. A new
// voter is first added as a learner and promoted when it has caught up. A voter
// that lost its data folder starts from the zero State with Joined unset. It
// grants no votes until it has been removed and added again as a learner.
package raft
