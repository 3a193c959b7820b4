package feed

// historyCapacity is the number of entries that a source can replay. It
// covers more than an hour at 13,000 changes a day.
const historyCapacity = 1024

// record is an entry with the digest of the state that it led to.
type record struct {
	entry  Entry
	digest uint64
}

// history holds the newest applied entries.
type history struct {
	// start is the index of the state before the first record.
	start       uint64
	startDigest uint64
	records     []record
}

func (h *history) reset(index, digest uint64) {
	h.start = index
	h.startDigest = digest
	h.records = nil
}

func (h *history) append(r record) {
	if len(h.records) >= historyCapacity {
		h.start = h.records[0].entry.Index
		h.startDigest = h.records[0].digest
		h.records = h.records[1:]
	}
	h.records = append(h.records, r)
}

// last returns the position after the newest record.
func (h *history) last() (index, digest uint64) {
	if len(h.records) == 0 {
		return h.start, h.startDigest
	}
	r := h.records[len(h.records)-1]
	return r.entry.Index, r.digest
}

// after returns the records that follow the state at index, provided that the
// state there has the given digest.
func (h *history) after(index, digest uint64) ([]record, bool) {
	if index == h.start {
		return h.records, digest == h.startDigest
	}
	for i := range h.records {
		if h.records[i].entry.Index == index {
			return h.records[i+1:], h.records[i].digest == digest
		}
	}
	return nil, false
}
