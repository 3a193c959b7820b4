package owner

import (
	"time"
)

const (
	adaptInterval = time.Second
	urgentFactor  = 2.5 // budget during a transition, as a multiple of the steady one
	burstSeconds  = 2   // budget that may accumulate
)

// byteBudget is a token bucket for the bytes of exceptions.
type byteBudget struct {
	tokens      float64
	refilledAt  time.Duration
	steadyBytes int // bytes caused by new connections since adaptAt
	adaptAt     time.Duration
	sentBytes   uint64 // bytes of exceptions sent in total
}

// Tick does the periodic work: expiry, replication and reports. It returns the
// messages to send, in a fixed order of members.
func (e *Engine) Tick(now time.Duration) []Outbound {
	w := e.view.Load()
	if w == nil {
		return nil
	}
	e.table.Expire(now)
	e.dropDepartedReports(now)
	e.events.drain(func(it item) {
		e.budget.steadyBytes += e.replicate(w, it) * itemBytes
	})
	e.scanStep(now, w)
	e.sendAllStep(now, w)
	e.sweepExceptions(now, w)
	e.adapt(now)
	e.updateSettled(now, w)
	return e.collect(now, w)
}

// adapt refills the byte budget, and adapts the load limit to the bytes that
// new connections have cost.
func (e *Engine) adapt(now time.Duration) {
	rate := float64(e.cfg.ExceptionBudget)
	if e.urgent() {
		rate *= urgentFactor
	}
	b := &e.budget
	b.tokens = min(b.tokens+rate*(now-b.refilledAt).Seconds(), rate*burstSeconds)
	b.refilledAt = now
	if now < b.adaptAt+adaptInterval {
		return
	}
	bytesPerSecond := float64(b.steadyBytes) / (now - b.adaptAt).Seconds()
	e.limit.Adapt(bytesPerSecond, float64(e.cfg.ExceptionBudget))
	b.steadyBytes, b.adaptAt = 0, now
}

// urgent reports whether the leader may be waiting for this member to settle, or
// connections of slots that it gave up are still to be queued.
func (e *Engine) urgent() bool {
	w := e.view.Load()
	return w != nil && (e.settled < w.version.Index || !e.scan.sentAll)
}

// collect builds the messages of one tick.
func (e *Engine) collect(now time.Duration, w *view) []Outbound {
	reportDue := e.report.due(now, w)
	var changes, full *LoadReport
	if reportDue {
		changes, full = e.loadReports(now, w)
	}
	var out []Outbound
	for i := range w.version.Members {
		to := w.peers[w.version.Members[i].ID]
		if to == nil {
			continue
		}
		p := to.peer
		var m Message
		if reportDue {
			m.Load = changes
			if p.needFull {
				m.Load, p.needFull = full, false
			}
		}
		out = e.appendMessages(out, now, w, p, m, reportDue)
	}
	return out
}

// appendMessages adds exceptions, a handover and an acknowledgement for p to m,
// and appends the messages for p to out.
func (e *Engine) appendMessages(out []Outbound, now time.Duration, w *view, p *peer, m Message, reportDue bool) []Outbound {
	m.Handover = e.handoverFor(now, p)
	if p.ackNow || p.ackDue && reportDue {
		m.Ack = &Ack{p.receivedSeq}
		p.ackNow, p.ackDue = false, false
	}
	urgent := e.urgent()
	for (reportDue || urgent) && p.reachable(now) && e.budget.tokens > 0 {
		b := p.out.next(now, urgent)
		if b == nil {
			break
		}
		e.budget.tokens -= float64(len(b.items))
		e.budget.sentBytes += uint64(len(b.items))
		m.Exceptions = &ExceptionBatch{Seq: b.seq, Items: b.items, Urgent: urgent, Index: w.version.Index}
		out = append(out, Outbound{p.id, m})
		m = Message{}
	}
	if m != (Message{}) {
		out = append(out, Outbound{p.id, m})
	}
	return out
}

// handoverFor returns the handover to send to p now, or nil.
func (e *Engine) handoverFor(now time.Duration, p *peer) *Handover {
	h := e.handovers[p.id]
	if h == nil || h.completeAcked || !e.scan.ackTargetsSet || p.out.acked < p.ackTarget {
		return nil
	}
	complete := e.scan.sentAll && p.out.acked >= p.completeAckTarget
	if h.acked && !complete || h.sentAt != 0 && now-h.sentAt < urgentResendInterval {
		return nil
	}
	h.sentAt = now
	return &Handover{
		Epoch: h.epoch, Complete: complete,
		UnknownSeconds:           secondsUntil(now, e.allKnownAt),
		RetransmitSeconds:        secondsUntil(now, e.retransmitUntil),
		MissingExceptionsSeconds: secondsUntil(now, e.exceptionsMissingUntil),
	}
}

func secondsUntil(now, at time.Duration) uint32 {
	return uint32((max(at-now, 0) + time.Second - 1) / time.Second)
}

// reportSchedule is the state of the periodic load reports.
type reportSchedule struct {
	next   time.Duration
	seq    uint64
	fullAt time.Duration
	index  uint64 // version index of the last report
}

// due reports whether a load report is due. Members start at different phases.
// A new version is reported at once: owners send nothing that names its
// upstreams to a standby that is not known to have applied it.
func (r *reportSchedule) due(now time.Duration, w *view) bool {
	if r.next == 0 {
		r.next = now + time.Duration(w.self%5)*heartbeatInterval/5
	}
	if r.index != w.version.Index {
		r.index = w.version.Index
		r.next = min(r.next, now)
	}
	if now < r.next {
		return false
	}
	r.next += heartbeatInterval
	if r.next <= now {
		r.next = now + heartbeatInterval
	}
	return true
}

// loadReports returns the report of changed counts and that of all counts.
func (e *Engine) loadReports(now time.Duration, w *view) (changes, full *LoadReport) {
	e.report.seq++
	header := LoadReport{
		Seq: e.report.seq, Applied: w.version.Index, Leaving: e.leaving,
		DecidedAlone:             now-time.Duration(e.lastDecidedAlone.Load()) < synRetransmitWindow,
		MissingExceptionsSeconds: secondsUntil(now, e.exceptionsMissingUntil),
	}
	if e.settled >= w.version.Index {
		header.Synced = w.owners.epoch
	}
	a, b := header, header
	b.Full = true
	a.Counts, b.Counts = e.counts(w)
	if now >= e.report.fullAt {
		e.report.fullAt = now + fullReportInterval
		return &b, &b
	}
	return &a, &b
}

// counts encodes the counts that changed since the last report and all counts.
func (e *Engine) counts(w *view) (changes, full []byte) {
	var some, all countWriter
	for i := range w.version.Upstreams {
		id := w.version.Upstreams[i].ID
		c := e.counters[id]
		if c == nil {
			continue
		}
		n := c.Local()
		c.MarkReported()
		if n != c.sent {
			some.add(id, n)
		}
		if n != 0 {
			all.add(id, n)
		}
		c.sent = n
	}
	return some.buf, all.buf
}
