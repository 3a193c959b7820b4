package controller

import (
	"io/fs"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"

	"heatherport/internal/result"
	"heatherport/internal/version/directory"
	"heatherport/internal/version/vfs"
)

const (
	// upstreamsFile keeps the directory across a restart of all controllers.
	// Without it, most upstreams would be unknown until their next announcement.
	// It is only a hint: nothing depends on its being up to date.
	upstreamsFile = "upstreams"
	// saveInterval limits the writes to the disk, which the replicated log
	// shares.
	saveInterval = time.Second
)

// upstreamStore saves the directory to disk on its own goroutine, because the
// disk may stall.
type upstreamStore struct {
	dir           string
	log           hclog.Logger
	queue         chan []directory.Record
	savedRevision uint64        // revision that was last queued
	savedAt       time.Duration // time at which it was queued
}

func newUpstreamStore(dir string, log hclog.Logger) *upstreamStore {
	return &upstreamStore{dir: dir, log: log, queue: make(chan []directory.Record, 1)}
}

// load returns the records that an earlier process saved.
func (s *upstreamStore) load() []directory.Record {
	records, err := s.read()
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		s.log.Warn("failed to read saved upstreams; waiting for announcements", "error", err)
	}
	return records
}

func (s *upstreamStore) read() ([]directory.Record, error) {
	folder, err := vfs.Dir(s.dir)
	if err != nil {
		return nil, err
	}
	data, err := readFile(folder, upstreamsFile)
	if err != nil {
		return nil, err
	}
	var records []directory.Record
	if err := cbor.Unmarshal(data, &records); err != nil {
		return nil, result.Wrapf(err, result.StorageCorrupt, "decode %s", upstreamsFile)
	}
	return records, nil
}

// save queues the directory for writing if it has changed. While a write is in
// progress and another one is queued, it does nothing.
func (s *upstreamStore) save(now time.Duration, d *directory.Directory) {
	if d.Revision() == s.savedRevision || now-s.savedAt < saveInterval {
		return
	}
	select {
	case s.queue <- d.Since(0):
		s.savedRevision = d.Revision()
		s.savedAt = now
	default:
	}
}

// run writes the queued records until done is closed.
func (s *upstreamStore) run(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case records := <-s.queue:
			if err := s.write(records); err != nil {
				s.log.Warn("failed to save upstreams", "error", err)
			}
		}
	}
}

func (s *upstreamStore) write(records []directory.Record) error {
	folder, err := vfs.Dir(s.dir)
	if err != nil {
		return err
	}
	data, err := cbor.Marshal(records)
	if err != nil {
		return result.Wrapf(err, result.Internal, "encode %s", upstreamsFile)
	}
	return replaceFile(folder, upstreamsFile, data)
}
