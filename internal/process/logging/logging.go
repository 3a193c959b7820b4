// Package logging creates the logger of a process and limits the volume of its
// log.
package logging

import (
	"io"

	"github.com/hashicorp/go-hclog"

	"heatherport/internal/process/settings"
)

// New returns a logger for the VM that writes to w.
func New(vm settings.VM, l settings.Log, w io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       vm.Name,
		Level:      hclog.LevelFromString(l.Level),
		Output:     w,
		JSONFormat: l.Format == settings.FormatJSON,
	})
}
