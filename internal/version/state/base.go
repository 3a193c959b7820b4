package state

import (
	"fmt"
	"slices"

	"heatherport/internal/result"
	"heatherport/internal/version"
)

// prepareBase sets the next base of a service to its current ranking.
func (m *Machine) prepareBase(c *PrepareBase) Outcome {
	s := m.serviceByID(c.Service)
	if s == nil {
		return rejected(result.NotFound, "no service has ID %d", c.Service)
	}
	if len(s.Current) == 0 {
		return rejected(result.NotFound, "service %q has no eligible upstream", s.Name)
	}
	if slices.Equal(s.Current, s.NextBase) || slices.Equal(s.Current, s.Base) {
		return Outcome{}
	}
	var o Outcome
	o.add(Change{
		Kind:    BasePrepared,
		Subject: s.Name,
		Before:  describeRanking(s.NextBase),
		After:   describeRanking(s.Current),
	})
	s.NextBase = s.Current
	s.PreparedAt = m.index
	m.markServiceDirty(s)
	return o
}

// advanceBase makes the next base of a service its base.
func (m *Machine) advanceBase(c *AdvanceBase) Outcome {
	s := m.serviceByID(c.Service)
	if s == nil {
		return rejected(result.NotFound, "no service has ID %d", c.Service)
	}
	if s.NextBase == nil || s.PreparedAt != c.Prepared {
		return rejected(result.NotFound, "no base of %q was prepared at index %d", s.Name, c.Prepared)
	}
	var o Outcome
	o.add(Change{
		Kind:    BaseAdvanced,
		Subject: s.Name,
		Before:  describeRanking(s.Base),
		After:   describeRanking(s.NextBase),
		Cause:   c.Cause,
	})
	s.Base = s.NextBase
	s.NextBase = nil
	s.PreparedAt = 0
	m.markServiceDirty(s)
	return o
}

// describeRanking returns the size and total weight of r; a list of its
// upstreams might be long.
func describeRanking(r version.Ranking) string {
	if r == nil {
		return "none"
	}
	var total uint64
	for _, w := range r {
		total += uint64(w.Weight)
	}
	return fmt.Sprintf("%d upstreams, weight %d", len(r), total)
}
