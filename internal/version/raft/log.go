package raft

// raftLog holds the entries after prevIndex. Entries up to stableIndex are
// durable.
//
// Callers keep the slices that slice returns, so their memory is never
// overwritten.
type raftLog struct {
	prevIndex   uint64
	prevTerm    uint64
	entries     []Entry
	stableIndex uint64
}

func (l *raftLog) firstIndex() uint64 { return l.prevIndex + 1 }

func (l *raftLog) lastIndex() uint64 { return l.prevIndex + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index i; ok is false if the log does
// not hold it.
func (l *raftLog) term(i uint64) (term uint64, ok bool) {
	if i == l.prevIndex {
		return l.prevTerm, true
	}
	if i < l.prevIndex || i > l.lastIndex() {
		return 0, false
	}
	return l.entries[i-l.prevIndex-1].Term, true
}

func (l *raftLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// isUpToDate reports whether a log that ends with (index, term) is at least as
// up to date as this one.
func (l *raftLog) isUpToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}

func (l *raftLog) append(entries ...Entry) { l.entries = append(l.entries, entries...) }

// truncate removes the entries from index i on.
func (l *raftLog) truncate(i uint64) {
	n := i - l.prevIndex - 1
	l.entries = l.entries[:n:n]
	l.stableIndex = min(l.stableIndex, i-1)
}

// slice returns the entries in [lo, hi], up to the given number and size. It
// returns at least one entry if the range is not empty. A limit of zero means
// no limit.
func (l *raftLog) slice(lo, hi uint64, maxEntries, maxBytes int) []Entry {
	if lo > hi {
		return nil
	}
	from := lo - l.prevIndex - 1
	to := hi - l.prevIndex
	out := l.entries[from:to:to]
	if maxEntries > 0 && len(out) > maxEntries {
		out = out[:maxEntries:maxEntries]
	}
	if maxBytes <= 0 {
		return out
	}
	size := 0
	for i := range out {
		size += out[i].size()
		if size > maxBytes && i > 0 {
			return out[:i:i]
		}
	}
	return out
}

// compact removes the entries up to index i.
func (l *raftLog) compact(i uint64) {
	if i <= l.prevIndex {
		return
	}
	term, _ := l.term(i)
	rest := l.entries[i-l.prevIndex:]
	l.entries = append(make([]Entry, 0, len(rest)), rest...)
	l.prevIndex = i
	l.prevTerm = term
}

// reset replaces the log by an empty one that starts after a snapshot.
func (l *raftLog) reset(index, term uint64) {
	*l = raftLog{prevIndex: index, prevTerm: term, stableIndex: index}
}

// findConflictByTerm returns the largest index that is at most i and whose
// term is at most term, with its term. If the other log has term at i, the two
// logs cannot match after the returned index. The search ends at prevIndex.
func (l *raftLog) findConflictByTerm(i, term uint64) (index, indexTerm uint64) {
	i = min(i, l.lastIndex())
	for {
		t, ok := l.term(i)
		if !ok {
			return i, 0
		}
		if t <= term || i == l.prevIndex {
			return i, t
		}
		i--
	}
}

// missingSuffix returns the entries from the first one that the log lacks or
// holds with another term, or nil if the log holds all of them.
func (l *raftLog) missingSuffix(entries []Entry) []Entry {
	for i := range entries {
		if !l.matches(entries[i].Index, entries[i].Term) {
			return entries[i:]
		}
	}
	return nil
}
