// Package raft implements the Raft consensus algorithm as a step function.
//
// A Node has no clock, goroutine, I/O or global randomness. Time enters by
// Tick, messages by Step, randomness by Config.Rand; effects leave by Ready.
// The caller persists what Ready asks for before it sends the messages of the
// same Ready, and calls Advance when it is done. No other method may be called
// between Ready and Advance. A Node is not safe for concurrent use.
//
// Beyond the basic algorithm it has pre-vote, check-quorum, leases for reads,
// read index, learners, changes of one voter at a time, leadership transfer,
// flow control per peer, and snapshots in pieces.
//
// # Leases
//
// A voter grants no vote within ElectionTicks after contact to a leader, nor
// after its own start, except in a leadership transfer. A leader that a
// majority answered may therefore serve reads for ElectionTicks, less
// LeaseMarginTicks, from the moment it asked. The caller gives one Tick for
// each interval that has passed, also for intervals during which the process
// was stopped, before it passes on messages or reads. A leader that has begun
// a leadership transfer serves no reads by lease for the rest of its term.
//
// # Membership
//
// A node uses the latest configuration in its log. A new voter is first added
// as a learner and promoted when it has caught up. A voter that lost its data
// folder starts from the zero State, is not joined, and grants no votes until
// it has been removed and added again as a learner.
package raft
