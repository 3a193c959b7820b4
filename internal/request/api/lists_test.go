package api

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"heatherport/internal/result"
)

func checkLists(t *testing.T, empty answer, want string) {
	v, err := answered(empty, nil)
	must.NoError(t, err)
	b, err := json.Marshal(v)
	must.NoError(t, err)
	must.StrContains(t, string(b), want)
	must.StrNotContains(t, string(b), "null")
	_, err = answered(empty, result.Errorf(result.NoLeader, "none"))
	must.Eq(t, result.NoLeader, result.CodeOf(err))
}

func TestEmptyListsAreNotNull(t *testing.T) {
	checkLists(t, SubmitResponse{}, `"pending":[]`)
	checkLists(t, StatusResponse{}, `"vms":[],"upstreams":[],"drains":[]`)
	checkLists(t, ConnectionExplanation{}, `"current":[],"base":[],"reasons":[]`)
	checkLists(t, UpstreamExplanation{}, `"observations":[]`)
	checkLists(t, SheetExplanation{}, `"in_force":[],"pending":[]`)
	checkLists(t, VoterResponse{}, `"voters":[]`)
	checkLists(t, AuditResponse{}, `"records":[]`)
}
