package roster_test

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"heatherport/internal/result"
	"heatherport/internal/version"
	"heatherport/internal/version/roster"
	"heatherport/internal/version/sheet"
	"heatherport/internal/version/state"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "100", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// tick is the time between two ticks in the tests.
const tick = 250 * time.Millisecond

// leaderHarness runs a roster with a state machine, to which it applies the
// proposed commands after applyDelay.
type leaderHarness struct {
	t                must.T
	machine          *state.Machine
	roster           *roster.Roster
	now              time.Duration
	members          []version.MemberID // that send heartbeats
	notRenewing      map[string]bool    // upstreams that do not renew
	failingProbes    map[version.UpstreamID]bool
	observed         map[version.MemberID]roster.Observation // of the first upstream, instead of failingProbes
	noObservations   bool                                    // heartbeats hold no observations
	loadReport       uint8
	nothingSettled   bool          // heartbeats report nothing as settled
	baseUnsettled    bool          // heartbeats report no base as settled
	applyDelay       time.Duration // until a command takes effect
	queue            []queuedCommand
	beforeTick       func() // run calls it before each tick
	proposedCommands []state.Command
	onPropose        func(state.Command)
}

// queuedCommand is a command to apply at a time.
type queuedCommand struct {
	at      time.Duration
	command state.Command
}

// newLeaderHarness returns a harness with the given numbers of members and of
// upstreams of one service.
func newLeaderHarness(t must.T, members, upstreams int) *leaderHarness {
	l := &leaderHarness{
		t:             t,
		machine:       state.New(),
		roster:        roster.New(),
		notRenewing:   make(map[string]bool),
		failingProbes: make(map[version.UpstreamID]bool),
		observed:      make(map[version.MemberID]roster.Observation),
		beforeTick:    func() {},
		onPropose:     func(state.Command) {},
	}
	rows := []string{"version,1", "service,a,192.0.2.1,tcp,443,1m,no"}
	for i := range upstreams {
		rows = append(rows, fmt.Sprintf("upstream,a,u%d,active,2,100", i))
	}
	s, err := sheet.Parse(strings.NewReader(strings.Join(rows, "\n")))
	must.NoError(t, err)
	l.apply(state.Command{SubmitSheet: &state.SubmitSheet{Number: 1, Digest: s.Digest(), Canonical: s.Canonical()}})
	l.roster.Reset(l.now, l.machine.Version())
	for i := range upstreams {
		l.announce(i)
	}
	for i := range members {
		l.members = append(l.members, l.join(i))
	}
	return l
}

func (l *leaderHarness) apply(c state.Command) state.Outcome {
	l.t.Helper()
	o := l.machine.Apply(l.machine.Index()+1, c)
	must.Eq(l.t, result.OK, o.Code, must.Sprint(o.Detail))
	return o
}

func (l *leaderHarness) join(i int) version.MemberID {
	return l.apply(state.Command{JoinMember: &state.JoinMember{
		Name:  fmt.Sprint("lb", i),
		Relay: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7000),
	}}).Member
}

func (l *leaderHarness) announce(i int) roster.AnnounceReply {
	reply := l.roster.Announce(l.now, l.machine, &roster.Announcement{
		Name:    fmt.Sprint("u", i),
		Service: "a",
		Addr:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 5555),
	})
	must.Eq(l.t, result.OK, reply.Code)
	if reply.Command != nil {
		l.apply(*reply.Command)
	}
	return reply
}

func (l *leaderHarness) heartbeat(id version.MemberID) result.Code {
	v := l.machine.Version()
	hb := &roster.Heartbeat{Member: id, Applied: v.Index, Settled: v.Index, SettledBase: v.Index, Digest: v.Digest}
	if b := v.MemberByID(id); b != nil {
		hb.Name = b.Name
	}
	if l.nothingSettled {
		hb.Settled = 0
		hb.SettledBase = 0
	}
	if l.baseUnsettled {
		hb.SettledBase = 0
	}
	for i := range v.Upstreams {
		u := &v.Upstreams[i]
		if o, ok := l.observation(id, i, u.ID); ok {
			hb.Observations = append(hb.Observations, o)
		}
		if !l.notRenewing[u.Name] {
			hb.Renewals = append(hb.Renewals, roster.Renewal{Name: u.Name, LoadFactor: l.loadReport})
		}
	}
	return l.roster.Heartbeat(l.now, hb).Code
}

