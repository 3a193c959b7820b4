package state_test

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"heatherport/internal/result"
	"heatherport/internal/version"
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

// submit returns the command that submits the sheet with the given rows.
func submit(t must.T, number int, rows ...string) state.Command {
	t.Helper()
	s, err := sheet.Parse(strings.NewReader(fmt.Sprintf("version,%d\n%s\n", number, strings.Join(rows, "\n"))))
	must.NoError(t, err)
	return state.Command{SubmitSheet: &state.SubmitSheet{
		Number:    s.Number,
		Digest:    s.Digest(),
		Canonical: s.Canonical(),
		Operator:  "planner",
	}}
}

func register(service, name, addr string, incarnation uint64) state.Command {
	return state.Command{RegisterUpstream: &state.RegisterUpstream{
		Name:        name,
		Service:     service,
		Addr:        netip.MustParseAddrPort(addr),
		Incarnation: incarnation,
	}}
}

func status(u state.StatusUpdate) state.Command {
	return state.Command{UpstreamStatus: &state.UpstreamStatus{Updates: []state.StatusUpdate{u}}}
}

func join(name, relay string, incarnation uint64) state.Command {
	return state.Command{JoinMember: &state.JoinMember{
		Name:        name,
		Incarnation: incarnation,
		Relay:       netip.MustParseAddrPort(relay),
	}}
}

// replica applies commands at increasing indexes.
type replica struct {
	t must.T
	*state.Machine
}

func newReplica(t must.T) *replica { return &replica{t, state.New()} }

func (r *replica) apply(c state.Command) state.Outcome {
	return r.Apply(r.Index()+1, c)
}

func (r *replica) mustApply(code result.Code, c state.Command) state.Outcome {
	r.t.Helper()
	o := r.apply(c)
	must.Eq(r.t, code, o.Code, must.Sprint(o.Detail))
	return o
}

const (
	rowA  = "service,a,192.0.2.1,tcp,443,10m,no"
	rowB  = "service,b,192.0.2.2,tcp,443,10m,yes"
	rowA1 = "upstream,a,a1,active,3,2000"
	rowA2 = "upstream,a,a2,active,2,2000"
	rowB1 = "upstream,b,b1,active,2,2000"
)

func TestSheetCompareAndSet(t *testing.T) {
	r := newReplica(t)
	five := submit(t, 5, rowA, rowA1)
	first := r.mustApply(result.OK, five)
	again := r.mustApply(result.OK, five)
	must.Eq(t, first.Sheet, again.Sheet)
	must.Len(t, 0, again.Changes)

	conflict := r.mustApply(result.SheetConflict, submit(t, 5, rowA))
	must.Eq(t, first.Sheet, conflict.Sheet)
	must.StrContains(t, conflict.Detail, fmt.Sprintf("%x", first.Sheet.Digest))
	r.mustApply(result.SheetStale, submit(t, 4, rowA, rowA1))

	forged := submit(t, 6, rowA)
	forged.SubmitSheet.Digest[0]++
	r.mustApply(result.BadSheet, forged)
	forged.SubmitSheet.Canonical = []byte("version,6\n")
	r.mustApply(result.BadSheet, forged)
	must.Eq(t, first.Sheet, r.Version().Sheet)
}

func TestServiceKeepsIDWhileNameAndKeyStay(t *testing.T) {
	r := newReplica(t)
	r.mustApply(result.OK, submit(t, 1, rowA, rowB, rowA1))
	r.mustApply(result.OK, register("a", "a1", "10.0.0.1:5555", 1))
	before := r.Version()
	r.mustApply(result.OK, submit(t, 2, strings.Replace(rowA, "10m", "20m", 1), rowB, rowA1))
	must.Eq(t, before.ServiceByName("a").ID, r.Version().ServiceByName("a").ID)

	// At another address it is a new service; the old one keeps its upstream.
	r.mustApply(result.OK, submit(t, 3, strings.Replace(rowA, "192.0.2.1", "192.0.2.9", 1), rowB, rowA1))
	v := r.Version()
	old := v.ServiceByID(before.ServiceByName("a").ID)
	must.True(t, old.Retired)
	must.Len(t, 0, old.Current)
	must.Len(t, 1, old.Base)
	must.Eq(t, version.Leaving, v.Upstreams[0].State)
	must.NotNil(t, v.Service(version.ServiceKey{Addr: netip.MustParseAddr("192.0.2.9"), Port: 443, Protocol: version.TCP}))

	// When the upstream's lease lapses, both are removed.
	r.mustApply(result.OK, status(state.StatusUpdate{ID: v.Upstreams[0].ID, Leased: new(false)}))
	must.Len(t, 0, r.Version().Upstreams)
	must.Nil(t, r.Version().ServiceByID(old.ID))
}

