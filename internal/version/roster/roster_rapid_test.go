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

// leaseModel records when a leader last received a renewal of each member and
// upstream.
type leaseModel struct {
	*leaderHarness
	memberRenewed   map[version.MemberID]time.Duration
	upstreamRenewed map[version.UpstreamID]time.Duration
}

func newLeaseModel(t *rapid.T) *leaseModel {
	o := &leaseModel{
		leaderHarness:   newLeaderHarness(t, rapid.IntRange(1, 5).Draw(t, "members"), rapid.IntRange(1, 9).Draw(t, "upstreams")),
		memberRenewed:   make(map[version.MemberID]time.Duration),
		upstreamRenewed: make(map[version.UpstreamID]time.Duration),
	}
	o.onPropose = func(c state.Command) { o.checkNotEarly(t, c) }
	return o
}

// checkNotEarly fails on a command that ends a lease before its time.
func (o *leaseModel) checkNotEarly(t *rapid.T, c state.Command) {
	if c.RemoveMember != nil {
		must.GreaterEq(t, roster.MemberLease, o.now-o.memberRenewed[c.RemoveMember.ID])
	}
	if c.UpstreamStatus == nil {
		return
	}
	for _, c := range c.UpstreamStatus.Updates {
		if c.Leased != nil && !*c.Leased {
			must.GreaterEq(t, roster.AnnounceLease, o.now-o.upstreamRenewed[c.ID])
		}
	}
}

// heartbeatOne sends the heartbeat of a random member.
func (o *leaseModel) heartbeatOne(t *rapid.T) {
	o.loadReport = rapid.Uint8().Draw(t, "load")
	o.heartbeatFrom(rapid.SampledFrom(o.members).Draw(t, "member"))
}

func (o *leaseModel) heartbeatAll(*rapid.T) {
	for _, id := range o.members {
		o.heartbeatFrom(id)
	}
}

func (o *leaseModel) heartbeatFrom(id version.MemberID) {
	if o.heartbeat(id) == result.OK {
		o.memberRenewed[id] = o.now
	}
	for _, u := range o.machine.Version().Upstreams {
		if !o.notRenewing[u.Name] {
			o.upstreamRenewed[u.ID] = o.now
		}
	}
}

func (o *leaseModel) tickMany(t *rapid.T) {
	for range rapid.IntRange(1, 20).Draw(t, "ticks") {
		o.now += tick
		o.step()
	}
}

func (o *leaseModel) setUpstreamFaults(t *rapid.T) {
	if n := len(o.machine.Version().Upstreams); n > 0 {
		u := o.upstream(rapid.IntRange(0, n-1).Draw(t, "upstream"))
		o.failingProbes[u.ID] = rapid.Bool().Draw(t, "failing")
		o.notRenewing[u.Name] = rapid.Bool().Draw(t, "silent")
	}
}

func (o *leaseModel) reset(*rapid.T) {
	o.now += time.Hour
	o.roster.Reset(o.now, o.machine.Version())
	for _, b := range o.machine.Version().Members {
		o.memberRenewed[b.ID] = o.now
	}
	for _, u := range o.machine.Version().Upstreams {
		o.upstreamRenewed[u.ID] = o.now
	}
}

func (o *leaseModel) rejoin(t *rapid.T) {
	i := rapid.IntRange(0, len(o.members)-1).Draw(t, "member")
	if o.machine.Version().MemberByID(o.members[i]) == nil {
		o.members[i] = o.join(i)
		o.memberRenewed[o.members[i]] = o.now
	}
}

// dropInFlight drops the commands in flight, as a change of the leader may, and
// sets the delay of later ones.
func (o *leaseModel) dropInFlight(t *rapid.T) {
	o.queue = nil
	o.applyDelay = time.Duration(rapid.IntRange(0, 20).Draw(t, "delay")) * tick
}

// invariants checks what holds in every state: a load report lowers a weight to
// no less than half, a service with three or more available upstreams keeps an
// eligible one unless all upstreams are unhealthy, and every owner is a member.
func (o *leaseModel) invariants(t *rapid.T) {
	v := o.machine.Version()
	available := 0
	for i := range v.Upstreams {
		if v.Upstreams[i].Available() {
			available++
		}
	}
	must.True(t, available < 3 || len(v.Services[0].Current) > 0 || o.countUnhealthy() == len(v.Upstreams))
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

func TestLeasesAreNotEndedEarly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newLeaseModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"beat":    o.heartbeatOne,
			"beatAll": o.heartbeatAll,
			"pass":    o.tickMany,
			"short":   func(t *rapid.T) { o.now += tick; o.step() },
			"break":   o.setUpstreamFaults,
			"reset":   o.reset,
			"rejoin":  o.rejoin,
			"lose":    o.dropInFlight,
			"":        o.invariants,
		})
		o.converge(t)
	})
}

// converge ends all faults and checks that every member owns connections again
// and every upstream has its full weight.
func (o *leaseModel) converge(t *rapid.T) {
	clear(o.failingProbes)
	clear(o.notRenewing)
	o.loadReport = 0
	o.applyDelay = tick
	for range int(2 * roster.MaxHoldDown / time.Second) {
		o.now += time.Second
		for i, id := range o.members {
			if o.machine.Version().MemberByID(id) == nil {
				o.members[i] = o.join(i)
			}
		}
		o.heartbeatAll(t)
		o.step()
	}
	v := o.machine.Version()
	must.Len(t, len(o.members), v.Owners.Current)
	must.Nil(t, v.Owners.Next)
	must.Eq(t, v.Services[0].Current, v.Services[0].Base)
	for _, u := range v.Upstreams {
		must.True(t, u.Eligible())
		must.Eq(t, version.RampFull, u.Ramp)
		must.Zero(t, u.LoadFactor)
	}
}
