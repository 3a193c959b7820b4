package table

import "time"

const (
	wheelSlots = 256
	wheelStep  = time.Second

	// ClosedIdle is the idle timeout after a FIN or RST, long enough for
	// retransmissions and for the acknowledgements of a half-closed
	// connection.
	ClosedIdle = 60 * time.Second
)

// wheel is a timing wheel. A packet does not move its entry. Instead, entries
// that are still active when their slot is due are rescheduled. Timeouts longer
// than one turn of the wheel are rescheduled once per turn.
type wheel struct {
	slots [wheelSlots]int32
	tick  int64 // slots before this one have been processed
}

func (w *wheel) init() {
	for i := range w.slots {
		w.slots[i] = none
	}
}

// expiry returns the time at which e expires if no packet arrives.
func expiry(e *Entry) time.Duration {
	idle := time.Duration(e.Idle) * time.Second
	if e.Flags&Closed != 0 {
		idle = min(idle, ClosedIdle)
	}
	return time.Duration(e.Seen)*Unit + idle
}

func (w *wheel) add(s *Shard, i int32, at time.Duration) {
	tick := max(int64((at+wheelStep-1)/wheelStep), w.tick)
	tick = min(tick, w.tick+wheelSlots-1)
	slot := int16(tick % wheelSlots)
	l := s.link(i)
	l.slot, l.prev, l.next = slot, none, w.slots[slot]
	if l.next != none {
		s.link(l.next).prev = i
	}
	w.slots[slot] = i
}

func (w *wheel) remove(s *Shard, i int32) {
	l := s.link(i)
	if l.prev == none {
		w.slots[l.slot] = l.next
	} else {
		s.link(l.prev).next = l.next
	}
	if l.next != none {
		s.link(l.next).prev = l.prev
	}
}

// advance processes the slots that are due at now.
func (w *wheel) advance(s *Shard, now time.Duration) {
	target := int64(now / wheelStep)
	w.tick = max(w.tick, target-wheelSlots+1)
	for w.tick <= target {
		slot := w.tick % wheelSlots
		w.tick++
		w.expireSlot(s, slot, now)
	}
}

// expireSlot removes the expired entries of a slot and reschedules the others.
func (w *wheel) expireSlot(s *Shard, slot int64, now time.Duration) {
	i := w.slots[slot]
	w.slots[slot] = none
	for i != none {
		e := s.at(i)
		next := s.link(i).next
		w.add(s, i, max(expiry(e), now+1))
		if expiry(e) <= now {
			s.onRemove(e, Expired)
			s.Remove(e)
		}
		i = next
	}
}

// visit calls f for entries in the order in which their slots are due, until f
// returns false.
func (w *wheel) visit(s *Shard, f func(*Entry) bool) {
	for n := int64(0); n < wheelSlots; n++ {
		for i := w.slots[(w.tick+n)%wheelSlots]; i != none; {
			e := s.at(i)
			i = s.link(i).next
			if !f(e) {
				return
			}
		}
	}
}
