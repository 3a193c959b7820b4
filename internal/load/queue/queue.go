// Package queue holds the connection attempts that wait for room at the upstreams of
// a service, and decides which is next, which is refused and when.
//
// It answers loads beyond the capacity of a service for longer than its upstreams
// can absorb.
//
// It fails where attempts arrive without a deadline that callers share: those that
// were given up are then placed like others.
package queue

import (
	"slices"
	"time"
)

// turnLength is the number of dequeues of which the last goes to a less urgent
// priority, so that none starves.
const turnLength = 8

// Item is a connection attempt that waits.
type Item[T any] struct {
	Priority int           // lower is more urgent
	Deadline time.Duration // latest time at which it can be placed
	// Late marks attempts that will not be answered within their objective, and
	// those that may have been forwarded before: they come last and are not refused.
	Late  bool
	Value T
}

// class holds the items of a priority in the order of their deadlines.
type class[T any] struct {
	late     bool
	priority int
	items    []Item[T]
}

// Queue is a queue of a service. Items are dequeued by priority, then by deadline,
// the late ones last. It is not safe for concurrent use.
type Queue[T any] struct {
	classes []*class[T] // in the order in which they are dequeued
	fresh   int         // items that are not late
	late    int
	turn    int // dequeues since a less urgent class had one
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return q.fresh + q.late }

// Fresh returns the number of items that are not late.
func (q *Queue[T]) Fresh() int { return q.fresh }

// Push queues an item. If more than limit items that are not late wait then, it
// removes the last of them and returns it: it would wait too long. That may be
// the item itself. Late items are not limited.
func (q *Queue[T]) Push(item Item[T], limit int) (displaced Item[T], full bool) {
	c := q.class(item.Late, item.Priority)
	at, _ := slices.BinarySearchFunc(c.items, item, func(a, b Item[T]) int {
		if a.Deadline <= b.Deadline {
			return -1 // after items with the same deadline
		}
		return 1
	})
	c.items = slices.Insert(c.items, at, item)
	if item.Late {
		q.late++
		return displaced, false
	}
	if q.fresh++; q.fresh <= limit {
		return displaced, false
	}
	return q.removeLast(), true
}

// class returns the class of a priority, which it creates if necessary.
func (q *Queue[T]) class(late bool, priority int) *class[T] {
	at, found := slices.BinarySearchFunc(q.classes, &class[T]{late: late, priority: priority}, compareClasses)
	if !found {
		q.classes = slices.Insert(q.classes, at, &class[T]{late: late, priority: priority})
	}
	return q.classes[at]
}

func compareClasses[T any](a, b *class[T]) int {
	if a.late != b.late {
		if b.late {
			return -1
		}
		return 1
	}
	return a.priority - b.priority
}

// removeLast removes the item that is not late and would be dequeued last.
func (q *Queue[T]) removeLast() Item[T] {
	for _, c := range slices.Backward(q.classes) {
		if n := len(c.items); !c.late && n > 0 {
			item := c.items[n-1]
			c.items = slices.Delete(c.items, n-1, n)
			q.fresh--
			return item
		}
	}
	panic("queue: no item to remove")
}

// Pop removes and returns the next item. One in eight is of a less urgent priority,
// if one waits that is not late.
func (q *Queue[T]) Pop() (item Item[T], ok bool) {
	c := q.next()
	if c == nil {
		return item, false
	}
	if q.isContested() {
		q.turn = (q.turn + 1) % turnLength
	}
	return q.removeFirst(c), true
}

// Peek returns the item that Pop will return.
func (q *Queue[T]) Peek() (item Item[T], ok bool) {
	c := q.next()
	if c == nil {
		return item, false
	}
	return c.items[0], true
}

// next returns the class that is dequeued next, or nil.
func (q *Queue[T]) next() *class[T] {
	if q.turn == turnLength-1 && q.isContested() {
		return q.lessUrgent()
	}
	return q.first()
}

// first returns the first class with items, or nil.
func (q *Queue[T]) first() *class[T] {
	for _, c := range q.classes {
		if len(c.items) > 0 {
			return c
		}
	}
	return nil
}

// lessUrgent returns the class behind the first one with the earliest deadline of
// those that are not late, or nil.
func (q *Queue[T]) lessUrgent() (best *class[T]) {
	first := q.first()
	for _, c := range q.classes {
		if c == first || c.late || len(c.items) == 0 {
			continue
		}
		if best == nil || c.items[0].Deadline < best.items[0].Deadline {
			best = c
		}
	}
	return best
}

// isContested reports whether items of several priorities wait that are not late.
func (q *Queue[T]) isContested() bool {
	first := q.first()
	return first != nil && !first.late && q.fresh > len(first.items)
}

func (q *Queue[T]) removeFirst(c *class[T]) Item[T] {
	item := c.items[0]
	c.items[0] = Item[T]{} // releases the value
	c.items = c.items[1:]
	if c.late {
		q.late--
	} else {
		q.fresh--
	}
	return item
}

// Expire removes an item whose deadline has passed, if there is one.
func (q *Queue[T]) Expire(now time.Duration) (item Item[T], ok bool) {
	for _, c := range q.classes {
		if len(c.items) > 0 && c.items[0].Deadline < now {
			return q.removeFirst(c), true
		}
	}
	return item, false
}

// NextDeadline returns the earliest deadline of all items.
func (q *Queue[T]) NextDeadline() (at time.Duration, ok bool) {
	for _, c := range q.classes {
		if len(c.items) > 0 && (!ok || c.items[0].Deadline < at) {
			at, ok = c.items[0].Deadline, true
		}
	}
	return at, ok
}