func TestRenamedServiceReplacesOldOne(t *testing.T) {
	r := newReplica(t)
	r.mustApply(result.OK, submit(t, 1, rowA, rowA1))
	r.mustApply(result.OK, register("a", "a1", "10.0.0.1:5555", 1))
	r.mustApply(result.OK, submit(t, 2, strings.Replace(rowA, "service,a", "service,z", 1), "upstream,z,a1,active,3,2000"))
	must.Len(t, 1, r.Version().Services)
	must.Eq(t, 2, r.Version().Services[0].ID)
	must.Len(t, 0, r.Version().Upstreams)
}

func TestRegister(t *testing.T) {
	r := newReplica(t)
	r.mustApply(result.OK, submit(t, 1, rowA, rowB, rowA1, rowA2, rowB1))
	r.mustApply(result.UpstreamNotInSheet, register("a", "x", "10.0.0.1:5555", 1))
	r.mustApply(result.UpstreamNotInSheet, register("b", "a1", "10.0.0.1:5555", 1))
	r.mustApply(result.BadAnnouncement, register("a", "a1", "0.0.0.0:5555", 1))
	first := r.mustApply(result.OK, register("a", "a1", "10.0.0.1:5555", 2))
	again := r.mustApply(result.OK, register("a", "a1", "10.0.0.1:5555", 2))
	must.Eq(t, first.Upstream, again.Upstream)
	must.Len(t, 0, again.Changes)
	r.mustApply(result.IncarnationStale, register("a", "a1", "10.0.0.1:5555", 1))
	r.mustApply(result.IncarnationConflict, register("a", "a1", "10.0.0.7:5555", 2))
	r.mustApply(result.AddressInUse, register("b", "b1", "[::ffff:10.0.0.1]:5555", 1))

	// An upstream without a lease loses its address to one of another service.
	r.mustApply(result.OK, status(state.StatusUpdate{ID: first.Upstream, Leased: new(false)}))
	taken := r.mustApply(result.OK, register("b", "b1", "10.0.0.1:5555", 1))
	must.Nil(t, r.Version().UpstreamByID(first.Upstream))
	must.NotEq(t, first.Upstream, taken.Upstream)
	r.mustApply(result.IncarnationStale, register("a", "a1", "10.0.0.3:5555", 1))

	newer := r.mustApply(result.OK, register("b", "b1", "10.0.0.1:5555", 2))
	must.Nil(t, r.Version().UpstreamByID(taken.Upstream))
	must.Greater(t, taken.Upstream, newer.Upstream)
}

func TestSlotsAndSlowStart(t *testing.T) {
	r := newReplica(t)
	r.mustApply(result.OK, submit(t, 1, rowA, rowA1, rowA2))
	c := register("a", "a1", "10.0.0.1:5555", 1)
	id := r.mustApply(result.OK, c).Upstream
	weight := func() uint32 { return r.Version().UpstreamByID(id).Weight() }
	ramped := status(state.StatusUpdate{ID: id, Ramp: new(version.RampFull)})
	r.mustApply(result.OK, ramped)
	must.Eq(t, 3*version.WeightPerSlot, weight())

	// Announced slots lower those of the sheet but never raise them, also after
	// a restore.
	for announced, want := range map[uint32]uint32{0: 3, 2: 2, 9: 3} {
		c.RegisterUpstream.Slots = announced
		r.mustApply(result.OK, c)
		must.Eq(t, want*version.WeightPerSlot, weight())
	}
	c.RegisterUpstream.Slots = 1
	r.mustApply(result.OK, c)
	must.NoError(t, r.Restore(r.Snapshot()))
	r.mustApply(result.OK, submit(t, 2, rowA, rowA1, rowA2))
	must.Eq(t, version.WeightPerSlot, weight())

	// An upstream that becomes eligible again goes through slow start, whatever
	// the reason.
	full := weight()
	returns := map[string][]state.Command{
		"lease": {
			status(state.StatusUpdate{ID: id, Leased: new(false)}),
			status(state.StatusUpdate{ID: id, Leased: new(true)}),
		},
		"announcement": {status(state.StatusUpdate{ID: id, Leased: new(false)}), c},
		"sheet": {
			submit(t, 3, rowA, strings.Replace(rowA1, "active", "paused", 1)),
			submit(t, 4, rowA, rowA1),
		},
	}
	for _, name := range []string{"lease", "announcement", "sheet"} {
		r.mustApply(result.OK, ramped)
		must.Eq(t, full, weight(), must.Sprint(name))
		for _, c := range returns[name] {
			r.mustApply(result.OK, c)
		}
		must.Eq(t, full/uint32(version.RampFull), weight(), must.Sprint(name))
		must.True(t, r.Version().UpstreamByID(id).Eligible(), must.Sprint(name))
	}

	// A sheet that drops an upstream without a lease removes it.
	r.mustApply(result.OK, status(state.StatusUpdate{ID: id, Leased: new(false)}))
	r.mustApply(result.OK, submit(t, 5, rowA))
	must.Nil(t, r.Version().UpstreamByID(id))
}

