package register

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"heatherport/internal/result"
)

func TestHighestNumberWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Register
		newest := Document{}
		for i := range rapid.IntRange(1, 20).Draw(t, "entries") {
			d := Document{
				Number: rapid.Uint64Range(1, 9).Draw(t, "number"),
				Body:   rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "body"),
			}
			data, err := d.Encode()
			must.NoError(t, err)
			changed, err := r.Apply(uint64(i+1), data)
			must.NoError(t, err)
			must.Eq(t, d.Number > newest.Number, changed)
			if changed {
				newest = d
			}
			must.Eq(t, newest.Number, r.Document().Number)
			must.Eq(t, string(newest.Body), string(r.Document().Body))
		}
		var restored Register
		snapshot, err := r.Snapshot()
		must.NoError(t, err)
		must.NoError(t, restored.Restore(r.Index(), snapshot))
		must.Eq(t, r.Index(), restored.Index())
		must.Eq(t, newest.Number, restored.Document().Number)
		must.Eq(t, string(newest.Body), string(restored.Document().Body))
	})
}

func TestEntriesWithoutDocumentAdvanceTheIndex(t *testing.T) {
	var r Register
	changed, err := r.Apply(7, nil)
	must.NoError(t, err)
	must.False(t, changed)
	must.Eq(t, 7, r.Index())
	snapshot, err := r.Snapshot()
	must.NoError(t, err)
	must.NoError(t, (&Register{}).Restore(7, snapshot))
}

func TestDamagedEntryIsRejected(t *testing.T) {
	data, err := Document{Number: 3, Body: []byte("routes of the season")}.Encode()
	must.NoError(t, err)
	var r Register
	for _, damaged := range [][]byte{data[:len(data)-3], {0xff, 1, 2}} {
		_, err := r.Apply(1, damaged)
		must.Eq(t, result.StorageCorrupt, result.CodeOf(err))
		must.Eq(t, 0, r.Document().Number)
	}
}

// A snapshot that was cut off must not replace the state: configuration and evacuations
// would be forgotten.
func TestTruncatedSnapshotChangesNothing(t *testing.T) {
	var r Register
	document, err := Document{Number: 3, Body: []byte("routes of the season")}.Encode()
	must.NoError(t, err)
	_, err = r.Apply(1, document)
	must.NoError(t, err)
	order, err := Order{Domain: "akure", Evacuate: true}.Encode()
	must.NoError(t, err)
	_, err = r.Apply(2, order)
	must.NoError(t, err)
	snapshot, err := r.Snapshot()
	must.NoError(t, err)
	for length := 1; length < len(snapshot); length++ {
		must.Eq(t, result.StorageCorrupt, result.CodeOf(r.Restore(9, snapshot[:length])))
		must.Eq(t, 2, r.Index())
		must.Eq(t, 3, r.Document().Number)
		must.Len(t, 1, r.Evacuations().Active())
	}
}
