package control

import (
	"testing"

	"github.com/shoenig/test/must"

	"heatherport/internal/result"
	"heatherport/internal/version"
	"heatherport/internal/version/raft"
)

func TestCheckVoterChange(t *testing.T) {
	v := (&version.Version{Members: []version.Member{
		{ID: 1, Name: "a-1", Voter: true},
		{ID: 2, Name: "b-1"},
	}}).Seal()
	cases := []struct {
		change raft.ConfigChange
		want   result.Code
	}{
		{raft.ConfigChange{Kind: raft.AddLearner, ID: "a-1"}, result.OK},
		{raft.ConfigChange{Kind: raft.AddLearner, ID: "b-1"}, result.MemberWithoutDisk},
		{raft.ConfigChange{Kind: raft.AddLearner, ID: "c-1"}, result.MemberUnknown},
		{raft.ConfigChange{Kind: raft.RemoveMember, ID: "c-1"}, result.OK},
	}
	for _, c := range cases {
		must.Eq(t, c.want, result.CodeOf(checkVoterChange(v, c.change)), must.Sprint(c))
	}
}

func TestCountDrainsMatchesDrains(t *testing.T) {
	v := (&version.Version{
		Upstreams: []version.Upstream{{ID: 1}, {ID: 2, State: version.Leaving}, {ID: 3, State: version.Paused}},
		Members:   []version.Member{{ID: 1, State: version.MemberLeaving}, {ID: 2}},
		Services:  []version.Service{{ID: 1, NextBase: version.Ranking{}}, {ID: 2}},
	}).Seal()
	must.Eq(t, 4, countDrains(v))
}
