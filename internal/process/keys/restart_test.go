package keys

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"heatherport/internal/request/identity"
)

// A VM that is started again after a rotation has ended must neither use nor accept the
// withdrawn relay key, nor a certificate of the withdrawn authority, which its files may
// still hold.
func TestWithdrawnKeysAreNotUsedAfterARestart(t *testing.T) {
	const window = time.Hour
	c := newFakeClock()
	f := newTestFolder(t, c)
	a, b := openStore(t, f, vm("a-1")), openStore(t, f, vm("b-1"))
	withdrawn := a.RelayKeys()[0]
	_, err := f.RotateRelay(window)
	must.NoError(t, err)
	_, err = f.RotateCA(window)
	must.NoError(t, err)
	_, err = f.Issue(vm("b-1"), DefaultLeafValidity)
	must.NoError(t, err)
	restart := func(s *Store) *Store {
		again, err := Open(s.files)
		must.NoError(t, err)
		again.now = c.time
		return again
	}
	for _, step := range []struct {
		after    time.Duration
		accepted bool
	}{{window - time.Second, true}, {time.Second, false}} {
		c.now = c.now.Add(step.after)
		a, b = restart(a), restart(b)
		accepted := false
		for _, k := range b.RelayKeys().Accepted(c.now) {
			accepted = accepted || k.ID == withdrawn.ID
		}
		must.Eq(t, step.accepted, accepted)
		k, ok := b.RelayKeys().Sending(c.now)
		must.True(t, ok)
		must.NotEq(t, withdrawn.ID, k.ID)
		// The certificate of a is that of the withdrawn authority.
		clientErr, serverErr := handshake(a.ClientTLS("b-1"), b.ServerTLS(identity.VM))
		must.Eq(t, step.accepted, clientErr == nil && serverErr == nil)
	}
}