func TestAppliedIndexIsNotAppliedAgain(t *testing.T) {
	r := newReplica(t)
	r.mustApply(result.OK, submit(t, 1, rowA, rowA1))
	digest := r.Digest()
	o := r.Apply(r.Index(), submit(t, 2, rowB))
	must.Eq(t, result.Internal, o.Code)
	must.Eq(t, digest, r.Digest())
	twoCommands := state.Command{PrepareOwners: &state.PrepareOwners{}, LeaveMember: &state.LeaveMember{}}
	r.mustApply(result.BadMessage, twoCommands)
	r.mustApply(result.OK, state.Command{})
}

func TestUnlistedUpstreamStaysWhileItAnnounces(t *testing.T) {
	r := newReplica(t)
	r.mustApply(result.OK, submit(t, 1, rowA, rowA1, rowA2))
	id := r.mustApply(result.OK, register("a", "a1", "10.0.0.1:5555", 5)).Upstream
	r.mustApply(result.OK, submit(t, 2, rowA, rowA2))
	again := r.mustApply(result.OK, register("a", "a1", "10.0.0.1:5555", 5))
	must.Eq(t, id, again.Upstream)
	must.Eq(t, version.Leaving, r.Version().UpstreamByID(id).State)
	r.mustApply(result.UpstreamNotInSheet, register("a", "a1", "10.0.0.1:5555", 6))

	// The incarnation is still stored, and the upstream becomes eligible again.
	r.mustApply(result.OK, submit(t, 3, rowA, rowA1, rowA2))
	r.mustApply(result.IncarnationStale, register("a", "a1", "10.0.0.1:5555", 4))
	must.Len(t, 1, r.Version().Services[0].Current)

	r.mustApply(result.OK, submit(t, 4, rowA, rowA2))
	r.mustApply(result.OK, status(state.StatusUpdate{ID: id, Leased: new(false)}))
	must.Nil(t, r.Version().UpstreamByID(id))
}

// Guards against an upstream that was removed because of its silence, or left out of a sheet, and
// that is not taken back although the same incarnation announces itself again.
func TestSilentUpstreamIsTakenBack(t *testing.T) {
	r := newReplica(t)
	r.mustApply(result.OK, submit(t, 1, rowA, rowA1, rowA2))
	announced := register("a", "a1", "10.0.0.1:5555", 5)
	id := r.mustApply(result.OK, announced).Upstream
	r.mustApply(result.OK, state.Command{RemoveUpstream: &state.RemoveUpstream{ID: id, Cause: state.CauseLeaseLapsed}})
	must.SliceEmpty(t, r.Version().Services[0].Current)
	r.mustApply(result.OK, announced)
	must.Len(t, 1, r.Version().Services[0].Current)

	r.mustApply(result.OK, submit(t, 2, rowA, rowA2))
	id = r.Version().UpstreamByID(r.Version().Upstreams[0].ID).ID
	r.mustApply(result.OK, status(state.StatusUpdate{ID: id, Leased: new(false)}))
	r.mustApply(result.OK, submit(t, 3, rowA, rowA1, rowA2))
	r.mustApply(result.OK, announced)
	must.Len(t, 1, r.Version().Services[0].Current)
}

