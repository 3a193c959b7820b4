package raft

import (
	"math/rand/v2"

	"heatherport/internal/result"
)

// Config holds the parameters of a node. Zero limits take their defaults.
type Config struct {
	// ID is the VM name of this node.
	ID string
	// ElectionTicks is the shortest time without contact to a leader, in
	// ticks, after which a node starts an election. Voters grant no vote for
	// as long after contact to a leader. All nodes use the same value.
	ElectionTicks int
	// HeartbeatTicks is the interval of heartbeats in ticks.
	HeartbeatTicks int
	// LeaseMarginTicks is the part of ElectionTicks by which the leader's
	// read lease is shorter than the promise of its voters. It bounds the
	// clock drift within one election timeout. Default: a quarter of
	// ElectionTicks, at least one.
	LeaseMarginTicks int
	// DisableLeaseReads makes every ReadIndex confirm leadership by a round
	// of heartbeats.
	DisableLeaseReads bool
	// MaxEntriesPerMessage and MaxBytesPerMessage bound one append message.
	// A single entry larger than MaxBytesPerMessage is sent alone.
	MaxEntriesPerMessage int
	MaxBytesPerMessage   int
	// MaxInflight bounds the unacknowledged append messages per peer.
	MaxInflight int
	// MaxUncommittedBytes bounds the proposals that wait for commitment.
	MaxUncommittedBytes int
	// MaxPendingReads bounds the reads that wait for confirmation.
	MaxPendingReads int
	// MaxSnapshotPieceBytes bounds the snapshot data in one message.
	MaxSnapshotChunkBytes int
	// MaxSnapshotBytes bounds a snapshot that this node accepts.
	MaxSnapshotBytes int
	// MaxLearnerLag is the number of entries by which a learner may trail
	// the leader's log when it is promoted.
	MaxLearnerLag uint64
	// TrailingEntries is the number of entries kept in memory behind a
	// snapshot, so that a follower slightly behind needs no snapshot.
	TrailingEntries uint64
	// Rand is the source of election timeouts.
	Rand *rand.Rand
}

// Defaults of the limits in Config.
const (
	defaultMaxEntriesPerMessage  = 1024
	defaultMaxBytesPerMessage    = 256 << 10
	defaultMaxInflight           = 16
	defaultMaxUncommittedBytes   = 4 << 20
	defaultMaxPendingReads       = 1024
	defaultMaxSnapshotPieceBytes = 64 << 10
	defaultMaxSnapshotBytes      = 256 << 20
	defaultMaxLearnerLag         = 64
	defaultTrailingEntries       = 1024
)

// leaseMarginDivisor gives the default lease margin as a part of the election
// timeout.
const leaseMarginDivisor = 4

func setDefault(v *int, d int) {
	if *v <= 0 {
		*v = d
	}
}

func (c *Config) setDefaults() {
	setDefault(&c.LeaseMarginTicks, max(1, c.ElectionTicks/leaseMarginDivisor))
	setDefault(&c.MaxEntriesPerMessage, defaultMaxEntriesPerMessage)
	setDefault(&c.MaxBytesPerMessage, defaultMaxBytesPerMessage)
	setDefault(&c.MaxInflight, defaultMaxInflight)
	setDefault(&c.MaxUncommittedBytes, defaultMaxUncommittedBytes)
	setDefault(&c.MaxPendingReads, defaultMaxPendingReads)
	setDefault(&c.MaxSnapshotChunkBytes, defaultMaxSnapshotPieceBytes)
	setDefault(&c.MaxSnapshotBytes, defaultMaxSnapshotBytes)
	if c.MaxLearnerLag == 0 {
		c.MaxLearnerLag = defaultMaxLearnerLag
	}
	if c.TrailingEntries == 0 {
		c.TrailingEntries = defaultTrailingEntries
	}
}

func (c *Config) validate() error {
	if c.ID == "" {
		return result.Errorf(result.BadSettings, "raft: empty ID")
	}
	if c.HeartbeatTicks < 1 {
		return result.Errorf(result.BadSettings, "raft: heartbeat interval of %d ticks", c.HeartbeatTicks)
	}
	if c.ElectionTicks < 2*c.HeartbeatTicks {
		return result.Errorf(result.BadSettings,
			"raft: election timeout of %d ticks is under two heartbeat intervals", c.ElectionTicks)
	}
	if c.Rand == nil {
		return result.Errorf(result.BadSettings, "raft: no source of randomness")
	}
	return nil
}
