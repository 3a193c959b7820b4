package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the lines that wait for a slow reader of the log.
	maxQueuedLines = 1024
	// linesPerSecond bounds the volume of the log to about 20 KB per second.
	linesPerSecond = 100
	// burstLines is the number of lines that can be written at once after an
	// idle time.
	burstLines = 400
)

// AsyncWriter is a writer that never blocks. It omits and counts lines that
// exceed a rate limit and lines for which the queue has no room because the log
// is read slowly.
type AsyncWriter struct {
	lines   chan []byte
	done    chan struct{}
	omitted atomic.Uint64

	mu     sync.Mutex // guards the following fields
	bucket bucket
	closed bool
}

// NewAsyncWriter returns a writer to w. Close flushes it.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}), bucket: newBucket(linesPerSecond, burstLines)}
	go a.run(w)
	return a
}

// Omitted returns the number of omitted lines.
func (a *AsyncWriter) Omitted() uint64 { return a.omitted.Load() }

// Write implements io.Writer.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || !a.bucket.take(time.Now()) {
		a.omitted.Add(1)
		return len(line), nil
	}
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.omitted.Add(1)
	}
	return len(line), nil
}

func (a *AsyncWriter) run(w io.Writer) {
	defer close(a.done)
	reported := uint64(0)
	for line := range a.lines {
		// A failure to write the log cannot be logged.
		_, _ = w.Write(line)
		if n := a.omitted.Load(); n != reported && len(a.lines) == 0 {
			_, _ = fmt.Fprintf(w, "{\"@level\":\"warn\",\"@message\":\"log lines left out\",\"lines\":%d,\"total\":%d}\n", n-reported, n)
			reported = n
		}
	}
}

// Close writes the queued lines and stops the writer.
func (a *AsyncWriter) Close() error {
	a.mu.Lock()
	if !a.closed {
		a.closed = true
		close(a.lines)
	}
	a.mu.Unlock()
	<-a.done
	return nil
}