func (l *leaderHarness) observation(id version.MemberID, i int, u version.UpstreamID) (roster.Observation, bool) {
	if o, ok := l.observed[id]; ok && i == 0 {
		o.Upstream = u
		return o, true
	}
	if l.failingProbes[u] {
		return roster.Observation{Upstream: u, Failed: roster.FailuresToEject}, !l.noObservations
	}
	return roster.Observation{Upstream: u, Passed: roster.PassesToReadmit}, !l.noObservations
}

// run advances the time by d, with heartbeats and a tick in each step.
func (l *leaderHarness) run(d time.Duration) {
	for end := l.now + d; l.now < end; {
		l.now += tick
		for _, id := range l.members {
			l.heartbeat(id)
		}
		l.beforeTick()
		l.step()
	}
}

// step performs one tick and applies the commands that are due.
func (l *leaderHarness) step() {
	for _, c := range l.roster.Tick(l.now, l.machine.Version()) {
		l.proposedCommands = append(l.proposedCommands, c)
		l.onPropose(c)
		l.queue = append(l.queue, queuedCommand{l.now + l.applyDelay, c})
	}
	for len(l.queue) > 0 && l.queue[0].at <= l.now {
		l.machine.Apply(l.machine.Index()+1, l.queue[0].command)
		l.queue = l.queue[1:]
	}
}

func (l *leaderHarness) service() *version.Service  { return &l.machine.Version().Services[0] }
func (l *leaderHarness) owners() []version.MemberID { return l.machine.Version().Owners.Current }
func (l *leaderHarness) upstream(i int) *version.Upstream {
	return &l.machine.Version().Upstreams[i]
}

// countUnhealthy returns the number of unhealthy upstreams.
func (l *leaderHarness) countUnhealthy() int {
	n := 0
	for _, u := range l.machine.Version().Upstreams {
		if !u.Healthy {
			n++
		}
	}
	return n
}

func TestBootstrap(t *testing.T) {
	l := newLeaderHarness(t, 8, 15)
	l.run(time.Second)
	must.Eq(t, l.members, l.owners())
	l.run(30 * time.Second)
	must.Len(t, 15, l.service().Base)
	must.Eq(t, l.service().Current, l.service().Base)
	for _, w := range l.service().Current {
		must.Eq(t, 2*version.WeightPerSlot, w.Weight)
	}
	commands := len(l.proposedCommands)
	l.run(time.Minute)
	must.Len(t, commands, l.proposedCommands, must.Sprint("a stable system proposes nothing"))
	must.Len(t, 0, l.roster.Explain(l.upstream(0).ID).Findings)
}

func TestDeadMemberIsRemovedAfterLease(t *testing.T) {
	l := newLeaderHarness(t, 3, 1)
	l.run(5 * time.Second)
	l.members = l.members[:2]
	l.run(roster.MemberLease - tick)
	must.Len(t, 3, l.owners())
	l.run(2 * tick)
	must.Eq(t, l.members, l.owners())
	must.Eq(t, 1, l.roster.Stats().MembersLapsed)
}

func TestLeavingMemberIsReplacedOnceSettled(t *testing.T) {
	l := newLeaderHarness(t, 3, 1)
	l.run(5 * time.Second)
	l.nothingSettled = true
	l.apply(state.Command{LeaveMember: &state.LeaveMember{ID: l.members[0]}})
	// Heartbeats with Settled zero do not lower the index reported before.
	l.run(roster.SettleTimeout - tick)
	must.Len(t, 3, l.owners())
	must.Len(t, 2, l.machine.Version().Owners.Next)
	must.Len(t, 0, l.roster.Unapplied(l.machine.Index()))
	must.Eq(t, l.members, l.roster.Unsettled(l.machine.Version().Owners.PreparedAt))
	l.run(4 * tick)
	must.Eq(t, l.members[1:], l.owners())
	must.Eq(t, 1, l.roster.Stats().WaitsExceeded)
}

func TestResetGivesFullLeases(t *testing.T) {
	l := newLeaderHarness(t, 3, 3)
	l.run(5 * time.Second)
	l.now += time.Hour
	l.roster.Reset(l.now, l.machine.Version())
	for range int(roster.MemberLease/tick) - 1 {
		l.now += tick
		l.step()
	}
	must.Len(t, 3, l.owners())
	l.roster.Stop()
	l.now += time.Hour
	must.Len(t, 0, l.roster.Tick(l.now, l.machine.Version()))
	must.Eq(t, result.NoLeader, l.roster.Heartbeat(l.now, &roster.Heartbeat{}).Code)
}

