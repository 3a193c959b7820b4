package metrics

import (
	"encoding/json"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/shoenig/test/must"

	"heatherport/internal/request/api"
	"heatherport/internal/result"
)

func TestCollector(t *testing.T) {
	s := Snapshot{
		Forwarded:           Volume{Count: 5, Bytes: 500},
		RelaySent:           Volume{Count: 2, Bytes: 80},
		Causes:              []CauseCount{{result.DropFragment, 3}},
		OpenConnections:     40,
		Requests:            []api.RequestCount{{Route: "/v1/sheets", Code: result.SheetStale, Count: 2}},
		Upstreams:           []UpstreamGauge{{"permit", "permit-1", 7, true}},
		Control:             []ControlVolume{{"exceptions", Sent, Volume{2, 90}}},
		VersionIndex:        12,
		SheetNumber:         4,
		LeaseLive:           true,
		CertificateNotAfter: time.Unix(1000, 0),
	}
	registry := NewRegistry(func() Snapshot { return s })
	const want = `
# HELP heatherport_api_requests_total Requests to the API by route and name of the result code.
# TYPE heatherport_api_requests_total counter
heatherport_api_requests_total{code="sheet_stale",route="/v1/sheets"} 2
# HELP heatherport_connections_open Entries in the connection table.
# TYPE heatherport_connections_open gauge
heatherport_connections_open 40
# HELP heatherport_control_bytes_total Bytes of control messages by kind.
# TYPE heatherport_control_bytes_total counter
heatherport_control_bytes_total{direction="sent",kind="exceptions"} 90
# HELP heatherport_cut_off 1 while no leader renews the membership lease of this VM.
# TYPE heatherport_cut_off gauge
heatherport_cut_off 0
# HELP heatherport_lease_live 1 while the membership lease of this VM runs.
# TYPE heatherport_lease_live gauge
heatherport_lease_live 1
# HELP heatherport_packets_total Packets by outcome and, if dropped or refused, the name of the result code.
# TYPE heatherport_packets_total counter
heatherport_packets_total{cause="drop_fragment",outcome="dropped"} 3
heatherport_packets_total{cause="ok",outcome="forwarded"} 5
heatherport_packets_total{cause="ok",outcome="relayed"} 2
# HELP heatherport_upstream_connections_open Connections to an upstream that this VM owns.
# TYPE heatherport_upstream_connections_open gauge
heatherport_upstream_connections_open{service="permit",upstream="permit-1"} 7
`
	must.NoError(t, testutil.GatherAndCompare(registry, strings.NewReader(want),
		"heatherport_api_requests_total", "heatherport_connections_open", "heatherport_control_bytes_total", "heatherport_cut_off",
		"heatherport_lease_live", "heatherport_packets_total", "heatherport_upstream_connections_open"))
	problems, err := testutil.GatherAndLint(registry)
	must.NoError(t, err)
	for _, p := range problems {
		must.False(t, strings.HasPrefix(p.Metric, namespace), must.Sprint(p))
	}
}

func TestHealth(t *testing.T) {
	cases := []struct {
		path   string
		health Health
		status int
	}{
		{"/healthz", Health{Alive: true}, 200},
		{"/healthz", Health{Ready: true}, 503},
		{"/readyz", Health{Alive: true, Ready: true}, 200},
		{"/readyz", Health{Alive: true, Reasons: []string{"no version"}}, 503},
		{"/readyz", Health{Ready: true}, 503},
		{"/readyz", Health{Alive: true, Ready: true, CutOff: true}, 200},
	}
	for _, c := range cases {
		h := NewHandler(NewRegistry(func() Snapshot { return Snapshot{} }), func() Health { return c.health })
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest("GET", c.path, nil))
		must.Eq(t, c.status, w.Code, must.Sprint(c))
		var got Health
		must.NoError(t, json.Unmarshal(w.Body.Bytes(), &got))
		must.Eq(t, c.health, got)
	}
}

func TestMetricsPage(t *testing.T) {
	server := NewServer(NewRegistry(func() Snapshot { return Snapshot{SheetNumber: 9} }), func() Health { return Health{} })
	w := httptest.NewRecorder()
	server.Handler.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	must.Eq(t, 200, w.Code)
	must.StrContains(t, w.Body.String(), "heatherport_sheet_number 9\n")
	must.StrContains(t, w.Body.String(), "process_cpu_seconds_total")
}

// TestMetricsAreDocumented checks that docs/METRICS.md names each metric, and
// that its alerts use no other metrics.
func TestMetricsAreDocumented(t *testing.T) {
	b, err := os.ReadFile("../../../docs/METRICS.md")
	must.NoError(t, err)
	described := make(map[string]bool)
	for _, d := range newCollector(nil).descs {
		name := descName.FindStringSubmatch(d.String())[1]
		described[name] = true
		must.StrContains(t, string(b), "`"+name+"`", must.Sprintf("%s has no line", name))
	}
	programs := prometheus.NewRegistry()
	NewBalancer(programs)
	for _, registry := range []*prometheus.Registry{programs, newControllerRegistry()} {
		descs := make(chan *prometheus.Desc, 100)
		registry.Describe(descs)
		close(descs)
		for d := range descs {
			name := descName.FindStringSubmatch(d.String())[1]
			described[name] = true
			must.StrContains(t, string(b), "`"+name+"`", must.Sprintf("%s has no line", name))
		}
	}
	for _, m := range alertName.FindAllStringSubmatch(string(b), -1) {
		must.True(t, described[m[1]], must.Sprintf("%s is no metric", m[1]))
	}
}

func newControllerRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	NewController(r)
	return r
}

var (
	descName  = regexp.MustCompile(`fqName: "` + namespace + `_([a-z_]+)"`)
	alertName = regexp.MustCompile(namespace + `_([a-z_]+)`)
)
