package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"heatherport/internal/result"
	"heatherport/internal/standin"
)

// Report is the outcome of a demo.
type Report struct {
	Opened                 uint64            `json:"connections_opened"`
	Finished               uint64            `json:"connections_finished"`
	Requests               uint64            `json:"requests_answered"`
	Unanswered             uint64            `json:"connections_unanswered"`
	Refused                uint64            `json:"connections_refused"`
	Broken                 uint64            `json:"connections_broken"`
	BrokenOnPlannedChanges uint64            `json:"broken_on_planned_changes"`
	BrokenAfterKill        uint64            `json:"broken_after_the_kill"`
	BrokenByCause          map[string]uint64 `json:"broken_by_cause,omitempty"`
	AffinityViolations     uint64            `json:"answers_from_another_upstream"`
	CrossService           uint64            `json:"packets_across_services"`
	CrossConnection        uint64            `json:"answers_across_connections"`
	DuplicateAttempts      uint64            `json:"first_packets_at_two_upstreams"`
	DuplicateRuns          uint64            `json:"requests_run_twice"`
	RefusedButRun          uint64            `json:"refused_but_run"`
	AcceptedWhileDraining  uint64            `json:"new_at_leaving_after_3s"`
	Imbalance              []Imbalance       `json:"imbalance"`
	MaxSheetInForce        time.Duration     `json:"sheet_in_force_max_ns"`
	Elapsed                time.Duration     `json:"elapsed_ns"`
}

// Imbalance is the number of open connections of a service and the ratio of its
// busiest upstream to the mean.
type Imbalance struct {
	Service string  `json:"service"`
	Open    int     `json:"open"`
	Ratio   float64 `json:"max_over_mean"`
}

// recordImbalance records the imbalance of all services, without the drained
// upstreams.
func (r *Report) recordImbalance(s standin.Report, drained []string) {
	r.Imbalance = r.Imbalance[:0]
	for _, svc := range services {
		r.Imbalance = append(r.Imbalance, imbalanceOf(s, svc, drained))
	}
}

func imbalanceOf(s standin.Report, svc service, drained []string) Imbalance {
	out := Imbalance{Service: svc.name}
	highest, n := 0, 0
	for i := range svc.upstreams {
		name := upstreamName(svc.name, i)
		if slices.Contains(drained, name) {
			continue
		}
		open := s.OpenConnections[name]
		highest = max(highest, open)
		out.Open += open
		n++
	}
	if out.Open > 0 {
		out.Ratio = float64(highest) * float64(n) / float64(out.Open)
	}
	return out
}

func (r *Report) setCounts(s standin.Report) {
	r.Opened = s.Opened
	r.Finished = s.Finished
	r.Requests = s.Requests
	r.Unanswered = s.Unanswered
	r.Refused = s.Refused
	r.Broken = s.BrokenTotal()
	r.BrokenByCause = s.Broken
	r.AffinityViolations = s.AffinityViolations
	r.CrossService = s.CrossService
	r.CrossConnection = s.CrossConnection
	r.DuplicateAttempts = s.DuplicateAttempts
	r.DuplicateRuns = s.DuplicateRuns
	r.RefusedButRun = s.RefusedButRun
	r.AcceptedWhileDraining = s.AcceptedWhileDraining
}

// write prints the report as a table or as JSON.
func (r *Report) write(w io.Writer, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(w).Encode(r)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name string, value any) { fmt.Fprintf(t, "%s\t%v\n", name, value) }
	row("connections opened", r.Opened)
	row("connections finished", r.Finished)
	row("requests answered", r.Requests)
	row("connections unanswered", r.Unanswered)
	row("connections refused", r.Refused)
	row("broken on planned changes", r.BrokenOnPlannedChanges)
	row("broken after the kill", r.BrokenAfterKill)
	for cause, n := range r.BrokenByCause {
		row("  "+cause, n)
	}
	row("packets across services", r.CrossService)
	row("answers across connections", r.CrossConnection)
	row("answers from another upstream", r.AffinityViolations)
	row("first packets at two upstreams", r.DuplicateAttempts)
	row("requests run twice", r.DuplicateRuns)
	row("refused but run", r.RefusedButRun)
	row("new at leaving upstreams after 3 s", r.AcceptedWhileDraining)
	for _, i := range r.Imbalance {
		row("imbalance max/mean, "+i.Service, fmt.Sprintf("%.2f (%d open)", i.Ratio, i.Open))
	}
	row("sheet in force on all VMs, at most", r.MaxSheetInForce.Round(time.Millisecond))
	row("elapsed", r.Elapsed.Round(100*time.Millisecond))
	return t.Flush()
}

// sheetInForceLimit is the maximum time between the acceptance of a sheet and its
// being in force on all VMs, provided that the leader is running.
const sheetInForceLimit = time.Second

// checkGuarantees returns an error that lists the violated guarantees.
func (r *Report) checkGuarantees() error {
	var violations []string
	check := func(n uint64, violation string) {
		if n > 0 {
			violations = append(violations, fmt.Sprintf("%s: %d", violation, n))
		}
	}
	check(r.BrokenOnPlannedChanges, "broken on planned changes")
	check(r.BrokenAfterKill, "broken after the kill")
	check(r.CrossService, "packets across services")
	check(r.CrossConnection, "answers across connections")
	check(r.AffinityViolations, "connections moved")
	check(r.DuplicateAttempts, "first packets at two upstreams")
	check(r.DuplicateRuns, "requests run twice")
	check(r.RefusedButRun, "refused but run")
	check(r.AcceptedWhileDraining, "new connections at leaving upstreams")
	if r.MaxSheetInForce > sheetInForceLimit {
		violations = append(violations, fmt.Sprintf("sheet in force after %s", r.MaxSheetInForce))
	}
	if len(violations) > 0 {
		return result.Errorf(result.PromiseBroken, "%s", strings.Join(violations, "; "))
	}
	return nil
}
