package link

import "sync"

// queueCapacity bounds the queued messages for one peer.
const queueCapacity = 512

type outgoing struct {
	kind Kind
	body []byte
}

// queue holds the queued messages for one peer. A full queue drops its oldest
// message; the protocols on the links resend lost messages where necessary.
type queue struct {
	mu      sync.Mutex
	items   []outgoing
	dropped uint64
	signal  chan struct{}
}

func newQueue() *queue {
	return &queue{signal: make(chan struct{}, 1)}
}

// push appends m, replacing an older replaceable message of the same kind.
func (q *queue) push(m outgoing) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if m.kind.replaceable() {
		q.remove(m.kind)
	}
	if len(q.items) >= queueCapacity {
		q.items = q.items[1:]
		q.dropped++
	}
	q.items = append(q.items, m)
	select {
	case q.signal <- struct{}{}:
	default:
	}
}

func (q *queue) remove(k Kind) {
	for i := range q.items {
		if q.items[i].kind == k {
			q.items = append(q.items[:i], q.items[i+1:]...)
			return
		}
	}
}

// drain returns and removes all queued messages.
func (q *queue) drain() []outgoing {
	q.mu.Lock()
	defer q.mu.Unlock()
	items := q.items
	q.items = nil
	return items
}

func (q *queue) droppedMessages() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.dropped
}
