package routing

import (
	"net/netip"
	"time"
)

// RetiredTargets holds the targets of replaced tables for a retention time, for
// connections that were opened under them. It is immutable.
type RetiredTargets struct {
	expiry map[retiredTarget]time.Duration
}

type retiredTarget struct {
	address netip.AddrPort
	service string
}

// Allowed reports whether a replaced table routed address to service and its
// targets are still retained. Retire removes those whose retention has passed.
func (t *RetiredTargets) Allowed(address netip.AddrPort, service string) bool {
	_, ok := t.expiry[retiredTarget{address, service}]
	return ok
}

// Retire returns the targets that are retained after the table old, which may
// be nil, was replaced at now. The targets of old are retained for the time
// retention. t may be nil.
func (t *RetiredTargets) Retire(now, retention time.Duration, old *Table) *RetiredTargets {
	next := &RetiredTargets{expiry: make(map[retiredTarget]time.Duration)}
	if t != nil {
		for target, until := range t.expiry {
			if until > now {
				next.expiry[target] = until
			}
		}
	}
	if old != nil {
		for address, r := range old.routes {
			for _, target := range r.Targets {
				next.expiry[retiredTarget{address, target.Service}] = now + retention
			}
		}
	}
	return next
}
