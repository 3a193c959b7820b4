package balancer

import (
	"heatherport/internal/connection/affinity"
	"heatherport/internal/version/directory"
)

// limitSlowStart sets the limit of an upstream in its slow start, if its service has
// one.
func (b *Balancer) limitSlowStart(u *affinity.Upstream, e *directory.Entry) {
	if b.table == nil {
		return
	}
	limit, ok := b.table.SlowStarts[e.Service]
	if !ok {
		return
	}
	u.Owned = e.Owner == b.name
	u.ColdRate = slowStartShare(limit.Rate*b.coldExcess + b.coldSlack)
	u.ColdUntil = e.ColdUntil
	if until := b.evacuations.coldUntil(e.Domain, limit.Duration); until > u.ColdUntil {
		u.ColdUntil, u.Owned = until, false
	}
}

// slowStartShare returns the connections that the owner of a slow start may open in a
// second. It is half of the limit, because an upstream that announces itself to two
// controllers before one has told the other has two owners.
func slowStartShare(limit float64) int {
	if limit < 1 {
		return 0
	}
	return max(int(limit/2), 1)
}
