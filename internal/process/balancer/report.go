package balancer

import (
	"net/netip"
	"time"

	"heatherport/internal/connection/affinity"
	"heatherport/internal/result"
)

// flowID returns the name of a connection in log lines.
func flowID(p *affinity.Packet) string { return flowOf(p.Caller, p.Service) }

func flowOf(caller, service netip.AddrPort) string { return caller.String() + ">" + service.String() }

// report logs and counts a decision of the engine about a packet. Packets that
// are forwarded by their cookie alone are not logged.
func (f *forwarder) report(now time.Duration, view *affinity.View, p *affinity.Packet, v *affinity.Verdict) {
	if p.Opening && p.Copies > 0 {
		f.metrics.Copies.Inc()
	}
	if v.Cleared != 0 {
		f.log.Info("upstream answers again", "upstream", upstreamName(view, v.Cleared), "flow", flowID(p))
	}
	if v.Pinned {
		f.metrics.PinsUsed.Inc()
		if f.flowLog.Allow(time.Now()) {
			f.flowLog.Info("pinned connection taken over", "flow", flowID(p), "upstream", upstreamName(view, upstreamCookie(v)), "cookie", p.Cookie, "cookie_of", upstreamName(view, p.Cookie))
		}
	}
	if c := v.Choice; c != nil {
		f.metrics.Placed.Inc()
		if f.flowLog.Allow(time.Now()) {
			u := v.Upstream
			f.flowLog.Info("connection placed", "flow", flowID(p), "upstream", u.ID, "address", u.Address, "service", c.Service,
				"copies", p.Copies, "waited_ms", p.Waited.Milliseconds(), "held", p.Held, "tried", c.Tried, "candidates", c.Candidates, "load", c.Load, "spillover", c.Spillover, "doubt", c.Penalty,
				"known_ms", (now - u.LastUpdate).Milliseconds(), "routes", view.Routes.Number, "confirmed", view.Confirmed)
		}
	}
	if v.Opened > 0 {
		f.metrics.OpenTime.Observe(v.Opened.Seconds())
	}
	if v.Answered > 0 {
		f.metrics.AnswerTime.Observe(v.Answered.Seconds())
	}
	if v.Refuse && f.flowLog.Allow(time.Now()) {
		f.flowLog.Info("connection refused", refusalFields(view, p, v)...)
	}
	// Connections that took longer to open than callers wait before they
	// retransmit are logged, and so is the end of each connection.
	if (p.Ending || v.Opened > slowOpening) && v.Upstream != nil && f.flowLog.Allow(time.Now()) {
		f.flowLog.Info(flowEvent(p), "flow", flowID(p), "upstream", v.Upstream.ID, "opened_ms", v.Opened.Milliseconds())
	}
}

// reportWaiting logs that a packet waits: for the first routes, for room at the
// upstreams, or because it is a late opening and upstreams are behind.
func (f *forwarder) reportWaiting(p *affinity.Packet, v *affinity.Verdict) {
	if !f.flowLog.Allow(time.Now()) {
		return
	}
	number := uint64(0)
	if routes := f.view.Load().Routes; routes != nil {
		number = routes.Number
	}
	f.flowLog.Info("packet waits", "flow", flowID(p), "opening", p.Opening, "copies", p.Copies, "waited_ms", p.Waited.Milliseconds(), "routes", number, "queued", v.Queued)
}

// refusalFields returns the log fields that explain a refusal.
func refusalFields(view *affinity.View, p *affinity.Packet, v *affinity.Verdict) []any {
	number := uint64(0)
	if view.Routes != nil {
		number = view.Routes.Number
	}
	fields := []any{"flow", flowID(p), "cause", v.Code.String(), "opening", p.Opening, "routes", number, "confirmed", view.Confirmed}
	switch o := v.Overload; {
	case o == nil:
	case v.Code == result.RefusedLinkFull:
		fields = append(fields, "link_use", o.LinkUse)
	case o.Permits > 0:
		fields = append(fields, "waited_ms", p.Waited.Milliseconds(), "permits", o.Permits, "open", o.Open, "spillover", o.Spillover, "queued", o.Queued)
	default:
		fields = append(fields, "pressure", o.LatencyRatio, "window", o.Limit, "open", o.Open)
	}
	return fields
}

// slowOpening is the time after which callers retransmit an opening packet.
const slowOpening = 200 * time.Millisecond

func flowEvent(p *affinity.Packet) string {
	if p.Ending {
		return "connection ending"
	}
	return "connection opened late"
}

// upstreamCookie returns the cookie of the upstream of a verdict, or zero.
func upstreamCookie(v *affinity.Verdict) uint32 {
	if v.Upstream == nil {
		return 0
	}
	return v.Upstream.Cookie
}

func upstreamName(view *affinity.View, cookie uint32) string {
	if u := view.Upstream(cookie); u != nil {
		return u.ID
	}
	return "unknown"
}