func TestTickGapExtendsLeases(t *testing.T) {
	l := newLeaderHarness(t, 3, 3)
	l.run(5 * time.Second)
	l.now += time.Minute
	l.step()
	must.Len(t, 3, l.owners())
	must.Eq(t, 1, l.roster.Stats().TickGaps)
}

func TestAnnouncementLease(t *testing.T) {
	l := newLeaderHarness(t, 3, 3)
	l.run(20 * time.Second)
	l.notRenewing["u0"] = true
	l.run(roster.AnnounceLease + tick)
	must.False(t, l.upstream(0).Leased)
	must.Len(t, 2, l.service().Current)
	must.Eq(t, roster.ReasonLeaseLapsed, l.roster.Explain(l.upstream(0).ID).Findings[0].Reason)

	l.notRenewing["u0"] = false
	l.run(2 * tick)
	must.True(t, l.upstream(0).Leased)
	must.Eq(t, 1, l.upstream(0).Ramp)

	// Removed after the idle timeout without a lease, since probes fail.
	l.notRenewing["u0"] = true
	l.failingProbes[l.upstream(0).ID] = true
	l.run(roster.AnnounceLease + time.Minute)
	must.Len(t, 3, l.machine.Version().Upstreams)
	l.run(time.Second)
	must.Len(t, 2, l.machine.Version().Upstreams)
}

func TestEjectionHoldsDownAndDoubles(t *testing.T) {
	l := newLeaderHarness(t, 3, 6)
	l.run(20 * time.Second)
	id := l.upstream(0).ID
	for _, hold := range []time.Duration{1, 2, 4} {
		l.failingProbes[id] = true
		l.run(2 * tick)
		must.Eq(t, 1, l.countUnhealthy())
		must.Eq(t, roster.ReasonUnhealthy, l.roster.Explain(id).Findings[0].Reason)
		must.Len(t, 3, l.roster.Explain(id).Findings[0].Observers)
		l.failingProbes[id] = false
		l.run(hold*roster.MinHoldDown - 2*tick)
		must.Eq(t, 1, l.countUnhealthy())
		must.Eq(t, roster.ReasonHoldDown, l.roster.Explain(id).Findings[0].Reason)
		l.run(4 * tick)
		must.Eq(t, 0, l.countUnhealthy())
	}
}

func TestMassEjectionIsLimited(t *testing.T) {
	for upstreams, want := range map[int]int{1: 0, 2: 0, 3: 1, 4: 1, 15: 5} {
		l := newLeaderHarness(t, 3, upstreams)
		l.run(20 * time.Second)
		for i := range upstreams {
			l.failingProbes[l.upstream(i).ID] = true
		}
		l.run(10 * time.Second)
		must.Eq(t, want, l.countUnhealthy(), must.Sprint(upstreams, " upstreams"))
		must.Eq(t, uint64(upstreams-want), l.roster.Stats().EjectionsPrevented)
		explanation := l.roster.Explain(l.upstream(upstreams - 1).ID)
		must.Eq(t, roster.ReasonEjectionLimit, explanation.Findings[0].Reason)
	}
}

func TestQuorumOfObservers(t *testing.T) {
	fails := roster.Observation{Failed: 3}
	failsTwice := roster.Observation{Failed: 2}
	failsTwiceWithSYNs := roster.Observation{Failed: 2, Retransmissions: 5}
	failsOnceWithSYNs := roster.Observation{Failed: 1, Retransmissions: 99}
	passes := roster.Observation{Passed: 1}
	cases := []struct {
		name         string
		observations []roster.Observation
		want         int
	}{
		{"all of two", []roster.Observation{fails, fails}, 1},
		{"half of two", []roster.Observation{fails, passes}, 0},
		{"majority", []roster.Observation{fails, fails, passes}, 1},
		{"half", []roster.Observation{fails, fails, passes, passes}, 0},
		{"one of five", []roster.Observation{fails, passes, passes, passes, passes}, 0},
		{"too few failures", []roster.Observation{failsTwice, failsTwice, failsTwice}, 0},
		{"retransmissions", []roster.Observation{failsTwiceWithSYNs, failsTwiceWithSYNs, failsTwiceWithSYNs}, 1},
		{"retransmissions alone", []roster.Observation{failsOnceWithSYNs, failsOnceWithSYNs, failsOnceWithSYNs}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := newLeaderHarness(t, len(c.observations), 3)
			l.run(20 * time.Second)
			for i, o := range c.observations {
				l.observed[l.members[i]] = o
			}
			l.run(5 * time.Second)
			must.Eq(t, c.want, l.countUnhealthy())
		})
	}
}