func TestBaseFollowsCurrentInTwoSteps(t *testing.T) {
	r := newReplica(t)
	r.mustApply(result.OK, submit(t, 1, rowA, rowA1, rowA2))
	one := r.mustApply(result.OK, register("a", "a1", "10.0.0.1:5555", 1)).Upstream
	base := version.Ranking{{Upstream: one, Weight: 192}}
	must.Eq(t, base, r.Version().Services[0].Base)
	two := r.mustApply(result.OK, register("a", "a2", "10.0.0.2:5555", 1)).Upstream
	r.mustApply(result.OK, status(state.StatusUpdate{ID: one, Ramp: new(version.RampFull)}))
	current := version.Ranking{{Upstream: one, Weight: 768}, {Upstream: two, Weight: 128}}
	must.Eq(t, current, r.Version().Services[0].Current)
	must.Eq(t, base, r.Version().Services[0].Base)

	id := r.Version().Services[0].ID
	o := r.mustApply(result.OK, state.Command{PrepareBase: &state.PrepareBase{Service: id}})
	must.Eq(t, current, r.Version().Services[0].NextBase)
	r.mustApply(result.NotFound, state.Command{AdvanceBase: &state.AdvanceBase{Service: id, Prepared: o.Index - 1}})
	r.mustApply(result.OK, state.Command{RemoveUpstream: &state.RemoveUpstream{ID: two}})
	r.mustApply(result.OK, state.Command{AdvanceBase: &state.AdvanceBase{Service: id, Prepared: o.Index}})
	must.Eq(t, current, r.Version().Services[0].Base)
	must.Nil(t, r.Version().Services[0].NextBase)
	must.Eq(t, current[:1], r.Version().Services[0].Current)

	r.mustApply(result.OK, status(state.StatusUpdate{ID: one, Leased: new(false)}))
	must.Len(t, 0, r.Version().Services[0].Current)
	r.mustApply(result.NotFound, state.Command{PrepareBase: &state.PrepareBase{Service: id}})
}

func TestMassEjectionIsLimited(t *testing.T) {
	for upstreams, want := range map[int]int{1: 0, 2: 0, 3: 1, 5: 1, 6: 2} {
		r := newReplica(t)
		rows := []string{rowA}
		for i := range upstreams {
			rows = append(rows, fmt.Sprintf("upstream,a,u%d,active,2,100", i))
		}
		r.mustApply(result.OK, submit(t, 1, rows...))
		for i := range upstreams {
			o := r.mustApply(result.OK, register("a", fmt.Sprint("u", i), fmt.Sprintf("10.0.0.%d:5555", i+1), 1))
			r.mustApply(result.OK, status(state.StatusUpdate{ID: o.Upstream, Ramp: new(version.RampFull)}))
		}
		for _, u := range r.Version().Upstreams {
			r.mustApply(result.OK, status(state.StatusUpdate{ID: u.ID, Healthy: new(false)}))
		}
		must.Len(t, upstreams-want, r.Version().Services[0].Current)
	}
}

func TestOwnersInTwoSteps(t *testing.T) {
	r := newReplica(t)
	a := r.mustApply(result.OK, join("lb-a", "10.1.0.1:7000", 1)).Member
	b := r.mustApply(result.OK, join("lb-b", "10.1.0.2:7000", 2)).Member
	must.Eq(t, b, r.mustApply(result.OK, join("lb-b", "10.1.0.2:7000", 2)).Member)
	r.mustApply(result.IncarnationStale, join("lb-b", "10.1.0.2:7000", 1))
	r.mustApply(result.MemberNameTaken, join("lb-a", "10.1.0.9:7000", 2))
	r.mustApply(result.AddressInUse, join("lb-c", "10.1.0.1:7000", 1))
	prepare := state.Command{PrepareOwners: &state.PrepareOwners{}}
	o := r.mustApply(result.OK, prepare)
	r.mustApply(result.OK, prepare)
	must.Eq(t, o.Index, r.Version().Owners.PreparedAt)
	activate := state.Command{ActivateOwners: &state.ActivateOwners{Prepared: o.Index}}
	r.mustApply(result.OK, activate)
	r.mustApply(result.NotFound, activate)
	must.Eq(t, []version.MemberID{a, b}, r.Version().Owners.Current)
	must.Eq(t, version.MemberActive, r.Version().MemberByID(a).State)

	// The removal of a member changes the owners at once, and the owners
	// prepared before it can no longer be activated.
	c := r.mustApply(result.OK, join("lb-c", "10.1.0.3:7000", 1)).Member
	o = r.mustApply(result.OK, prepare)
	removal := r.mustApply(result.OK, state.Command{RemoveMember: &state.RemoveMember{ID: b}})
	owners := r.Version().Owners
	must.Eq(t, []version.MemberID{a}, owners.Current)
	must.Eq(t, []version.MemberID{a, b}, owners.Previous)
	must.Eq(t, []version.MemberID{a, c}, owners.Next)
	must.Eq(t, 2, owners.Epoch)
	r.mustApply(result.NotFound, state.Command{ActivateOwners: &state.ActivateOwners{Prepared: o.Index}})
	r.mustApply(result.OK, state.Command{ActivateOwners: &state.ActivateOwners{Prepared: removal.Index}})

	r.mustApply(result.OK, state.Command{LeaveMember: &state.LeaveMember{ID: a}})
	r.mustApply(result.OK, prepare)
	must.Eq(t, []version.MemberID{c}, r.Version().Owners.Next)
}

func TestLoadReportOnlyLowersWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u := version.Upstream{
			Slots:      rapid.Uint32Range(1, sheet.MaxSlots).Draw(t, "slots"),
			Ramp:       rapid.Uint8Range(1, version.RampFull).Draw(t, "ramp"),
			LoadFactor: rapid.Uint8().Draw(t, "load"),
		}
		idle := u
		idle.LoadFactor = 0
		must.Between(t, idle.Weight()/2, u.Weight(), idle.Weight())
	})
}

func TestPublishedVersionIsImmutable(t *testing.T) {
	r := newReplica(t)
	r.mustApply(result.OK, submit(t, 1, rowA, rowA1, rowA2))
	r.mustApply(result.OK, register("a", "a1", "10.0.0.1:5555", 1))
	v := r.Version()
	before := fmt.Sprintf("%+v", *v)
	r.mustApply(result.OK, register("a", "a2", "10.0.0.2:5555", 1))
	r.mustApply(result.OK, submit(t, 2, rowB, rowB1))
	r.Version()
	must.Eq(t, before, fmt.Sprintf("%+v", *v))
}

func TestRestoreRejectsDamagedSnapshot(t *testing.T) {
	r := newReplica(t)
	r.mustApply(result.OK, submit(t, 1, rowA, rowA1, rowA2))
	r.mustApply(result.OK, register("a", "a1", "10.0.0.1:5555", 1))
	r.mustApply(result.OK, join("lb-a", "10.1.0.1:7000", 1))
	data := r.Snapshot()
	digest := r.Digest()
	for i := range data {
		damaged := slices.Clone(data)
		damaged[i] ^= 1
		m := state.New()
		if err := m.Restore(damaged); err != nil {
			must.Eq(t, result.StorageCorrupt, result.CodeOf(err))
		} else {
			// Another encoding of the same state, such as undefined for null.
			must.Eq(t, string(data), string(m.Snapshot()), must.Sprintf("byte %d", i))
		}
		must.Error(t, state.New().Restore(data[:i]))
	}
	must.NoError(t, r.Restore(data))
	must.Eq(t, digest, r.Digest())

	r.mustApply(result.OK, state.Command{})
	must.Eq(t, result.VersionStale, result.CodeOf(r.Restore(data)))
	must.True(t, r.Version().Diverges(r.Index(), digest))
	must.False(t, r.Version().Diverges(r.Index()-1, digest))
}

func FuzzDecodeCommand(f *testing.F) {
	for _, c := range []state.Command{
		submit(f, 1, rowA, rowA1),
		register("a", "a1", "10.0.0.1:5555", 1),
		status(state.StatusUpdate{ID: 1, Leased: new(false), Ramp: new(uint8(200))}),
		join("lb-a", "10.1.0.1:7000", 1),
		{AdvanceBase: &state.AdvanceBase{Service: 1}},
	} {
		data, err := state.EncodeCommand(c)
		must.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := state.DecodeCommand(data)
		if err != nil {
			must.Eq(t, result.BadMessage, result.CodeOf(err))
			return
		}
		r := newReplica(t)
		r.mustApply(result.OK, submit(t, 1, rowA, rowA1, rowA2))
		r.apply(c)
		r.apply(c)
		r.Version()
	})
}
