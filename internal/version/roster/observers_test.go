package roster_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"heatherport/internal/version"
	"heatherport/internal/version/roster"
)

func TestObservers(t *testing.T) {
	members := func(n, domains int) *version.Version {
		v := &version.Version{}
		for i := range n {
			v.Members = append(v.Members, version.Member{ID: version.MemberID(i + 1), Domain: fmt.Sprint(i % domains)})
		}
		return v.Seal()
	}
	must.Len(t, 0, roster.NewObservers(members(0, 1)).Of(1))
	must.Len(t, 3, roster.NewObservers(members(3, 2)).Of(1))

	const upstreams = 1000
	before := members(40, 8)
	after := members(40, 8)
	after.Members[7].State = version.MemberLeaving
	old, now := roster.NewObservers(before), roster.NewObservers(after)
	load := make(map[version.MemberID]int)
	moved := 0
	for id := range version.UpstreamID(upstreams) {
		domains := make(map[string]bool)
		for _, m := range old.Of(id) {
			domains[before.MemberByID(m).Domain] = true
			load[m]++
			if !now.Observes(m, id) {
				moved++
			}
		}
		must.MapLen(t, roster.ObserversPerUpstream, domains)
		must.False(t, now.Observes(8, id))
	}
	// A leaving member moves at most twice its share of the assignments.
	must.LessEq(t, 2*upstreams*roster.ObserversPerUpstream/40, moved)
	for m, n := range load {
		must.LessEq(t, 4*upstreams*roster.ObserversPerUpstream/40, n, must.Sprint("member ", m))
	}
}

func TestObserversDependOnlyOnMembers(t *testing.T) {
	v := &version.Version{}
	for i := range 500 {
		v.Members = append(v.Members, version.Member{ID: version.MemberID(i + 1)})
	}
	want := roster.NewObservers(v).Of(7)
	slices.Reverse(v.Members)
	must.Eq(t, want, roster.NewObservers(v).Of(7))
}
