package controller

import (
	"context"
	"sync"
	"time"

	"heatherport/internal/result"
)

// callTracker counts the calls in progress, so that a planned stop lets them finish.
// It is safe for concurrent use.
type callTracker struct {
	mu       sync.Mutex
	active   int
	stopping bool
	idle     chan struct{} // closed when stopping and no call is in progress
}

func newCallTracker() *callTracker { return &callTracker{idle: make(chan struct{})} }

// begin registers a call. It fails once the controller stops, so that the caller
// turns to another one.
func (t *callTracker) begin() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopping {
		return result.Errorf(result.NotReady, "the controller is stopping")
	}
	t.active++
	return nil
}

func (t *callTracker) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.active--; t.stopping && t.active == 0 {
		close(t.idle)
	}
}

// stop rejects further calls.
func (t *callTracker) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopping {
		return
	}
	if t.stopping = true; t.active == 0 {
		close(t.idle)
	}
}

// wait waits until the calls in progress have finished. Each takes at most
// callTimeout.
func (t *callTracker) wait(ctx context.Context) {
	select {
	case <-t.idle:
	case <-ctx.Done():
	case <-time.After(callTimeout):
	}
}
