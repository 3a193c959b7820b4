package standins

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, with the seconds since its start.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, begun: time.Now()}, nil
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// at returns a time as it stands in the record.
func (r *recorder) at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(r.begun).Seconds()) }
