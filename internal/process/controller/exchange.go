package controller

import (
	"net/netip"

	"heatherport/internal/process/stream"
	"heatherport/internal/version/raft"
)

// broadcast sends a message to all connected controllers.
func (c *Controller) broadcast(kind stream.Kind, message any) {
	frame, err := stream.Encode(kind, message)
	if err != nil {
		c.log.Error("failed to encode message", "kind", kind, "error", err)
		return
	}
	c.countSent(kind, c.links.broadcast(frame)*len(frame))
}

// shareChanges sends the records that changed in the directory to the other
// controllers.
func (c *Controller) shareChanges() {
	records := c.directory.Since(c.sharedRevision)
	c.sharedRevision = c.directory.Revision()
	if len(records) == 0 {
		return
	}
	c.recordsNumber++
	c.broadcast(KindRecords, Records{Number: c.recordsNumber, Records: records})
}

// sendLog sends a message of the replicated log.
func (c *Controller) sendLog(m raft.Message) {
	frame, err := stream.Encode(KindRaft, m)
	if err != nil {
		c.log.Error("failed to encode raft message", "error", err)
		return
	}
	address := linkOf(m.To)
	c.countSent(KindRaft, len(frame))
	if !c.links.send(address, frame) {
		c.links.connect(address)
	}
}

// linkCallbacks returns the callbacks of the connection that this controller
// opens to another one.
func (c *Controller) linkCallbacks(address netip.AddrPort) stream.Callbacks {
	return stream.Callbacks{
		Open: func(conn *stream.Conn) {
			c.log.Info("link open", "peer", address)
			c.links.setConn(address, conn)
			if !c.post(func() { c.introduce(conn) }) {
				conn.Close()
			}
		},
		Handle: func(conn *stream.Conn, kind stream.Kind, body []byte) {
			c.handleReply(address, conn, kind, body)
		},
		Close: func(conn *stream.Conn, cause error) {
			if conn == nil {
				c.log.Debug("failed to open link", "peer", address, "error", cause)
				return
			}
			c.cfg.Metrics.LinksLost.Inc()
			c.log.Warn("link lost", "peer", address, "error", cause)
			c.links.connClosed(address, conn)
		},
	}
}

// introduce sends a Hello and the digests of the directory.
func (c *Controller) introduce(conn *stream.Conn) {
	c.reply(conn, KindHello, c.hello())
	c.reply(conn, KindDigests, Digests{Revision: c.directory.Revision(), Digests: c.directory.Digests()})
}

// synchronize sends what another controller lacks and lets broadcasts go to it, in one
// step, so that nothing that is broadcast meanwhile is missed. An acknowledgement of a
// change covers all earlier ones, so the records must be the first on the connection.
func (c *Controller) synchronize(address netip.AddrPort, conn *stream.Conn, d Differing) {
	records := c.directory.InBuckets(d.Buckets, d.Revision)
	c.recordsNumber++
	c.reply(conn, KindRecords, Records{Number: c.recordsNumber, Records: records})
	c.reply(conn, KindBalancers, Balancers{Addresses: c.balancers.addresses()})
	c.reply(conn, KindFleet, c.ownFleet())
	if !c.needs.sent.isEmpty() {
		c.reply(conn, KindNeeds, c.needs.sent)
	}
	if !c.speeds.sent.isEmpty() {
		c.reply(conn, KindSpeeds, c.speeds.sent)
	}
	now := c.now()
	if pins := c.pins.since(now, 0); len(pins) > 0 {
		c.reply(conn, KindPins, Pins{Pins: pins})
	}
	for _, r := range suspicionReports(now, c.directory.Suspicions(now)) {
		c.reply(conn, KindSuspicionReport, r)
	}
	c.links.setSynchronized(address, conn)
	c.log.Info("link synchronized", "peer", address, "buckets", len(d.Buckets), "records", len(records))
}

func (c *Controller) handleReply(from netip.AddrPort, conn *stream.Conn, kind stream.Kind, body []byte) {
	switch kind {
	case KindDiffering:
		var d Differing
		if c.decode(conn, body, &d) && !c.post(func() { c.synchronize(from, conn, d) }) {
			conn.Close()
		}
	case KindRecordsAck:
		var ack RecordsAck
		if c.decode(conn, body, &ack) {
			c.post(func() { c.recordsAcked(ack.Number) })
		}
	case KindSubmitResult:
		var s SubmitResult
		if c.decode(conn, body, &s) {
			c.links.finishCall(from, s.Call, s.Accepted)
		}
	}
}

// decode decodes a message. It closes the connection if it cannot: what follows on it
// assumes that the message was taken, as do acknowledgements.
func (c *Controller) decode(conn *stream.Conn, body []byte, into any) bool {
	if err := stream.Decode(body, into); err != nil {
		c.log.Warn("failed to decode message; closing connection", "error", err)
		conn.Close()
		return false
	}
	return true
}