func TestSoleFreshObserverDoesNotEject(t *testing.T) {
	l := newLeaderHarness(t, 3, 3)
	l.run(20 * time.Second)
	l.noObservations = true
	l.observed[l.members[0]] = roster.Observation{Failed: 9}
	l.run(5 * time.Second)
	must.Eq(t, 0, l.countUnhealthy())

	// Two fresh observers are a quorum; the third's observation is too old.
	l.observed[l.members[1]] = roster.Observation{Failed: 9}
	l.run(tick)
	must.Eq(t, 1, l.countUnhealthy())
}

func TestReadmissionTakesMajority(t *testing.T) {
	l := newLeaderHarness(t, 3, 3)
	l.run(20 * time.Second)
	id := l.upstream(0).ID
	l.failingProbes[id] = true
	l.run(time.Second)
	l.observed[l.members[0]] = roster.Observation{Passed: 99}
	l.run(time.Minute)
	must.Eq(t, 1, l.countUnhealthy())
	l.observed[l.members[1]] = roster.Observation{Passed: roster.PassesToReadmit - 1}
	l.run(time.Minute)
	must.Eq(t, 1, l.countUnhealthy())
	l.observed[l.members[1]] = roster.Observation{Passed: roster.PassesToReadmit}
	l.run(2 * tick)
	must.Eq(t, 0, l.countUnhealthy())
}

func TestUnobservedUpstreamIsReadmitted(t *testing.T) {
	l := newLeaderHarness(t, 3, 3)
	l.run(20 * time.Second)
	l.failingProbes[l.upstream(0).ID] = true
	l.run(time.Second)
	l.noObservations = true
	l.run(roster.UnobservedReadmitDelay - time.Second)
	must.Eq(t, 1, l.countUnhealthy())
	l.run(2 * time.Second)
	must.Eq(t, 0, l.countUnhealthy())
}

func TestLastUpstreamIsReadmitted(t *testing.T) {
	l := newLeaderHarness(t, 3, 3)
	l.run(20 * time.Second)
	l.failingProbes[l.upstream(0).ID] = true
	l.run(time.Second)
	for i := 1; i < 3; i++ {
		l.notRenewing[l.upstream(i).Name] = true
		l.failingProbes[l.upstream(i).ID] = true
	}
	l.run(roster.AnnounceLease + 2*tick)
	must.Eq(t, l.upstream(0).ID, l.service().Current[0].Upstream)
}

func TestBaseWaitsForStableRanking(t *testing.T) {
	l := newLeaderHarness(t, 3, 6)
	l.run(time.Minute)
	prepared := func() time.Duration {
		start, at := l.now, time.Duration(0)
		l.onPropose = func(c state.Command) {
			if c.PrepareBase != nil && at == 0 {
				at = l.now - start
			}
		}
		l.run(time.Minute)
		return at
	}
	leave := func(i int) {
		l.apply(state.Command{RemoveUpstream: &state.RemoveUpstream{ID: l.upstream(i).ID}})
	}
	leave(5)
	must.Between(t, roster.BaseStablePeriod, prepared(), roster.BaseStablePeriod+2*tick)

	// Slow start delays the change until it has ended.
	l.announce(5)
	ramp := time.Duration(version.RampFull-1) * roster.RampInterval
	must.Between(t, ramp+roster.BaseStablePeriod, prepared(), ramp+roster.BaseStablePeriod+6*tick)

	// Continuous changes delay it by no more than BaseMaxDelay.
	leave(5)
	flip := uint8(0)
	l.beforeTick = func() {
		flip++
		l.apply(state.Command{UpstreamStatus: &state.UpstreamStatus{Updates: []state.StatusUpdate{
			{ID: l.upstream(0).ID, LoadFactor: new(flip%100 + 100)},
		}}})
	}
	must.Between(t, roster.BaseMaxDelay, prepared(), roster.BaseMaxDelay+2*tick)
}

