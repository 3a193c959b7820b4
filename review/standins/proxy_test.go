//go:build review

package standins

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// linkProxy stands in front of the link address of a controller. It plays the network
// between the programs, with a silent cut around one of them.
type linkProxy struct {
	w      *world
	target *program
	listen net.Listener
}

// startProxy listens at the address that a controller advertises.
func (w *world) startProxy(p *program) error {
	l, err := net.Listen("tcp", netip.AddrPortFrom(p.ip, linkPort).String())
	if err != nil {
		return err
	}
	proxy := &linkProxy{w: w, target: p, listen: l}
	go proxy.run()
	return nil
}

func (x *linkProxy) run() {
	for {
		conn, err := x.listen.Accept()
		if err != nil {
			return
		}
		go x.serve(conn)
	}
}

// serve carries a connection. One that begins across the cut is never carried: it ends when
// the cut does.
func (x *linkProxy) serve(in net.Conn) {
	defer in.Close()
	from := x.w.programOf(in.RemoteAddr().(*net.TCPAddr).AddrPort())
	if from == nil {
		return // its end has gone, or isn't listed yet: nothing may pass the cut unseen
	}
	if x.isCut(from) {
		x.waitForJoin(from)
		return
	}
	out, err := net.DialTimeout("tcp", netip.AddrPortFrom(x.target.linkIP, linkPort).String(), time.Second)
	if err != nil {
		return
	}
	defer out.Close()
	var both sync.WaitGroup
	both.Go(func() { x.copy(out, in, from) })
	both.Go(func() { x.copy(in, out, from) })
	both.Wait()
}

// copy copies what one end sends to the other until it ends the connection. Bytes and the end
// of the connection are held up by the cut and pass after it.
func (x *linkProxy) copy(to, from net.Conn, peer *program) {
	defer to.Close()
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		x.waitForJoin(peer)
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// isCut reports whether the cut is between a program and the target.
func (x *linkProxy) isCut(peer *program) bool { return x.w.isCut(peer) || x.w.isCut(x.target) }

func (x *linkProxy) waitForJoin(peer *program) {
	for x.isCut(peer) {
		time.Sleep(10 * time.Millisecond)
	}
}

// isCut reports whether a program is cut off.
func (w *world) isCut(p *program) bool { return p != nil && w.cut.Load() == p }

// programOf returns the program of the case that has a connection from an address of this
// machine, or nil. The lists of the kernel may miss one while others come and go.
func (w *world) programOf(from netip.AddrPort) *program {
	for range 20 {
		if p := w.ownerOf(inodeOf(from)); p != nil {
			return p
		}
		time.Sleep(5 * time.Millisecond)
	}
	return nil
}

// ownerOf returns the program that has a socket open.
func (w *world) ownerOf(inode string) *program {
	if inode == "" {
		return nil
	}
	for _, p := range w.programs() {
		p.mu.Lock()
		c := p.command
		p.mu.Unlock()
		if c == nil {
			continue
		}
		dir := fmt.Sprintf("/proc/%d/fd", c.Process.Pid)
		entries, _ := os.ReadDir(dir) // a process that has ended has none
		for _, e := range entries {
			if to, _ := os.Readlink(filepath.Join(dir, e.Name())); to == "socket:["+inode+"]" {
				return p
			}
		}
	}
	return nil
}

// inodeOf returns the inode of the TCP socket that is bound to an address and connected.
func inodeOf(local netip.AddrPort) string {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	a := local.Addr().As4()
	want := fmt.Sprintf("%02X%02X%02X%02X:%04X", a[3], a[2], a[1], a[0], local.Port())
	for line := range strings.Lines(string(data)) {
		if f := strings.Fields(line); len(f) > 9 && f[1] == want && f[3] == "01" {
			return f[9]
		}
	}
	return ""
}
