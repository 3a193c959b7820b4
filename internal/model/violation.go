package model

import (
	"fmt"
	"time"

	"heatherport/internal/connection/affinity"
)

// Violation is a broken promise.
type Violation struct {
	At     time.Duration
	Detail string
}

// String returns the violation as one line.
func (v Violation) String() string { return fmt.Sprintf("%v: %s", v.At, v.Detail) }

func (r *run) violate(format string, args ...any) {
	r.broken = append(r.broken, Violation{r.now, fmt.Sprintf(format, args...)})
}

// placed notes that an attempt was sent to an upstream: not after a refusal, which tells
// the caller that it has not run, and only to one of its service.
func (r *run) placed(b *balancer, u *upstream, a *attempt) {
	if a.refused {
		r.violate("%s sent %s to upstream %d after its refusal", b.config.Name, a.caller, u.index)
	}
	if u.service.Name != a.call.route.Service {
		r.violate("%s sent %s of route %s to an upstream of %s", b.config.Name, a.caller, a.call.route.Name, u.service.Name)
	}
	a.isPlaced = true
}

// refusing notes that an attempt is refused: none of its packets may have been sent to an
// upstream.
func (r *run) refusing(b *balancer, a *attempt) {
	if a.isPlaced {
		r.violate("%s refused %s after it was sent to an upstream", b.config.Name, a.caller)
	}
	a.refused = true
}

// checkService checks that an established connection stays at its upstream.
func (r *run) checkService(a *attempt, to *affinity.Upstream) {
	if to.Cookie != a.cookie {
		r.violate("connection %s of cookie %x was sent to %s", a.caller, a.cookie, to.ID)
	}
	if to.Service != a.call.route.Service {
		r.violate("connection %s of route %s was sent to an upstream of %s", a.caller, a.call.route.Name, to.Service)
	}
}
