// Package vfs abstracts the file operations on a data folder. Dir returns a
// folder on disk; package faultfs implements one in memory with fault injection.
package vfs

import (
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"

	"heatherport/internal/result"
)

// File is an open file of a data folder.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	// Sync makes all written bytes durable.
	Sync() error
	// Size returns the length of the file in bytes.
	Size() (int64, error)
}

// FS is a data folder. Errors for missing files match fs.ErrNotExist.
type FS interface {
	// Lock acquires the folder's lock, which the returned Closer releases. It
	// fails with result.StorageLocked if the lock is already held.
	Lock(name string) (io.Closer, error)
	// Open opens an existing file for reading and writing.
	Open(name string) (File, error)
	// Create creates an empty file. An existing file is replaced.
	Create(name string) (File, error)
	// Rename atomically renames oldName to newName. An existing file newName
	// is replaced.
	Rename(oldName, newName string) error
	// Remove deletes a file.
	Remove(name string) error
	// SyncDir makes file creations, renames and removals durable.
	SyncDir() error
}

// Permissions of the data folder and its files.
const (
	folderMode = 0o700
	fileMode   = 0o600
)

// Dir returns the data folder at path and creates it if it does not exist.
func Dir(path string) (FS, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, result.Wrapf(err, result.StorageFailed, "create %s", path)
	}
	if err := syncDir(filepath.Dir(path)); err != nil {
		return nil, result.Wrapf(err, result.StorageFailed, "sync the parent of %s", path)
	}
	return dirFS{path: path}, nil
}

type dirFS struct{ path string }

func (d dirFS) join(name string) string { return filepath.Join(d.path, name) }

func (d dirFS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(d.join(name), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		f.Close()
		if err == unix.EWOULDBLOCK {
			return nil, result.Wrapf(err, result.StorageLocked, "%s is in use", d.path)
		}
		return nil, err
	}
	return f, nil
}

func (d dirFS) Open(name string) (File, error) {
	f, err := os.OpenFile(d.join(name), os.O_RDWR, 0)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

func (d dirFS) Create(name string) (File, error) {
	f, err := os.OpenFile(d.join(name), os.O_RDWR|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

func (d dirFS) Rename(oldName, newName string) error {
	return os.Rename(d.join(oldName), d.join(newName))
}

func (d dirFS) Remove(name string) error { return os.Remove(d.join(name)) }

func (d dirFS) SyncDir() error { return syncDir(d.path) }

func syncDir(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

type osFile struct{ *os.File }

// Sync flushes the data and the metadata needed to read it.
func (f osFile) Sync() error {
	for {
		err := unix.Fdatasync(int(f.Fd()))
		if err != unix.EINTR {
			return err
		}
	}
}

func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}
