// Package logging sets up the log of a process.
package logging

import (
	"io"

	"github.com/hashicorp/go-hclog"

	"heatherport/internal/process/settings"
)

// New returns a logger for the VM that writes to w.
func New(s *settings.Settings, w io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       s.VM.Name,
		Level:      hclog.LevelFromString(s.Log.Level),
		Output:     w,
		JSONFormat: s.Log.Format == settings.FormatJSON,
	})
}
