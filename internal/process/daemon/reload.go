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

// pollInterval is the interval at which the settings file is checked for changes
// that no signal announced.
const pollInterval = 2 * time.Second

// reloader reloads the settings on SIGHUP and when the file has changed.
type reloader struct {
	file        string
	program     string
	log         hclog.Logger
	reload      func(*settings.Program)
	hangups     <-chan os.Signal
	lastContent []byte
}

// catchHangups returns the channel to which SIGHUP is sent from now on. It is never
// stopped: until the process has ended, the default action of the signal would end it
// without a graceful stop.
func catchHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// run reloads settings until ctx ends.
func (r *reloader) run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	r.lastContent, _ = r.read()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.hangups:
			r.reloadIfChanged("signal")
		case <-ticker.C:
			r.reloadIfChanged("poll")
		}
	}
}

func (r *reloader) read() ([]byte, bool) {
	b, err := os.ReadFile(r.file)
	if err != nil {
		r.log.Warn("failed to read settings; the previous settings stay in use", "error", err)
		return nil, false
	}
	return b, true
}

func (r *reloader) reloadIfChanged(cause string) {
	b, ok := r.read()
	if !ok || bytes.Equal(b, r.lastContent) {
		return
	}
	r.lastContent = b
	s, err := settings.ParseProgram(b, r.program)
	if err != nil {
		r.log.Error("invalid settings; the previous settings stay in use", "error", err)
		return
	}
	r.log.Info("settings reloaded", "cause", cause, "seeds", s.Seeds)
	r.reload(s)
}