// TestNarrowBaseDoesNotWaitForSlowStart: the first upstream of a service becomes
// its base at once. If the base then waited for slow start, connections to the
// other upstreams would be exceptions until slow start ends.
func TestNarrowBaseDoesNotWaitForSlowStart(t *testing.T) {
	l := newLeaderHarness(t, 3, 6)
	l.run(roster.NarrowBaseStablePeriod + roster.HeartbeatInterval + 4*tick)
	must.Len(t, 6, l.machine.Version().Services[0].Base)
}

// TestBaseWaitsForSettledBase: a base does not advance while members report
// only Settled, and not SettledBase, even after SettleTimeout; it advances after
// the idle timeout.
func TestBaseWaitsForSettledBase(t *testing.T) {
	l := newLeaderHarness(t, 3, 6)
	l.run(time.Minute)
	l.baseUnsettled = true
	l.apply(state.Command{RemoveUpstream: &state.RemoveUpstream{ID: l.upstream(5).ID}})
	l.run(2 * roster.SettleTimeout)
	s := &l.machine.Version().Services[0]
	must.Len(t, 6, s.Base)
	must.Len(t, 5, s.NextBase)
	l.run(s.IdleTimeout)
	must.Len(t, 5, l.machine.Version().Services[0].Base)
}

func TestJoiningMemberOwnsNothingBeforeItCatchesUp(t *testing.T) {
	l := newLeaderHarness(t, 3, 1)
	l.run(5 * time.Second)
	id := l.join(3)
	hb := &roster.Heartbeat{Member: id, Name: "lb3"}
	for range 8 {
		l.run(tick)
		l.roster.Heartbeat(l.now, hb)
	}
	must.Len(t, 3, l.owners())
	must.Nil(t, l.machine.Version().Owners.Next)
	l.members = append(l.members, id)
	l.run(4 * tick)
	must.Len(t, 4, l.owners())
}

func TestLastUpstreamStaysAfterItsLeaseLapses(t *testing.T) {
	l := newLeaderHarness(t, 3, 4)
	l.applyDelay = 2 * tick
	l.run(30 * time.Second)
	for i := range 4 {
		l.notRenewing[fmt.Sprint("u", i)] = true
	}
	l.run(time.Minute)
	must.Len(t, 1, l.service().Current)
	must.Eq(t, 1, l.roster.Stats().LapsesPrevented)
	last := l.service().Current[0].Upstream
	must.Eq(t, roster.ReasonOverdue, l.roster.Explain(last).Findings[0].Reason)

	// It lapses once another upstream has a lease again.
	for i := range 4 {
		if u := l.upstream(i); u.ID != last {
			l.notRenewing[u.Name] = false
			break
		}
	}
	l.run(2 * time.Second)
	must.Len(t, 1, l.service().Current)
	must.NotEq(t, last, l.service().Current[0].Upstream)
}

func TestLastUpstreamLosesClaimedAddress(t *testing.T) {
	l := newLeaderHarness(t, 3, 2)
	l.run(20 * time.Second)
	l.apply(state.Command{RemoveUpstream: &state.RemoveUpstream{ID: l.upstream(1).ID}})
	l.notRenewing["u0"] = true
	l.run(time.Minute)
	must.True(t, l.upstream(0).Leased)
	moved := &roster.Announcement{Name: "u1", Service: "a", Addr: l.upstream(0).Addr, Incarnation: 2}
	must.Eq(t, result.AddressInUse, l.roster.Announce(l.now, l.machine, moved).Code)

	// A claim ends when the holder announces itself again.
	l.announce(0)
	l.run(time.Minute)
	must.True(t, l.upstream(0).Leased)
	must.Eq(t, result.AddressInUse, l.roster.Announce(l.now, l.machine, moved).Code)
	l.run(2 * tick)
	reply := l.roster.Announce(l.now, l.machine, moved)
	must.Eq(t, result.OK, reply.Code)
	l.apply(*reply.Command)
	must.Len(t, 1, l.service().Current)
}

func TestReachableUpstreamIsNotRemoved(t *testing.T) {
	l := newLeaderHarness(t, 3, 3)
	l.run(20 * time.Second)
	l.notRenewing["u0"] = true
	l.run(10 * time.Minute)
	must.Len(t, 3, l.machine.Version().Upstreams)
	must.Len(t, 2, l.service().Current)
}

