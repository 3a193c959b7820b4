package control

import (
	"testing"

	"github.com/shoenig/test/must"

	"heatherport/internal/result"
	"heatherport/internal/version/state"
	"heatherport/internal/version/vfs/faultfs"
)

// submit proposes a command that changes the state, and reports whether it was applied.
func (m *steppedController) submit() (applied bool) {
	if m.leader == nil || !m.leader.ready {
		return false
	}
	m.proposeOrLog(state.Command{})
	index := m.raftApplied
	m.process()
	return m.raftApplied > index
}

// Guards against a voter whose disk was full for a moment and that votes and leads no more
// until it is restarted. Disks that fill up one after another took the majority.
func TestVoterReturnsOnceItsDiskHasRoom(t *testing.T) {
	for _, partial := range []bool{false, true} {
		folder := faultfs.New()
		m := newControllerOn(t, folder, "a-1")
		m.advance(2 * electionTicks * raftTickInterval)
		for range 3 {
			must.True(t, m.submit())
			before := m.machine.Index()
			folder.Full, folder.PartialWrites = true, partial
			must.False(t, m.submit())
			must.Nil(t, m.leader)
			for range 10 {
				m.advance(reopenInterval)
				must.False(t, m.submit())
			}
			folder.Full = false
			m.advance(reopenInterval)
			m.advance(2 * electionTicks * raftTickInterval)
			must.NotNil(t, m.leader)
			must.GreaterEq(t, before, m.machine.Index())
			must.True(t, m.submit())
		}
	}
}

// Guards against a voter that lost its data folder and votes again as an initial voter: it
// no longer knows its votes.
func TestVoterThatLostItsFolderDoesNotFoundAnewFleet(t *testing.T) {
	folder := faultfs.New()
	m := newControllerOn(t, folder, "a-1", "b-1", "c-1")
	m.becomeLeader()
	folder.Full = true
	m.proposeOrLog(state.Command{})
	m.process()
	must.Eq(t, result.StorageFull, result.CodeOf(m.replica.Err()))
	*folder = *faultfs.New()
	m.advance(reopenInterval)
	must.NoError(t, m.replica.Err())
	must.False(t, m.replica.Status().Joined)
	must.False(t, m.voting())
}
