package logstore

import (
	"io"

	"github.com/fxamacker/cbor/v2"

	"heatherport/internal/version/raft"
	"heatherport/internal/version/vfs"
)

// contents is the state recorded in a log file.
type contents struct {
	prev    logPosition
	hard    raft.HardState
	entries []raft.Entry // consecutive, starting after prev
}

func (c *contents) lastIndex() uint64 { return c.prev.Index + uint64(len(c.entries)) }

// appendEntries appends entries and replaces those with the same and higher
// indexes. It returns false if the entries do not continue the log: they must be
// consecutive, and the first one must follow prev and leave no gap.
func (c *contents) appendEntries(entries []raft.Entry) bool {
	if len(entries) == 0 {
		return true
	}
	first := entries[0].Index
	if first <= c.prev.Index || first > c.lastIndex()+1 {
		return false
	}
	for i := range entries {
		if entries[i].Index != first+uint64(i) {
			return false
		}
	}
	if first <= c.lastIndex() {
		// Callers may still hold the old slice, so its memory is not
		// overwritten.
		keep := first - c.prev.Index - 1
		c.entries = c.entries[:keep:keep]
	}
	c.entries = append(c.entries, entries...)
	return true
}

// applySnapshot removes the entries that a snapshot covers. Later entries are
// kept only if the log holds the snapshot's last entry.
func (c *contents) applySnapshot(index, term uint64) {
	if index <= c.prev.Index {
		return
	}
	at := index - c.prev.Index
	isPrefix := index <= c.lastIndex() && c.entries[at-1].Term == term
	c.prev = logPosition{Index: index, Term: term}
	if !isPrefix {
		c.entries = nil
		return
	}
	c.entries = append([]raft.Entry(nil), c.entries[at:]...)
}

// encode returns a complete log file.
func (c *contents) encode() ([]byte, error) {
	buf := make([]byte, headerSize)
	copy(buf, logMagic[:])
	hard := c.hard
	next := &record{Prev: &c.prev, HardState: &hard}
	for _, batch := range splitEntries(c.entries) {
		next.Entries = batch
		var err error
		if buf, err = appendRecord(buf, int64(len(buf)), next); err != nil {
			return nil, err
		}
		next = &record{}
	}
	first := headerSlot{sequence: 1, synced: int64(len(buf))}
	copy(buf[first.offset():], first.encode())
	return buf, nil
}

// splitEntries splits entries into batches, one per record, that end once their
// data exceeds recordTargetSize. It returns at least one batch.
func splitEntries(entries []raft.Entry) [][]raft.Entry {
	var out [][]raft.Entry
	from, size := 0, 0
	for i := range entries {
		size += len(entries[i].Data)
		if size > recordTargetSize {
			out = append(out, entries[from:i+1])
			from, size = i+1, 0
		}
	}
	if from < len(entries) || len(out) == 0 {
		out = append(out, entries[from:])
	}
	return out
}

// logFile is the state of an open log file.
type logFile struct {
	file vfs.File
	end  int64      // offset of the next record
	slot headerSlot // last slot written
}

// append writes a record, syncs the file and then writes the synced length.
func (l *logFile) append(r *record) error {
	buf, err := appendRecord(nil, l.end, r)
	if err != nil {
		return err
	}
	if _, err := l.file.WriteAt(buf, l.end); err != nil {
		return storageError(err, "write %s", logName)
	}
	if err := l.file.Sync(); err != nil {
		return storageError(err, "sync %s", logName)
	}
	l.end += int64(len(buf))
	return l.writeSyncedLength()
}

func (l *logFile) writeSyncedLength() error {
	l.slot = headerSlot{sequence: l.slot.sequence + 1, synced: l.end}
	if _, err := l.file.WriteAt(l.slot.encode(), l.slot.offset()); err != nil {
		return storageError(err, "write the header of %s", logName)
	}
	return nil
}

// parsedLog is the result of parsing a log file.
type parsedLog struct {
	contents
	slot headerSlot
	end  int64 // end of the last intact record
	size int64 // size of the file
}

// needsRewrite reports whether the file has bytes that are not known to be
// durable.
func (p *parsedLog) needsRewrite() bool { return p.size != p.slot.synced }

func parseLog(data []byte) (*parsedLog, error) {
	p := &parsedLog{size: int64(len(data))}
	if err := p.parseHeader(data); err != nil {
		return nil, err
	}
	offset := int64(headerSize)
	for offset < p.size {
		next, err := p.parseRecord(data, offset)
		if err != nil {
			return nil, err
		}
		if next == 0 {
			break
		}
		offset = next
	}
	p.end = offset
	return p, nil
}

func (p *parsedLog) parseHeader(data []byte) error {
	if len(data) < headerSize {
		return corruptionError(logName, int64(len(data)), "truncated header")
	}
	if [8]byte(data[:8]) != logMagic {
		return corruptionError(logName, 0, "unsupported log format")
	}
	var ok bool
	if p.slot, ok = newestSlot(data); !ok {
		return corruptionError(logName, slotSpacing, "no intact synced length")
	}
	if p.slot.synced > p.size {
		return corruptionError(logName, p.size, "the file is shorter than its synced length")
	}
	return nil
}

// parseRecord applies the record at offset and returns the offset of the next
// one, or zero if a torn tail starts at offset.
func (p *parsedLog) parseRecord(data []byte, offset int64) (next int64, err error) {
	isSynced := offset < p.slot.synced
	body, next, ok := recordBody(data, offset)
	switch {
	case ok && isSynced && next > p.slot.synced:
		return 0, corruptionError(logName, offset, "the record crosses the synced length")
	case !ok && isSynced:
		return 0, corruptionError(logName, offset, "damaged record")
	case !ok && hasRecordAfter(data, offset):
		return 0, corruptionError(logName, offset, "damaged record before an intact one")
	case !ok:
		return 0, nil
	}
	var r record
	if err := cbor.Unmarshal(body, &r); err != nil {
		return 0, corruptionError(logName, offset, "record body: "+err.Error())
	}
	if (r.Prev != nil) != (offset == headerSize) {
		return 0, corruptionError(logName, offset, "misplaced start record")
	}
	if !p.applyRecord(&r) {
		return 0, corruptionError(logName, offset, "entries do not continue the log")
	}
	return next, nil
}

func (p *parsedLog) applyRecord(r *record) bool {
	if r.Prev != nil {
		p.prev = *r.Prev
	}
	if r.HardState != nil {
		p.hard = *r.HardState
	}
	return p.appendEntries(r.Entries)
}

// readAll returns the contents of a file.
func readAll(f vfs.File) ([]byte, error) {
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(io.NewSectionReader(f, 0, size), data); err != nil {
		return nil, err
	}
	return data, nil
}
