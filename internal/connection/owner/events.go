package owner

import "sync"

const eventStripes = 16

// events queues changes to exceptions from the traffic goroutines for the
// control goroutine. An item with upstream zero means that the connection has
// ended.
type events struct {
	stripes [eventStripes]eventStripe
	spare   []item
}

type eventStripe struct {
	mu    sync.Mutex
	items []item
	_     [32]byte
}

func (q *events) push(it item) {
	s := &q.stripes[it.hash>>8%eventStripes]
	s.mu.Lock()
	s.items = append(s.items, it)
	s.mu.Unlock()
}

// drain calls f for all queued items, in order for each connection.
func (q *events) drain(f func(item)) {
	for i := range q.stripes {
		s := &q.stripes[i]
		s.mu.Lock()
		s.items, q.spare = q.spare[:0], s.items
		s.mu.Unlock()
		for _, it := range q.spare {
			f(it)
		}
	}
}
