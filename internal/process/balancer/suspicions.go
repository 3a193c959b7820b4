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
	// While the balancer drains, callers and upstreams stop sending on its
	// connections without a fault of the upstreams.
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

// isEjected reports whether an upstream is ejected according to any feed.
func (b *Balancer) isEjected(id string) bool {
	return slices.ContainsFunc(b.feeds, func(f *feed) bool { return f.ejected[id] })
}
