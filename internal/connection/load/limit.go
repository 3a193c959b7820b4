package load

import "sync/atomic"

const (
	limitUnit = 1 << 16

	// MinLimit is the tightest limit, as a multiple of the fair share.
	MinLimit = 1.015
	// MaxLimit is the loosest limit.
	MaxLimit = 2.0

	loosenAbove  = 0.9 // share of the byte budget above which the limit loosens
	tightenBelow = 0.6 // share below which it tightens
	stepShare    = 0.25
)

// Limit is the factor by which an upstream may exceed its fair share before a
// new connection goes to the next one of the ranking. Adapt loosens it when
// the resulting exceptions exceed their byte budget.
type Limit struct {
	excess atomic.Uint32 // limit - 1 in units of 1/limitUnit
}

// NewLimit returns a limit at its tightest.
func NewLimit() *Limit {
	l := new(Limit)
	l.set(MinLimit - 1)
	return l
}

func (l *Limit) set(excess float64) { l.excess.Store(uint32(excess * limitUnit)) }

// Factor returns the limit as a multiple of the fair share.
func (l *Limit) Factor() float64 { return 1 + float64(l.excess.Load())/limitUnit }

// Allows reports whether an upstream with open connections may take one more,
// when its fair share of total connections is total × weight / sum.
func (l *Limit) Allows(open, total int64, weight, sum uint64) bool {
	fair := uint64(total+1) * weight * (limitUnit + uint64(l.excess.Load())) / limitUnit
	return uint64(open+1)*sum <= fair+sum/2
}

// Adapt moves the limit according to the bytes spent and the budget of the
// same span.
func (l *Limit) Adapt(spent, budget float64) {
	excess := l.Factor() - 1
	switch {
	case spent > budget*loosenAbove:
		excess *= 1 + stepShare
	case spent < budget*tightenBelow:
		excess *= 1 - stepShare
	}
	l.set(min(max(excess, MinLimit-1), MaxLimit-1))
}
