package balancer

import (
	"slices"
	"time"

	"heatherport/internal/connection/affinity"
	"heatherport/internal/process/controller"
	"heatherport/internal/process/stream"
)

// reportRetention is the time for which reports are repeated to new feeds.
// Controllers count no older ones.
const reportRetention = 2 * time.Second

// reportSuspicions reports suspicions against upstreams to the controllers, so
// that balancers with few connections to these upstreams learn of them too.
func (b *Balancer) reportSuspicions(suspicions []affinity.Suspicion) {
	// Once the balancer stops, the routers send its connections to other
	// balancers. That these connections fall silent here is then no sign of a
	// fault of their upstreams.
	if len(suspicions) == 0 || b.stopping.Load() {
		return
	}
	view := b.view.Load()
	now := b.now()
	var report controller.SuspicionReport
	for _, s := range suspicions {
		b.metrics.Suspicions.WithLabelValues(s.Cause.String()).Inc()
		b.log.Info("upstream suspected", "upstream", upstreamName(view, s.Upstream), "cause", s.Cause.String(),
			"flow", flowOf(s.Caller, s.Service), "waited_ms", s.Waited.Milliseconds())
		report.Tags = append(report.Tags, s.Upstream)
		b.reported = append(b.reported, reportedSuspicion{tag: s.Upstream, at: now})
	}
	frame, err := stream.Encode(controller.KindSuspicionReport, report)
	if err != nil {
		b.log.Error("failed to encode suspicion report", "error", err)
		return
	}
	for _, f := range b.feeds {
		if f.conn != nil {
			f.conn.Send(frame)
		}
	}
}

// reportedSuspicion is a suspicion that was reported to the controllers that fed
// this balancer at the time.
type reportedSuspicion struct {
	tag uint32
	at  time.Duration
}

// repeatSuspicions reports recent suspicions to a controller that has just become
// a feed.
func (b *Balancer) repeatSuspicions(conn *stream.Conn) {
	now := b.now()
	b.expireReported(now)
	if len(b.reported) == 0 {
		return
	}
	var report controller.SuspicionReport
	for _, s := range b.reported {
		report.Tags = append(report.Tags, s.tag)
		report.AgesMillis = append(report.AgesMillis, uint32((now - s.at).Milliseconds()))
	}
	frame, err := stream.Encode(controller.KindSuspicionReport, report)
	if err != nil {
		b.log.Error("failed to encode suspicion report", "error", err)
		return
	}
	conn.Send(frame)
}

func (b *Balancer) expireReported(now time.Duration) {
	b.reported = slices.DeleteFunc(b.reported, func(s reportedSuspicion) bool { return now-s.at > reportRetention })
}

// isEjected reports whether any controller has ejected an upstream after the
// suspicions of several balancers.
func (b *Balancer) isEjected(id string) bool {
	return slices.ContainsFunc(b.feeds, func(f *feed) bool { return f.ejected[id] })
}
