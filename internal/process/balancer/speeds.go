package balancer

import (
	"maps"
	"time"

	"heatherport/internal/load/speed"
	"heatherport/internal/process/controller"
	"heatherport/internal/process/stream"
)

// speedsRefresh is the interval at which a balancer repeats what it reports, in case a
// message was lost with a connection that no one saw end.
const speedsRefresh = time.Second

// speedsInterval is the shortest time between two reports. Many upstreams that become
// slow, one after the other, share a report.
const speedsInterval = 300 * time.Millisecond

// speeds holds what this balancer reported of the speed of upstreams, and what is in
// force.
type speeds struct {
	sent    map[uint32]speed.Level
	sentAt  time.Duration
	inForce map[uint32]speed.Level
}

// reportSpeeds tells the controllers which upstreams are slow, if it has changed.
func (b *Balancer) reportSpeeds(now time.Duration) {
	current := map[uint32]speed.Level{}
	if !b.stopping.Load() {
		current = b.forwarder.speeds()
	}
	b.metrics.SlowUpstreams.Set(float64(len(b.speeds.inForce)))
	isSame := maps.Equal(current, b.speeds.sent)
	since := now - b.speeds.sentAt
	if isSame && (len(current) == 0 || since < speedsRefresh) || since < speedsInterval {
		return
	}
	if !isSame {
		b.log.Info("speeds reported", "upstreams", b.speedNames(current))
	}
	b.speeds.sent, b.speeds.sentAt = current, now
	frame := b.speedsFrame()
	for _, f := range b.feeds {
		if f.conn != nil && frame != nil {
			f.conn.Send(frame)
		}
	}
}

// maxSpeedNames bounds the upstreams of a log line.
const maxSpeedNames = 16

// speedNames returns levels by the names of the upstreams.
func (b *Balancer) speedNames(levels map[uint32]speed.Level) map[string]float64 {
	view := b.view.Load()
	out := make(map[string]float64)
	for tag, l := range levels {
		if len(out) < maxSpeedNames {
			out[upstreamName(view, tag)] = l.Slowness()
		}
	}
	return out
}

// speedsFrame returns the message with what was reported last, or nil.
func (b *Balancer) speedsFrame() []byte {
	frame, err := stream.Encode(controller.KindSpeeds, controller.NewSpeeds(b.speeds.sent))
	if err != nil {
		b.log.Error("failed to encode speeds", "error", err)
		return nil
	}
	return frame
}

// updateSpeeds merges the levels of all feeds.
func (b *Balancer) updateSpeeds() {
	var lists []*controller.Speeds
	for _, f := range b.feeds {
		lists = append(lists, f.speeds)
	}
	b.speeds.inForce = controller.MergeSpeeds(lists...).ByTag()
}
