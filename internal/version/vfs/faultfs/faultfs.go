// Package faultfs implements a data folder in memory for tests, with injected
// I/O failures and simulated power losses that lose unsynced state.
package faultfs

import (
	"io"
	"io/fs"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"heatherport/internal/result"
	"heatherport/internal/version/vfs"
)

// sectorSize is the number of bytes that a disk writes atomically.
const sectorSize = 512

// ErrPowerLoss is returned by all operations after the simulated power loss.
var ErrPowerLoss = errors.New("power loss")

// pendingWrite is an unsynced write.
type pendingWrite struct {
	offset int64
	data   []byte
}

type inode struct {
	data    []byte // visible to processes
	durable []byte // on the disk
	pending []pendingWrite
}

// FS is a data folder in memory.
type FS struct {
	names   map[string]*inode
	durable map[string]*inode
	locked  bool
	// Ops counts the operations that modify state.
	Ops int
	// FailAt is the number, counted by Ops, of the operation that fails with
	// FailWith; 0 for none. After ErrPowerLoss all later operations fail too.
	FailAt   int
	FailWith error
	// PartialWrites makes a failing write store the first half of its data.
	PartialWrites bool
	// Full makes all writes and new files fail, as on a disk without space.
	Full bool
}

// New returns an empty folder.
func New() *FS {
	return &FS{names: make(map[string]*inode), durable: make(map[string]*inode)}
}

// injectFault counts an operation that modifies state and returns the failure
// injected for it, if any.
func (m *FS) injectFault() error {
	m.Ops++
	if m.FailAt > 0 && (m.Ops == m.FailAt || m.Ops > m.FailAt && m.FailWith == ErrPowerLoss) {
		return m.FailWith
	}
	return nil
}

type memLock struct{ m *FS }

func (l memLock) Close() error {
	l.m.locked = false
	return nil
}

// Lock implements vfs.FS.
func (m *FS) Lock(string) (io.Closer, error) {
	if m.locked {
		return nil, result.Errorf(result.StorageLocked, "locked")
	}
	m.locked = true
	return memLock{m}, nil
}

// Open implements vfs.FS.
func (m *FS) Open(name string) (vfs.File, error) {
	n, ok := m.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return &memFile{m, n}, nil
}

// Create implements vfs.FS.
func (m *FS) Create(name string) (vfs.File, error) {
	if m.Full {
		return nil, unix.ENOSPC
	}
	if err := m.injectFault(); err != nil {
		return nil, err
	}
	n := &inode{}
	m.names[name] = n
	return &memFile{m, n}, nil
}

// Rename implements vfs.FS.
func (m *FS) Rename(oldName, newName string) error {
	if err := m.injectFault(); err != nil {
		return err
	}
	m.names[newName] = m.names[oldName]
	delete(m.names, oldName)
	return nil
}

// Remove implements vfs.FS.
func (m *FS) Remove(name string) error {
	if _, ok := m.names[name]; !ok {
		return fs.ErrNotExist
	}
	if err := m.injectFault(); err != nil {
		return err
	}
	delete(m.names, name)
	return nil
}

// SyncDir implements vfs.FS.
func (m *FS) SyncDir() error {
	if err := m.injectFault(); err != nil {
		return err
	}
	m.durable = maps.Clone(m.names)
	return nil
}

type memFile struct {
	m *FS
	n *inode
}

func (f *memFile) ReadAt(p []byte, off int64) (int, error) {
	if off >= int64(len(f.n.data)) {
		return 0, io.EOF
	}
	n := copy(p, f.n.data[off:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

func (f *memFile) WriteAt(p []byte, off int64) (int, error) {
	err := f.m.injectFault()
	if f.m.Full {
		err = unix.ENOSPC
	}
	if err != nil && !f.m.PartialWrites {
		return 0, err
	}
	if err != nil {
		p = p[:len(p)/2]
	}
	f.n.data = writeAt(f.n.data, p, off)
	f.n.pending = append(f.n.pending, pendingWrite{off, slices.Clone(p)})
	return len(p), err
}

func writeAt(data, p []byte, off int64) []byte {
	if need := int(off) + len(p); need > len(data) {
		data = append(data, make([]byte, need-len(data))...)
	}
	copy(data[off:], p)
	return data
}

// Sync makes pending writes durable. An I/O failure discards them, so that the
// next Sync succeeds without having written the pages, as on operating systems.
func (f *memFile) Sync() error {
	err := f.m.injectFault()
	if err == nil {
		for _, w := range f.n.pending {
			f.n.durable = writeAt(f.n.durable, w.data, w.offset)
		}
	}
	if err != ErrPowerLoss {
		f.n.pending = nil
	}
	return err
}

func (f *memFile) Size() (int64, error) { return int64(len(f.n.data)), nil }

func (f *memFile) Close() error { return nil }

// PowerLoss determines which unsynced state survives a power loss.
type PowerLoss struct {
	Name       string
	keepSector func(i int) bool // whether the i-th unsynced sector survives
	keepNames  bool             // whether unsynced renames survive
}

// PowerLosses are the kinds of power loss. In the first one no unsynced state
// survives.
var PowerLosses = []PowerLoss{
	{"none survives", func(int) bool { return false }, false},
	{"renames survive", func(int) bool { return false }, true},
	{"all survives", func(int) bool { return true }, true},
	{"data survives", func(int) bool { return true }, false},
	{"first sector survives", func(i int) bool { return i == 0 }, true},
	{"first sector is lost", func(i int) bool { return i > 0 }, true},
	{"every other sector survives", func(i int) bool { return i%2 == 0 }, true},
}

// AfterPowerLoss returns the folder as it is after a power loss.
func (m *FS) AfterPowerLoss(l PowerLoss) *FS {
	names := m.durable
	if l.keepNames {
		names = m.names
	}
	out := New()
	for name, n := range names {
		data := slices.Clone(n.durable)
		sector := 0
		for _, w := range n.pending {
			for off := 0; off < len(w.data); {
				end := min(len(w.data), off+sectorSize-int(w.offset+int64(off))%sectorSize)
				if l.keepSector(sector) {
					data = writeAt(data, w.data[off:end], w.offset+int64(off))
				}
				sector++
				off = end
			}
		}
		out.names[name] = &inode{data: data, durable: slices.Clone(data)}
	}
	out.durable = maps.Clone(out.names)
	return out
}

// AfterProcessCrash returns the folder as the next process sees it.
func (m *FS) AfterProcessCrash() *FS {
	out := *m
	out.locked = false
	out.FailAt = 0
	out.names = maps.Clone(m.names)
	return &out
}

// Clone returns a copy in which all state is durable.
func (m *FS) Clone() *FS {
	out := New()
	for name, n := range m.names {
		out.names[name] = &inode{data: slices.Clone(n.data), durable: slices.Clone(n.data)}
	}
	out.durable = maps.Clone(out.names)
	return out
}

// Data returns the contents of a file.
func (m *FS) Data(name string) []byte { return slices.Clone(m.names[name].data) }

// SetData durably replaces the contents of a file.
func (m *FS) SetData(name string, data []byte) {
	m.names[name] = &inode{data: slices.Clone(data), durable: slices.Clone(data)}
	m.durable[name] = m.names[name]
}
