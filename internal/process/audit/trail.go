package audit

import "sync"

// maxQueuedRecords bounds the records that wait for the disk. Records beyond it
// are discarded and counted as failures.
const maxQueuedRecords = 8192

// FileTrail is a Trail that stores records in files. A single goroutine writes
// them, so that Append does not wait for the disk.
type FileTrail struct {
	path      string
	queue     chan Record
	exclusive chan func() // functions to run between two writes
	stopped   chan struct{}

	mu       sync.Mutex
	closed   bool
	failures uint64
}

// OpenFile opens the trail at path or creates it. The file is rotated before it
// exceeds maxBytes, and keep is the number of rotated files to retain.
func OpenFile(path string, maxBytes int64, keep int) (*FileTrail, error) {
	f, err := openFile(path, maxBytes, keep)
	if err != nil {
		return nil, err
	}
	t := &FileTrail{
		path:      path,
		queue:     make(chan Record, maxQueuedRecords),
		exclusive: make(chan func()),
		stopped:   make(chan struct{}),
	}
	go t.run(f)
	return t, nil
}

// Append implements Trail.
func (t *FileTrail) Append(r Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		t.failures++
		return
	}
	select {
	case t.queue <- r:
	default:
		t.failures++
	}
}

// run writes records until the queue is closed.
func (t *FileTrail) run(f *file) {
	defer close(t.stopped)
	defer f.close()
	for {
		select {
		case r, ok := <-t.queue:
			if !ok {
				return
			}
			t.write(f, append([]Record{r}, t.takeQueued()...))
		case call := <-t.exclusive:
			t.write(f, t.takeQueued())
			call()
		}
	}
}

// takeQueued removes the records that are now in the queue and returns them.
func (t *FileTrail) takeQueued() []Record {
	var out []Record
	for range len(t.queue) {
		out = append(out, <-t.queue)
	}
	return out
}

func (t *FileTrail) write(f *file, records []Record) {
	lost := f.append(records)
	if lost == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures += uint64(lost)
}

// Flush blocks until all records appended before are on disk or counted as
// failures.
func (t *FileTrail) Flush() { t.runExclusive(func() {}) }

// Records implements Trail. The files are not rotated while they are read.
func (t *FileTrail) Records(q Query) (records []Record, err error) {
	t.runExclusive(func() { records, err = Read(t.path, q) })
	return records, err
}

// runExclusive runs f after all records appended before have been written, and
// while no other record is being written.
func (t *FileTrail) runExclusive(f func()) {
	done := make(chan struct{})
	select {
	case t.exclusive <- func() { defer close(done); f() }:
		<-done
	case <-t.stopped:
		f()
	}
}

// Failures implements Trail.
func (t *FileTrail) Failures() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failures
}

// Close writes the queued records and closes the file. Records appended later
// are counted as failures.
func (t *FileTrail) Close() error {
	t.mu.Lock()
	if !t.closed {
		t.closed = true
		close(t.queue)
	}
	t.mu.Unlock()
	<-t.stopped
	return nil
}
