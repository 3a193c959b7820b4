package result

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

func TestCodeOf(t *testing.T) {
	must.Eq(t, OK, CodeOf(nil))
	must.Eq(t, Internal, CodeOf(errors.New("plain")))
	err := errors.Wrap(Errorf(SheetStale, "version %d", 3), "submit")
	must.Eq(t, SheetStale, CodeOf(err))
	must.Eq(t, ClassRefused, CodeOf(err).Class())
	must.StrContains(t, err.Error(), "202 sheet_stale: version 3")
}

func TestIndexPanicsOnDuplicates(t *testing.T) {
	for _, entries := range [][]Entry{
		{{Code: 1, Name: "a"}, {Code: 1, Name: "b"}},
		{{Code: 1, Name: "a"}, {Code: 2, Name: "a"}},
	} {
		must.Panic(t, func() { indexByCode(entries) })
	}
}
