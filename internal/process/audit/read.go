package audit

import (
	"bufio"
	"encoding/json"
	"io/fs"
	"os"

	"github.com/cockroachdb/errors"

	"heatherport/internal/result"
)

const maxLineBytes = 1 << 20

// Read returns the newest records that match q from the trail at path and its
// rotated files, oldest first. Lines that are not records are skipped; a crash
// may have truncated a line.
func Read(path string, q Query) ([]Record, error) {
	oldest, err := countRotated(path)
	if err != nil {
		return nil, err
	}
	c := collector{query: q}
	for n := oldest; n >= 0; n-- {
		err := c.readFile(rotatedName(path, n))
		if n > 0 && errors.Is(err, fs.ErrNotExist) {
			continue // rotated concurrently by another process
		}
		if err != nil {
			return nil, err
		}
	}
	return c.records, nil
}

// countRotated returns the number of rotated files, which is the highest suffix
// in use.
func countRotated(path string) (int, error) {
	for n := 0; ; n++ {
		_, err := os.Stat(rotatedName(path, n+1))
		if errors.Is(err, fs.ErrNotExist) {
			return n, nil
		}
		if err != nil {
			return 0, result.Wrapf(err, result.StorageFailed, "read audit trail")
		}
	}
}

// collector collects the newest records that match a query.
type collector struct {
	query   Query
	records []Record
}

func (c *collector) add(r Record) {
	if !c.query.Match(&r) {
		return
	}
	c.records = append(c.records, r)
	if c.query.Limit > 0 && len(c.records) > c.query.Limit {
		c.records = c.records[1:]
	}
}

func (c *collector) readFile(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return result.Wrapf(err, result.StorageFailed, "read audit trail")
	}
	defer f.Close()
	sc := bufio.NewScanner(f)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		var r Record
		if json.Unmarshal(sc.Bytes(), &r) == nil {
			c.add(r)
		}
	}
	if err := sc.Err(); err != nil {
		return result.Wrapf(err, result.StorageFailed, "read %s", path)
	}
	return nil
}
