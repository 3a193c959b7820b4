package api

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"heatherport/internal/result"
)

// FuzzAnnouncement checks that accepted announcements are valid and do not change
// when they are encoded and decoded again.
func FuzzAnnouncement(f *testing.F) {
	f.Add([]byte(`{"name":"permit-1","service":"permit","address":"127.0.0.1:5555","incarnation":1,"slots":3,"load":0.5}`))
	f.Add([]byte(`{"name":"permit-1","service":"permit","address":"[::ffff:192.0.2.1%eth0]:1","incarnation":18446744073709551615,"slots":1}`))
	f.Add([]byte(`{"load":1e999}`))
	f.Add([]byte(`{}{}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		a, err := decodeAnnouncement(b)
		if err != nil {
			must.Eq(t, result.BadAnnouncement, result.CodeOf(err))
			return
		}
		must.NoError(t, a.Validate())
		again, err := json.Marshal(a)
		must.NoError(t, err)
		got, err := decodeAnnouncement(again)
		must.NoError(t, err)
		must.Eq(t, a.LoadFactor(), got.LoadFactor())
		must.Eq(t, a.Address, got.Address)
	})
}
