package daemon

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"heatherport/internal/process/settings"
)

// pollInterval is the time between looks at the settings file, which may
// change without a signal.
const pollInterval = 2 * time.Second

// reloader reads the settings again on SIGHUP and when the file has changed.
type reloader struct {
	file    string
	program string
	log     hclog.Logger
	reload  func(*settings.Program)
	last    []byte
}

// run returns when ctx ends.
func (r *reloader) run(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	r.last, _ = r.read()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			r.check("signal")
		case <-ticker.C:
			r.check("poll")
		}
	}
}

func (r *reloader) read() ([]byte, bool) {
	b, err := os.ReadFile(r.file)
	if err != nil {
		r.log.Warn("settings not read; the former ones stay in use", "error", err)
		return nil, false
	}
	return b, true
}

func (r *reloader) check(cause string) {
	b, ok := r.read()
	if !ok || bytes.Equal(b, r.last) {
		return
	}
	r.last = b
	s, err := settings.ParseProgram(b, r.program)
	if err != nil {
		r.log.Error("settings not valid; the former ones stay in use", "error", err)
		return
	}
	r.log.Info("settings reloaded", "cause", cause, "seeds", s.Seeds)
	r.reload(s)
}
