package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"heatherport/internal/process/settings"
	"heatherport/internal/standin/loopback"
)

// waitTimeout bounds each wait in these tests.
const waitTimeout = 20 * time.Second

// component is a Component without any work.
type component struct {
	stopped         chan struct{}
	onStart, onStop func() // may be nil
}

func (c *component) Start(context.Context) error {
	if c.onStart != nil {
		c.onStart()
	}
	return nil
}

func (c *component) Reload(*settings.Program) {}

func (c *component) Stop(context.Context) error {
	if c.onStop != nil {
		c.onStop()
	}
	close(c.stopped)
	return nil
}

// program is a running Service.
type program struct {
	t         *testing.T
	address   netip.AddrPort
	component *component
	stop      context.CancelFunc
	exit      chan error
}

// startProgram runs a service with an HTTP handler until it accepts connections.
func startProgram(t *testing.T, handler http.HandlerFunc) *program {
	return startComponent(t, &component{stopped: make(chan struct{})}, handler)
}

func startComponent(t *testing.T, c *component, handler http.HandlerFunc) *program {
	network, err := loopback.Reserve()
	must.NoError(t, err)
	t.Cleanup(network.Release)
	host := network.Host(1)
	file := filepath.Join(t.TempDir(), "balancer.ini")
	must.NoError(t, os.WriteFile(file, fmt.Appendf(nil, `
[vm]
name = akure-1
domain = akure
stop_timeout = 5s
[packets]
listen = %[1]s:8172
[ready]
listen = %[1]s:8167
[link]
listen = %[1]s:7720
[metrics]
listen = %[1]s:7735
[controllers]
seeds = %[1]s:8166
`, host), 0o600))
	ctx, cancel := context.WithCancel(context.Background())
	p := &program{
		t: t, address: netip.AddrPortFrom(host, 8167), stop: cancel, exit: make(chan error, 1),
		component: c,
	}
	go func() {
		p.exit <- Run(ctx, file, settings.Balancer, func(d Dependencies) Service {
			return Service{Component: p.component, Listen: d.Settings.Ready, Handler: handler}
		})
	}()
	p.dial().Close()
	return p
}

// dial connects to the HTTP interface, once it listens.
func (p *program) dial() net.Conn {
	p.t.Helper()
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(5 * time.Millisecond) {
		conn, err := net.Dial("tcp", p.address.String())
		if err == nil {
			must.NoError(p.t, conn.SetDeadline(time.Now().Add(waitTimeout)))
			return conn
		}
		if time.Now().After(deadline) {
			p.t.Fatal("the HTTP interface does not listen")
		}
	}
}

func (p *program) expectExit() {
	p.t.Helper()
	select {
	case err := <-p.exit:
		must.NoError(p.t, err)
	case <-time.After(waitTimeout):
		p.t.Fatal("the program did not stop")
	}
}

// A call that was accepted before the program was told to stop is answered, also if
// the answer is ready only after the component has stopped.
func TestCallInProgressIsAnsweredAtAStop(t *testing.T) {
	accepted := make(chan struct{})
	var p *program
	p = startProgram(t, func(w http.ResponseWriter, _ *http.Request) {
		close(accepted)
		<-p.component.stopped
		time.Sleep(50 * time.Millisecond)
		w.WriteHeader(http.StatusTeapot)
	})
	conn := p.dial()
	defer conn.Close()
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	must.NoError(t, err)
	<-accepted
	p.stop()
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusTeapot, answer.StatusCode)
	p.expectExit()
}

// A call that never ends must not hold up the stop.
func TestUnendingCallIsCutOffAtAStop(t *testing.T) {
	accepted := make(chan struct{})
	p := startProgram(t, func(_ http.ResponseWriter, r *http.Request) {
		close(accepted)
		<-r.Context().Done()
	})
	conn := p.dial()
	defer conn.Close()
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	must.NoError(t, err)
	<-accepted
	begun := time.Now()
	p.stop()
	p.expectExit()
	must.Less(t, 3*time.Second, time.Since(begun))
}

// A program that is told to stop while it starts has not failed.
func TestStopDuringTheStart(t *testing.T) {
	p := startProgram(t, func(http.ResponseWriter, *http.Request) {})
	p.stop()
	p.expectExit()
	file := filepath.Join(t.TempDir(), "balancer.ini")
	must.NoError(t, os.WriteFile(file, fmt.Appendf(nil, "[vm]\nname = a\ndomain = a\n[packets]\nlisten = %[1]s:8172\n[ready]\nlisten = %[1]s:8167\n[link]\nlisten = %[1]s:7720\n[metrics]\nlisten = %[1]s:7735\n[controllers]\nseeds = %[1]s:8166\n", p.address.Addr()), 0o600))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c := &component{stopped: make(chan struct{})}
	must.NoError(t, Run(ctx, file, settings.Balancer, func(d Dependencies) Service {
		return Service{Component: c, Listen: d.Settings.Ready, Handler: http.NotFoundHandler()}
	}))
	<-c.stopped
}

// SIGHUP announces changed settings, also to a program that starts or stops. Its
// default action would end the process and cut off the calls in progress.
func TestHangupDuringStartAndStopIsNotFatal(t *testing.T) {
	hangup := func() {
		must.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		time.Sleep(50 * time.Millisecond) // the signal arrives
	}
	c := &component{stopped: make(chan struct{}), onStart: hangup, onStop: hangup}
	p := startComponent(t, c, func(w http.ResponseWriter, _ *http.Request) {})
	p.stop()
	p.expectExit()
}
