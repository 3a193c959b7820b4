package state_test

import (
	"fmt"
	"maps"
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"heatherport/internal/result"
	"heatherport/internal/version"
	"heatherport/internal/version/state"
)

// replicaModel applies random commands to two replicas and checks them against
// expected values. The second replica is restored from its snapshot at random
// times.
type replicaModel struct {
	first, second *replica

	sheets       map[uint64][32]byte // accepted digests by number
	inForce      version.SheetRef
	upstreams    map[version.UpstreamID]string // incarnations of all versions
	services     map[version.ServiceID]string
	members      map[version.MemberID]string
	present      map[uint32]bool   // upstream IDs in the last version
	removed      map[uint32]bool   // upstream IDs of earlier versions that are not in the last one
	incarnations map[string]uint64 // incarnations in the last version
}

func newReplicaModel(t must.T) *replicaModel {
	return &replicaModel{
		first:     newReplica(t),
		second:    newReplica(t),
		sheets:    make(map[uint64][32]byte),
		upstreams: make(map[version.UpstreamID]string),
		services:  make(map[version.ServiceID]string),
		members:   make(map[version.MemberID]string),
		present:   make(map[uint32]bool),
		removed:   make(map[uint32]bool),
	}
}

func (m *replicaModel) apply(t *rapid.T, c state.Command) state.Outcome {
	data, err := state.EncodeCommand(c)
	must.NoError(t, err)
	c, err = state.DecodeCommand(data)
	must.NoError(t, err)
	o := m.first.apply(c)
	must.Eq(t, o, m.second.apply(c))
	return o
}

func drawRows(t *rapid.T) []string {
	var rows []string
	names := []string{"a", "b", "c"}
	addrs := rapid.Permutation([]string{"192.0.2.1", "192.0.2.2", "192.0.2.3"}).Draw(t, "addrs")
	for i, name := range names[:rapid.IntRange(1, 3).Draw(t, "services")] {
		rows = append(rows, fmt.Sprintf("service,%s,%s,tcp,443,10m,no", name, addrs[i]))
		for _, u := range []string{"u", "v"} {
			s := version.UpstreamState(rapid.IntRange(0, 4).Draw(t, "state"))
			if s <= version.Paused {
				rows = append(rows, fmt.Sprintf("upstream,%s,%s%s,%s,2,100", name, name, u, s))
			}
		}
	}
	return rows
}

func (m *replicaModel) submit(t *rapid.T) {
	number := m.inForce.Number + rapid.Uint64Range(0, 2).Draw(t, "step")
	number = max(number, 2) - rapid.Uint64Range(0, 1).Draw(t, "back")
	c := submit(t, int(number), drawRows(t)...)
	o := m.apply(t, c)
	digest := c.SubmitSheet.Digest
	switch {
	case number > m.inForce.Number:
		must.Eq(t, result.OK, o.Code)
		m.inForce = version.SheetRef{Number: number, Digest: digest}
	case number < m.inForce.Number:
		must.Eq(t, result.SheetStale, o.Code)
	case digest == m.inForce.Digest:
		must.Eq(t, result.OK, o.Code)
	default:
		must.Eq(t, result.SheetConflict, o.Code)
	}
	must.Eq(t, m.inForce, o.Sheet)
}

func (m *replicaModel) register(t *rapid.T) {
	service := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "service")
	name := service + rapid.SampledFrom([]string{"u", "v"}).Draw(t, "name")
	addr := fmt.Sprintf("10.0.0.%d:5555", rapid.IntRange(1, 5).Draw(t, "addr"))
	m.apply(t, register(service, name, addr, rapid.Uint64Range(1, 4).Draw(t, "incarnation")))
}

func (m *replicaModel) drawUpstream(t *rapid.T) version.UpstreamID {
	return version.UpstreamID(rapid.IntRange(1, len(m.upstreams)+1).Draw(t, "upstream"))
}

func (m *replicaModel) status(t *rapid.T) {
	m.apply(t, status(state.StatusUpdate{
		ID:         m.drawUpstream(t),
		Leased:     rapid.Ptr(rapid.Bool(), true).Draw(t, "leased"),
		Healthy:    rapid.Ptr(rapid.Bool(), true).Draw(t, "healthy"),
		LoadFactor: rapid.Ptr(rapid.Uint8(), true).Draw(t, "load"),
		Ramp:       rapid.Ptr(rapid.Uint8(), true).Draw(t, "ramp"),
	}))
}

func (m *replicaModel) remove(t *rapid.T) {
	m.apply(t, state.Command{RemoveUpstream: &state.RemoveUpstream{ID: m.drawUpstream(t)}})
}

func (m *replicaModel) changeBase(t *rapid.T) {
	id := version.ServiceID(rapid.IntRange(1, len(m.services)+1).Draw(t, "service"))
	m.apply(t, state.Command{PrepareBase: &state.PrepareBase{Service: id}})
	if s := m.first.Version().ServiceByID(id); s != nil && rapid.Bool().Draw(t, "advance") {
		m.apply(t, state.Command{AdvanceBase: &state.AdvanceBase{Service: id, Prepared: s.PreparedAt}})
	}
}

