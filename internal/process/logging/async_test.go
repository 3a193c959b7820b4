package logging

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
)

// blockedWriter is a writer that blocks until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(b)
}

func TestAsyncWriterNeverBlocksAndReportsOmittedLines(t *testing.T) {
	w := &blockedWriter{unblock: make(chan struct{})}
	a := NewAsyncWriter(w)
	const lines = 5 * maxQueuedLines
	for range lines {
		n, err := a.Write([]byte("line\n"))
		must.NoError(t, err)
		must.Eq(t, 5, n)
	}
	must.Positive(t, a.Omitted())
	close(w.unblock)
	must.NoError(t, a.Close())
	must.NoError(t, a.Close())
	written := strings.Count(w.buf.String(), "line\n")
	must.Eq(t, lines, written+int(a.Omitted()))
	must.StrContains(t, w.buf.String(), "log lines left out")
	_, err := a.Write([]byte("late\n"))
	must.NoError(t, err)
}

func TestAsyncWriterCopiesLines(t *testing.T) {
	var out bytes.Buffer
	a := NewAsyncWriter(&out)
	line := []byte("first\n")
	_, err := a.Write(line)
	must.NoError(t, err)
	copy(line, "other\n")
	must.NoError(t, a.Close())
	must.Eq(t, "first\n", out.String())
}

func TestRateLimitedReportsOmittedLines(t *testing.T) {
	var out bytes.Buffer
	l := NewRateLimited(hclog.New(&hclog.LoggerOptions{Output: &out}))
	now := time.Now()
	written := 0
	for range 2 * connectionLinesBurst {
		if l.Allow(now) {
			l.Info("placed")
			written++
		}
	}
	must.Eq(t, connectionLinesBurst, written)
	must.Eq(t, connectionLinesBurst, int(l.Omitted()))
	must.StrNotContains(t, out.String(), "omitted")
	must.True(t, l.Allow(now.Add(time.Second)))
	l.Info("placed")
	must.StrContains(t, out.String(), fmt.Sprint("omitted=", connectionLinesBurst))
}
