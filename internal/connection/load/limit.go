package load

import "sync/atomic"

const (
	limitUnit = 1 << 16

	// MinLimit is the lowest limit, as a multiple of the fair share.
	MinLimit = 1.015
	// MaxLimit is the highest limit, as a multiple of the fair share.
	MaxLimit = 2.0

	raiseAbove = 0.9  // share of the byte budget above which the limit is raised
	lowerBelow = 0.6  // share of the byte budget below which the limit is lowered
	stepShare  = 0.25 // change of the excess over the fair share in one step
)

// Limit is the bound of bounded-load hashing: the factor by which an upstream
// may exceed its fair share of connections before a new connection goes to the
// next upstream of the ranking. Adapt raises it when replication of the
// resulting exceptions exceeds its byte budget.
type Limit struct {
	excess atomic.Uint32 // limit - 1 in units of 1/limitUnit
}

// NewLimit returns a limit with the value MinLimit.
func NewLimit() *Limit {
	l := new(Limit)
	l.set(MinLimit - 1)
	return l
}

func (l *Limit) set(excess float64) { l.excess.Store(uint32(excess * limitUnit)) }

// Factor returns the limit as a multiple of the fair share.
func (l *Limit) Factor() float64 { return 1 + float64(l.excess.Load())/limitUnit }

// Allows reports whether an upstream with the given number of open connections
// may take one more. Its fair share of all connections is total × weight / sum.
func (l *Limit) Allows(open, total int64, weight, sum uint64) bool {
	fair := uint64(total+1) * weight * (limitUnit + uint64(l.excess.Load())) / limitUnit
	return uint64(open+1)*sum <= fair+sum/2
}

// Adapt raises or lowers the limit. used and budget are bytes over the same
// period.
func (l *Limit) Adapt(used, budget float64) {
	excess := l.Factor() - 1
	switch {
	case used > budget*raiseAbove:
		excess *= 1 + stepShare
	case used < budget*lowerBelow:
		excess *= 1 - stepShare
	}
	l.set(min(max(excess, MinLimit-1), MaxLimit-1))
}
