package controller

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"heatherport/internal/process/stream"
)

// link is the connection that this controller opens to another one.
type link struct {
	conn *stream.Conn // nil while disconnected
	// synchronized reports that the peer was sent all records that it lacked, so that
	// it may be sent changes. The replicated log and submissions do not wait for that.
	synchronized bool
	// calls are the submissions that wait for their result.
	calls map[uint64]func(accepted bool)
}

// links are the connections to all known controllers, by link address. They are
// safe for concurrent use.
type links struct {
	ctx       context.Context
	self      netip.AddrPort
	callbacks func(address netip.AddrPort) stream.Callbacks

	mu       sync.Mutex
	byAddr   map[netip.AddrPort]*link
	nextCall uint64
}

func newLinks(ctx context.Context, self netip.AddrPort, callbacks func(netip.AddrPort) stream.Callbacks) *links {
	return &links{ctx: ctx, self: self, callbacks: callbacks, byAddr: make(map[netip.AddrPort]*link)}
}

// connect opens connections to those addresses that are not known yet.
func (l *links) connect(addresses ...netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range addresses {
		if !a.IsValid() || a == l.self || l.byAddr[a] != nil {
			continue
		}
		l.byAddr[a] = &link{calls: make(map[uint64]func(bool))}
		go stream.DialLoop(l.ctx, a, l.callbacks(a))
	}
}

// addresses returns the link addresses of all known controllers, including this
// one.
func (l *links) addresses() []netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []netip.AddrPort{l.self}
	for a := range l.byAddr {
		out = append(out, a)
	}
	return out
}

// hasNoPeers reports whether no other controller is known.
func (l *links) hasNoPeers() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.byAddr) == 0
}

func (l *links) setConn(address netip.AddrPort, c *stream.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byAddr[address].conn = c
	l.byAddr[address].synchronized = false
}

// setSynchronized lets broadcasts go to a connection. It does nothing if another
// connection has taken its place.
func (l *links) setSynchronized(address netip.AddrPort, c *stream.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k := l.byAddr[address]; k.conn == c {
		k.synchronized = true
	}
}

// connClosed removes a connection. The outcome of the submissions that wait on
// it is unknown.
func (l *links) connClosed(address netip.AddrPort, c *stream.Conn) {
	l.mu.Lock()
	k := l.byAddr[address]
	var lost map[uint64]func(bool)
	if k.conn == c {
		k.conn = nil
		lost = k.calls
		k.calls = make(map[uint64]func(bool))
	}
	l.mu.Unlock()
	for _, done := range lost {
		done(false)
	}
}

// send queues a frame for a controller. It reports false when no connection is
// open.
func (l *links) send(address netip.AddrPort, frame []byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.byAddr[address]
	return k != nil && k.conn != nil && k.conn.Send(frame)
}

// broadcast queues a frame for all controllers with a synchronized connection and
// returns their number.
func (l *links) broadcast(frame []byte) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, k := range l.byAddr {
		if k.conn != nil && k.synchronized && k.conn.Send(frame) {
			n++
		}
	}
	return n
}

// submit sends a document to the controller at address. done is called with the
// result; false means that the outcome is unknown.
func (l *links) submit(address netip.AddrPort, data []byte, done func(accepted bool)) {
	l.mu.Lock()
	k := l.byAddr[address]
	if k == nil || k.conn == nil {
		l.mu.Unlock()
		done(false)
		return
	}
	l.nextCall++
	call := l.nextCall
	k.calls[call] = done
	conn := k.conn
	l.mu.Unlock()
	frame, err := stream.Encode(KindSubmit, Submit{Call: call, Data: data})
	if err != nil || !conn.Send(frame) {
		l.finishCall(address, call, false)
	}
}

// finishCall passes the result of a submission to its caller.
func (l *links) finishCall(address netip.AddrPort, call uint64, accepted bool) {
	l.mu.Lock()
	k := l.byAddr[address]
	done := k.calls[call]
	delete(k.calls, call)
	l.mu.Unlock()
	if done != nil {
		done(accepted)
	}
}

// peerTable holds the controllers from which a Hello arrived. It is safe for
// concurrent use.
type peerTable struct {
	mu   sync.Mutex
	byID map[string]peer
}

type peer struct {
	Member
	lastSeen time.Time
}

func newPeerTable() *peerTable { return &peerTable{byID: make(map[string]peer)} }

func (t *peerTable) add(m Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byID[m.ID] = peer{Member: m, lastSeen: time.Now()}
}

// touch records a message of a controller that has sent a Hello before.
func (t *peerTable) touch(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if k, ok := t.byID[id]; ok {
		k.lastSeen = time.Now()
		t.byID[id] = k
	}
}

// candidates returns all peers by ID.
func (t *peerTable) candidates() map[string]candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]candidate, len(t.byID))
	for id, k := range t.byID {
		out[id] = candidate{Member: k.Member, inactivity: time.Since(k.lastSeen)}
	}
	return out
}

// members returns the peers whose last message is not older than age, sorted by
// ID.
func (t *peerTable) members(age time.Duration) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Member
	for _, k := range t.byID {
		if time.Since(k.lastSeen) < age {
			out = append(out, k.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// inDomain returns a peer in a failure domain whose last message is not older
// than age, if there is one.
func (t *peerTable) inDomain(domain string, age time.Duration) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	best, found := Member{}, false
	for _, k := range t.byID {
		if k.Domain == domain && time.Since(k.lastSeen) < age && (!found || k.ID < best.ID) {
			best, found = k.Member, true
		}
	}
	return best, found
}
