package main

import (
	"bytes"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"heatherport/internal/result"
)

func TestExitCodeIsTheClassOfTheResult(t *testing.T) {
	t.Setenv("HEATHERPORT_CONFIG", "")
	missing := filepath.Join(t.TempDir(), "none.ini")
	for _, c := range []struct {
		args []string
		want result.Class
	}{
		{[]string{"--help"}, result.ClassOK},
		{nil, result.ClassUsage},
		{[]string{"router"}, result.ClassUsage},
		{[]string{"balancer"}, result.ClassUsage},
		{[]string{"balancer", "--settings", missing}, result.ClassUsage},
		{[]string{"controller", "--settings", missing}, result.ClassUsage},
	} {
		var stdout, stderr bytes.Buffer
		must.Eq(t, int(c.want), run(t.Context(), c.args, &stdout, &stderr), must.Sprint(c.args))
		must.Eq(t, c.want != result.ClassOK, stderr.Len() > 0, must.Sprint(c.args))
	}
}

func TestSettingsFileFromTheEnvironment(t *testing.T) {
	file := filepath.Join(t.TempDir(), "controller.ini")
	t.Setenv("HEATHERPORT_CONFIG", file)
	var stdout, stderr bytes.Buffer
	must.Eq(t, int(result.ClassUsage), run(t.Context(), []string{"controller"}, &stdout, &stderr))
	must.StrContains(t, stderr.String(), file)
}

// TestNoCommandLineDependencies checks that the binary does not link libraries
// with costly initialization that only the command line and the static fleet
// need.
func TestNoCommandLineDependencies(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", ".").Output()
	must.NoError(t, err)
	for _, heavy := range []string{"github.com/google/gopacket", "github.com/quic-go/quic-go"} {
		must.False(t, strings.Contains(string(out), heavy), must.Sprint(heavy))
	}
}
