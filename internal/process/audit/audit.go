// Package audit keeps the trail of changes: JSON lines in files that rotate by
// size, or a bounded ring in memory on a VM without a disk. A trail never stops
// the VM: failed writes are counted.
package audit

import (
	"encoding/json"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"

	"heatherport/internal/request/api"
	"heatherport/internal/result"
)

// Record is one change.
type Record = api.AuditRecord

// Query selects records.
type Query = api.AuditQuery

// Trail is safe for concurrent use.
type Trail interface {
	Append(r Record)
	// Records returns the newest records that match q, oldest first.
	Records(q Query) ([]Record, error)
	// Failures returns the number of records that could not be kept.
	Failures() uint64
	Close() error
}

const (
	fileMode   = 0o600
	folderMode = 0o700
)

// FileTrail appends to a file. Rotated files have the suffixes .1 (newest) to
// .N (oldest).
type FileTrail struct {
	path     string
	maxBytes int64
	keep     int

	mu       sync.Mutex
	file     *os.File // nil after a failed rotation
	size     int64
	failures uint64
}

// OpenFile opens or creates the trail at path.
func OpenFile(path string, maxBytes int64, keep int) (*FileTrail, error) {
	if err := os.MkdirAll(filepath.Dir(path), folderMode); err != nil {
		return nil, result.Wrapf(err, result.StorageFailed, "create folder of audit trail")
	}
	t := &FileTrail{path: path, maxBytes: maxBytes, keep: keep}
	if err := t.open(); err != nil {
		return nil, err
	}
	if err := t.endTornLine(); err != nil {
		t.file.Close()
		return nil, err
	}
	return t, nil
}

func (t *FileTrail) open() error {
	f, err := os.OpenFile(t.path, os.O_RDWR|os.O_CREATE|os.O_APPEND, fileMode)
	if err != nil {
		return result.Wrapf(err, result.StorageFailed, "open audit trail")
	}
	st, err := f.Stat()
	if err != nil {
		f.Close()
		return result.Wrapf(err, result.StorageFailed, "open audit trail")
	}
	t.file = f
	t.size = st.Size()
	return nil
}

// endTornLine ends a last line that a crash cut, so that it cannot run into
// the next record.
func (t *FileTrail) endTornLine() error {
	if t.size == 0 {
		return nil
	}
	var last [1]byte
	if _, err := t.file.ReadAt(last[:], t.size-1); err != nil {
		return result.Wrapf(err, result.StorageFailed, "read audit trail")
	}
	if last[0] == '\n' {
		return nil
	}
	return t.write([]byte{'\n'})
}

// Append adds r and syncs the file.
func (t *FileTrail) Append(r Record) {
	line, err := encode(r)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err == nil {
		err = t.append(line)
	}
	if err != nil {
		t.failures++
	}
}

func (t *FileTrail) append(line []byte) error {
	if t.file == nil {
		if err := t.open(); err != nil {
			return err
		}
	}
	if t.size > 0 && t.size+int64(len(line)) > t.maxBytes {
		if err := t.rotate(); err != nil {
			return err
		}
	}
	if err := t.write(line); err != nil {
		return err
	}
	if err := t.file.Sync(); err != nil {
		return result.Wrapf(err, result.StorageFailed, "sync audit trail")
	}
	return nil
}

func (t *FileTrail) write(line []byte) error {
	n, err := t.file.Write(line)
	t.size += int64(n)
	if err != nil {
		return result.Wrapf(err, result.StorageFailed, "write audit trail")
	}
	return nil
}

// rotate moves each file to the next suffix and starts a new one.
func (t *FileTrail) rotate() error {
	t.file.Close()
	t.file = nil
	for i := t.keep; i > 0; i-- {
		err := os.Rename(suffixed(t.path, i-1), suffixed(t.path, i))
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return result.Wrapf(err, result.StorageFailed, "rotate audit trail")
		}
	}
	return t.open()
}

// suffixed returns the name of the file that has been rotated n times.
func suffixed(path string, n int) string {
	if n == 0 {
		return path
	}
	return path + "." + strconv.Itoa(n)
}

// Records reads the files.
func (t *FileTrail) Records(q Query) ([]Record, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Read(t.path, q)
}

// Failures implements Trail.
func (t *FileTrail) Failures() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failures
}

// Close closes the file. Later records are counted as failures.
func (t *FileTrail) Close() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.file == nil {
		return nil
	}
	return t.file.Close()
}

func encode(r Record) ([]byte, error) {
	b, err := json.Marshal(r)
	if err != nil {
		return nil, result.Wrapf(err, result.Internal, "encode audit record")
	}
	return append(b, '\n'), nil
}
