package control

import (
	"context"
	"fmt"
	"slices"
	"time"

	"heatherport/internal/connection/flow"
	"heatherport/internal/connection/owner"
	"heatherport/internal/request/api"
	"heatherport/internal/result"
	"heatherport/internal/version"
	"heatherport/internal/version/placement"
)

// ExplainConnection implements api.Control.
func (c *Controller) ExplainConnection(ctx context.Context, q api.ConnectionQuery) (api.ConnectionExplanation, error) {
	key := flow.Key{
		Src:      q.Caller.Addr().As16(),
		Dst:      q.Service.Addr().As16(),
		SrcPort:  q.Caller.Port(),
		DstPort:  q.Service.Port(),
		Protocol: version.TCP,
	}
	if q.Protocol == version.UDP.String() {
		key.Protocol = version.UDP
	}
	var out api.ConnectionExplanation
	var explainErr error
	err := c.runAndWait(ctx, func() { out, explainErr = c.explainConnection(key) })
	if err != nil {
		return out, err
	}
	return out, explainErr
}

func (c *Controller) explainConnection(key flow.Key) (api.ConnectionExplanation, error) {
	v := c.machine.Version()
	svc := v.Service(key.Service())
	if svc == nil {
		return api.ConnectionExplanation{}, result.Errorf(result.NotFound, "no service at %v", key.Service())
	}
	x := c.cfg.Engine.Explain(c.now(), key)
	out := api.ConnectionExplanation{
		VM:       c.cfg.Name,
		Service:  svc.Name,
		Hash:     key.Hash(),
		Bucket:   uint32(x.Bucket),
		Owner:    memberName(v, x.Owner),
		Standby:  memberName(v, x.Standby),
		Epoch:    v.Owners.Epoch,
		Index:    v.Index,
		Known:    x.Entry != nil,
		Upstream: upstreamName(v, x.Upstream),
		Current:  c.describeRanking(v, x.Ranking),
		Base:     c.describeBaseRanking(v, svc.Base, x.Bucket),
	}
	out.Exception = x.Upstream != x.Base
	out.Reasons = connectionReasons(v, &x)
	return out, nil
}

func connectionReasons(v *version.Version, x *owner.Explanation) []string {
	reasons := []string{
		fmt.Sprintf("slot %d is owned by %s, its standby is %s", x.Slot, memberName(v, x.Owner), memberName(v, x.Standby)),
		fmt.Sprintf("bucket %d has the base %s", x.Bucket, upstreamName(v, x.Base)),
	}
	if x.Entry != nil {
		reasons = append(reasons, fmt.Sprintf("an entry pins %s; it was idle for %s", upstreamName(v, x.Entry.Upstream), x.Entry.Idle))
	}
	if x.Exception != 0 {
		reasons = append(reasons, fmt.Sprintf("a replicated exception names %s", upstreamName(v, x.Exception)))
	}
	return append(reasons, "decided by "+string(x.Reason))
}

func memberName(v *version.Version, id version.MemberID) string {
	if m := v.MemberByID(id); m != nil {
		return m.Name
	}
	return "none"
}

func upstreamName(v *version.Version, id version.UpstreamID) string {
	if u := v.UpstreamByID(id); u != nil {
		return u.Name
	}
	if id == 0 {
		return "none"
	}
	return fmt.Sprintf("gone (identity %d)", id)
}

func (c *Controller) describeRanking(v *version.Version, ranking []owner.Candidate) []api.RankedUpstream {
	out := make([]api.RankedUpstream, 0, len(ranking))
	for _, r := range ranking {
		out = append(out, describeRanked(v, r.Upstream, r.Weight, uint64(max(r.Estimate, 0))))
	}
	return out
}

func (c *Controller) describeBaseRanking(v *version.Version, r version.Ranking, bucket uint16) []api.RankedUpstream {
	var out []api.RankedUpstream
	var iterator placement.Iterator
	iterator.Reset(r, bucket)
	for i, ok := iterator.Next(); ok; i, ok = iterator.Next() {
		out = append(out, describeRanked(v, r[i].Upstream, r[i].Weight, c.cfg.Engine.OpenConnections(r[i].Upstream)))
	}
	return out
}

