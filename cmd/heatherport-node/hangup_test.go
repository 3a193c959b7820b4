package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// handlesHangups reports whether the disposition of SIGHUP in a process is no longer the
// default action.
func handlesHangups(pid int) bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return false
	}
	for line := range strings.Lines(string(status)) {
		key, value, _ := strings.Cut(line, ":")
		mask, err := strconv.ParseUint(strings.TrimSpace(value), 16, 64)
		if err == nil && (key == "SigIgn" || key == "SigCgt") && mask&(1<<(syscall.SIGHUP-1)) != 0 {
			return true
		}
	}
	return false
}

// Between the start of the runtime and main, which takes some 10 ms and any time if the
// process is paused, a SIGHUP must not end it.
func TestHangupBeforeMainIsNotFatal(t *testing.T) {
	node := filepath.Join(t.TempDir(), "heatherport-node")
	out, err := exec.Command("go", "build", "-o", node, ".").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	for range 20 {
		c := exec.Command(node, "--help")
		must.NoError(t, c.Start())
		for deadline := time.Now().Add(waitTimeout); !handlesHangups(c.Process.Pid); {
			must.True(t, time.Now().Before(deadline), must.Sprint("SIGHUP has its default action"))
		}
		must.NoError(t, c.Process.Signal(syscall.SIGHUP))
		must.NoError(t, c.Wait())
	}
}
