package raft

import (
	"math/rand/v2"

	"heatherport/internal/result"
)

// Config holds the parameters of a node. A limit of zero selects its default.
type Config struct {
	// ID is the VM name of this node.
	ID string
	// ElectionTicks is the minimum election timeout in ticks. Voters reject
	// vote requests for the same time after a message from a leader. All
	// nodes must use the same value.
	ElectionTicks int
	// HeartbeatTicks is the interval of heartbeats in ticks.
	HeartbeatTicks int
	// LeaseMarginTicks is the number of ticks by which the leader's read
	// lease is shorter than ElectionTicks, for which its voters reject vote
	// requests. It is the clock drift tolerated within one election timeout.
	// Default: a quarter of ElectionTicks, at least one.
	LeaseMarginTicks int
	// DisableLeaseReads makes every ReadIndex confirm leadership with a
	// heartbeat round.
	DisableLeaseReads bool
	// MaxEntriesPerMessage and MaxBytesPerMessage limit an append message.
	// A single entry larger than MaxBytesPerMessage is sent alone.
	MaxEntriesPerMessage int
	MaxBytesPerMessage   int
	// MaxInflight limits the unacknowledged append messages per peer.
	MaxInflight int
	// MaxUncommittedBytes limits the size of uncommitted proposals.
	MaxUncommittedBytes int
	// MaxPendingReads limits the reads that wait for a heartbeat round.
	MaxPendingReads int
	// MaxSnapshotChunkBytes limits the snapshot data in one message.
	MaxSnapshotChunkBytes int
	// MaxSnapshotBytes is the size of the largest snapshot that this node
	// accepts.
	MaxSnapshotBytes int
	// MaxLearnerLag is the largest number of entries by which a learner may
	// lag behind the leader's log when it is promoted.
	MaxLearnerLag uint64
	// TrailingEntries is the number of entries before a snapshot's index that
	// stay in memory, so that a follower that lags slightly needs no snapshot.
	TrailingEntries uint64
	// Rand randomizes election timeouts.
	Rand *rand.Rand
}

// Defaults of the limits in Config.
const (
	defaultMaxEntriesPerMessage  = 1024
	defaultMaxBytesPerMessage    = 256 << 10
	defaultMaxInflight           = 16
	defaultMaxUncommittedBytes   = 4 << 20
	defaultMaxPendingReads       = 1024
	defaultMaxSnapshotChunkBytes = 64 << 10
	defaultMaxSnapshotBytes      = 256 << 20
	defaultMaxLearnerLag         = 64
	defaultTrailingEntries       = 1024
)

// leaseMarginDivisor is the ratio of the election timeout to the default lease
// margin.
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
	setDefault(&c.MaxSnapshotChunkBytes, defaultMaxSnapshotChunkBytes)
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
