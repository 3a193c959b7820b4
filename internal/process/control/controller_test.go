package control

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"

	"heatherport/internal/connection/owner"
	"heatherport/internal/process/audit"
	"heatherport/internal/process/link"
	"heatherport/internal/result"
	"heatherport/internal/version/raft"
	"heatherport/internal/version/vfs"
)

// steppedController is a controller that a test drives step by step with its
// own clock and messages. The control goroutine does not run, and sent messages
// are dropped.
type steppedController struct {
	*Controller
	t     *testing.T
	clock time.Duration
}

// newSteppedController returns voter a-1 of a new fleet.
func newSteppedController(t *testing.T, voters ...string) *steppedController {
	folder, err := vfs.Dir(t.TempDir())
	must.NoError(t, err)
	return newControllerOn(t, folder, voters...)
}

// newControllerOn returns voter a-1 of a new fleet with a data folder.
func newControllerOn(t *testing.T, folder vfs.FS, voters ...string) *steppedController {
	var err error
	m := &steppedController{t: t}
	m.Controller, err = New(Config{
		Name:        "a-1",
		Incarnation: 1,
		Folder:      folder,
		Bootstrap:   voters,
		Engine:      owner.New(owner.Config{Capacity: 16}),
		Links:       link.New(link.Config{Self: "a-1"}),
		Audit:       audit.NewRing(audit.DefaultRingRecords),
		Log:         hclog.NewNullLogger(),
		Clock:       func() time.Duration { return m.clock },
	})
	must.NoError(t, err)
	t.Cleanup(m.Discard)
	return m
}

// step handles a Raft message as the control goroutine does.
func (m *steppedController) step(msg raft.Message) {
	msg.To = "a-1"
	m.receive(link.Message{From: msg.From, Kind: link.KindRaft, Body: encode(msg)})
	m.tick()
	m.process()
}

func (m *steppedController) advance(d time.Duration) {
	m.clock += d
	m.tick()
	m.process()
}

// longPause is longer than all leases and election timeouts.
const longPause = time.Minute

// A voter rejects other candidates for an election timeout after a heartbeat of
// the leader. After a pause of the process, that time must run from the
// heartbeat that the voter handles, not from before the pause.
func TestPausedVoterRejectsVoteWithinLease(t *testing.T) {
	m := newSteppedController(t, "a-1", "b-1", "c-1")
	heartbeat := raft.Message{Type: raft.MessageHeartbeat, From: "b-1", Term: 1}
	m.step(heartbeat)
	m.clock += longPause
	m.step(heartbeat)
	m.step(raft.Message{Type: raft.MessageVote, From: "c-1", Term: 2})
	status := m.replica.Status()
	must.Eq(t, 1, status.SoftState.Term)
	must.Eq(t, "b-1", status.SoftState.Leader)
	must.Eq(t, "", status.Vote)
}

// becomeLeader makes the controller a leader with a valid lease.
func (m *steppedController) becomeLeader() {
	m.advance(2 * electionTicks * raftTickInterval)
	term := m.replica.Status().SoftState.Term + 1
	m.step(raft.Message{Type: raft.MessagePreVoteResponse, From: "b-1", Term: term})
	m.step(raft.Message{Type: raft.MessageVoteResponse, From: "b-1", Term: term})
	m.step(raft.Message{Type: raft.MessageAppendResponse, From: "b-1", Term: term, Index: m.replica.Status().LastIndex, Epoch: m.replica.Status().ConfigIndex})
	m.step(raft.Message{
		Type: raft.MessageHeartbeatResponse, From: "b-1", Term: term,
		SentTick: uint64(m.clock / raftTickInterval), Epoch: m.replica.Status().ConfigIndex,
	})
	must.NotNil(m.t, m.leader)
	must.True(m.t, m.leader.ready)
	must.True(m.t, m.replica.Status().LeaseValid)
}

// A leader whose process was paused may have been replaced. It must neither
// serve reads under the lease from before the pause nor grant leases to members.
func TestPausedLeaderServesNoReads(t *testing.T) {
	m := newSteppedController(t, "a-1", "b-1", "c-1")
	m.becomeLeader()
	m.clock += longPause
	var answers []reply
	m.runEvent(func() { m.serve(call{Sheet: &sheetCall{}}, func(r reply) { answers = append(answers, r) }) })
	m.tick()
	m.process()
	must.Eq(t, []reply{{Code: result.NoLeader, Detail: "this VM does not lead"}}, answers)
	must.Nil(t, m.leader)
}

// A single voter commits the first entry of its term in the same iteration of
// the control loop in which it is elected.
func TestSingleVoterLeads(t *testing.T) {
	m := newSteppedController(t, "a-1")
	m.advance(2 * electionTicks * raftTickInterval)
	must.NotNil(t, m.leader)
	must.True(t, m.leader.ready)
}

// The leader detects a VM whose state has diverged by the digest in its
// heartbeat.
func TestHeartbeatCarriesDigest(t *testing.T) {
	m := newSteppedController(t, "a-1")
	m.advance(2 * electionTicks * raftTickInterval)
	m.advance(heartbeatInterval)
	hb := m.newHeartbeat(m.clock)
	must.Positive(t, hb.Roster.Applied)
	must.Eq(t, m.Version().Digest, hb.Roster.Digest)
}
