package cli

import (
	"context"
	"os"
	"path/filepath"
	"strings"
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

// fakePrograms records which programs were started.
type fakePrograms struct{ started []string }

func (f *fakePrograms) Balancer(_ context.Context, file string) error {
	f.started = append(f.started, "balancer "+file)
	return nil
}

func (f *fakePrograms) Controller(_ context.Context, file string) error {
	f.started = append(f.started, "controller "+file)
	return result.Errorf(result.BadSettings, "none")
}

func TestProgramsStart(t *testing.T) {
	f := &fakePrograms{}
	must.Eq(t, 0, runWith(Options{Programs: f}, "balancer", "--settings", "a.ini").code)
	t.Setenv("HEATHERPORT_CONFIG", "b.ini")
	must.Eq(t, int(result.ClassUsage), runWith(Options{Programs: f}, "controller").code)
	must.Eq(t, "balancer a.ini,controller b.ini", strings.Join(f.started, ","))
}
