package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"heatherport/internal/result"
)

// An order without a clear answer is given again to the next controller; a wrong name
// ends the command.
func TestEvacuationCommands(t *testing.T) {
	var calls []string
	serve := func(status int, body string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls = append(calls, r.Method+" "+r.URL.Path)
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}))
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://")
	}
	busy := serve(http.StatusServiceUnavailable, `{"error":"401 outcome_unknown"}`)
	ready := serve(http.StatusOK, `{"evacuations":[{"zone":"akure","by":"192.0.2.7:1","since":"2026-01-02T03:04:05Z","index":4}]}`)
	strict := serve(http.StatusBadRequest, `{"error":"109 unknown_domain"}`)
	var stdout, stderr bytes.Buffer
	must.Eq(t, 0, run(t.Context(), []string{"evacuation", "start", "--controllers", busy + "," + ready, "akure"}, &stdout, &stderr), must.Sprint(&stderr))
	must.Eq(t, 0, run(t.Context(), []string{"evacuation", "end", "--controllers", ready, "akure"}, &stdout, &stderr))
	must.Eq(t, 0, run(t.Context(), []string{"evacuation", "list", "--controllers", ready}, &stdout, &stderr))
	must.Eq(t, "akure\tsince 2026-01-02T03:04:05Z\tby 192.0.2.7:1\tindex 4\n", stdout.String())
	const path = "/api/evacuations"
	must.Eq(t, []string{"POST " + path + "/akure", "POST " + path + "/akure", "DELETE " + path + "/akure", "GET " + path}, calls)
	must.Eq(t, int(result.ClassUsage), run(t.Context(), []string{"evacuation", "start", "--controllers", strict, "nowhere"}, &stdout, &stderr))
	must.StrContains(t, stderr.String(), "unknown_domain")
	must.Eq(t, int(result.ClassUnknown), run(t.Context(), []string{"evacuation", "start", "--timeout", "300ms", "--controllers", busy, "akure"}, &stdout, &stderr))
}
