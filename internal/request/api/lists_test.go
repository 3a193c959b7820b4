package api

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"heatherport/internal/result"
)

func checkEmptyLists(t *testing.T, empty response, want string) {
	v, err := responseBody(empty, nil)
	must.NoError(t, err)
	b, err := json.Marshal(v)
	must.NoError(t, err)
	must.StrContains(t, string(b), want)
	must.StrNotContains(t, string(b), "null")
	_, err = responseBody(empty, result.Errorf(result.NoLeader, "none"))
	must.Eq(t, result.NoLeader, result.CodeOf(err))
}

func TestEmptyListsAreNotNull(t *testing.T) {
	checkEmptyLists(t, SubmitResponse{}, `"pending":[]`)
	checkEmptyLists(t, StatusResponse{}, `"vms":[],"upstreams":[],"drains":[]`)
	checkEmptyLists(t, ConnectionExplanation{}, `"current":[],"base":[],"reasons":[]`)
	checkEmptyLists(t, UpstreamExplanation{}, `"observations":[]`)
	checkEmptyLists(t, SheetExplanation{}, `"in_force":[],"pending":[]`)
	checkEmptyLists(t, VoterResponse{}, `"voters":[]`)
	checkEmptyLists(t, AuditResponse{}, `"records":[]`)
}
