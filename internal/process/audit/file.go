package audit

import (
	"bytes"
	"encoding/json"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"

	"github.com/cockroachdb/errors"

	"heatherport/internal/result"
)

const (
	fileMode   = 0o600
	folderMode = 0o700
)

// file is the current file and its rotated predecessors, which have the suffixes
// .1 (newest) to .N (oldest). It is not safe for concurrent use.
type file struct {
	path     string
	maxBytes int64
	keep     int
	f        *os.File // current file; nil after a failed rotation
	size     int64
}

// openFile opens the file at path or creates it.
func openFile(path string, maxBytes int64, keep int) (*file, error) {
	if err := os.MkdirAll(filepath.Dir(path), folderMode); err != nil {
		return nil, result.Wrapf(err, result.StorageFailed, "create folder of audit trail")
	}
	f := &file{path: path, maxBytes: maxBytes, keep: keep}
	if err := f.open(); err != nil {
		return nil, err
	}
	if err := f.terminateTornLine(); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *file) open() error {
	g, err := os.OpenFile(f.path, os.O_RDWR|os.O_CREATE|os.O_APPEND, fileMode)
	if err != nil {
		return result.Wrapf(err, result.StorageFailed, "open audit trail")
	}
	st, err := g.Stat()
	if err != nil {
		g.Close()
		return result.Wrapf(err, result.StorageFailed, "open audit trail")
	}
	f.f = g
	f.size = st.Size()
	return nil
}

// terminateTornLine adds a line feed to a last line that a crash truncated, so
// that the next record starts on a line of its own.
func (f *file) terminateTornLine() error {
	if f.size == 0 {
		return nil
	}
	var last [1]byte
	if _, err := f.f.ReadAt(last[:], f.size-1); err != nil {
		return result.Wrapf(err, result.StorageFailed, "read audit trail")
	}
	if last[0] == '\n' {
		return nil
	}
	return f.write([]byte{'\n'})
}

// append writes records, with one sync for all that go into the same file. It
// returns the number of records that may be lost.
func (f *file) append(records []Record) (lost int) {
	var batch bytes.Buffer
	var pending int
	flush := func() {
		if err := f.flush(batch.Bytes()); err != nil {
			lost += pending
		}
		batch.Reset()
		pending = 0
	}
	for _, r := range records {
		line, err := encode(r)
		if err != nil {
			lost++
			continue
		}
		if pending > 0 && f.size+int64(batch.Len()+len(line)) > f.maxBytes {
			flush()
		}
		batch.Write(line)
		pending++
	}
	if pending > 0 {
		flush()
	}
	return lost
}

// flush writes lines to the current file and syncs it. It rotates the files
// first if the lines do not fit.
func (f *file) flush(lines []byte) error {
	if f.f == nil {
		if err := f.open(); err != nil {
			return err
		}
	}
	if f.size > 0 && f.size+int64(len(lines)) > f.maxBytes {
		if err := f.rotate(); err != nil {
			return err
		}
	}
	if err := f.write(lines); err != nil {
		return err
	}
	if err := f.f.Sync(); err != nil {
		return result.Wrapf(err, result.StorageFailed, "sync audit trail")
	}
	return nil
}

func (f *file) write(b []byte) error {
	n, err := f.f.Write(b)
	f.size += int64(n)
	if err != nil {
		return result.Wrapf(err, result.StorageFailed, "write audit trail")
	}
	return nil
}

// rotate renames each file to the next suffix and opens a new one.
func (f *file) rotate() error {
	f.close()
	for i := f.keep; i > 0; i-- {
		err := os.Rename(rotatedName(f.path, i-1), rotatedName(f.path, i))
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return result.Wrapf(err, result.StorageFailed, "rotate audit trail")
		}
	}
	return f.open()
}

func (f *file) close() {
	if f.f != nil {
		// Records that were not counted as lost are already synced.
		_ = f.f.Close()
	}
	f.f = nil
}

// rotatedName returns the name of the file that has been rotated n times.
func rotatedName(path string, n int) string {
	if n == 0 {
		return path
	}
	return path + "." + strconv.Itoa(n)
}

func encode(r Record) ([]byte, error) {
	b, err := json.Marshal(r)
	if err != nil {
		return nil, result.Wrapf(err, result.Internal, "encode audit record")
	}
	return append(b, '\n'), nil
}
