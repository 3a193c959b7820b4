package controller

import (
	"heatherport/internal/result"
	"heatherport/internal/version/vfs"
)

func readFile(folder vfs.FS, name string) ([]byte, error) {
	f, err := folder.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	size, err := f.Size()
	if err != nil {
		return nil, result.Wrapf(err, result.StorageFailed, "read %s", name)
	}
	data := make([]byte, size)
	if _, err := f.ReadAt(data, 0); err != nil {
		return nil, result.Wrapf(err, result.StorageFailed, "read %s", name)
	}
	return data, nil
}

// replaceFile replaces a file atomically and durably.
func replaceFile(folder vfs.FS, name string, data []byte) error {
	tmp := name + ".tmp"
	f, err := folder.Create(tmp)
	if err != nil {
		return result.Wrapf(err, result.StorageFailed, "create %s", tmp)
	}
	defer f.Close()
	if _, err := f.WriteAt(data, 0); err != nil {
		return result.Wrapf(err, result.StorageFailed, "write %s", tmp)
	}
	if err := f.Sync(); err != nil {
		return result.Wrapf(err, result.StorageFailed, "sync %s", tmp)
	}
	if err := folder.Rename(tmp, name); err != nil {
		return result.Wrapf(err, result.StorageFailed, "rename %s", tmp)
	}
	if err := folder.SyncDir(); err != nil {
		return result.Wrapf(err, result.StorageFailed, "sync data folder")
	}
	return nil
}