func (m *replicaModel) changeMember(t *rapid.T) {
	id := version.MemberID(rapid.IntRange(1, len(m.members)+1).Draw(t, "member"))
	n := rapid.IntRange(1, 4).Draw(t, "name")
	incarnation := rapid.Uint64Range(1, 3).Draw(t, "incarnation")
	m.apply(t, rapid.SampledFrom([]state.Command{
		join(fmt.Sprint("lb-", n), fmt.Sprintf("10.1.0.%d:7000", n), incarnation),
		{LeaveMember: &state.LeaveMember{ID: id}},
		{RemoveMember: &state.RemoveMember{ID: id}},
	}).Draw(t, "command"))
}

func (m *replicaModel) changeOwners(t *rapid.T) {
	m.apply(t, state.Command{PrepareOwners: &state.PrepareOwners{}})
	if rapid.Bool().Draw(t, "activate") {
		prepared := m.first.Version().Owners.PreparedAt
		m.apply(t, state.Command{ActivateOwners: &state.ActivateOwners{Prepared: prepared}})
	}
}

func (m *replicaModel) restoreSecond(t *rapid.T) {
	must.NoError(t, m.second.Restore(m.second.Snapshot()))
}

func (m *replicaModel) check(t *rapid.T) {
	v := m.first.Version()
	must.Eq(t, m.inForce, v.Sheet)
	must.Eq(t, m.first.Digest(), m.second.Digest())
	must.False(t, v.Diverges(m.second.Index(), m.second.Digest()))
	must.Eq(t, string(m.first.Snapshot()), string(m.second.Snapshot()))
	must.Eq(t, fmt.Sprintf("%+v", v.Services), fmt.Sprintf("%+v", m.second.Version().Services))
	m.checkUpstreams(t, v)
	m.checkServices(t, v)
	m.checkMembers(t, v)
}

func (m *replicaModel) checkUpstreams(t *rapid.T, v *version.Version) {
	addrs := make(map[netip.AddrPort]bool)
	now := make(map[uint32]bool)
	newest := make(map[string]uint64)
	for _, u := range v.Upstreams {
		must.False(t, addrs[u.Addr], must.Sprintf("address %s belongs to two upstreams", u.Addr))
		addrs[u.Addr] = true
		must.NotNil(t, v.ServiceByID(u.Service))
		checkIdentity(t, m.upstreams, u.ID, fmt.Sprintf("%s %d %s %d", u.Name, u.Incarnation, u.Addr, u.Service))
		must.False(t, m.removed[uint32(u.ID)], must.Sprint("the ID of a removed upstream was reused"))
		now[uint32(u.ID)] = true
		must.GreaterEq(t, m.incarnations[u.Name], u.Incarnation)
		newest[u.Name] = u.Incarnation
	}
	m.incarnations = newest
	for id := range m.present {
		if !now[id] {
			m.removed[id] = true
		}
	}
	m.present = maps.Clone(now)
}

func (m *replicaModel) checkServices(t *rapid.T, v *version.Version) {
	for _, s := range v.Services {
		checkIdentity(t, m.services, s.ID, fmt.Sprintf("%s %v", s.Name, s.Key))
		must.Eq(t, s.ID, v.Service(s.Key).ID)
		var want version.Ranking
		for _, u := range v.Upstreams {
			available := u.State == version.Active || u.State == version.Joining
			if u.Service == s.ID && available && u.Healthy && u.Leased {
				want = append(want, version.WeightedUpstream{Upstream: u.ID, Weight: u.Weight()})
			}
		}
		must.SliceEqOp(t, want, s.Current)
		must.True(t, len(s.Current) == 0 || len(s.Base) > 0)
	}
}

func (m *replicaModel) checkMembers(t *rapid.T, v *version.Version) {
	for _, b := range v.Members {
		checkIdentity(t, m.members, b.ID, fmt.Sprintf("%s %d", b.Name, b.Incarnation))
	}
	for _, id := range v.Owners.Current {
		must.NotNil(t, v.MemberByID(id))
	}
	for _, id := range v.Owners.Next {
		must.NotNil(t, v.MemberByID(id))
	}
}

// checkIdentity checks that an ID always identifies the same entity.
func checkIdentity[K comparable](t *rapid.T, seen map[K]string, id K, identity string) {
	if old, ok := seen[id]; ok {
		must.Eq(t, old, identity)
	}
	seen[id] = identity
}

func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newReplicaModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit":   m.submit,
			"register": m.register,
			"renew":    m.register,
			"status":   m.status,
			"remove":   m.remove,
			"base":     m.changeBase,
			"member":   m.changeMember,
			"owners":   m.changeOwners,
			"restart":  m.restoreSecond,
			"":         m.check,
		})
	})
}
