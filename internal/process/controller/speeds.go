package controller

import (
	"maps"
	"slices"
	"time"

	"heatherport/internal/load/speed"
)

// Balancers report upstreams that are slower than usual (internal/load/speed).
// Controllers gather these reports and feed the union to all, so that all balancers divide
// the slots alike.

// maxSpeeds bounds the upstreams of a list, about 12 KB. The rest counts as usual.
const maxSpeeds = 2048

// Speeds lists how slow upstreams are, in the order of their tags.
type Speeds struct {
	// Controller is the ID of the controller. It is set between controllers.
	Controller string   `cbor:"1,keyasint,omitempty"`
	Tags       []uint32 `cbor:"2,keyasint,omitempty"`
	// Levels holds a speed.Level for each tag. Zero means that the upstream has
	// recovered. It is not fed.
	Levels []byte `cbor:"3,keyasint,omitempty"`
}

// NewSpeeds returns the list of the levels of upstreams.
func NewSpeeds(levels map[uint32]speed.Level) *Speeds {
	s := &Speeds{}
	for _, tag := range slices.Sorted(maps.Keys(levels)) {
		if len(s.Tags) == maxSpeeds {
			break
		}
		s.Tags = append(s.Tags, tag)
		s.Levels = append(s.Levels, byte(levels[tag]))
	}
	return s
}

// ByTag returns the levels of upstreams. Levels that no build reports are left out.
func (s *Speeds) ByTag() map[uint32]speed.Level {
	out := make(map[uint32]speed.Level)
	if s == nil || len(s.Tags) != len(s.Levels) {
		return out
	}
	for i, tag := range s.Tags {
		if l := speed.Level(s.Levels[i]); l <= speed.Max {
			out[tag] = l
		}
	}
	return out
}

func (s *Speeds) isEmpty() bool { return s == nil || len(s.Tags) == 0 }

func (s *Speeds) equal(o *Speeds) bool {
	return slices.Equal(s.Tags, o.Tags) && slices.Equal(s.Levels, o.Levels)
}

// MergeSpeeds returns the union of lists; nil ones are left out.
func MergeSpeeds(lists ...*Speeds) *Speeds {
	levels := make(map[uint32]speed.Level)
	for _, s := range lists {
		for tag, l := range s.ByTag() {
			if known, ok := levels[tag]; ok {
				l = speed.Merge(known, l)
			}
			levels[tag] = l
		}
	}
	return NewSpeeds(levels)
}

// forFeed leaves out the upstreams that have recovered.
func (s *Speeds) forFeed() *Speeds {
	levels := s.ByTag()
	maps.DeleteFunc(levels, func(_ uint32, l speed.Level) bool { return l == 0 })
	return NewSpeeds(levels)
}

// handleSpeeds takes the list of another controller, or that of a subscriber.
func (c *Controller) handleSpeeds(s *subscriber, speeds *Speeds) {
	if len(speeds.Tags) != len(speeds.Levels) {
		c.log.Warn("speeds ignored: levels do not match upstreams", "controller", speeds.Controller, "upstreams", len(speeds.Tags), "levels", len(speeds.Levels))
		return
	}
	if speeds.Controller != "" {
		c.speeds.byController[speeds.Controller] = speeds
	} else if s != nil {
		s.speeds = speeds
	}
	c.refreshSpeeds(c.now())
}

// ownSpeeds returns what the balancers report that this controller feeds.
func (c *Controller) ownSpeeds() *Speeds {
	var all []*Speeds
	for _, s := range c.subscribers {
		all = append(all, s.speeds)
	}
	own := MergeSpeeds(all...)
	own.Controller = c.consensus.Status().ID
	return own
}

// refreshSpeeds passes on what balancers report.
func (c *Controller) refreshSpeeds(now time.Duration) {
	if c.speeds.refresh(now, c.ownSpeeds, c.liveControllers, func(s *Speeds) { c.broadcast(KindSpeeds, s) }) {
		c.log.Info("speeds fed", "slow_upstreams", len(c.speeds.fed.Tags))
	}
}