// describeRanked describes one upstream of a ranking with its open connections.
func describeRanked(v *version.Version, id version.UpstreamID, weight uint32, open uint64) api.RankedUpstream {
	u := v.UpstreamByID(id)
	out := api.RankedUpstream{Upstream: upstreamName(v, id), Weight: weight, OpenConnections: open}
	if u != nil {
		out.ConnectionLimit = uint64(u.ConnLimit)
	}
	out.Eligible, out.Reason = eligibility(u)
	return out
}

// eligibility reports whether u is eligible for new connections and, if not, the
// reason.
func eligibility(u *version.Upstream) (bool, string) {
	switch {
	case u == nil:
		return false, "gone"
	case !u.Listed:
		return false, "not in the sheet"
	case u.State == version.Leaving || u.State == version.Paused:
		return false, "the sheet says " + u.State.String()
	case !u.Leased:
		return false, "its announcement lease has lapsed"
	case !u.Healthy:
		return false, "unhealthy"
	}
	return true, ""
}

// ExplainUpstream implements api.Control.
func (c *Controller) ExplainUpstream(ctx context.Context, q api.UpstreamQuery) (api.UpstreamExplanation, error) {
	r, err := c.call(ctx, call{Upstream: &q})
	if err == nil {
		return *r.Upstream, nil
	}
	if result.CodeOf(err) != result.NoLeader {
		return api.UpstreamExplanation{}, err
	}
	var local reply
	if err := c.runAndWait(ctx, func() { local = c.explainUpstream(&q) }); err != nil {
		return api.UpstreamExplanation{}, err
	}
	if err := local.err(); err != nil {
		return api.UpstreamExplanation{}, err
	}
	local.Upstream.Reasons = append(local.Upstream.Reasons, "no leader answered: this is the last state known here")
	return *local.Upstream, nil
}

// explainUpstream explains the upstream from the state of this VM. On the leader
// that includes the observations of all VMs.
func (c *Controller) explainUpstream(q *api.UpstreamQuery) reply {
	v := c.machine.Version()
	i := slices.IndexFunc(v.Upstreams, func(u version.Upstream) bool { return u.Name == q.Name })
	if i < 0 {
		return reply{Code: result.NotFound, Detail: fmt.Sprintf("no upstream %q has announced itself", q.Name)}
	}
	u := &v.Upstreams[i]
	x := &api.UpstreamExplanation{UpstreamStatus: c.upstreamStatus(v, u), VM: c.cfg.Name, Weight: u.Weight()}
	var reason string
	x.Eligible, reason = eligibility(u)
	if reason == "" {
		reason = "announced, healthy and " + u.State.String()
	}
	x.Reasons = append(x.Reasons, reason)
	if c.leader != nil {
		c.explainRoster(v, u.ID, x)
	}
	return reply{Upstream: x}
}

// explainRoster adds the findings of the leader's roster: how long each reason
// has applied, and which VMs observed it.
func (c *Controller) explainRoster(v *version.Version, id version.UpstreamID, x *api.UpstreamExplanation) {
	now := time.Now().UTC()
	for _, f := range c.leader.roster.Explain(id).Findings {
		x.Reasons = append(x.Reasons, fmt.Sprintf("%s for %s", f.Reason, f.Age.Round(time.Second)))
		x.Since = now.Add(-f.Age)
		for _, m := range f.Observers {
			x.Observations = append(x.Observations, api.Observation{VM: memberName(v, m), Kind: "probe", Since: x.Since, Detail: f.Reason.String()})
		}
	}
}

// ExplainSheet implements api.Control.
func (c *Controller) ExplainSheet(ctx context.Context) (api.SheetExplanation, error) {
	status, err := c.Status(ctx)
	if err != nil {
		return api.SheetExplanation{}, err
	}
	out := api.SheetExplanation{VM: c.cfg.Name, Number: status.SheetNumber, Digest: status.SheetDigest, Index: status.Index}
	for i := range status.VMs {
		vm := &status.VMs[i]
		if vm.AppliedIndex >= status.Index {
			out.InForce = append(out.InForce, vm.Name)
			continue
		}
		out.Pending = append(out.Pending, api.PendingVM{
			Name:         vm.Name,
			Live:         vm.Live,
			AppliedIndex: vm.AppliedIndex,
			Reason:       pendingReason(vm, &status),
		})
	}
	return out, nil
}

func pendingReason(vm *api.VMStatus, s *api.StatusResponse) string {
	switch {
	case !s.Majority:
		return "no leader answered, so its position is not known here"
	case !vm.Live:
		return "its lease has lapsed"
	}
	return "it is behind and being fed"
}
