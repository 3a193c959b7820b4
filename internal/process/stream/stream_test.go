package stream

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"heatherport/internal/result"
)

// waitTimeout bounds each wait in these tests.
const waitTimeout = 20 * time.Second

type testMessage struct {
	N int `cbor:"1,keyasint"`
}

func listen(t *testing.T) (net.Listener, netip.AddrPort) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	return l, netip.MustParseAddrPort(l.Addr().String())
}

func receive[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(waitTimeout):
		t.Fatal("nothing received in time")
		panic("unreachable")
	}
}

func TestMessagesArriveInOrder(t *testing.T) {
	l, address := listen(t)
	got := make(chan int, 100)
	go Serve(t.Context(), l, Callbacks{Handle: func(c *Conn, kind Kind, body []byte) {
		var n testMessage
		if kind == 7 && Decode(body, &n) == nil {
			got <- n.N
		}
	}})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go DialLoop(ctx, address, Callbacks{
		Open: func(c *Conn) {
			for i := range 50 {
				frame, err := Encode(7, testMessage{i})
				if err == nil {
					c.Send(frame)
				}
			}
		},
		Handle: func(*Conn, Kind, []byte) {},
	})
	for i := range 50 {
		must.Eq(t, i, receive(t, got))
	}
}

func TestBrokenConnectionIsReplaced(t *testing.T) {
	l, address := listen(t)
	opened := make(chan *Conn, 10)
	go Serve(t.Context(), l, Callbacks{Open: func(c *Conn) { opened <- c }, Handle: func(*Conn, Kind, []byte) {}})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	closed := make(chan error, 10)
	go DialLoop(ctx, address, Callbacks{
		Handle: func(*Conn, Kind, []byte) {},
		Close:  func(_ *Conn, cause error) { closed <- cause },
	})
	receive(t, opened).Close()
	must.Error(t, receive(t, closed))
	receive(t, opened)
}

func TestConnectionsEndWithTheServer(t *testing.T) {
	l, address := listen(t)
	serving, stop := context.WithCancel(context.Background())
	opened := make(chan *Conn, 10)
	go Serve(serving, l, Callbacks{Open: func(c *Conn) { opened <- c }, Handle: func(*Conn, Kind, []byte) {}})
	closed := make(chan error, 10)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go DialLoop(ctx, address, Callbacks{Handle: func(*Conn, Kind, []byte) {}, Close: func(_ *Conn, cause error) { closed <- cause }})
	receive(t, opened)
	stop()
	must.Error(t, receive(t, closed))
}

// TestUnresponsiveConnectionEnds connects to a peer that accepts the connection
// and never sends anything, like a peer whose packets are lost without a reset.
func TestUnresponsiveConnectionEnds(t *testing.T) {
	l, address := listen(t)
	go func() {
		for {
			if _, err := l.Accept(); err != nil {
				return
			}
		}
	}()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	closed := make(chan error, 10)
	go DialLoop(ctx, address, Callbacks{
		Handle: func(*Conn, Kind, []byte) {},
		Close: func(c *Conn, cause error) {
			if c != nil {
				closed <- cause
			}
		},
	})
	var timeout net.Error
	must.True(t, errors.As(receive(t, closed), &timeout))
	must.True(t, timeout.Timeout())
}

func TestIdleConnectionStaysOpen(t *testing.T) {
	l, address := listen(t)
	go Serve(t.Context(), l, Callbacks{Handle: func(*Conn, Kind, []byte) {}})
	ctx, cancel := context.WithTimeout(context.Background(), 2*idleTimeout)
	defer cancel()
	closed := make(chan struct{}, 10)
	_ = DialOnce(ctx, address, Callbacks{
		Handle: func(*Conn, Kind, []byte) {},
		Close: func(*Conn, error) {
			if ctx.Err() == nil {
				closed <- struct{}{}
			}
		},
	})
	must.Eq(t, 0, len(closed))
}

func TestOversizedMessageEndsTheConnection(t *testing.T) {
	l, address := listen(t)
	closed := make(chan error, 1)
	go Serve(t.Context(), l, Callbacks{Handle: func(*Conn, Kind, []byte) {}, Close: func(_ *Conn, cause error) { closed <- cause }})
	conn, err := net.Dial("tcp", address.String())
	must.NoError(t, err)
	defer conn.Close()
	header := make([]byte, headerSize)
	binary.BigEndian.PutUint32(header, maxBody+1)
	_, err = conn.Write(header)
	must.NoError(t, err)
	must.Eq(t, result.BadMessage, result.CodeOf(receive(t, closed)))
}

func TestFullQueueEndsTheConnection(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	c := NewConn(near) // no goroutine reads from its queue
	for range queueLength {
		must.True(t, c.Send([]byte{0}))
	}
	must.False(t, c.Send([]byte{0}))
	must.False(t, c.Send([]byte{0}))
	_, err := far.Read(make([]byte, 1))
	must.ErrorIs(t, err, io.EOF)
}

func TestDecodeRejectsInvalidCBOR(t *testing.T) {
	var n testMessage
	must.Eq(t, result.BadMessage, result.CodeOf(Decode([]byte{0xff}, &n)))
}

// TestDialPassesUnansweredAttempts checks that an attempt that is never answered,
// as by a VM without power, does not delay the next ones, and that only the
// first connection stays open.
func TestDialPassesUnansweredAttempts(t *testing.T) {
	l, address := listen(t)
	accepted := make(chan net.Conn, 2)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	var attempts atomic.Int32
	answerThird := make(chan struct{})
	conn, err := dial(context.Background(), func(context.Context) (net.Conn, error) {
		switch attempts.Add(1) {
		case 1:
			<-t.Context().Done()
			return nil, t.Context().Err()
		case 2:
			for attempts.Load() < 3 {
				time.Sleep(time.Millisecond)
			}
		default:
			<-answerThird
		}
		return net.Dial("tcp", address.String())
	})
	must.NoError(t, err)
	defer conn.Close()
	close(answerThird)
	first := receive(t, accepted)
	defer first.Close()
	surplus := receive(t, accepted)
	must.NoError(t, surplus.SetReadDeadline(time.Now().Add(waitTimeout)))
	_, err = surplus.Read(make([]byte, 1))
	must.ErrorIs(t, err, io.EOF)
}

func TestDialReportsRefusal(t *testing.T) {
	refused := errors.New("refused")
	_, err := dial(t.Context(), func(context.Context) (net.Conn, error) { return nil, refused })
	must.ErrorIs(t, err, refused)
}

// A message whose connection ends halfway must not be handled: a part of a feed update
// would pass for the whole.
func TestTruncatedMessageIsNotHandled(t *testing.T) {
	frame, err := Encode(7, []string{"all", "upstreams"})
	must.NoError(t, err)
	for length := range len(frame) {
		ours, theirs := net.Pipe()
		go func() {
			_, _ = theirs.Write(frame[:length])
			theirs.Close()
		}()
		handled := 0
		err := NewConn(ours).read(func(*Conn, Kind, []byte) { handled++ })
		must.Error(t, err)
		must.Zero(t, handled, must.Sprint(length))
		_, _, ok := DecodeFrame(frame[:length])
		must.False(t, ok)
	}
}
