package backlog

import (
	"testing"

	"github.com/shoenig/test/must"
)

// A copy must replace the packet that waits: two would be forwarded otherwise.
func TestHeldKeepsOnePacketOfAConnection(t *testing.T) {
	var h Held
	caller := item(1, true, 0, 0).Caller
	must.Nil(t, h.Take(caller, service))
	h.Put(caller, service, []byte{1})
	h.Put(caller, other, []byte{2})
	h.Put(caller, service, []byte{3})
	must.Eq(t, 2, h.Len())
	must.Eq(t, []byte{3}, h.Take(caller, service))
	must.Nil(t, h.Take(caller, service))
	must.Eq(t, []byte{2}, h.Take(caller, other))
	must.Zero(t, h.Len())
}
