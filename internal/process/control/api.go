package control

import (
	"bytes"
	"context"
	"slices"
	"time"

	"heatherport/internal/request/api"
	"heatherport/internal/result"
	"heatherport/internal/version"
	"heatherport/internal/version/raft"
	"heatherport/internal/version/sheet"
)

// Controller implements the operations of the HTTP API.
var _ api.Control = (*Controller)(nil)

// SubmitSheet implements api.Control.
func (c *Controller) SubmitSheet(ctx context.Context, req api.SubmitRequest) (api.SubmitResponse, error) {
	s, err := sheet.Parse(bytes.NewReader(req.Sheet))
	if err != nil {
		return api.SubmitResponse{}, err
	}
	r, err := c.call(ctx, call{Submit: &submitCall{
		Number:    s.Number,
		Digest:    s.Digest(),
		Canonical: s.Canonical(),
		Operator:  req.Operator,
		At:        time.Now().UnixMilli(),
	}})
	if err != nil {
		return api.SubmitResponse{}, err
	}
	return *r.Submit, nil
}

// Sheet implements api.Control. It returns the sheet in force, confirmed by a
// linearizable read at the leader. Without a leader it returns an error; Status
// still shows the state of this VM.
func (c *Controller) Sheet(ctx context.Context) (api.SheetResponse, error) {
	r, err := c.call(ctx, call{Sheet: &sheetCall{}})
	if err != nil {
		return api.SheetResponse{}, err
	}
	return *r.Sheet, nil
}

// Announce implements api.Control.
func (c *Controller) Announce(ctx context.Context, a api.Announcement) (api.AnnounceResponse, error) {
	r, err := c.call(ctx, call{Announce: &a})
	if err != nil {
		return api.AnnounceResponse{}, err
	}
	return *r.Announce, nil
}

// ChangeVoter implements api.Control.
func (c *Controller) ChangeVoter(ctx context.Context, req api.VoterRequest) (api.VoterResponse, error) {
	kind := raft.AddLearner
	if req.Remove {
		kind = raft.RemoveMember
	}
	r, err := c.call(ctx, call{Voter: &raft.ConfigChange{Kind: kind, ID: req.Name}})
	if err != nil {
		return api.VoterResponse{}, err
	}
	return *r.Voter, nil
}

// Audit implements api.Control.
func (c *Controller) Audit(_ context.Context, q api.AuditQuery) (api.AuditResponse, error) {
	records, err := c.cfg.Audit.Records(q)
	return api.AuditResponse{Records: records}, err
}

// leaderStatusTimeout bounds the wait for the leader's part of a status, so
// that an operator who queries a partitioned VM gets its local state quickly.
const leaderStatusTimeout = 1500 * time.Millisecond

// Status implements api.Control. Without a leader it returns the local state of
// this VM.
func (c *Controller) Status(ctx context.Context) (api.StatusResponse, error) {
	leaderCtx, cancel := context.WithTimeout(ctx, leaderStatusTimeout)
	defer cancel()
	leader, err := c.call(leaderCtx, call{Status: &statusCall{}})
	if err != nil {
		leader.Status = nil
	}
	var out api.StatusResponse
	err = c.runAndWait(ctx, func() { out = c.status(leader.Status) })
	return out, err
}

// runAndWait runs f on the control goroutine and waits for it to return.
func (c *Controller) runAndWait(ctx context.Context, f func()) error {
	done := make(chan struct{})
	err := c.post(ctx, func() {
		defer close(done)
		f()
	})
	if err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-c.done:
		return result.Errorf(result.ShuttingDown, "VM %s is stopping", c.cfg.Name)
	}
}

