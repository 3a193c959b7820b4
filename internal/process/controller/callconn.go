package controller

import (
	"context"
	"net"
	"sync"
	"time"
)

// maxAnnounced bounds the upstreams that are remembered for a connection. An upstream has
// connections of its own; a proxy may carry the calls of several.
const maxAnnounced = 64

// callConn is what is known of a connection on which upstreams call. A withdrawal names no
// incarnation, but it cannot come from one that became known only after its connection was
// opened.
type callConn struct {
	accepted time.Time

	mu        sync.Mutex
	announced map[string]int64 // start of the incarnation that announced itself last, by identifier
}

type callConnKey struct{}

// WithCallConn returns the context of the calls on a new connection. It is the ConnContext of
// the HTTP server.
func WithCallConn(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, callConnKey{}, &callConn{accepted: time.Now(), announced: make(map[string]int64)})
}

// callConnOf returns the connection of a call, or nil if it did not come on one.
func callConnOf(ctx context.Context) *callConn {
	conn, _ := ctx.Value(callConnKey{}).(*callConn)
	return conn
}

// note records an announcement that arrived on the connection.
func (c *callConn) note(id string, startMillis int64) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.announced[id]; !ok && len(c.announced) == maxAnnounced {
		return
	}
	c.announced[id] = startMillis
}

// incarnation returns the start of the incarnation that announced itself last on the
// connection.
func (c *callConn) incarnation(id string) (startMillis int64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	startMillis, ok = c.announced[id]
	return startMillis, ok
}
