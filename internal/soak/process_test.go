package soak

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The ports of the programs. They are the same for all, since each program has its
// own address.
const (
	packetPort  = 8172
	readyPort   = 8167
	apiPort     = 8166
	linkPort    = 7720
	metricsPort = 7735
)

// process is a balancer or controller under test.
type process struct {
	h       *harness
	name    string
	program string
	domain  string
	ip      netip.Addr // address that the other programs use
	linkIP  netip.Addr // address for incoming links; a controller's is behind the proxy
	dir     string
	proxy   *proxy
	starts  int
	// isolated makes calls to the process fail, and what others send on its links is lost.
	isolated atomic.Bool

	faultMu   sync.Mutex   // held by the fault that acts on the process
	lastFault atomic.Int64 // start or end of the last fault that acted on it, Unix nanoseconds

	mu           sync.Mutex
	command      *exec.Cmd
	log          *os.File
	exited       chan struct{}
	exitExpected bool // set before the test ends the process
}

const stopTimeout = 4 * time.Second

func (p *process) settings() string {
	s := fmt.Sprintf("[vm]\nname = %s\ndomain = %s\ndomains = %s\nstop_timeout = %s\n", p.name, p.domain, strings.Join(domains, ","), stopTimeout)
	if p.program == "controller" {
		s += fmt.Sprintf("data_dir = %s\n[api]\nlisten = %s:%d\n", p.dataDir(), p.ip, apiPort)
	} else {
		s += fmt.Sprintf("[packets]\nlisten = %s:%d\n[ready]\nlisten = %s:%d\n", p.ip, packetPort, p.ip, readyPort)
	}
	s += fmt.Sprintf("[link]\nlisten = %s:%d\nadvertise = %s:%d\n", p.linkIP, linkPort, p.ip, linkPort)
	s += fmt.Sprintf("[metrics]\nlisten = %s:%d\n", p.ip, metricsPort)
	s += fmt.Sprintf("[controllers]\nseeds = %s\nfirst_start = %t\nlosses_borne = 1\n", p.h.seedControllers(), p.starts == 0)
	if p.h.lifetime > 0 {
		s += fmt.Sprintf("[connections]\nlifetime = %s\n", p.h.lifetime)
	}
	return s + fmt.Sprintf("[upstreams]\nheartbeat = %s\ncold_excess = 1.5\ncold_slack = %d\n[load]\nshares = true\n[log]\nformat = json\n", heartbeatInterval, coldLimit)
}

func (p *process) dataDir() string { return filepath.Join(p.dir, "data") }

func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	file := filepath.Join(p.dir, "settings.ini")
	if err := os.WriteFile(file, []byte(p.settings()), 0o600); err != nil {
		p.h.t.Error(err)
		return
	}
	c := exec.Command(nodeFor(p.starts), p.program, "--settings", file)
	p.starts++
	c.Stdout, c.Stderr = p.log, p.log
	if err := c.Start(); err != nil {
		p.h.t.Errorf("start %s: %v", p.name, err)
		return
	}
	p.command, p.exitExpected = c, false
	p.exited = make(chan struct{})
	exited := p.exited
	p.h.running.Go(func() {
		err := c.Wait()
		p.mu.Lock()
		expected := p.exitExpected
		p.mu.Unlock()
		close(exited)
		if !expected {
			p.h.reportViolation("%s exited unexpectedly: %v", p.name, err)
		}
	})
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.exitExpected = true
	}
	_ = p.command.Process.Signal(s) // it may have exited already
}

// recordFault records that a fault that acts on the process starts or ends.
func (p *process) recordFault() { p.lastFault.Store(time.Now().UnixNano()) }

// isolate cuts a controller off from upstreams and from what others send, or joins it again.
func (p *process) isolate(isolated bool) {
	p.isolated.Store(isolated)
	if isolated {
		p.proxy.setMode(modeBlackhole)
	} else {
		p.proxy.setMode(modePass)
	}
}

// kill kills the process and waits until it has exited.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// stop stops the process gracefully, and kills it when that takes too long.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(stopTimeout + time.Second):
		p.h.reportViolation("%s did not stop within stop_timeout and 1 s", p.name)
		p.kill()
	}
}

// appendTornRecord appends a partial record to the log, as a power loss during a
// write does.
func (p *process) appendTornRecord() {
	f, err := os.OpenFile(filepath.Join(p.dataDir(), "log"), os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		return // no log yet on a new disk
	}
	defer f.Close()
	_, _ = f.Write(bytes.Repeat([]byte{0x5a}, 23))
}
