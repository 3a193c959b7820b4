package owner

import (
	"time"

	"heatherport/internal/connection/table"
	"heatherport/internal/version"
	"heatherport/internal/version/placement"
)

// Receive applies a message from a member and returns the answers to send at
// once. Messages may be lost, delayed, repeated or out of order.
func (e *Engine) Receive(now time.Duration, from version.MemberID, m Message) []Outbound {
	if from == 0 || from == e.self {
		return nil
	}
	p := e.peer(now, from)
	p.recordContact(now)
	if m.Load != nil {
		e.receiveLoadReport(now, p, m.Load)
	}
	if m.Ack != nil {
		p.out.ack(m.Ack.Seq)
	}
	if m.HandoverAck != nil {
		e.receiveHandoverAck(p, m.HandoverAck)
	}
	var answer Message
	if m.Exceptions != nil {
		e.receiveExceptions(now, p, m.Exceptions)
		if m.Exceptions.Urgent {
			answer.Ack = &Ack{p.receivedSeq}
			p.ackDue = false
		}
	}
	if m.Handover != nil {
		e.receiveHandover(now, p, m.Handover)
		answer.HandoverAck = &Handover{Epoch: m.Handover.Epoch, Complete: m.Handover.Complete}
	}
	if answer == (Message{}) {
		return nil
	}
	return []Outbound{{from, answer}}
}

func (e *Engine) receiveLoadReport(now time.Duration, p *peer, l *LoadReport) {
	if l.Seq <= p.reportSeq {
		return
	}
	p.reportSeq = l.Seq
	p.decidedAlone.Store(l.DecidedAlone)
	if l.MissingExceptionsSeconds > 0 {
		p.exceptionsMissingUntil.Store(int64(now + time.Duration(l.MissingExceptionsSeconds)*time.Second))
	}
	p.applied.Store(max(p.applied.Load(), l.Applied))
	e.mergeCounts(p, l)
	p.synced = max(p.synced, l.Synced)
}

// mergeCounts applies the counts that p reports.
func (e *Engine) mergeCounts(p *peer, l *LoadReport) {
	if l.Full {
		for id := range p.counts {
			e.setCount(p, id, 0)
		}
	}
	counts := countReader{buf: l.Counts}
	for id, n, ok := counts.read(); ok; id, n, ok = counts.read() {
		e.setCount(p, id, n)
	}
}

func (e *Engine) setCount(p *peer, id version.UpstreamID, n int32) {
	if c := e.counters[id]; c != nil {
		c.AddRemote(n - p.counts[id])
	}
	if n == 0 {
		delete(p.counts, id)
		return
	}
	p.counts[id] = n
}

// receiveExceptions applies the next batch of p's stream. A batch out of order
// is ignored; its sender resends it.
func (e *Engine) receiveExceptions(now time.Duration, p *peer, x *ExceptionBatch) {
	p.ackDue = true
	p.applied.Store(max(p.applied.Load(), x.Index))
	if x.Seq != p.receivedSeq+1 {
		return
	}
	p.receivedSeq = x.Seq
	for b := x.Items; len(b) > 0; {
		d, rest, ok := nextItem(b)
		if !ok {
			return
		}
		e.applyItem(now, p, d)
		b = rest
	}
}

func (e *Engine) applyItem(now time.Duration, p *peer, it decodedItem) {
	if it.upstream == 0 {
		number := p.storesReceived - it.age
		if hash, ok := p.hashByNumber[number]; ok {
			delete(p.hashByNumber, number)
			e.exceptions.removeFrom(hash, p.id)
		}
		return
	}
	p.storesReceived++
	p.hashByNumber[p.storesReceived] = it.hash
	at := table.At(now)
	e.exceptions.merge(it.hash, exception{upstream: it.upstream, from: p.id, at: at, confirmed: true})
	if w := e.view.Load(); w != nil && w.replicates(placement.Slot(it.hash)) {
		e.scanException(now, w, it.hash, exception{upstream: it.upstream, at: at})
	}
}

func (e *Engine) receiveHandover(now time.Duration, p *peer, h *Handover) {
	if h.RetransmitSeconds > 0 {
		e.retransmitUntil = max(e.retransmitUntil, now+time.Duration(h.RetransmitSeconds)*time.Second)
		p.retransmitUntil.Store(int64(e.retransmitUntil))
	}
	if h.MissingExceptionsSeconds > 0 {
		e.exceptionsMissingUntil = max(e.exceptionsMissingUntil, now+time.Duration(h.MissingExceptionsSeconds)*time.Second)
		p.exceptionsMissingUntil.Store(int64(e.exceptionsMissingUntil))
	}
	p.handoverEpoch.Store(max(p.handoverEpoch.Load(), h.Epoch))
	if h.Complete && h.Epoch > p.completeEpoch.Load() {
		p.completeEpoch.Store(h.Epoch)
		e.allKnownAt = max(e.allKnownAt, now+time.Duration(h.UnknownSeconds)*time.Second)
	}
}

func (e *Engine) receiveHandoverAck(p *peer, ack *Handover) {
	h := e.handovers[p.id]
	if h == nil || ack.Epoch < h.epoch {
		return
	}
	h.acked = true
	h.completeAcked = h.completeAcked || ack.Complete
}
