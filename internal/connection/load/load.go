// Package load estimates the open connections of each upstream over all owners,
// from the local count and the counts that peers last reported. It also adapts
// how far the choice of an upstream may deviate from the ranking.
package load

import "sync/atomic"

// Counter counts the open connections of one upstream. Traffic goroutines change
// the local count; the control goroutine adds the counts that peers report.
type Counter struct {
	local    atomic.Int32 // connections counted by this owner
	remote   atomic.Int32 // sum of the counts last reported by peers
	reported atomic.Int32 // local count at the last report
}

// Add changes the local count by n.
func (c *Counter) Add(n int32) { c.local.Add(n) }

// Local returns the local count.
func (c *Counter) Local() int32 { return c.local.Load() }

// Remote returns the sum of the counts last reported by peers.
func (c *Counter) Remote() int32 { return c.remote.Load() }

// AddRemote changes the sum of the counts reported by peers by n.
func (c *Counter) AddRemote(n int32) { c.remote.Add(n) }

// MarkReported records that the current local count is reported to peers.
func (c *Counter) MarkReported() { c.reported.Store(c.local.Load()) }

// Estimate returns the estimated open connections over all owners. It assumes
// that each peer has added as many connections since its report as this owner,
// because slots are spread evenly over the owners and all of them use the same
// counts. peers is the number of other owners, in units of 1/Scale.
func (c *Counter) Estimate(peers int32) int32 {
	local := c.local.Load()
	return max(local+c.remote.Load()+(local-c.reported.Load())*peers/Scale, 0)
}

// Scale is the fixed-point scale of the argument of Estimate.
const Scale = 256
