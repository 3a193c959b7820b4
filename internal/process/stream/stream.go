// Package stream carries messages between processes over TCP. A frame is a
// length, a kind and a CBOR body. Both ends of a connection send pings, so that
// the read deadline detects a peer that became unreachable without a reset.
// Messages that were queued on a lost connection are lost; the user of the
// package sends its full state on the next one.
package stream

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"heatherport/internal/result"
)

// Kind is the kind of a message. Kind zero is a ping.
type Kind uint8

const kindPing Kind = 0

const (
	headerSize = 5 // length (4 bytes) and kind (1 byte)
	// maxBody bounds the body of a message in bytes. The largest is a whole
	// table of routes.
	maxBody = 16 << 20
	// queueLength bounds the messages queued for a slow peer. A peer that falls
	// further behind is disconnected and has to reconnect.
	queueLength = 512
	// pingInterval is the longest time without a message in each direction.
	pingInterval = 400 * time.Millisecond
	// idleTimeout ends a connection on which nothing arrived: three ping
	// intervals and a margin for a delayed ping.
	idleTimeout = 1500 * time.Millisecond
	// dialTimeout is many round trips between failure domains, and less than the
	// time after which TCP retransmits a lost SYN.
	dialTimeout = 150 * time.Millisecond
	// dialInterval is the time after which an unanswered attempt to connect is
	// followed by a second one beside it. It bounds the time until a VM that has
	// just started is reached.
	dialInterval = 30 * time.Millisecond
	bufferSize   = 16 << 10
)

// Conn is a connection. Its methods are safe for concurrent use.
type Conn struct {
	conn  net.Conn
	since time.Time
	queue chan []byte
	done  chan struct{}
	once  sync.Once
}

// NewConn returns a connection that is not served: messages are queued only.
func NewConn(c net.Conn) *Conn {
	return &Conn{conn: c, since: time.Now(), queue: make(chan []byte, queueLength), done: make(chan struct{})}
}

// Encode returns the frame of a message. A frame may be sent on several
// connections.
func Encode(kind Kind, message any) ([]byte, error) {
	body, err := cbor.Marshal(message)
	if err != nil {
		return nil, result.Wrapf(err, result.Internal, "encode message")
	}
	frame := make([]byte, headerSize, headerSize+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	frame[4] = byte(kind)
	return append(frame, body...), nil
}

// Decode decodes the body of a message.
func Decode(body []byte, into any) error {
	if err := cbor.Unmarshal(body, into); err != nil {
		return result.Wrapf(err, result.BadMessage, "decode message")
	}
	return nil
}

// DecodeFrame returns the kind and the body of the message in a datagram. It
// reports false if the datagram does not hold one whole frame.
func DecodeFrame(datagram []byte) (kind Kind, body []byte, ok bool) {
	if len(datagram) < headerSize || int64(binary.BigEndian.Uint32(datagram)) != int64(len(datagram)-headerSize) {
		return 0, nil, false
	}
	return Kind(datagram[4]), datagram[headerSize:], true
}

// OpenedAt returns the time at which the connection was opened or accepted.
func (c *Conn) OpenedAt() time.Time { return c.since }

// Send queues a frame. It reports false when the connection has ended. A
// connection whose queue is full is closed.
func (c *Conn) Send(frame []byte) bool {
	select {
	case <-c.done:
		return false
	default:
	}
	select {
	case c.queue <- frame:
		return true
	default:
		c.Close()
		return false
	}
}

// RemoteAddr returns the address of the other VM.
func (c *Conn) RemoteAddr() netip.Addr { return addrOf(c.conn.RemoteAddr()) }

// LocalAddr returns the address of this VM on the connection.
func (c *Conn) LocalAddr() netip.Addr { return addrOf(c.conn.LocalAddr()) }

// addrOf returns the IP address of an address of TCP, or the zero Addr.
func addrOf(a net.Addr) netip.Addr {
	if tcp, ok := a.(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// Close ends the connection.
func (c *Conn) Close() {
	c.once.Do(func() {
		close(c.done)
		c.conn.Close()
	})
}

// Handler handles the messages of a connection, one at a time.
type Handler func(c *Conn, kind Kind, body []byte)

// serve runs the connection until it ends and returns the cause.
func (c *Conn) serve(handle Handler) error {
	go c.write()
	err := c.read(handle)
	c.Close()
	return err
}

func (c *Conn) write() {
	defer c.Close()
	ping := make([]byte, headerSize)
	timer := time.NewTimer(pingInterval)
	defer timer.Stop()
	for {
		frame := ping
		select {
		case <-c.done:
			return
		case frame = <-c.queue:
		case <-timer.C:
		}
		timer.Reset(pingInterval)
		if err := c.conn.SetWriteDeadline(time.Now().Add(idleTimeout)); err != nil {
			return
		}
		if _, err := c.conn.Write(frame); err != nil {
			return
		}
	}
}

func (c *Conn) read(handle Handler) error {
	r := bufio.NewReaderSize(c.conn, bufferSize)
	header := make([]byte, headerSize)
	for {
		if err := c.conn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
			return err
		}
		if _, err := io.ReadFull(r, header); err != nil {
			return err
		}
		size := binary.BigEndian.Uint32(header)
		if size > maxBody {
			return result.Errorf(result.BadMessage, "message of %d bytes exceeds the limit", size)
		}
		body := make([]byte, size)
		if _, err := io.ReadFull(r, body); err != nil {
			return err
		}
		if kind := Kind(header[4]); kind != kindPing {
			handle(c, kind, body)
		}
	}
}

// Callbacks are called on the goroutine of the connection. Close gets a nil
// Conn when the connection could not be opened.
type Callbacks struct {
	Open   func(c *Conn)
	Handle Handler
	Close  func(c *Conn, cause error)
}

// run runs a connection until it ends or ctx is done.
func (callbacks Callbacks) run(ctx context.Context, conn net.Conn) {
	c := NewConn(conn)
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	if callbacks.Open != nil {
		callbacks.Open(c)
	}
	err := c.serve(callbacks.Handle)
	if callbacks.Close != nil {
		callbacks.Close(c, err)
	}
}

// Serve accepts connections until the listener is closed. The connections end
// when ctx is done.
func Serve(ctx context.Context, l net.Listener, callbacks Callbacks) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return // the listener is closed
		}
		go callbacks.run(ctx, conn)
	}
}

