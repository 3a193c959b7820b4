package cli

import (
	"fmt"
	"io"
	"strings"
	"time"

	"heatherport/internal/request/api"
)

// unknown is the cell of a value that the responding VM cannot determine.
const unknown = "?"

// formatTime formats a time in UTC, or returns a dash for the zero time.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}

func formatSheet(number uint64, digest api.Digest) string {
	if number == 0 {
		return "none"
	}
	return fmt.Sprintf("%d (%s)", number, digest)
}

func writeStatus(w io.Writer, s *api.StatusResponse) {
	writePairs(w,
		[2]string{"answer of", s.VM},
		[2]string{"ready", yesNo(s.Ready)},
		[2]string{"sheet", formatSheet(s.SheetNumber, s.SheetDigest)},
		[2]string{"index", formatNumber(s.Index)},
		[2]string{"leader", fmt.Sprintf("%s (term %d)", orDash(s.Leader), s.Term)},
		[2]string{"majority", yesNo(s.Majority)},
		[2]string{"lease", yesNo(s.Lease)},
		[2]string{"stale", yesNo(s.Stale)},
	)
	writeVMs(w, s)
	writeUpstreams(w, s.Upstreams)
	writeDrains(w, s.Drains)
}

// writeVMs shows values that only a leader has as unknown if no leader
// responded.
func writeVMs(w io.Writer, s *api.StatusResponse) {
	rows := [][]string{{"VM", "DOMAIN", "STATE", "LIVE", "ROLE", "INDEX", "OPEN"}}
	for _, v := range s.VMs {
		live, index := yesNo(v.Live), formatNumber(v.AppliedIndex)
		if !s.Majority {
			live, index = unknown, unknown
		}
		rows = append(rows, []string{v.Name, v.Domain, v.State, live, role(v), index, formatNumber(v.OpenConnections)})
	}
	fmt.Fprintln(w)
	writeTable(w, rows...)
}

func role(v api.VMStatus) string {
	switch {
	case v.Leader:
		return "leader"
	case v.Voter:
		return "voter"
	}
	return "balancer"
}

func writeUpstreams(w io.Writer, upstreams []api.UpstreamStatus) {
	rows := [][]string{{"UPSTREAM", "SERVICE", "STATE", "HEALTHY", "LEASED", "OPEN", "LIMIT", "ADDRESS"}}
	for _, u := range upstreams {
		rows = append(rows, []string{u.Name, u.Service, u.State, yesNo(u.Healthy), yesNo(u.Leased), formatNumber(u.OpenConnections), formatNumber(u.ConnectionLimit), formatAddress(u)})
	}
	fmt.Fprintln(w)
	writeTable(w, rows...)
}

func formatAddress(u api.UpstreamStatus) string {
	if !u.Address.IsValid() {
		return "-"
	}
	return u.Address.String()
}

func writeDrains(w io.Writer, drains []api.Drain) {
	fmt.Fprintln(w)
	if len(drains) == 0 {
		fmt.Fprintln(w, "no drain is open")
		return
	}
	rows := [][]string{{"DRAIN", "NAME", "SERVICE", "SINCE", "OPEN", "WAITING FOR"}}
	for _, d := range drains {
		rows = append(rows, []string{d.Kind, d.Name, orDash(d.Service), formatTime(d.Since), formatNumber(d.OpenConnections), d.WaitingFor})
	}
	writeTable(w, rows...)
}

func writeConnection(w io.Writer, x *api.ConnectionExplanation) {
	writePairs(w,
		[2]string{"answer of", x.VM},
		[2]string{"service", x.Service},
		[2]string{"upstream", orDash(x.Upstream)},
		[2]string{"entry", yesNo(x.Known)},
		[2]string{"exception", yesNo(x.Exception)},
		[2]string{"bucket", formatNumber(x.Bucket)},
		[2]string{"owner", orDash(x.Owner)},
		[2]string{"standby", orDash(x.Standby)},
		[2]string{"index", formatNumber(x.Index)},
	)
	writeReasons(w, x.Reasons)
	writeRanking(w, "current", x.Current)
	writeRanking(w, "base", x.Base)
}

func writeReasons(w io.Writer, reasons []string) {
	for _, r := range reasons {
		fmt.Fprintf(w, "- %s\n", r)
	}
}

func writeRanking(w io.Writer, name string, ranking []api.RankedUpstream) {
	if len(ranking) == 0 {
		return
	}
	rows := [][]string{{strings.ToUpper(name) + " RANKING", "WEIGHT", "OPEN", "LIMIT", "ELIGIBLE", "REASON"}}
	for _, r := range ranking {
		rows = append(rows, []string{r.Upstream, formatNumber(r.Weight), formatNumber(r.OpenConnections), formatNumber(r.ConnectionLimit), yesNo(r.Eligible), orDash(r.Reason)})
	}
	fmt.Fprintln(w)
	writeTable(w, rows...)
}

func writeUpstream(w io.Writer, x *api.UpstreamExplanation) {
	writePairs(w,
		[2]string{"answer of", x.VM},
		[2]string{"upstream", x.Name},
		[2]string{"service", x.Service},
		[2]string{"address", formatAddress(x.UpstreamStatus)},
		[2]string{"state", x.State},
		[2]string{"eligible", fmt.Sprintf("%s since %s", yesNo(x.Eligible), formatTime(x.Since))},
		[2]string{"weight", formatNumber(x.Weight)},
		[2]string{"open", fmt.Sprintf("%d of %d", x.OpenConnections, x.ConnectionLimit)},
	)
	writeReasons(w, x.Reasons)
	if len(x.Observations) == 0 {
		return
	}
	rows := [][]string{{"OBSERVED BY", "KIND", "HEALTHY", "SINCE", "DETAIL"}}
	for _, o := range x.Observations {
		rows = append(rows, []string{o.VM, o.Kind, yesNo(o.Healthy), formatTime(o.Since), orDash(o.Detail)})
	}
	fmt.Fprintln(w)
	writeTable(w, rows...)
}

func writeSheetExplanation(w io.Writer, x *api.SheetExplanation) {
	writePairs(w,
		[2]string{"answer of", x.VM},
		[2]string{"sheet", formatSheet(x.Number, x.Digest)},
		[2]string{"index", formatNumber(x.Index)},
		[2]string{"in force on", orDash(strings.Join(x.InForce, ", "))},
	)
	if len(x.Pending) == 0 {
		return
	}
	rows := [][]string{{"PENDING", "LIVE", "INDEX", "REASON"}}
	for _, p := range x.Pending {
		rows = append(rows, []string{p.Name, yesNo(p.Live), formatNumber(p.AppliedIndex), p.Reason})
	}
	fmt.Fprintln(w)
	writeTable(w, rows...)
}

func writeAudit(w io.Writer, records []api.AuditRecord) {
	rows := [][]string{{"TIME", "VM", "KIND", "INDEX", "CODE", "WHO", "CAUSE", "SUBJECT", "CHANGE"}}
	for _, r := range records {
		rows = append(rows, []string{
			formatTime(r.Time), r.VM, string(r.Kind), formatNumber(r.Index), r.Code.String(),
			orDash(r.Who), orDash(r.Cause), r.Subject, formatChange(r),
		})
	}
	writeTable(w, rows...)
}

// formatChange joins before and after in one cell. It is the last of its row
// because the texts may be long.
func formatChange(r api.AuditRecord) string {
	return orDash(r.Before) + " -> " + orDash(r.After)
}
