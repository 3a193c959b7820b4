package queue

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const unlimited = 1 << 30

func item(name string, priority int, deadline time.Duration) Item[string] {
	return Item[string]{Priority: priority, Deadline: deadline, Value: name}
}

func late(name string, priority int, deadline time.Duration) Item[string] {
	return Item[string]{Priority: priority, Deadline: deadline, Late: true, Value: name}
}

// popAll returns the values of all items in the order in which they are dequeued.
func popAll(q *Queue[string]) (names []string) {
	for {
		i, ok := q.Pop()
		if !ok {
			return names
		}
		names = append(names, i.Value)
	}
}

func TestOrderIsByPriorityThenDeadline(t *testing.T) {
	var q Queue[string]
	for _, i := range []Item[string]{
		late("late urgent", 1, 1), item("normal second", 2, 20), item("urgent second", 1, 9), late("late normal", 2, 0),
		item("normal first", 2, 10), item("urgent first", 1, 8), item("urgent third", 1, 9),
	} {
		_, full := q.Push(i, unlimited)
		must.False(t, full)
	}
	must.Eq(t, 7, q.Len())
	must.Eq(t, 5, q.Fresh())
	must.Eq(t, []string{"urgent first", "urgent second", "urgent third", "normal first", "normal second", "late urgent", "late normal"}, popAll(&q))
	must.Zero(t, q.Len())
}

// An attempt that is displaced is refused while its caller can still try elsewhere.
func TestMoreUrgentItemDisplacesTheLast(t *testing.T) {
	var q Queue[string]
	q.Push(item("normal first", 2, 10), 2)
	q.Push(item("normal second", 2, 20), 2)
	displaced, full := q.Push(item("urgent", 1, 30), 2)
	must.True(t, full)
	must.Eq(t, "normal second", displaced.Value)
	displaced, full = q.Push(item("normal third", 2, 40), 2)
	must.True(t, full)
	must.Eq(t, "normal third", displaced.Value)
	must.Eq(t, []string{"urgent", "normal first"}, popAll(&q))
}

// A late item may have been forwarded before, so that it cannot be refused.
func TestLateItemsAreNeitherLimitedNorDisplaced(t *testing.T) {
	var q Queue[string]
	for range 5 {
		_, full := q.Push(late("late", 1, 1), 0)
		must.False(t, full)
	}
	displaced, full := q.Push(item("fresh", 1, 1), 0)
	must.True(t, full)
	must.Eq(t, "fresh", displaced.Value)
	must.Eq(t, 5, q.Len())
}

func TestOneDequeueInEightGoesToTheLessUrgent(t *testing.T) {
	var q Queue[string]
	for i := range 40 {
		q.Push(item("urgent", 1, time.Duration(i)), unlimited)
		q.Push(item("normal", 2, time.Duration(i)), unlimited)
	}
	for range 4 {
		normal := 0
		for range turnLength {
			if i, _ := q.Pop(); i.Value == "normal" {
				normal++
			}
		}
		must.Eq(t, 1, normal)
	}
}

// With a fixed order among less urgent priorities, the last of three would starve.
func TestTurnsGoToTheEarliestDeadlineOfTheLessUrgent(t *testing.T) {
	var q Queue[string]
	for i := range 40 {
		q.Push(item("urgent", 1, time.Duration(i)), unlimited)
		q.Push(item("normal", 2, time.Duration(2*i+1)), unlimited)
		q.Push(item("bulk", 3, time.Duration(2*i)), unlimited)
	}
	got := map[string]int{}
	for range 4 * turnLength {
		i, _ := q.Pop()
		got[i.Value]++
	}
	must.Eq(t, map[string]int{"urgent": 4 * (turnLength - 1), "normal": 2, "bulk": 2}, got)
}

// Dequeues while nothing less urgent waits earn it no turn.
func TestTurnsCountOnlyWhileTheLessUrgentWaits(t *testing.T) {
	var q Queue[string]
	for range 20 {
		q.Push(item("urgent", 1, 0), unlimited)
	}
	for range 10 {
		q.Pop()
	}
	q.Push(item("normal", 2, 0), unlimited)
	first, _ := q.Pop()
	must.Eq(t, "urgent", first.Value)
}

