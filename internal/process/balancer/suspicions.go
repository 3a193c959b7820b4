package balancer

import (
	"slices"

	"heatherport/internal/connection/affinity"
	"heatherport/internal/process/controller"
	"heatherport/internal/process/stream"
)

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
	var report controller.SuspicionReport
	for _, s := range suspicions {
		b.metrics.Suspicions.WithLabelValues(s.Cause.String()).Inc()
		b.log.Info("upstream suspected", "upstream", upstreamName(view, s.Upstream), "cause", s.Cause.String(),
			"flow", flowOf(s.Caller, s.Service), "waited_ms", s.Waited.Milliseconds())
		report.Tags = append(report.Tags, s.Upstream)
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

// isEjected reports whether any controller has ejected an upstream after the
// suspicions of several balancers.
func (b *Balancer) isEjected(id string) bool {
	return slices.ContainsFunc(b.feeds, func(f *feed) bool { return f.ejected[id] })
}