// Bounds of the back-off between two attempts to connect.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 200 * time.Millisecond
)

// DialOnce makes one attempt to connect to address and runs the connection
// until it ends. It returns an error only if the connection could not be
// opened.
func DialOnce(ctx context.Context, address netip.AddrPort, callbacks Callbacks) error {
	conn, err := dial(ctx, func(ctx context.Context) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", address.String())
	})
	if err != nil {
		if callbacks.Close != nil {
			callbacks.Close(nil, err)
		}
		return err
	}
	callbacks.run(ctx, conn)
	return nil
}

// dial opens a connection. A VM without power does not answer, and TCP sends its
// opening packet again only after a second. dial therefore starts an attempt in
// each dialInterval and takes the first that is answered.
func dial(ctx context.Context, connect func(context.Context) (net.Conn, error)) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	type outcome struct {
		conn net.Conn
		err  error
	}
	const attempts = int(dialTimeout / dialInterval)
	outcomes := make(chan outcome, attempts)
	started := 0
	attempt := func() {
		started++
		go func() {
			conn, err := connect(ctx)
			outcomes <- outcome{conn, err}
		}()
	}
	attempt()
	next := time.NewTicker(dialInterval)
	defer next.Stop()
	for {
		select {
		case <-next.C:
			if started < attempts {
				attempt()
			}
		case first := <-outcomes:
			// The other attempts end with ctx.
			go func(others int) {
				for range others {
					if o := <-outcomes; o.conn != nil {
						o.conn.Close()
					}
				}
			}(started - 1)
			return first.conn, first.err
		}
	}
}

// DialLoop keeps a connection to address until ctx is done, and reconnects
// whenever it ends.
func DialLoop(ctx context.Context, address netip.AddrPort, callbacks Callbacks) {
	retry := minRetryDelay
	for ctx.Err() == nil {
		if err := DialOnce(ctx, address, callbacks); err != nil {
			sleep(ctx, retry)
			retry = min(2*retry, maxRetryDelay)
			continue
		}
		retry = minRetryDelay
		sleep(ctx, minRetryDelay)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