func TestExpireRemovesItemsPastTheirDeadline(t *testing.T) {
	var q Queue[string]
	q.Push(item("urgent", 1, 30), unlimited)
	q.Push(item("normal", 2, 10), unlimited)
	q.Push(late("late", 2, 20), unlimited)
	at, ok := q.NextDeadline()
	must.True(t, ok)
	must.Eq(t, 10, at)
	_, ok = q.Expire(10)
	must.False(t, ok)
	var names []string
	for {
		i, ok := q.Expire(21)
		if !ok {
			break
		}
		names = append(names, i.Value)
	}
	must.Eq(t, []string{"normal", "late"}, names)
	must.Eq(t, 1, q.Len())
}

func TestEmptyQueue(t *testing.T) {
	var q Queue[string]
	_, ok := q.Pop()
	must.False(t, ok)
	_, ok = q.Peek()
	must.False(t, ok)
	_, ok = q.NextDeadline()
	must.False(t, ok)
}

// model is the list of waiting items.
type model struct {
	queue Queue[int]
	items []Item[int]
	next  int
	run   int // dequeues in a row that passed over a less urgent fresh item
}

// inOrder compares items by the order of the queue.
func inOrder(a, b Item[int]) int {
	if a.Late != b.Late {
		if b.Late {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Deadline, b.Deadline), cmp.Compare(a.Value, b.Value))
}

func (m *model) remove(i Item[int]) {
	m.items = slices.DeleteFunc(m.items, func(o Item[int]) bool { return o.Value == i.Value })
}

func (m *model) push(t *rapid.T) {
	m.next++
	i := Item[int]{
		Priority: rapid.IntRange(0, 3).Draw(t, "priority"), Deadline: time.Duration(rapid.IntRange(0, 20).Draw(t, "deadline")),
		Late: rapid.IntRange(0, 3).Draw(t, "late") == 0, Value: m.next,
	}
	m.items = append(m.items, i)
	slices.SortFunc(m.items, inOrder)
	fresh := slices.DeleteFunc(slices.Clone(m.items), func(i Item[int]) bool { return i.Late })
	limit := rapid.IntRange(0, 12).Draw(t, "limit")
	displaced, full := m.queue.Push(i, limit)
	must.Eq(t, !i.Late && len(fresh) > limit, full)
	if full {
		must.Eq(t, fresh[len(fresh)-1], displaced)
		m.remove(displaced)
	}
}

func (m *model) pop(t *rapid.T) {
	peeked, _ := m.queue.Peek()
	got, ok := m.queue.Pop()
	must.Eq(t, len(m.items) > 0, ok)
	must.Eq(t, peeked, got)
	if !ok {
		return
	}
	if got.Value != m.items[0].Value { // a turn of a less urgent item
		must.False(t, got.Late)
		must.Less(t, got.Priority, m.items[0].Priority)
	}
	if m.passesLessUrgent(got) {
		m.run++
	} else {
		m.run = 0
	}
	must.Less(t, turnLength, m.run, must.Sprint("less urgent item starves"))
	m.remove(got)
}

// passesLessUrgent reports whether a less urgent item that is not late waits on.
func (m *model) passesLessUrgent(got Item[int]) bool {
	return !got.Late && got.Value == m.items[0].Value && slices.ContainsFunc(m.items, func(i Item[int]) bool { return !i.Late && i.Priority > got.Priority })
}

func (m *model) expire(t *rapid.T) {
	now := time.Duration(rapid.IntRange(0, 20).Draw(t, "now"))
	if got, ok := m.queue.Expire(now); ok {
		must.Less(t, now, got.Deadline)
		m.remove(got)
		return
	}
	for _, i := range m.items {
		must.GreaterEq(t, now, i.Deadline)
	}
}

// TestQueueAgreesWithSortedList checks order, displacement, turns and expiry
// against a sorted list.
func TestQueueAgreesWithSortedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{}
		t.Repeat(map[string]func(*rapid.T){
			"push": m.push, "pop": m.pop, "expire": m.expire,
			"": func(t *rapid.T) { must.Eq(t, len(m.items), m.queue.Len()) },
		})
	})
}

// The work per packet must stay small while a thousand packets wait.
func BenchmarkPushPop(b *testing.B) {
	var q Queue[int]
	for i := range 1000 {
		q.Push(Item[int]{Priority: i % 2, Deadline: time.Duration(i)}, unlimited)
	}
	for i := 1000; b.Loop(); i++ {
		q.Push(Item[int]{Priority: i % 2, Deadline: time.Duration(i)}, unlimited)
		q.Pop()
	}
}
