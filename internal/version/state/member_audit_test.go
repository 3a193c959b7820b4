package state_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"

	"heatherport/internal/result"
	"heatherport/internal/version"
	"heatherport/internal/version/state"
)

// joinNumbered adds the member with number i and returns its ID.
func joinNumbered(r *replica, i int) version.MemberID {
	o := r.apply(state.Command{JoinMember: &state.JoinMember{
		Name: fmt.Sprintf("lb%d", i), Incarnation: 1, Domain: "akure",
		Relay: netip.MustParseAddrPort(fmt.Sprintf("192.0.2.%d:7002", i+1)),
	}})
	must.Eq(r.t, result.OK, o.Code)
	return o.Member
}

// activateAll makes all members owners and returns the change of the owners.
func activateAll(r *replica) state.Change {
	must.Eq(r.t, result.OK, r.apply(state.Command{PrepareOwners: &state.PrepareOwners{}}).Code)
	return applyOwnersChange(r, state.Command{ActivateOwners: &state.ActivateOwners{Prepared: r.Index()}})
}

func applyOwnersChange(r *replica, c state.Command) state.Change {
	for _, change := range r.apply(c).Changes {
		if change.Kind == state.OwnersActivated {
			return change
		}
	}
	r.t.Fatalf("the owners did not change")
	return state.Change{}
}

// TestAuditSummarizesManyOwners: a small set of owners is listed; for a large one
// the audit trail has the size and the members that were added or removed.
func TestAuditSummarizesManyOwners(t *testing.T) {
	r := newReplica(t)
	ids := []version.MemberID{joinNumbered(r, 0), joinNumbered(r, 1)}
	c := activateAll(r)
	must.Eq(t, "[]", c.Before)
	must.Eq(t, "[lb0 lb1]", c.After)

	for i := 2; i < 20; i++ {
		ids = append(ids, joinNumbered(r, i))
	}
	c = activateAll(r)
	must.Eq(t, "2 members", c.Before)
	must.Eq(t, "20 members, among them [lb2 lb3 lb4 lb5 lb6 lb7 lb8 lb9 lb10 lb11 lb12 lb13 lb14 lb15 lb16 lb17] and 2 more", c.After)

	joinNumbered(r, 20)
	c = activateAll(r)
	must.Eq(t, "20 members", c.Before)
	must.Eq(t, "21 members, among them [lb20]", c.After)

	c = applyOwnersChange(r, state.Command{RemoveMember: &state.RemoveMember{ID: ids[3]}})
	must.Eq(t, fmt.Sprintf("21 members, among them [%d]", ids[3]), c.Before)
	must.Eq(t, "20 members", c.After)
}
