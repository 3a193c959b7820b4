package balancer

import (
	"maps"
	"slices"
	"time"

	"heatherport/internal/load/demand"
	"heatherport/internal/process/controller"
	"heatherport/internal/process/stream"
)

// needsRefresh is the interval at which a balancer repeats what it needs, in case a
// message was lost with a connection that no one saw end.
const needsRefresh = time.Second

// needs holds what this balancer reported to the controllers that feed it.
type needs struct {
	sent   map[string]demand.Need
	sentAt time.Duration
}

// reportNeeds tells the controllers what the callers of this balancer need, if it has
// changed.
func (b *Balancer) reportNeeds(now time.Duration) {
	current := map[string]demand.Need{}
	if !b.stopping.Load() {
		current = b.forwarder.needs()
	}
	isSame := maps.Equal(current, b.needs.sent)
	if isSame && (len(current) == 0 || now-b.needs.sentAt < needsRefresh) {
		return
	}
	if !isSame && (len(current) == 0) != (len(b.needs.sent) == 0) {
		b.log.Info("needs reported", "needs", current)
	}
	b.needs.sent, b.needs.sentAt = current, now
	frame := b.needsFrame()
	for _, f := range b.feeds {
		if f.conn != nil && frame != nil {
			f.conn.Send(frame)
		}
	}
}

// needsFrame returns the message with what was reported last, or nil.
func (b *Balancer) needsFrame() []byte {
	var m controller.Needs
	for _, service := range slices.Sorted(maps.Keys(b.needs.sent)) {
		n := b.needs.sent[service]
		m.Services = append(m.Services, controller.NewServiceNeed(service, n.Slots, n.Hungry))
	}
	frame, err := stream.Encode(controller.KindNeeds, m)
	if err != nil {
		b.log.Error("failed to encode needs", "error", err)
		return nil
	}
	return frame
}

// fedNeeds returns the union of what all feeds say balancers need, by service and name
// of the balancer.
func (b *Balancer) fedNeeds() map[string]map[string]float64 {
	var lists []*controller.Needs
	for _, f := range b.feeds {
		lists = append(lists, f.needs)
	}
	out := make(map[string]map[string]float64)
	for _, s := range controller.MergeNeeds(lists...).Services {
		slots := make(map[string]float64, len(s.Balancers))
		for i, key := range s.Balancers {
			slots[keyName(key)] = s.Slots(i)
		}
		out[s.Service] = slots
	}
	return out
}
