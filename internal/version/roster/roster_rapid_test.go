package roster_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"heatherport/internal/result"
	"heatherport/internal/version"
	"heatherport/internal/version/roster"
	"heatherport/internal/version/state"
)

// oracle knows when each member and upstream was last heard of by a leader.
type oracle struct {
	*leader
	memberAt   map[version.MemberID]time.Duration
	upstreamAt map[version.UpstreamID]time.Duration
}

func newOracle(t *rapid.T) *oracle {
	o := &oracle{
		leader:     newLeader(t, rapid.IntRange(1, 5).Draw(t, "members"), rapid.IntRange(1, 9).Draw(t, "upstreams")),
		memberAt:   make(map[version.MemberID]time.Duration),
		upstreamAt: make(map[version.UpstreamID]time.Duration),
	}
	o.onApply = func(c state.Command) { o.check(t, c) }
	return o
}

// check fails on a command that comes too early or ejects too many.
func (o *oracle) check(t *rapid.T, c state.Command) {
	if c.RemoveMember != nil {
		must.GreaterEq(t, roster.MemberLease, o.now-o.memberAt[c.RemoveMember.ID])
	}
	if c.UpstreamStatus != nil {
		o.checkUpdates(t, c.UpstreamStatus.Updates)
	}
}

func (o *oracle) checkUpdates(t *rapid.T, updates []state.StatusUpdate) {
	v := o.machine.Version()
	open, out := 0, 0
	for _, u := range v.Upstream {
		if u.Leased {
			open++
			if !u.Healthy {
				out++
			}
		}
	}
	ejected := 0
	for _, c := range updates {
		if c.Leased != nil && !*c.Leased {
			must.GreaterEq(t, roster.AnnounceLease, o.now-o.upstreamAt[c.ID])
		}
		if c.Healthy != nil && !*c.Healthy && v.UpstreamByID(c.ID).Leased {
			ejected++
		}
	}
	must.True(t, ejected == 0 || roster.MaxEjectedShare*(out+ejected) <= open)
}

// beat sends the heartbeat of one member.
func (o *oracle) beat(t *rapid.T) {
	o.load = rapid.Uint8().Draw(t, "load")
	o.beatMember(rapid.SampledFrom(o.members).Draw(t, "member"))
}

func (o *oracle) beatAll(*rapid.T) {
	for _, id := range o.members {
		o.beatMember(id)
	}
}

func (o *oracle) beatMember(id version.MemberID) {
	if o.heartbeat(id) == result.OK {
		o.memberAt[id] = o.now
	}
	for _, u := range o.machine.Version().Upstream {
		if !o.silent[u.Name] {
			o.upstreamAt[u.ID] = o.now
		}
	}
}

func (o *oracle) pass(t *rapid.T) {
	for range rapid.IntRange(1, 20).Draw(t, "ticks") {
		o.now += tick
		o.step()
	}
}

func (o *oracle) breakUpstream(t *rapid.T) {
	if n := len(o.machine.Version().Upstream); n > 0 {
		u := o.upstream(rapid.IntRange(0, n-1).Draw(t, "upstream"))
		o.failing[u.ID] = rapid.Bool().Draw(t, "failing")
		o.silent[u.Name] = rapid.Bool().Draw(t, "silent")
	}
}

func (o *oracle) reset(*rapid.T) {
	o.now += time.Hour
	o.roster.Reset(o.now, o.machine.Version())
	for _, b := range o.machine.Version().Members {
		o.memberAt[b.ID] = o.now
	}
	for _, u := range o.machine.Version().Upstream {
		o.upstreamAt[u.ID] = o.now
	}
}

func (o *oracle) rejoin(t *rapid.T) {
	i := rapid.IntRange(0, len(o.members)-1).Draw(t, "member")
	if o.machine.Version().MemberByID(o.members[i]) == nil {
		o.members[i] = o.join(i)
		o.memberAt[o.members[i]] = o.now
	}
}

// invariants hold in every state: reports lower a weight to no less than half.
func (o *oracle) invariants(t *rapid.T) {
	v := o.machine.Version()
	for _, s := range v.Services {
		for _, w := range s.Current {
			u := v.UpstreamByID(w.Upstream)
			idle := *u
			idle.LoadFactor = 0
			must.Between(t, idle.Weight()/2, w.Weight, idle.Weight())
		}
	}
	for _, id := range v.Owners.Current {
		must.NotNil(t, v.MemberByID(id))
	}
}

func TestRosterIsNeverEarly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle(t)
		t.Repeat(map[string]func(*rapid.T){
			"beat":    o.beat,
			"beatAll": o.beatAll,
			"pass":    o.pass,
			"short":   func(t *rapid.T) { o.now += tick; o.step() },
			"break":   o.breakUpstream,
			"reset":   o.reset,
			"rejoin":  o.rejoin,
			"":        o.invariants,
		})
	})
}
