package owner

import (
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"heatherport/internal/connection/flow"
	"heatherport/internal/connection/load"
	"heatherport/internal/version"
	"heatherport/internal/version/placement"
)

// destination is a service key in the form in which packets carry it.
type destination struct {
	addr     [16]byte
	port     uint16
	protocol version.Protocol
}

func destinationOf(k *flow.Key) destination { return destination{k.Dst, k.DstPort, k.Protocol} }

// service is a service of a version, prepared for decisions.
type service struct {
	id            version.ServiceID
	idle          time.Duration
	idempotent    bool
	base, next    version.Ranking // next is nil unless a base is being prepared
	current       version.Ranking
	targets       []*target // by index in current
	sum           uint64    // of the weights of current
	baseIsCurrent bool      // base equals current and no base is being prepared
}

// target is an upstream of a version, prepared for decisions.
type target struct {
	id      version.UpstreamID
	addr    netip.AddrPort
	dst     destination
	service *service
	limit   int64 // connections over all owners; zero for none
	active  bool  // in the current ranking
	counter *counter
}

// counter counts the connections of an upstream. It outlives versions, so that
// a publication does not reset counts.
type counter struct {
	load.Counter
	firstIndex      uint64        // version index in which the upstream first appeared
	leftAt          time.Duration // when it left the current ranking
	current         bool          // in the current ranking
	sent            int32         // count in the last report
	retransmissions atomic.Uint32 // opening packets of connections that were already open
}

// view is everything that traffic goroutines read. It is immutable except for
// the atomics that it points to.
type view struct {
	version     *version.Version
	self        version.MemberID
	services    map[destination]*service
	targets     targetIndex
	maxUpstream version.UpstreamID // highest upstream ID known
	owners      *ownership
	peers       map[version.MemberID]*route
	otherOwners int32 // owners besides this member
}

// route is a peer and its relay endpoint.
type route struct {
	*peer
	addr netip.AddrPort
}

// baseUpstream returns the upstream of a connection without an exception.
func (s *service) baseUpstream(bucket uint16) version.UpstreamID {
	return placement.First(s.base, bucket)
}

// deviates reports whether a connection at upstream needs an exception.
func (s *service) deviates(upstream version.UpstreamID, bucket uint16) bool {
	if s.baseUpstream(bucket) != upstream {
		return true
	}
	return s.next != nil && placement.First(s.next, bucket) != upstream
}

// resolve returns the target of an upstream, and whether it belongs to the
// service that k addresses.
func (w *view) resolve(id version.UpstreamID, k *flow.Key) (t *target, same bool) {
	t = w.targets.get(id)
	if t == nil {
		return nil, false
	}
	return t, t.dst == destinationOf(k)
}

// newView returns the view of v. It runs on the control goroutine.
func (e *Engine) newView(now time.Duration, v *version.Version) *view {
	w := &view{
		version:  v,
		self:     e.self,
		services: make(map[destination]*service, len(v.Services)),
		targets:  newTargetIndex(len(v.Upstreams)),
	}
	byID := make(map[version.ServiceID]*service, len(v.Services))
	dst := make(map[version.ServiceID]destination, len(v.Services))
	for i := range v.Services {
		s := newService(&v.Services[i])
		key := v.Services[i].Key
		d := destination{key.Addr.As16(), key.Port, key.Protocol}
		w.services[d], byID[s.id], dst[s.id] = s, s, d
	}
	for i := range v.Upstreams {
		u := &v.Upstreams[i]
		if s := byID[u.Service]; s != nil {
			w.targets.add(&target{
				id: u.ID, addr: u.Addr, dst: dst[s.id], service: s,
				limit: int64(u.ConnLimit), counter: e.counter(u.ID, v.Index),
			})
		}
		w.maxUpstream = max(w.maxUpstream, u.ID)
	}
	for _, s := range byID {
		w.fillTargets(s)
	}
	e.markCurrent(now, w)
	return w
}

func newService(s *version.Service) *service {
	out := &service{
		id: s.ID, idle: s.IdleTimeout, idempotent: s.Idempotent,
		base: s.Base, next: s.NextBase, current: s.Current,
	}
	if slices.Equal(s.NextBase, s.Base) {
		out.next = nil
	}
	return out
}

// fillTargets links the current ranking to targets. An upstream that the
// version does not hold is omitted.
func (w *view) fillTargets(s *service) {
	known := s.current[:0:0]
	for _, c := range s.current {
		t := w.targets.get(c.Upstream)
		if t == nil || t.service != s {
			continue
		}
		t.active = true
		known = append(known, c)
		s.targets = append(s.targets, t)
		s.sum += uint64(c.Weight)
	}
	s.current = known
	s.baseIsCurrent = s.next == nil && slices.Equal(s.base, s.current)
}

// counter returns the counter of an upstream. It creates it if needed.
func (e *Engine) counter(id version.UpstreamID, index uint64) *counter {
	c := e.counters[id]
	if c == nil {
		c = &counter{firstIndex: index}
		for _, p := range e.peers {
			c.AddRemote(p.counts[id])
		}
		e.counters[id] = c
	}
	return c
}

// markCurrent records which upstreams have left the current ranking, and
// removes the counters of those that are gone.
func (e *Engine) markCurrent(now time.Duration, w *view) {
	for id, c := range e.counters {
		t := w.targets.get(id)
		if t == nil {
			delete(e.counters, id)
			continue
		}
		if c.current && !t.active {
			c.leftAt = now
		}
		c.current = t.active
	}
}