func TestRenewalOfOtherIncarnationDoesNotCount(t *testing.T) {
	l := newLeaderHarness(t, 1, 2)
	l.run(20 * time.Second)
	l.notRenewing["u0"] = true
	l.beforeTick = func() {
		l.roster.Heartbeat(l.now, &roster.Heartbeat{Renewals: []roster.Renewal{{Name: "u0", Incarnation: 7}}})
	}
	l.run(roster.AnnounceLease + tick)
	must.False(t, l.upstream(0).Leased)
}

func TestChangingLoadCausesFewCommands(t *testing.T) {
	l := newLeaderHarness(t, 1, 1)
	l.run(time.Minute)
	changes := 0
	l.onPropose = func(c state.Command) {
		if c.UpstreamStatus != nil {
			changes++
		}
	}
	l.loadReport = 255
	l.run(tick)
	l.loadReport = 0
	l.run(roster.MinLoadInterval - tick)
	// One report changes the smoothed load by LoadSmoothing, a quarter.
	must.Eq(t, 1, changes)
	must.Eq(t, 64, l.upstream(0).LoadFactor)
	l.beforeTick = func() {
		if l.now%(2*time.Second) == 0 {
			l.loadReport = 255 - l.loadReport
		}
	}
	l.run(10 * roster.MinLoadInterval)
	must.Between(t, 2, changes, 11)
}

func TestSmallLoadReturnsToZero(t *testing.T) {
	l := newLeaderHarness(t, 1, 1)
	l.apply(state.Command{UpstreamStatus: &state.UpstreamStatus{Updates: []state.StatusUpdate{
		{ID: l.upstream(0).ID, LoadFactor: new(uint8(roster.MinLoadChange / 2))},
	}}})
	l.run(2 * roster.MinLoadInterval)
	must.Zero(t, l.upstream(0).LoadFactor)
}

func TestLoadReportsAreSmoothedAndBounded(t *testing.T) {
	l := newLeaderHarness(t, 3, 3)
	l.run(20 * time.Second)
	full := l.service().Current[0].Weight
	l.loadReport = 255
	start := len(l.proposedCommands)
	l.run(time.Minute)
	// At most two load changes, each with the two commands that prepare and
	// advance the base.
	must.LessEq(t, 6, len(l.proposedCommands)-start)
	must.GreaterEq(t, full/2, l.service().Current[0].Weight)
	must.Less(t, full*6/10, l.service().Current[0].Weight)
	l.loadReport = 0
	l.run(2 * time.Minute)
	must.Eq(t, full, l.service().Current[0].Weight)
}

func TestHeartbeatRejected(t *testing.T) {
	l := newLeaderHarness(t, 1, 1)
	l.run(tick)
	must.Eq(t, result.MemberUnknown, l.roster.Heartbeat(l.now, &roster.Heartbeat{Member: 9, Name: "lb9"}).Code)
	must.Eq(t, result.MemberUnknown, l.roster.Heartbeat(l.now, &roster.Heartbeat{Member: 1, Name: "lb0", Incarnation: 7}).Code)
	v := l.machine.Version()
	diverged := &roster.Heartbeat{Member: 1, Name: "lb0", Applied: v.Index, Digest: v.Digest + 1}
	must.Eq(t, result.StateDiverged, l.roster.Heartbeat(l.now, diverged).Code)
	must.Eq(t, result.NotInForceYet, l.roster.Heartbeat(l.now, &roster.Heartbeat{Member: 9, Name: "lb9", Applied: 1 << 40}).Code)
}

func TestPendingCommandIsRepeatedAfterTimeout(t *testing.T) {
	l := newLeaderHarness(t, 3, 3)
	l.run(20 * time.Second)
	l.failingProbes[l.upstream(0).ID] = true
	l.members = l.members[:2]
	v := l.machine.Version()
	lastProposed := make(map[string]time.Duration)
	proposals := make(map[string]int)
	for range 40 {
		l.now += tick
		for _, id := range l.members {
			l.heartbeat(id)
		}
		for _, c := range l.roster.Tick(l.now, v) {
			data, err := state.EncodeCommand(c)
			must.NoError(t, err)
			last, again := lastProposed[string(data)]
			must.True(t, !again || l.now-last >= roster.PendingTimeout)
			lastProposed[string(data)] = l.now
			proposals[string(data)]++
		}
	}
	// Both commands are proposed again while they have no effect.
	must.MapLen(t, 2, lastProposed)
	for _, n := range proposals {
		must.Between(t, 3, n, 5)
	}
}
