package balancer

import (
	"slices"
	"time"

	"heatherport/internal/connection/affinity"
	"heatherport/internal/process/controller"
	"heatherport/internal/process/stream"
)

const (
	// minPinInterval is the shortest time between two reports of pins, pinsPerReport the number
	// in each.
	minPinInterval = 200 * time.Millisecond
	pinsPerReport  = 1
	// fleetPinInterval is the shortest time between two pins of all balancers together. Each
	// balancer receives the pins of all others from each of its feeds: at 43 bytes, 2 KB a
	// second.
	fleetPinInterval = 20 * time.Millisecond
	// maxReportedPins bounds the pins that are repeated to new feeds.
	maxReportedPins = 256
)

// reportPins tells the other balancers, by the controllers, which upstreams hold connections
// whose opening packets may have reached several.
func (b *Balancer) reportPins(now time.Duration) {
	stopping := b.stopping.Load()
	if now-b.lastPins < b.pinInterval() && !stopping {
		return
	}
	b.lastPins = now
	pins := b.forwarder.takePins(now, pinsPerReport, stopping)
	if len(pins) == 0 {
		return
	}
	b.metrics.PinsReported.Add(float64(len(pins)))
	b.reportedPins = append(b.reportedPins, pins...)
	b.reportedPins = b.reportedPins[max(len(b.reportedPins)-maxReportedPins, 0):]
	frame := b.pinsFrame(now, pins)
	for _, f := range b.feeds {
		if f.conn != nil && frame != nil {
			f.conn.Send(frame)
		}
	}
}

// pinInterval returns the time between two reports of pins of this balancer.
func (b *Balancer) pinInterval() time.Duration {
	return max(minPinInterval, time.Duration(len(b.balancers))*fleetPinInterval)
}

// repeatPins reports recent pins to a controller that has just become a feed.
func (b *Balancer) repeatPins(conn *stream.Conn) {
	now := b.now()
	b.reportedPins = slices.DeleteFunc(b.reportedPins, func(p affinity.Pin) bool { return now-p.At >= b.lifetime })
	if frame := b.pinsFrame(now, b.reportedPins); frame != nil && len(b.reportedPins) > 0 {
		conn.Send(frame)
	}
}

// pinsFrame returns the message that reports pins, or nil.
func (b *Balancer) pinsFrame(now time.Duration, pins []affinity.Pin) []byte {
	var m controller.Pins
	for _, p := range pins {
		m.Pins = append(m.Pins, controller.Pin{Caller: p.Caller, Service: p.Service, Cookie: p.Cookie, Sequence: p.Sequence, AgeMillis: uint32((now - p.At).Milliseconds())})
	}
	frame, err := stream.Encode(controller.KindPins, m)
	if err != nil {
		b.log.Error("failed to encode pins", "error", err)
		return nil
	}
	return frame
}

// learnPins takes the pins of other balancers.
func (b *Balancer) learnPins(now time.Duration, pins []controller.Pin) {
	if len(pins) == 0 {
		return
	}
	learned := make([]affinity.Pin, 0, len(pins))
	for _, p := range pins {
		learned = append(learned, affinity.Pin{Caller: p.Caller, Service: p.Service, Cookie: p.Cookie, Sequence: p.Sequence, At: now - p.Age()})
	}
	b.forwarder.learnPins(now, learned)
}

func (f *forwarder) takePins(now time.Duration, limit int, stopping bool) []affinity.Pin {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engine.TakePins(now, limit, stopping)
}

func (f *forwarder) learnPins(now time.Duration, pins []affinity.Pin) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range pins {
		f.engine.LearnPin(now, p)
	}
}
