package logstore

import (
	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"heatherport/internal/result"
)

// storageError wraps an I/O error with the matching result code. An error that
// already has a code is returned unchanged.
func storageError(err error, format string, args ...any) error {
	var coded *result.Error
	if errors.As(err, &coded) {
		return err
	}
	code := result.StorageFailed
	if errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT) {
		code = result.StorageFull
	}
	return result.Wrapf(err, code, format, args...)
}

func corruptionError(file string, offset int64, what string) error {
	return result.Errorf(result.StorageCorrupt, "%s at byte %d: %s", file, offset, what)
}
