package model

import "time"

// event is something that happens at a time. Events of one time happen in the order in
// which they were added.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

func (e *event) before(o *event) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

// events is a heap of events with the next one first.
type events struct {
	heap []event
	seq  uint64
}

func (q *events) push(at time.Duration, do func()) {
	q.seq++
	q.heap = append(q.heap, event{at, q.seq, do})
	for i := len(q.heap) - 1; i > 0; {
		parent := (i - 1) / 2
		if !q.heap[i].before(&q.heap[parent]) {
			return
		}
		q.heap[i], q.heap[parent] = q.heap[parent], q.heap[i]
		i = parent
	}
}

func (q *events) pop() event {
	next := q.heap[0]
	last := len(q.heap) - 1
	q.heap[0] = q.heap[last]
	q.heap[last] = event{}
	q.heap = q.heap[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			return next
		}
		if child+1 < last && q.heap[child+1].before(&q.heap[child]) {
			child++
		}
		if !q.heap[child].before(&q.heap[i]) {
			return next
		}
		q.heap[i], q.heap[child] = q.heap[child], q.heap[i]
		i = child
	}
}
