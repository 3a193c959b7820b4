package audit

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"heatherport/internal/request/api"
	"heatherport/internal/result"
)

var start = time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)

// record returns record number n. Its time is n minutes after start.
func record(n int) Record {
	kind, who := api.AuditSheet, "amina"
	if n%2 == 1 {
		kind, who = api.AuditRoster, "permit-1"
	}
	return Record{
		Time:    start.Add(time.Duration(n) * time.Minute),
		VM:      "a-1",
		Who:     who,
		Kind:    kind,
		Subject: strconv.Itoa(n),
		Code:    result.SheetStale,
		Index:   uint64(n),
	}
}

func subjects(rs []Record) string {
	var out []string
	for _, r := range rs {
		out = append(out, r.Subject)
	}
	return strings.Join(out, " ")
}

func TestRecords(t *testing.T) {
	file, err := OpenFile(filepath.Join(t.TempDir(), "audit", "trail"), 1<<20, 2)
	must.NoError(t, err)
	defer file.Close()
	trails := map[string]Trail{"file": file, "ring": NewRing(10)}
	cases := []struct {
		name  string
		query Query
		want  string
	}{
		{"all", Query{}, "0 1 2 3 4 5"},
		{"limit", Query{Limit: 2}, "4 5"},
		{"kind", Query{Kind: api.AuditRoster}, "1 3 5"},
		{"kind and limit", Query{Kind: api.AuditRoster, Limit: 1}, "5"},
		{"who", Query{Who: "amina"}, "0 2 4"},
		{"subject", Query{Subject: "3"}, "3"},
		{"time", Query{Since: start.Add(2 * time.Minute), Until: start.Add(4 * time.Minute)}, "2 3"},
		{"none", Query{Subject: "9"}, ""},
	}
	for name, trail := range trails {
		for n := range 6 {
			trail.Append(record(n))
		}
		for _, c := range cases {
			t.Run(name+" "+c.name, func(t *testing.T) {
				rs, err := trail.Records(c.query)
				must.NoError(t, err)
				must.Eq(t, c.want, subjects(rs))
			})
		}
	}
	rs, err := file.Records(Query{Limit: 1})
	must.NoError(t, err)
	must.Eq(t, record(5), rs[0])
}

func TestRotation(t *testing.T) {
	line, err := encode(record(1)) // the longest record
	must.NoError(t, err)
	path := filepath.Join(t.TempDir(), "trail")
	trail, err := OpenFile(path, int64(2*len(line)), 2)
	must.NoError(t, err)
	for n := range 9 {
		trail.Append(record(n))
	}
	must.NoError(t, trail.Close())
	must.Eq(t, 0, trail.Failures())

	// Each file holds two records, and two rotated files are kept besides the
	// current one.
	names, err := filepath.Glob(path + "*")
	must.NoError(t, err)
	must.Eq(t, []string{path, path + ".1", path + ".2"}, names)
	for _, name := range names {
		st, err := os.Stat(name)
		must.NoError(t, err)
		must.LessEq(t, int64(2*len(line)), st.Size())
	}
	rs, err := Read(path, Query{})
	must.NoError(t, err)
	must.Eq(t, "4 5 6 7 8", subjects(rs))
}

func TestReopenAfterTornLine(t *testing.T) {
	path := filepath.Join(t.TempDir(), "trail")
	trail, err := OpenFile(path, 1<<20, 2)
	must.NoError(t, err)
	trail.Append(record(0))
	must.NoError(t, trail.Close())

	// A crash truncated the last line.
	f, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, fileMode)
	must.NoError(t, err)
	_, err = f.WriteString(`{"time":"2026-`)
	must.NoError(t, err)
	must.NoError(t, f.Close())

	trail, err = OpenFile(path, 1<<20, 2)
	must.NoError(t, err)
	trail.Append(record(1))
	rs, err := trail.Records(Query{})
	must.NoError(t, err)
	must.Eq(t, "0 1", subjects(rs))
	must.NoError(t, trail.Close())
}

func TestFailuresAreCounted(t *testing.T) {
	dir := t.TempDir()
	trail, err := OpenFile(filepath.Join(dir, "trail"), 1<<20, 2)
	must.NoError(t, err)
	must.NoError(t, trail.Close())
	trail.Append(record(0))
	must.Eq(t, 1, trail.Failures())

	// A non-empty folder with the name of the rotated file makes the rotation
	// fail until it is removed.
	path := filepath.Join(dir, "other")
	must.NoError(t, os.MkdirAll(filepath.Join(path+".1", "x"), folderMode))
	trail, err = OpenFile(path, 1, 1)
	must.NoError(t, err)
	defer trail.Close()
	trail.Append(record(0))
	trail.Flush()
	must.Eq(t, 0, trail.Failures())
	trail.Append(record(1))
	trail.Flush()
	must.Eq(t, 1, trail.Failures())
	must.NoError(t, os.RemoveAll(path+".1"))
	trail.Append(record(2))
	rs, err := trail.Records(Query{})
	must.NoError(t, err)
	must.Eq(t, "0 2", subjects(rs))
	must.Eq(t, 1, trail.Failures())

	_, err = OpenFile(filepath.Join(dir, "trail", "below"), 1<<20, 2)
	must.Eq(t, result.StorageFailed, result.CodeOf(err))
	_, err = Read(filepath.Join(dir, "none"), Query{})
	must.Eq(t, result.StorageFailed, result.CodeOf(err))
}

func TestRingKeepsNewestRecords(t *testing.T) {
	r := NewRing(3)
	for n := range 5 {
		r.Append(record(n))
	}
	rs, err := r.Records(Query{})
	must.NoError(t, err)
	must.Eq(t, "2 3 4", subjects(rs))
}

func TestConcurrentAppends(t *testing.T) {
	const writers, records = 4, 25
	path := filepath.Join(t.TempDir(), "trail")
	file, err := OpenFile(path, 1000, writers*records)
	must.NoError(t, err)
	for _, trail := range []Trail{file, NewRing(writers * records)} {
		var wg sync.WaitGroup
		for w := range writers {
			wg.Go(func() {
				for n := range records {
					trail.Append(record(w*records + n))
				}
			})
		}
		wg.Wait()
		rs, err := trail.Records(Query{})
		must.NoError(t, err)
		must.Len(t, writers*records, rs)
		must.Eq(t, 0, trail.Failures())
		must.NoError(t, trail.Close())
	}
}
