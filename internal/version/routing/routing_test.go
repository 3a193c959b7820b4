package routing

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"heatherport/internal/result"
)

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, 100, byte(n)}), 8000+uint16(n))
}

func route(n int, targets ...Target) Route {
	if targets == nil {
		targets = []Target{{Service: "a", Weight: 1}}
	}
	return Route{Name: fmt.Sprint("r", n), Address: address(n), Targets: targets, Timeout: time.Second}
}

func TestNewRejectsInconsistentTables(t *testing.T) {
	noTimeout := route(1)
	noTimeout.Timeout = 0
	for name, routes := range map[string][]Route{
		"two routes at one address": {route(1), route(1)},
		"unknown service":           {route(1, Target{"c", 1})},
		"no timeout":                {noTimeout},
		"no weight":                 {route(1, Target{"a", 0}, Target{"b", 0})},
		"no target":                 {route(1, []Target{}...), {Address: address(2), Timeout: time.Second}},
	} {
		_, err := New(3, 0, []string{"b", "a"}, routes)
		must.Eq(t, result.BadRoutes, result.CodeOf(err), must.Sprint(name))
	}
	_, err := New(3, 0, []string{"a", "a"}, nil)
	must.Eq(t, result.BadRoutes, result.CodeOf(err))
	table, err := New(3, 0, []string{"b", "a"}, []Route{route(1), route(2)})
	must.NoError(t, err)
	must.Eq(t, 2, table.Len())
	must.True(t, table.HasService("b"))
	must.False(t, table.HasService("c"))
	must.Nil(t, table.Route(address(3)))
}

func TestPickServiceFollowsWeights(t *testing.T) {
	r := route(1, Target{"a", 90}, Target{"b", 10})
	counts := map[string]int{}
	for point := range uint64(1000) {
		counts[r.PickService(point)]++
	}
	must.Eq(t, map[string]int{"a": 900, "b": 100}, counts)
	must.True(t, r.Allows("b"))
	must.False(t, r.Allows("c"))
}

func drawTable(t *rapid.T, number uint64) *Table {
	services := []string{"a", "b"}
	var routes []Route
	for n := range 8 {
		if !rapid.Bool().Draw(t, "present") {
			continue
		}
		r := route(n, Target{rapid.SampledFrom(services).Draw(t, "service"), 1})
		r.Timeout = time.Duration(rapid.IntRange(1, 3).Draw(t, "timeout")) * time.Second
		routes = append(routes, r)
	}
	table, err := New(number, time.Duration(number)*time.Second, services, routes)
	must.NoError(t, err)
	return table
}

func TestApplyOfDiffGivesOtherTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var old *Table
		if rapid.Bool().Draw(t, "has old") {
			old = drawTable(t, 1)
		}
		want := drawTable(t, 2)
		data, err := cbor.Marshal(want.Diff(old))
		must.NoError(t, err)
		var d Delta
		must.NoError(t, cbor.Unmarshal(data, &d))
		got, err := old.Apply(d)
		must.NoError(t, err)
		must.Eq(t, want.Number, got.Number)
		must.Eq(t, want.IdleTimeout, got.IdleTimeout)
		must.Eq(t, want.Len(), got.Len())
		for a, r := range want.routes {
			must.True(t, got.routes[a].equal(r))
		}
	})
}

func TestApplyRejectsDeltaFromOtherTable(t *testing.T) {
	table, err := New(3, 0, []string{"a"}, []Route{route(1)})
	must.NoError(t, err)
	_, err = table.Apply(Delta{From: 2, Number: 4})
	must.Eq(t, result.VersionStale, result.CodeOf(err))
	var none *Table
	_, err = none.Apply(Delta{From: 2, Number: 4})
	must.Eq(t, result.VersionStale, result.CodeOf(err))
}

func TestDiffIncludesEachFieldOfRoute(t *testing.T) {
	before := route(1)
	old, err := New(1, 0, []string{"a", "b"}, []Route{before})
	must.NoError(t, err)
	for _, change := range []func(*Route){
		func(r *Route) { r.Name = "other" },
		func(r *Route) { r.Targets = []Target{{"b", 1}} },
		func(r *Route) { r.Timeout++ },
		func(r *Route) { r.LatencyObjective++ },
		func(r *Route) { r.Priority++ },
	} {
		after := before
		change(&after)
		next, err := New(2, 0, []string{"a", "b"}, []Route{after})
		must.NoError(t, err)
		got, err := old.Apply(next.Diff(old))
		must.NoError(t, err)
		must.Eq(t, after, *got.Route(address(1)))
	}
}
