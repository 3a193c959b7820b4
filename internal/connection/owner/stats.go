package owner

import (
	"sync/atomic"
	"time"

	"heatherport/internal/connection"
	"heatherport/internal/connection/flow"
	"heatherport/internal/connection/table"
	"heatherport/internal/result"
	"heatherport/internal/version"
	"heatherport/internal/version/placement"
)

const (
	statStripes = 16
	firstCode   = result.Code(700)
	codeCount   = 32
)

// stats counts decisions. Stripes keep the counters of different traffic
// goroutines in different cache lines.
type stats struct {
	stripes [statStripes]statStripe
}

type statStripe struct {
	actions [4]atomic.Uint64
	codes   [codeCount]atomic.Uint64
}

func (s *stats) count(r *request, d *connection.Decision) {
	st := &s.stripes[r.hash>>4%statStripes]
	st.actions[d.Action&3].Add(1)
	if i := d.Code - firstCode; d.Code >= firstCode && i < codeCount {
		st.codes[i].Add(1)
	}
}

// Stats holds counters and sizes of an engine.
type Stats struct {
	Forwarded, Relayed, Dropped, Refused uint64
	Opened                               uint64 // connections for which this member chose the upstream
	Codes                                map[result.Code]uint64
	Table                                table.Usage
	ReplicatedExceptions                 int     // exceptions of connections without an entry in the table
	Limit                                float64 // multiple of the fair share
	ExceptionBytes                       uint64
	Settled                              uint64
	Unacknowledged                       int // exceptions not acknowledged yet
}

// Stats returns the counters of e. It belongs to the control goroutine.
func (e *Engine) Stats() Stats {
	s := Stats{
		Codes: make(map[result.Code]uint64), Table: e.table.Usage(), ReplicatedExceptions: e.exceptions.len(),
		Opened: e.opened.Load(), Limit: e.limit.Factor(), ExceptionBytes: e.budget.sentBytes, Settled: e.settled,
	}
	for i := range e.stats.stripes {
		st := &e.stats.stripes[i]
		s.Dropped += st.actions[connection.Drop].Load()
		s.Forwarded += st.actions[connection.Forward].Load()
		s.Relayed += st.actions[connection.RelayTo].Load()
		s.Refused += st.actions[connection.Refuse].Load()
		for c := range st.codes {
			if n := st.codes[c].Load(); n > 0 {
				s.Codes[firstCode+result.Code(c)] += n
			}
		}
	}
	for _, p := range e.peers {
		s.Unacknowledged += int(p.out.queued - p.out.acked)
	}
	return s
}

// Reason is the reason why a connection has its upstream.
type Reason string

// The reasons that Explain gives.
const (
	ReasonBase      Reason = "the base's first choice"
	ReasonEntry     Reason = "an entry that deviates from the base"
	ReasonException Reason = "a replicated exception"
	ReasonUnknown   Reason = "no version or no service at this address"
)

// Candidate is one upstream of a bucket's ranking.
type Candidate struct {
	Upstream version.UpstreamID
	Weight   uint32
	Local    int32 // connections that this member counts
	Estimate int32 // connections over all owners
}

// Explanation describes how a connection is decided at this member.
type Explanation struct {
	Bucket, Slot   uint16
	Owner, Standby version.MemberID
	Base           version.UpstreamID
	Ranking        []Candidate // the current ranking of the bucket
	Entry          *EntryInfo
	Exception      version.UpstreamID // upstream of the replicated exception, if any
	Upstream       version.UpstreamID // where the next packet goes, if this member decides
	Reason         Reason
}

// EntryInfo describes an entry of the connection table.
type EntryInfo struct {
	Upstream version.UpstreamID
	Idle     time.Duration // since the last packet
	Closed   bool
	Assumed  bool
	Owned    bool
}

// Explain describes how the connection of key is decided.
func (e *Engine) Explain(now time.Duration, key flow.Key) Explanation {
	w := e.view.Load()
	hash := key.Hash()
	x := Explanation{Bucket: placement.Bucket(hash), Slot: placement.Slot(hash), Reason: ReasonUnknown}
	if w == nil {
		return x
	}
	x.Owner, x.Standby = w.owners.cur.Owner(x.Slot), w.owners.cur.Standby(x.Slot)
	s := w.services[destinationOf(&key)]
	if s == nil {
		return x
	}
	x.Base = s.baseUpstream(x.Bucket)
	x.Upstream, x.Reason = x.Base, ReasonBase
	x.Ranking = s.candidates(x.Bucket, w.otherOwners)
	if h, ok := e.exceptions.get(hash); ok {
		x.Exception, x.Upstream, x.Reason = h.upstream, h.upstream, ReasonException
	}
	e.explainEntry(now, w, hash, &key, &x)
	return x
}

func (s *service) candidates(bucket uint16, others int32) []Candidate {
	var out []Candidate
	var iterator placement.Iterator
	iterator.Reset(s.current, bucket)
	for i, ok := iterator.Next(); ok; i, ok = iterator.Next() {
		c := s.targets[i].counter
		out = append(out, Candidate{s.current[i].Upstream, s.current[i].Weight, c.Local(), c.Estimate(others * peerShare)})
	}
	return out
}

func (e *Engine) explainEntry(now time.Duration, w *view, hash uint64, key *flow.Key, x *Explanation) {
	s := e.table.Lock(hash)
	defer s.Unlock()
	ent := s.Find(hash, key)
	if ent == nil {
		return
	}
	x.Entry = &EntryInfo{
		Upstream: ent.Upstream, Idle: now - time.Duration(ent.Seen)*table.Unit,
		Closed: ent.Flags&table.Closed != 0, Assumed: ent.Flags&table.Assumed != 0, Owned: x.Owner == w.self,
	}
	x.Upstream, x.Reason = ent.Upstream, ReasonEntry
	if ent.Upstream == x.Base {
		x.Reason = ReasonBase
	}
}

// OwnedConnections returns the number of connections of an upstream that this
// member owns.
func (e *Engine) OwnedConnections(id version.UpstreamID) uint64 {
	t := e.target(id)
	if t == nil {
		return 0
	}
	return uint64(max(t.counter.Local(), 0))
}

// OpenConnections returns the estimate of an upstream's open connections over
// all owners.
func (e *Engine) OpenConnections(id version.UpstreamID) uint64 {
	t := e.target(id)
	if t == nil {
		return 0
	}
	return uint64(max(t.counter.Estimate(e.view.Load().otherOwners*peerShare), 0))
}

// Retransmissions returns how many opening packets for connections at an
// upstream were retransmissions, since the start. The count wraps around.
func (e *Engine) Retransmissions(id version.UpstreamID) uint32 {
	t := e.target(id)
	if t == nil {
		return 0
	}
	return t.counter.retransmissions.Load()
}

func (e *Engine) target(id version.UpstreamID) *target {
	w := e.view.Load()
	if w == nil {
		return nil
	}
	return w.targets.get(id)
}
