package audit

import "sync"

// queueRecords is the number of records that may wait for the disk; more are
// counted as failures.
const queueRecords = 8192

// FileTrail keeps records in files. One goroutine writes them, so that Append
// does not wait for the disk.
type FileTrail struct {
	path    string
	queue   chan Record
	visits  chan func() // run between two writes
	stopped chan struct{}

	mu       sync.Mutex
	closed   bool
	failures uint64
}

// OpenFile opens or creates the trail at path.
func OpenFile(path string, maxBytes int64, keep int) (*FileTrail, error) {
	f, err := openFile(path, maxBytes, keep)
	if err != nil {
		return nil, err
	}
	t := &FileTrail{
		path:    path,
		queue:   make(chan Record, queueRecords),
		visits:  make(chan func()),
		stopped: make(chan struct{}),
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
			t.write(f, append([]Record{r}, t.waiting()...))
		case visit := <-t.visits:
			t.write(f, t.waiting())
			visit()
		}
	}
}

// waiting takes the records out of the queue that are in it now.
func (t *FileTrail) waiting() []Record {
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

// Flush returns when all records appended before are on disk or counted as
// failures.
func (t *FileTrail) Flush() { t.visit(func() {}) }

// Records implements Trail. The files are not rotated while they are read.
func (t *FileTrail) Records(q Query) (records []Record, err error) {
	t.visit(func() { records, err = Read(t.path, q) })
	return records, err
}

// visit runs f when all records appended before are written, and while none is
// being written.
func (t *FileTrail) visit(f func()) {
	done := make(chan struct{})
	select {
	case t.visits <- func() { defer close(done); f() }:
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

// Close writes what is waiting and closes the file. Later records are counted
// as failures.
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
