package controller

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"heatherport/internal/version/raft"
)

func linkAt(vm int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(vm)}), 7720)
}

// planGroup is a group of controllers for a plan. Each VM is in its own failure
// domain unless a test says otherwise.
type planGroup struct {
	plan
}

func newGroup(toleratedDiskLosses, voters, learners int) *planGroup {
	g := &planGroup{plan{toleratedDiskLosses: toleratedDiskLosses, last: 100, progress: make(map[string]raft.ProgressStatus), controllers: make(map[string]candidate)}}
	for vm := range voters + learners {
		id := g.addController(vm, initialDisk, 0)
		if vm < voters {
			g.config.Voters = append(g.config.Voters, id)
		} else {
			g.config.Learners = append(g.config.Learners, id)
		}
		g.progress[id] = raft.ProgressStatus{ID: id, MatchIndex: 100}
	}
	g.self = memberID(linkAt(0), initialDisk)
	return g
}

func (g *planGroup) addController(vm int, disk string, inactivity time.Duration) string {
	id := memberID(linkAt(vm), disk)
	g.controllers[id] = candidate{Member: Member{ID: id, Domain: string(rune('a' + vm)), Link: linkAt(vm)}, inactivity: inactivity}
	return id
}

func (g *planGroup) failVM(vm int) {
	id := memberID(linkAt(vm), initialDisk)
	c := g.controllers[id]
	c.inactivity = time.Hour
	g.controllers[id] = c
	g.progress[id] = raft.ProgressStatus{ID: id, MatchIndex: 100, TicksSinceResponse: 1 << 20}
}

func TestHealthyGroupIsNotChanged(t *testing.T) {
	_, ok := newGroup(1, 3, 1).nextChange()
	must.False(t, ok)
}

func TestNewControllerBecomesALearner(t *testing.T) {
	g := newGroup(1, 3, 0)
	id := g.addController(7, "disk", 0)
	change, ok := g.nextChange()
	must.True(t, ok)
	must.Eq(t, raft.ConfigChange{Kind: raft.AddLearner, ID: id}, change)
}

func TestMissingVotersArePromoted(t *testing.T) {
	change, ok := newGroup(2, 3, 2).nextChange()
	must.True(t, ok)
	must.Eq(t, raft.PromoteLearner, change.Kind)
}

func TestLearnerBehindIsNotPromoted(t *testing.T) {
	g := newGroup(2, 3, 1)
	id := g.config.Learners[0]
	g.progress[id] = raft.ProgressStatus{ID: id, MatchIndex: 100 - learnerLag - 1}
	_, ok := g.nextChange()
	must.False(t, ok)
}

func TestUnreachableVoterIsReplacedBeforeItIsRemoved(t *testing.T) {
	g := newGroup(1, 3, 1)
	g.failVM(1)
	change, ok := g.nextChange()
	must.True(t, ok)
	must.Eq(t, raft.ConfigChange{Kind: raft.PromoteLearner, ID: memberID(linkAt(3), initialDisk)}, change)
	g.apply(change)
	change, ok = g.nextChange()
	must.True(t, ok)
	must.Eq(t, raft.ConfigChange{Kind: raft.RemoveMember, ID: memberID(linkAt(1), initialDisk)}, change)
	g.apply(change)
	_, ok = g.nextChange()
	must.False(t, ok)
}

func TestUnreachableVoterStaysWithoutReplacement(t *testing.T) {
	g := newGroup(1, 3, 0)
	g.failVM(1)
	_, ok := g.nextChange()
	must.False(t, ok)
}

func TestVoterWithEmptyDiskRejoinsAsNewMember(t *testing.T) {
	g := newGroup(1, 3, 0)
	g.failVM(1)
	id := g.addController(1, "new disk", 0)
	for _, want := range []raft.ConfigChange{
		{Kind: raft.AddLearner, ID: id},
		{Kind: raft.PromoteLearner, ID: id},
		{Kind: raft.RemoveMember, ID: memberID(linkAt(1), initialDisk)},
	} {
		change, ok := g.nextChange()
		must.True(t, ok)
		must.Eq(t, want, change)
		g.apply(change)
		g.progress[id] = raft.ProgressStatus{ID: id, MatchIndex: 100}
	}
	_, ok := g.nextChange()
	must.False(t, ok)
}

func TestVoterMovesOutOfOverfullDomain(t *testing.T) {
	g := newGroup(1, 3, 1)
	for _, vm := range []int{1, 2} {
		id := memberID(linkAt(vm), initialDisk)
		c := g.controllers[id]
		c.Domain = "crowded"
		g.controllers[id] = c
	}
	change, ok := g.nextChange()
	must.True(t, ok)
	must.Eq(t, raft.ConfigChange{Kind: raft.PromoteLearner, ID: memberID(linkAt(3), initialDisk)}, change)
	g.apply(change)
	change, ok = g.nextChange()
	must.True(t, ok)
	must.Eq(t, raft.RemoveMember, change.Kind)
	must.Eq(t, "crowded", g.controllers[change.ID].Domain)
}

// apply applies a change to the configuration as the replicated log does.
func (g *planGroup) apply(c raft.ConfigChange) {
	drop := func(ids []string) []string {
		return slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return id == c.ID })
	}
	switch c.Kind {
	case raft.AddLearner:
		g.config.Learners = append(g.config.Learners, c.ID)
	case raft.PromoteLearner:
		g.config.Learners = drop(g.config.Learners)
		g.config.Voters = append(g.config.Voters, c.ID)
	case raft.RemoveMember:
		g.config.Learners = drop(g.config.Learners)
		g.config.Voters = drop(g.config.Voters)
	}
}

// TestPlanConverges checks that the sequence of changes ends, that a voter is
// removed only while there are more than the target, and that in the end at least
// as many voters are healthy as the target or, if lower, the number of live VMs.
func TestPlanConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		losses := rapid.IntRange(0, 2).Draw(t, "losses")
		g := newGroup(losses, 3, rapid.IntRange(0, 5).Draw(t, "learners"))
		vms := len(g.controllers)
		live := vms
		for vm := 1; vm < vms; vm++ {
			switch rapid.IntRange(0, 3).Draw(t, "fate") {
			case 0:
				g.failVM(vm)
				live--
			case 1:
				g.failVM(vm)
				g.addController(vm, "new disk", 0)
			}
		}
		for range 50 {
			change, ok := g.nextChange()
			if !ok {
				break
			}
			if change.Kind == raft.RemoveMember && g.config.IsVoter(change.ID) {
				must.Greater(t, voterTarget(losses), len(g.config.Voters))
				must.NotEq(t, g.self, change.ID)
			}
			g.apply(change)
			g.progress[change.ID] = raft.ProgressStatus{ID: change.ID, MatchIndex: 100}
		}
		_, ok := g.nextChange()
		must.False(t, ok, must.Sprint("changes do not end"))
		healthy := 0
		for _, id := range g.config.Voters {
			if !g.needsReplacement(id) {
				healthy++
			}
		}
		must.GreaterEq(t, min(voterTarget(losses), live), healthy)
	})
}
