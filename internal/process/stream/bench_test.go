package stream

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// BenchmarkMessage sends messages of 200 bytes one at a time over TCP.
func BenchmarkMessage(b *testing.B) {
	processorTime := func() time.Duration {
		var u syscall.Rusage
		must.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
		return time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(b, err)
	defer l.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	got := make(chan struct{}, 1)
	go Serve(ctx, l, Callbacks{Handle: func(*Conn, Kind, []byte) { got <- struct{}{} }})
	opened := make(chan *Conn, 1)
	go DialLoop(ctx, netip.MustParseAddrPort(l.Addr().String()), Callbacks{Open: func(c *Conn) { opened <- c }, Handle: func(*Conn, Kind, []byte) {}})
	c := <-opened
	frame, err := Encode(1, make([]byte, 200))
	must.NoError(b, err)
	begun := processorTime()
	b.ResetTimer()
	for range b.N {
		c.Send(frame)
		<-got
	}
	b.ReportMetric(float64(processorTime()-begun)/float64(b.N), "cpu-ns/op")
}
