package cli

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"heatherport/internal/result"
)

const controllerSettings = `[vm]
name = akure-1
domain = akure
data_dir = /var/lib/heatherport
[api]
listen = 192.0.2.1:8166
[link]
listen = 192.0.2.1:7720
[metrics]
listen = 192.0.2.1:7735
[controllers]
seeds = 192.0.2.13:8166
`

func TestSettingsCheckProgram(t *testing.T) {
	file := filepath.Join(t.TempDir(), "controller.ini")
	must.NoError(t, os.WriteFile(file, []byte(controllerSettings), 0o600))
	got := runWith(Options{}, "settings", "check", "--program", "controller", file)
	must.Eq(t, 0, got.code)
	must.StrContains(t, got.stdout, "valid settings of the controller akure-1 in akure with 1 seeds")
	got = runWith(Options{}, "settings", "check", "--program", "balancer", file)
	must.Eq(t, int(result.ClassUsage), got.code)
	must.StrContains(t, got.stderr, "packets")
	got = runWith(Options{}, "settings", "check", "--program", "router", file)
	must.Eq(t, int(result.ClassUsage), got.code)
}