// handleMessage handles the messages of connections that others opened to this
// controller.
func (c *Controller) handleMessage(conn *stream.Conn, kind stream.Kind, body []byte) {
	switch kind {
	case KindRaft:
		var m raft.Message
		if c.decode(conn, body, &m) {
			c.peers.touch(m.From)
			c.consensus.receive(m)
		}
	case KindHello:
		var h Hello
		if c.decode(conn, body, &h) {
			c.handleHello(h)
		}
	case KindDigests:
		var d Digests
		if c.decode(conn, body, &d) {
			posted := c.post(func() {
				_, buckets := c.directory.Differing(d.Digests)
				c.reply(conn, KindDiffering, Differing{Revision: d.Revision, Buckets: buckets})
			})
			if !posted {
				conn.Close() // without an answer the link would never be synchronized
			}
		}
	case KindRecords:
		var r Records
		if c.decode(conn, body, &r) {
			c.post(func() { c.mergeRecords(conn, r) })
		}
	case KindRenewals:
		var r Renewals
		if c.decode(conn, body, &r) {
			c.post(func() { c.renew(conn, r) })
		}
	case KindSuspicionReport:
		var d SuspicionReport
		if c.decode(conn, body, &d) {
			c.post(func() { c.handleSuspicions(conn, d) })
		}
	case KindBalancers:
		var b Balancers
		if c.decode(conn, body, &b) {
			c.post(func() { c.balancers.add(c.now(), b.Addresses...) })
		}
	case KindFleet:
		var f Fleet
		if c.decode(conn, body, &f) {
			c.post(func() { c.handleFleet(&f) })
		}
	case KindNeeds:
		var n Needs
		if c.decode(conn, body, &n) {
			c.post(func() { c.handleNeeds(c.subscribers[conn], &n) })
		}
	case KindSpeeds:
		var s Speeds
		if c.decode(conn, body, &s) {
			c.post(func() { c.handleSpeeds(c.subscribers[conn], &s) })
		}
	case KindPins:
		var p Pins
		if c.decode(conn, body, &p) {
			c.post(func() { c.handlePins(conn, p) })
		}
	case KindSubmit:
		var s Submit
		if c.decode(conn, body, &s) {
			c.consensus.propose(s.Data, func(accepted bool) {
				c.reply(conn, KindSubmitResult, SubmitResult{Call: s.Call, Accepted: accepted})
			})
		}
	case KindSubscribe:
		var s Subscribe
		if c.decode(conn, body, &s) {
			c.post(func() { c.subscribe(conn, s) })
		}
	default:
		c.unknown.note(c.log, conn.RemoteAddr(), kind, func() { c.cfg.Metrics.UnknownMessages.Inc() })
	}
}

func (c *Controller) reply(conn *stream.Conn, kind stream.Kind, message any) {
	frame, err := stream.Encode(kind, message)
	if err != nil {
		c.log.Error("failed to encode message", "kind", kind, "error", err)
		return
	}
	conn.Send(frame)
	c.countSent(kind, len(frame))
}

func (c *Controller) handleHello(h Hello) {
	if h.Self.ID != "" {
		c.peers.add(h.Self)
	}
	c.links.connect(h.Known...)
	c.links.connect(h.Self.Link)
}

func (c *Controller) mergeRecords(conn *stream.Conn, r Records) {
	if c.isDelayedByStall(conn) {
		return
	}
	for _, record := range r.Records {
		if c.isUsable(&record, conn.RemoteAddr().String()) {
			c.directory.Merge(c.now(), record)
		}
	}
	// Other controllers receive these records from the same peer.
	c.sharedRevision = max(c.sharedRevision, c.directory.Revision())
	c.reply(conn, KindRecordsAck, RecordsAck{Number: r.Number})
}

// recordsAcked wakes the calls that wait for an acknowledgement of the Records
// message with this number or an earlier one.
func (c *Controller) recordsAcked(number uint64) {
	for n, waiting := range c.ackWaiters {
		if n > number {
			continue
		}
		for _, done := range waiting {
			close(done)
		}
		delete(c.ackWaiters, n)
	}
	for id, n := range c.unacked {
		if n <= number {
			delete(c.unacked, id)
		}
	}
}

func (c *Controller) sendRenewals() {
	if len(c.renewed) == 0 {
		return
	}
	c.broadcast(KindRenewals, Renewals{Tags: c.renewed})
	c.renewed = nil
}

// handleSuspicions handles a suspicion report of a balancer or, passed on, of
// another controller.
func (c *Controller) handleSuspicions(conn *stream.Conn, d SuspicionReport) {
	if !c.stall.IsOver(c.clock()) {
		c.log.Info("suspicions ignored after a stall", "balancer", d.Balancer, "suspicions", len(d.Tags))
		return
	}
	if d.Balancer == "" {
		s := c.subscribers[conn]
		if s == nil {
			return // the subscription has ended
		}
		d.Balancer = s.Name
		c.broadcast(KindSuspicionReport, d)
	}
	now := c.now()
	for i, tag := range d.Tags {
		if id, changed := c.directory.ReportSuspicion(now, now-d.age(i), tag, d.Balancer); changed {
			c.log.Info("upstream ejected", "upstream", id, "last", d.Balancer)
		}
	}
}