func (c *Controller) status(leader *leaderStatus) api.StatusResponse {
	v := c.machine.Version()
	s := api.StatusResponse{
		VM:          c.cfg.Name,
		Ready:       v.Index > 0,
		Index:       v.Index,
		SheetNumber: v.Sheet.Number,
		SheetDigest: api.Digest(v.Sheet.Digest),
		Leader:      c.leaderName(),
		Term:        c.softState.Term,
		Majority:    leader != nil,
		Lease:       c.now() < c.leaseUntil,
	}
	s.Stale = !s.Lease
	if leader != nil {
		s.Leader = leader.Leader
		s.Term = leader.Term
	}
	for i := range v.Members {
		s.VMs = append(s.VMs, vmStatus(&v.Members[i], leader))
	}
	for i := range v.Upstreams {
		s.Upstreams = append(s.Upstreams, c.upstreamStatus(v, &v.Upstreams[i]))
	}
	s.Drains = c.drains(v)
	c.updateDrainTimes(s.Drains)
	return s
}

func vmStatus(m *version.Member, leader *leaderStatus) api.VMStatus {
	s := api.VMStatus{Name: m.Name, Domain: m.Domain, State: m.State.String(), Voter: m.Voter}
	if leader == nil {
		return s
	}
	s.Leader = m.Name == leader.Leader
	s.Voter = slices.Contains(leader.Voters, m.Name)
	i := slices.IndexFunc(leader.Members, func(st memberStatus) bool { return st.ID == m.ID })
	if i >= 0 {
		s.Live = leader.Members[i].Live
		s.AppliedIndex = leader.Members[i].Applied
	}
	return s
}

func (c *Controller) upstreamStatus(v *version.Version, u *version.Upstream) api.UpstreamStatus {
	s := api.UpstreamStatus{
		Name:            u.Name,
		State:           u.State.String(),
		Address:         u.Addr,
		Incarnation:     u.Incarnation,
		Healthy:         u.Healthy,
		Leased:          u.Leased,
		Slots:           u.Slots,
		OpenConnections: c.cfg.Engine.OpenConnections(u.ID),
		ConnectionLimit: u.ConnLimit,
	}
	if svc := v.ServiceByID(u.Service); svc != nil {
		s.Service = svc.Name
	}
	return s
}

// updateDrainTimes sets Since of each drain to the time at which this VM first
// saw it.
func (c *Controller) updateDrainTimes(drains []api.Drain) {
	firstSeen := make(map[drainKey]time.Time, len(drains))
	for i := range drains {
		d := &drains[i]
		key := drainKey{d.Kind, d.Name}
		d.Since = c.drainsFirstSeen[key]
		if d.Since.IsZero() {
			d.Since = time.Now().UTC()
		}
		firstSeen[key] = d.Since
	}
	c.drainsFirstSeen = firstSeen
}

// drainKey identifies a drain.
type drainKey struct{ kind, name string }

// isDraining reports whether u keeps its connections but gets no new ones.
func isDraining(u *version.Upstream) bool {
	return u.State == version.Leaving || u.State == version.Paused
}

// countDrains returns the number of drains that drains would list.
func countDrains(v *version.Version) int {
	n := 0
	for i := range v.Upstreams {
		if isDraining(&v.Upstreams[i]) {
			n++
		}
	}
	for i := range v.Members {
		if v.Members[i].State == version.MemberLeaving {
			n++
		}
	}
	for i := range v.Services {
		if v.Services[i].NextBase != nil {
			n++
		}
	}
	return n
}

// drains lists the upstreams and members that are leaving or paused, and the
// services whose next base is not in force yet.
func (c *Controller) drains(v *version.Version) []api.Drain {
	var out []api.Drain
	for i := range v.Upstreams {
		u := &v.Upstreams[i]
		if !isDraining(u) {
			continue
		}
		s := c.upstreamStatus(v, u)
		out = append(out, api.Drain{Kind: "upstream", Name: u.Name, Service: s.Service, OpenConnections: s.OpenConnections, WaitingFor: "its connections to end"})
	}
	for i := range v.Members {
		if v.Members[i].State == version.MemberLeaving {
			out = append(out, api.Drain{Kind: "vm", Name: v.Members[i].Name, WaitingFor: "its share to be handed over"})
		}
	}
	for i := range v.Services {
		if v.Services[i].NextBase != nil {
			out = append(out, api.Drain{Kind: "base", Name: v.Services[i].Name, WaitingFor: "all VMs to replicate their exceptions"})
		}
	}
	return out
}
