package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// asyncLines bounds the lines that wait for a slow reader of the log.
	asyncLines = 1024
	// linesPerSecond bounds the volume of the log: some 20 KB a second.
	linesPerSecond = 100
	// burstLines may come at once after a quiet time.
	burstLines = 400
)

// Async is a writer that never blocks: lines beyond a rate, and lines that a
// slow reader leaves no room for, are left out and counted.
type AsyncWriter struct {
	lines   chan []byte
	done    chan struct{}
	omitted atomic.Uint64

	mu     sync.Mutex // of what follows
	bucket bucket
	closed bool
}

// NewAsync returns a writer to w; Close flushes it.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, asyncLines), done: make(chan struct{}), bucket: newBucket(linesPerSecond, burstLines)}
	go a.run(w)
	return a
}

// Omitted returns the number of lines left out.
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
	told := uint64(0)
	for line := range a.lines {
		// A log that cannot be written has nowhere to say so.
		_, _ = w.Write(line)
		if n := a.omitted.Load(); n != told && len(a.lines) == 0 {
			_, _ = fmt.Fprintf(w, "{\"@level\":\"warn\",\"@message\":\"log lines left out\",\"lines\":%d,\"total\":%d}\n", n-told, n)
			told = n
		}
	}
}

// Close writes the lines that wait and ends the writer.
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
