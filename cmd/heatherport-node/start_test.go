package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"heatherport/internal/result"
	"heatherport/internal/standin/loopback"
)

// waitTimeout bounds each wait in these tests.
const waitTimeout = 30 * time.Second

// settingsFile writes good settings for both programs at one address and returns
// their names and the address of the HTTP interface.
func settingsFile(t *testing.T, program string) (file string, api netip.AddrPort) {
	network, err := loopback.Reserve()
	must.NoError(t, err)
	t.Cleanup(network.Release)
	host := network.Host(1)
	own := fmt.Sprintf("[packets]\nlisten = %[1]s:8172\n[ready]\nlisten = %[1]s:8166\n", host)
	if program == "controller" {
		own = fmt.Sprintf("[api]\nlisten = %s:8166\n", host)
	}
	first := "first_start = true\n"
	if program != "controller" {
		first = ""
	}
	dir := t.TempDir()
	file = filepath.Join(dir, program+".ini")
	must.NoError(t, os.WriteFile(file, fmt.Appendf(nil, "[vm]\nname = akure-1\ndomain = akure\nstop_timeout = 5s\ndata_dir = %[3]s\n%[2]s[link]\nlisten = %[1]s:7720\n[metrics]\nlisten = %[1]s:7735\n[controllers]\nseeds = %[1]s:8166\nlosses_borne = 0\n%[4]s",
		host, own, filepath.Join(dir, "data"), first), 0o600))
	return file, netip.AddrPortFrom(host, 8166)
}

// awaitHTTP waits until the HTTP interface of a program answers.
func awaitHTTP(t *testing.T, api netip.AddrPort) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(10 * time.Millisecond) {
		answer, err := http.Get("http://" + api.String() + "/api/readyz")
		if err == nil {
			answer.Body.Close()
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the program does not answer")
		}
	}
}

// A program that starts with good settings and is told to end has succeeded. A
// supervisor would count any other exit code as a failure of the new version.
func TestStartAndEndExitWithZero(t *testing.T) {
	// SIGTERM must not end the test should the program miss it.
	caught := make(chan os.Signal, 1)
	signal.Notify(caught, syscall.SIGTERM)
	defer signal.Stop(caught)
	for _, program := range []string{"balancer", "controller"} {
		for _, way := range []string{"signal", "cancellation", "cancelled before the start"} {
			t.Run(program+", "+way, func(t *testing.T) {
				file, api := settingsFile(t, program)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				if way == "cancelled before the start" {
					cancel()
				}
				var stdout, stderr bytes.Buffer
				exit := make(chan int, 1)
				go func() { exit <- run(ctx, []string{program, "--settings", file}, &stdout, &stderr) }()
				switch way {
				case "signal":
					awaitHTTP(t, api)
					must.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
				case "cancellation":
					awaitHTTP(t, api)
					cancel()
				}
				select {
				case code := <-exit:
					must.Eq(t, int(result.ClassOK), code, must.Sprint(stderr.String()))
				case <-time.After(waitTimeout):
					t.Fatal("the program did not end")
				}
			})
		}
	}
}
