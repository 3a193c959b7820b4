package controller

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"

	"heatherport/internal/result"
	"heatherport/internal/version/directory"
	"heatherport/internal/version/vfs"
)

// stopGracefully stops a controller as a signal does.
func (f *cluster) stopGracefully(v *vm) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	must.NoError(f.t, v.Stop(ctx))
}

// Calls that a controller accepted before it is told to stop get their outcome: a
// planned stop must not leave operators with orders whose outcome is unknown. Both the
// leader and a follower are stopped.
func TestCallsInProgressAtAStopGetTheirOutcome(t *testing.T) {
	f := newCluster(t)
	f.submit(f.vms[0], 1)
	for i, leads := range []bool{true, false} {
		number := uint64(i + 2)
		l := f.leader()
		v := l
		for _, other := range f.vms {
			if !leads && other != l {
				v = other
			}
		}
		type outcome struct {
			call string
			err  error
		}
		outcomes := make(chan outcome, 4)
		stuck := make(chan struct{})
		// The log and the control goroutine are busy, so that the calls are in progress
		// when the controller is told to stop.
		v.consensus.post(func() { <-stuck })
		must.True(t, v.post(func() { <-stuck }))
		go func() { outcomes <- outcome{"submit", v.Submit(context.Background(), document(number))} }()
		go func() {
			outcomes <- outcome{"evacuate", v.Evacuate(context.Background(), v.self.Domain, leads, "operator")}
		}()
		go func() {
			_, err := v.Announce(context.Background(), announcement(directory.Serving, number))
			outcomes <- outcome{"announce", err}
		}()
		go func() {
			_, err := v.Latest(context.Background())
			outcomes <- outcome{"read", err}
		}()
		f.eventually("calls in progress", func() bool {
			v.calls.mu.Lock()
			defer v.calls.mu.Unlock()
			// The leader may have answered those that a follower passed on.
			return v.calls.active+len(outcomes) == cap(outcomes)
		})
		stopped := make(chan struct{})
		go func() {
			f.stopGracefully(v)
			close(stopped)
		}()
		time.Sleep(4 * flushTime)
		close(stuck)
		for range cap(outcomes) {
			o := <-outcomes
			must.NoError(t, o.err, must.Sprint(o.call, " leads ", leads))
		}
		// Later calls are rejected, so that callers turn to another controller.
		must.Eq(t, result.NotReady, result.CodeOf(v.Submit(context.Background(), document(99))))
		<-stopped
		v.listener, v.Controller = nil, nil
		f.start(v, false)
		f.expect(v, number)
	}
}

// What an upstream announced just before a planned stop is known to the other
// controllers and on disk: a restart of all must not bring back an upstream that left.
func TestLastAnnouncementsAreSharedAndSavedAtAStop(t *testing.T) {
	f := newCluster(t)
	f.announce(f.vms[0], directory.Serving, 1)
	f.eventually("it is saved", func() bool {
		records, _, err := f.vms[0].upstreams.read()
		return err == nil && len(records) == 1
	})
	f.announce(f.vms[0], directory.Leaving, 2)
	f.stopGracefully(f.vms[0])
	records, _, err := f.vms[0].upstreams.read()
	must.NoError(t, err)
	must.Eq(t, directory.Leaving, records[0].State)
	f.vms[0].listener, f.vms[0].Controller = nil, nil
}

// What is queued for the disk when the process stops is written, also if the disk was
// busy until then.
func TestQueuedStateIsSavedAtAStop(t *testing.T) {
	for range 20 {
		s := newHintStore[int](vfs.Dir, t.TempDir(), upstreamsFile, 0, hclog.NewNullLogger())
		s.saveLast([]int{7})
		done := make(chan struct{})
		close(done)
		s.run(done)
		saved, _ := s.load()
		must.Eq(t, []int{7}, saved)
	}
}
