package soak

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The ports of all programs; each program has an address of its own.
const (
	packetPort  = 8172
	readyPort   = 8167
	apiPort     = 8166
	linkPort    = 7720
	metricsPort = 7735
)

// process is a program of the fleet.
type process struct {
	w       *world
	name    string
	program string
	ip      netip.Addr // what others know
	inner   netip.Addr // where links are taken, behind the proxy
	dir     string
	proxy   *proxy
	founded bool

	busy sync.Mutex // held by the fault that has the process

	mu      sync.Mutex
	command *exec.Cmd
	log     *os.File
	ended   chan struct{}
	asked   bool // the soak asked it to end
}

const stopTime = 4 * time.Second

func (p *process) settings() string {
	s := fmt.Sprintf("[vm]\nname = %s\ndomain = a\nstop_timeout = %s\n", p.name, stopTime)
	if p.program == "controller" {
		s += fmt.Sprintf("data_dir = %s\n[api]\nlisten = %s:%d\n", p.dataDir(), p.ip, apiPort)
	} else {
		s += fmt.Sprintf("[packets]\nlisten = %s:%d\n[ready]\nlisten = %s:%d\n", p.ip, packetPort, p.ip, readyPort)
	}
	s += fmt.Sprintf("[link]\nlisten = %s:%d\nadvertise = %s:%d\n", p.inner, linkPort, p.ip, linkPort)
	s += fmt.Sprintf("[metrics]\nlisten = %s:%d\n", p.ip, metricsPort)
	s += fmt.Sprintf("[controllers]\nseeds = %s\nfirst_start = %t\nlosses_borne = 1\n", p.w.seeds(), !p.founded)
	return s + fmt.Sprintf("[upstreams]\nheartbeat = %s\n[log]\nformat = json\n", heartbeat)
}

func (p *process) dataDir() string { return filepath.Join(p.dir, "data") }

func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	file := filepath.Join(p.dir, "settings.ini")
	if err := os.WriteFile(file, []byte(p.settings()), 0o600); err != nil {
		p.w.t.Error(err)
		return
	}
	p.founded = true
	c := exec.Command(heatherport, p.program, "--settings", file)
	c.Stdout, c.Stderr = p.log, p.log
	if err := c.Start(); err != nil {
		p.w.t.Errorf("start %s: %v", p.name, err)
		return
	}
	p.command, p.asked = c, false
	p.ended = make(chan struct{})
	ended := p.ended
	p.w.running.Go(func() {
		err := c.Wait()
		p.mu.Lock()
		asked := p.asked
		p.mu.Unlock()
		close(ended)
		if !asked {
			p.w.broken("%s ended by itself: %v", p.name, err)
		}
	})
}

// signal sends a signal to the process that the soak started.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.asked = true
	}
	_ = p.command.Process.Signal(s) // it may have ended already
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// stop ends the process gracefully, at the latest by a kill.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(stopTime + time.Second):
		p.w.broken("%s did not stop in time", p.name)
		p.kill()
	}
}

// tear appends half a record to the log, as a power loss in mid-write does.
func (p *process) tear() {
	f, err := os.OpenFile(filepath.Join(p.dataDir(), "log"), os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		return // the disk is new
	}
	defer f.Close()
	_, _ = f.Write(bytes.Repeat([]byte{0x5a}, 23))
}
