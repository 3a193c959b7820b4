package loopback

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestReserveSkipsHeldNetworks(t *testing.T) {
	one, err := Reserve()
	must.NoError(t, err)
	two, err := Reserve()
	must.NoError(t, err)
	must.NotEq(t, one.Host(1), two.Host(1))
	// The next two attempts hit reserved networks, as if held by another process.
	reservationAttempts.Store(reservationAttempts.Load() - 2)
	three, err := Reserve()
	must.NoError(t, err)
	must.NotEq(t, one.Host(1), three.Host(1))
	must.NotEq(t, two.Host(1), three.Host(1))
	one.Release()
	reservationAttempts.Store(uint32(one.prefix[2]) - 1)
	again, err := Reserve()
	must.NoError(t, err)
	must.Eq(t, one.Host(1), again.Host(1))
	for _, n := range []*Network{two, three, again} {
		n.Release()
	}
}
