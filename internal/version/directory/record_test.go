package directory

import (
	"net/netip"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"heatherport/internal/result"
)

// invalidRecords returns records that a directory must not take, by what is wrong with them.
func invalidRecords() map[string]Record {
	out := make(map[string]Record)
	add := func(what string, change func(r *Record)) {
		r := serving("i-9", 9, 10, 1)
		change(&r)
		out[what] = r
	}
	long := strings.Repeat("x", maxTextBytes+1)
	add("identifier is not text", func(r *Record) { r.ID = "\xff\xfe-9" })
	add("no identifier", func(r *Record) { r.ID = "" })
	add("long identifier", func(r *Record) { r.ID = long })
	add("service is not text", func(r *Record) { r.Service = "\xff" })
	add("long service", func(r *Record) { r.Service = long })
	add("failure domain is not text", func(r *Record) { r.Domain = "\xff" })
	add("long failure domain", func(r *Record) { r.Domain = long })
	add("owner is not text", func(r *Record) { r.Owner = "\xff" })
	add("no address", func(r *Record) { r.Address = netip.AddrPort{} })
	add("port zero", func(r *Record) { r.Address = netip.AddrPortFrom(r.Address.Addr(), 0) })
	add("unspecified address", func(r *Record) { r.Address = netip.MustParseAddrPort("0.0.0.0:80") })
	add("multicast address", func(r *Record) { r.Address = netip.MustParseAddrPort("224.0.0.1:80") })
	add("address with a zone", func(r *Record) { r.Address = netip.MustParseAddrPort("[fe80::1%eth0]:80") })
	add("no state", func(r *Record) { r.State = 0 })
	add("unknown state", func(r *Record) { r.State = Gone + 1 })
	add("negative slots", func(r *Record) { r.Slots = -1 })
	add("too many slots", func(r *Record) { r.Slots = MaxSlots + 1 })
	add("negative slow start", func(r *Record) { r.SlowStart = -1 })
	add("long slow start", func(r *Record) { r.SlowStart = MaxSlowStart + 1 })
	return out
}

// Guards against a record that other processes cannot read: it closed their links and feeds.
func TestInvalidRecordIsNotTaken(t *testing.T) {
	for what, r := range invalidRecords() {
		d := newTestDirectory()
		must.Eq(t, result.BadAnnouncement, result.CodeOf(r.Check()), must.Sprint(what))
		_, err := d.Announce(0, r)
		must.Eq(t, result.BadAnnouncement, result.CodeOf(err), must.Sprint(what))
		must.False(t, d.Merge(0, r), must.Sprint(what))
		must.Zero(t, d.Len(), must.Sprint(what))
	}
}

// Guards against a list that is lost for one record which cannot be read.
func TestUnreadableRecordLeavesTheOthers(t *testing.T) {
	good := serving("i-1", 1, 10, 1)
	encode := func(v any) cbor.RawMessage {
		data, err := cbor.Marshal(v)
		must.NoError(t, err)
		return data
	}
	for what, odd := range map[string]any{
		"text that is not UTF-8":  invalidRecords()["identifier is not text"],
		"a number too large":      map[int]any{1: "i-2", 3: "permits", 7: 1 << 40},
		"a field of a wrong type": map[int]any{1: []int{1}},
		"another type":            "i-2",
		"nothing":                 nil,
	} {
		var list Records
		must.NoError(t, cbor.Unmarshal(encode([]any{good, encode(odd), good}), &list), must.Sprint(what))
		must.Len(t, 3, list)
		must.Eq(t, good, list[0], must.Sprint(what))
		must.Eq(t, good, list[2], must.Sprint(what))
		must.Error(t, list[1].Check(), must.Sprint(what))
	}
}
