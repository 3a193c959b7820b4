package controller

import (
	"io/fs"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"

	"heatherport/internal/result"
	"heatherport/internal/version/vfs"
)

const (
	// upstreamsFile keeps the directory across a restart of all controllers.
	// Without it, most upstreams would be unknown until their next announcement.
	upstreamsFile = "upstreams"
	// balancersFile keeps the addresses of the balancers, which are invited after
	// a restart.
	balancersFile = "balancers"
	// saveInterval limits the writes to the disk, which the replicated log
	// shares.
	saveInterval = time.Second
)

// hintStore saves soft state to disk on its own goroutine, because the disk may
// stall. The state is only a hint: nothing depends on its being up to date.
type hintStore[T any] struct {
	openFolder    func(path string) (vfs.FS, error)
	dir, file     string
	refresh       time.Duration // time after which unchanged entries are written again; zero for never
	log           hclog.Logger
	queue         chan []T
	savedRevision uint64        // revision that was last queued
	savedAt       time.Duration // time at which it was queued
}

// savedEntries is the content of a file.
type savedEntries[T any] struct {
	AtMillis int64 `cbor:"1,keyasint"` // Unix milliseconds
	Entries  []T   `cbor:"2,keyasint"`
}

func newHintStore[T any](openFolder func(path string) (vfs.FS, error), dir, file string, refresh time.Duration, log hclog.Logger) *hintStore[T] {
	return &hintStore[T]{openFolder: openFolder, dir: dir, file: file, refresh: refresh, log: log, queue: make(chan []T, 1)}
}

// load returns the entries that an earlier process saved, and the time since.
func (s *hintStore[T]) load() (entries []T, age time.Duration) {
	entries, age, err := s.read()
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		s.log.Warn("failed to read saved state; starting without it", "file", s.file, "error", err)
	}
	return entries, age
}

func (s *hintStore[T]) read() (entries []T, age time.Duration, err error) {
	folder, err := s.openFolder(s.dir)
	if err != nil {
		return nil, 0, err
	}
	data, err := readFile(folder, s.file)
	if err != nil {
		return nil, 0, err
	}
	var saved savedEntries[cbor.RawMessage]
	if err := cbor.Unmarshal(data, &saved); err != nil {
		return nil, 0, result.Wrapf(err, result.StorageCorrupt, "decode %s", s.file)
	}
	for _, item := range saved.Entries {
		var entry T
		if err := cbor.Unmarshal(item, &entry); err != nil {
			s.log.Warn("saved entry skipped", "file", s.file, "error", err)
			continue
		}
		entries = append(entries, entry)
	}
	return entries, max(time.Since(time.UnixMilli(saved.AtMillis)), 0), nil
}

// save queues the entries of a revision for writing if it has changed, or if those on
// disk have not been written for long. While a write is in progress and another one is
// queued, it does nothing.
func (s *hintStore[T]) save(now time.Duration, revision uint64, entries func() []T) {
	isAging := s.refresh > 0 && now-s.savedAt > s.refresh
	if revision == s.savedRevision && !isAging || now-s.savedAt < saveInterval || len(s.queue) == cap(s.queue) {
		return
	}
	s.queue <- entries() // the control goroutine is the only sender
	s.savedRevision = revision
	s.savedAt = now
}

// saveLast queues the entries for writing before the process stops.
func (s *hintStore[T]) saveLast(entries []T) {
	select {
	case <-s.queue: // superseded
	default:
	}
	s.queue <- entries
}

// run writes the queued entries until done is closed, and those that are queued then.
func (s *hintStore[T]) run(done <-chan struct{}) {
	for {
		select {
		case <-done:
			s.writeQueued()
			return
		case entries := <-s.queue:
			s.tryWrite(entries)
		}
	}
}

func (s *hintStore[T]) writeQueued() {
	select {
	case entries := <-s.queue:
		s.tryWrite(entries)
	default:
	}
}

func (s *hintStore[T]) tryWrite(entries []T) {
	if err := s.write(entries); err != nil {
		s.log.Warn("failed to save state", "file", s.file, "error", err)
	}
}

func (s *hintStore[T]) write(entries []T) error {
	folder, err := s.openFolder(s.dir)
	if err != nil {
		return err
	}
	data, err := cbor.Marshal(savedEntries[T]{AtMillis: time.Now().UnixMilli(), Entries: entries})
	if err != nil {
		return result.Wrapf(err, result.Internal, "encode %s", s.file)
	}
	return replaceFile(folder, s.file, data)
}
