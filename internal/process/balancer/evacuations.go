package balancer

import (
	"slices"
	"time"

	"heatherport/internal/process/controller"
)

// evacuations are the failure domains whose upstreams get no new connections.
type evacuations struct {
	controller.Evacuations
	endedAt map[string]time.Duration // when the balancer learned of the last end, by domain
	ends    map[string]uint64        // log index of that end
}

// apply takes the evacuations of a feed. It reports false for those of a controller
// that is behind: their log index is not higher.
func (e *evacuations) apply(now time.Duration, m *controller.Evacuations) bool {
	if m == nil || m.Index <= e.Index {
		return false
	}
	if e.endedAt == nil {
		e.endedAt, e.ends = make(map[string]time.Duration), make(map[string]uint64)
	}
	for domain, index := range m.Ended {
		if index > e.ends[domain] {
			e.endedAt[domain], e.ends[domain] = now, index
		}
	}
	e.Evacuations = *m
	return true
}

func (e *evacuations) isActive(domain string) bool { return slices.Contains(e.Domains, domain) }

// coldUntil returns the time until which upstreams of a domain may be in a slow start
// of the given duration that they have not announced: they may have started again
// shortly before the end of an evacuation.
func (e *evacuations) coldUntil(domain string, slowStart time.Duration) time.Duration {
	if at, ok := e.endedAt[domain]; ok {
		return at + slowStart
	}
	return 0
}
