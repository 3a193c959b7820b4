package control

import (
	"time"

	"heatherport/internal/request/api"
	"heatherport/internal/result"
	"heatherport/internal/version"
	"heatherport/internal/version/raft"
	"heatherport/internal/version/roster"
	"heatherport/internal/version/state"
)

// readTimeout bounds the confirmation of a linearizable read.
const readTimeout = 2 * time.Second

// serve executes a call on the leader. It calls done once; a NoLeader reply means
// that the call had no effect.
func (c *Controller) serve(req call, done func(reply)) {
	if c.leader == nil || !c.leader.ready {
		done(reply{Code: result.NoLeader, Detail: "this VM does not lead"})
		return
	}
	switch {
	case req.Submit != nil:
		c.serveSubmit(req.Submit, done)
	case req.Announce != nil:
		c.serveAnnounce(req.Announce, done)
	case req.Sheet != nil:
		c.serveSheet(done)
	case req.Status != nil:
		done(reply{Status: c.leaderStatus()})
	case req.Upstream != nil:
		done(c.explainUpstream(req.Upstream))
	case req.Voter != nil:
		c.serveVoter(*req.Voter, done)
	default:
		done(reply{Code: result.BadMessage, Detail: "empty call"})
	}
}

// outcomeError returns the error of a proposal's outcome. A nil outcome means
// that the entry was lost or that leadership ended first.
func outcomeError(o *state.Outcome) error {
	if o == nil {
		return result.Errorf(result.OutcomeUnknown, "leadership changed before the answer; a resend is safe")
	}
	return o.Err()
}

func (c *Controller) serveSubmit(s *submitCall, done func(reply)) {
	cmd := state.Command{SubmitSheet: &state.SubmitSheet{
		Number:    s.Number,
		Digest:    s.Digest,
		Canonical: s.Canonical,
		Operator:  s.Operator,
		At:        s.At,
	}}
	before := c.machine.Sheet().Ref
	err := c.propose(cmd, func(o *state.Outcome) {
		if err := outcomeError(o); err != nil {
			done(errorReply(err))
			return
		}
		done(reply{Submit: &api.SubmitResponse{
			Number:  o.Sheet.Number,
			Digest:  api.Digest(o.Sheet.Digest),
			Index:   o.Index,
			Resent:  before == o.Sheet,
			Pending: c.pendingVMs(o.Index),
		}})
	})
	if err != nil {
		done(errorReply(err))
	}
}

// pendingVMs returns the live members that have not applied index.
func (c *Controller) pendingVMs(index uint64) []string {
	var names []string
	v := c.machine.Version()
	for _, id := range c.leader.roster.Unapplied(index) {
		names = append(names, memberName(v, id))
	}
	return names
}

func (c *Controller) serveAnnounce(a *api.Announcement, done func(reply)) {
	r := c.leader.roster.Announce(c.now(), c.machine, &roster.Announcement{
		Name:        a.Name,
		Service:     a.Service,
		Addr:        a.Address,
		Probe:       a.Probe,
		Incarnation: a.Incarnation,
		Slots:       a.Slots,
		LoadFactor:  a.LoadFactor(),
	})
	if r.Code != result.OK {
		done(reply{Code: r.Code, Detail: r.Detail})
		return
	}
	if r.Command == nil {
		done(reply{Announce: announceResponse(r.Upstream, c.machine.Index())})
		return
	}
	err := c.propose(*r.Command, func(o *state.Outcome) {
		if err := outcomeError(o); err != nil {
			done(errorReply(err))
			return
		}
		done(reply{Announce: announceResponse(o.Upstream, o.Index)})
	})
	if err != nil {
		done(errorReply(err))
	}
}

func announceResponse(id version.UpstreamID, index uint64) *api.AnnounceResponse {
	return &api.AnnounceResponse{
		Upstream:     uint32(id),
		Index:        index,
		LeaseSeconds: uint32(roster.AnnounceLease / time.Second),
		RenewSeconds: uint32(roster.RenewInterval / time.Second),
	}
}

// serveSheet replies with the sheet in force once the replica has confirmed
// that this VM still leads.
func (c *Controller) serveSheet(done func(reply)) {
	readContext := c.reads.add(c.now()+readTimeout, func(ok bool) {
		if !ok {
			done(reply{Code: result.NoLeader, Detail: "leadership could not be confirmed"})
			return
		}
		done(reply{Sheet: c.sheetResponse()})
	})
	if err := c.replica.ReadIndex(readContext); err != nil {
		c.reads.remove(readContext)
		done(errorReply(err))
	}
}

func (c *Controller) sheetResponse() *api.SheetResponse {
	s := c.machine.Sheet()
	return &api.SheetResponse{
		Number:   s.Ref.Number,
		Digest:   api.Digest(s.Ref.Digest),
		Index:    c.machine.Index(),
		Operator: s.Operator,
		Accepted: time.UnixMilli(s.At).UTC(),
		CSV:      string(s.Canonical),
	}
}

func (c *Controller) serveVoter(change raft.ConfigChange, done func(reply)) {
	if err := checkVoterChange(c.machine.Version(), change); err != nil {
		done(errorReply(err))
		return
	}
	index, err := c.replica.ProposeConfig(change)
	if err != nil {
		done(errorReply(err))
		return
	}
	c.recordVoterChange(change)
	done(reply{Voter: &api.VoterResponse{Index: index, Voters: c.replica.Status().Config.Voters}})
}

// checkVoterChange rejects a learner that could never catch up: an unknown VM or
// one without a data folder. Any name may be removed, because the VM may no
// longer exist.
func checkVoterChange(v *version.Version, change raft.ConfigChange) error {
	if change.Kind == raft.RemoveMember {
		return nil
	}
	m := v.MemberByName(change.ID)
	if m == nil {
		return result.Errorf(result.MemberUnknown, "no VM %q is a member", change.ID)
	}
	if !m.Voter {
		return result.Errorf(result.MemberWithoutDisk, "VM %q has no data folder", change.ID)
	}
	return nil
}

func (c *Controller) leaderStatus() *leaderStatus {
	s := &leaderStatus{
		Leader: c.cfg.Name,
		Term:   c.softState.Term,
		Voters: c.replica.Status().Config.Voters,
	}
	v := c.machine.Version()
	for i := range v.Members {
		m := &v.Members[i]
		st := c.leader.roster.Member(m.ID)
		s.Members = append(s.Members, memberStatus{ID: m.ID, Live: st.Live, Applied: st.Applied, Settled: st.Settled})
	}
	return s
}
