package logstore

import (
	"io"
	"io/fs"

	"github.com/cockroachdb/errors"

	"heatherport/internal/result"
	"heatherport/internal/version/raft"
	"heatherport/internal/version/vfs"
)

// Names of the files in a data folder.
const (
	lockName     = "lock"
	logName      = "log"
	snapshotName = "snapshot"
	tmpSuffix    = ".tmp"
)

// Recovered is what Open found.
type Recovered struct {
	State raft.State
	// IsNew reports that the folder was empty.
	IsNew bool
	// CutBytes is the length of the torn tail that was cut.
	TruncatedBytes int64
}

// Store is an open data folder. It is not safe for concurrent use.
type Store struct {
	fs       vfs.FS
	lock     io.Closer
	log      logFile
	contents contents
	snapshot raft.Snapshot
	// err is the first failure; no write is attempted after it.
	err error
}

// Open locks the data folder and recovers its state.
func Open(folder vfs.FS) (*Store, *Recovered, error) {
	lock, err := folder.Lock(lockName)
	if err != nil {
		return nil, nil, storageError(err, "lock the data folder")
	}
	s := &Store{fs: folder, lock: lock}
	rec, err := s.recover()
	if err != nil {
		s.release()
		return nil, nil, err
	}
	return s, rec, nil
}

func (s *Store) recover() (*Recovered, error) {
	if err := s.removeLeftovers(); err != nil {
		return nil, err
	}
	hasSnapshot, err := s.readSnapshot()
	if err != nil {
		return nil, err
	}
	data, err := s.readFile(logName)
	switch {
	case err == nil:
		return s.recoverLog(data)
	case !errors.Is(err, fs.ErrNotExist):
		return nil, storageError(err, "read %s", logName)
	case hasSnapshot:
		return nil, corrupt(logName, 0, "the file is missing beside a snapshot")
	}
	if err := s.rewriteLog(); err != nil {
		return nil, err
	}
	return &Recovered{IsNew: true}, nil
}

func (s *Store) removeLeftovers() error {
	for _, name := range []string{logName, snapshotName} {
		err := s.fs.Remove(name + tmpSuffix)
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return storageError(err, "remove %s", name+tmpSuffix)
		}
	}
	// A rename of an earlier process may be visible and yet not durable.
	if err := s.fs.SyncDir(); err != nil {
		return storageError(err, "sync the data folder")
	}
	return nil
}

func (s *Store) readSnapshot() (found bool, err error) {
	data, err := s.readFile(snapshotName)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, storageError(err, "read %s", snapshotName)
	}
	s.snapshot, err = decodeSnapshot(data)
	return true, err
}

func (s *Store) readFile(name string) ([]byte, error) {
	f, err := s.fs.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return readAll(f)
}

func (s *Store) recoverLog(data []byte) (*Recovered, error) {
	p, err := parseLog(data)
	if err != nil {
		return nil, err
	}
	if p.base.Index > s.snapshot.Index {
		return nil, corrupt(snapshotName, 0, "the snapshot is older than the start of the log")
	}
	isBehind := p.base.Index < s.snapshot.Index
	s.contents = p.contents
	s.contents.advance(s.snapshot.Index, s.snapshot.Term)
	if isBehind || p.needsRewrite() {
		err = s.rewriteLog()
	} else {
		err = s.reopenLog(p)
	}
	if err != nil {
		return nil, err
	}
	return &Recovered{State: s.state(), TruncatedBytes: p.size - p.end}, nil
}

func (s *Store) state() raft.State {
	n := len(s.contents.entries)
	return raft.State{
		HardState: s.contents.hard,
		Snapshot:  s.snapshot,
		Entries:   s.contents.entries[:n:n],
	}
}

func (s *Store) reopenLog(p *parsed) error {
	f, err := s.fs.Open(logName)
	if err != nil {
		return storageError(err, "open %s", logName)
	}
	s.log = logFile{file: f, end: p.end, slot: p.slot}
	return nil
}

// rewriteLog replaces the log file by one that holds s.contents.
func (s *Store) rewriteLog() error {
	buf, err := s.contents.encode()
	if err != nil {
		return err
	}
	f, err := s.replaceFile(logName, buf)
	if err != nil {
		return err
	}
	if s.log.file != nil {
		s.log.file.Close()
	}
	first, _ := newestSlot(buf)
	s.log = logFile{file: f, end: int64(len(buf)), slot: first}
	return nil
}

// replaceFile durably replaces a file and returns the open new one.
func (s *Store) replaceFile(name string, data []byte) (f vfs.File, err error) {
	tmp := name + tmpSuffix
	f, err = s.fs.Create(tmp)
	if err != nil {
		return nil, storageError(err, "create %s", tmp)
	}
	if err := s.fillAndRename(f, tmp, name, data); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (s *Store) fillAndRename(f vfs.File, tmp, name string, data []byte) error {
	if _, err := f.WriteAt(data, 0); err != nil {
		return storageError(err, "write %s", tmp)
	}
	if err := f.Sync(); err != nil {
		return storageError(err, "sync %s", tmp)
	}
	if err := s.fs.Rename(tmp, name); err != nil {
		return storageError(err, "rename %s", tmp)
	}
	if err := s.fs.SyncDir(); err != nil {
		return storageError(err, "sync the data folder")
	}
	return nil
}

// Save appends a hard state, if not nil, and entries. Entries replace stored
// ones of the same and higher indexes. They are durable when Save returns nil.
// A call with at most chunkSize of data takes one sync.
func (s *Store) Save(hs *raft.HardState, entries []raft.Entry) error {
	if s.err != nil {
		return s.err
	}
	if hs == nil && len(entries) == 0 {
		return nil
	}
	if !s.contents.put(entries) {
		return result.Errorf(result.Internal, "entries from %d do not continue the log at %d",
			entries[0].Index, s.contents.lastIndex())
	}
	if hs != nil {
		s.contents.hard = *hs
	}
	for _, chunk := range chunks(entries) {
		if err := s.log.append(&record{HardState: hs, Entries: chunk}); err != nil {
			return s.fail(err)
		}
		hs = nil
	}
	return nil
}

// SaveSnapshot durably replaces the snapshot and drops the entries that it
// covers.
func (s *Store) SaveSnapshot(snap raft.Snapshot) error {
	if s.err != nil {
		return s.err
	}
	if snap.Index <= s.snapshot.Index {
		return result.Errorf(result.Internal, "snapshot at %d after one at %d", snap.Index, s.snapshot.Index)
	}
	buf, err := encodeSnapshot(&snap)
	if err != nil {
		return err
	}
	f, err := s.replaceFile(snapshotName, buf)
	if err != nil {
		return s.fail(err)
	}
	f.Close()
	s.snapshot = snap
	s.contents.advance(snap.Index, snap.Term)
	if err := s.rewriteLog(); err != nil {
		return s.fail(err)
	}
	return nil
}

func (s *Store) fail(err error) error {
	s.err = err
	return err
}

// Err returns the failure that stopped the store, if any.
func (s *Store) Err() error { return s.err }

// Close syncs the synced length, closes the files and releases the lock.
func (s *Store) Close() error {
	err := s.err
	if err == nil {
		if syncErr := s.log.file.Sync(); syncErr != nil {
			err = storageError(syncErr, "sync %s", logName)
		}
	}
	s.err = result.Errorf(result.ShuttingDown, "the store is closed")
	s.release()
	return err
}

func (s *Store) release() {
	if s.log.file != nil {
		s.log.file.Close()
	}
	s.lock.Close()
}
