package feed

// Bounds of what a source can replay. The entries cover more than an hour at
// 13,000 changes a day.
const (
	historyCapacity = 1024     // entries
	historyBytes    = 16 << 20 // of their data, unless a single entry is larger
)

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
	bytes       int // data of records
}

func (h *history) reset(index, digest uint64) {
	h.start = index
	h.startDigest = digest
	h.records = nil
	h.bytes = 0
}

func (h *history) append(r record) {
	h.bytes += len(r.entry.Data)
	for len(h.records) > 0 && (len(h.records) >= historyCapacity || h.bytes > historyBytes) {
		h.dropFirst()
	}
	h.records = append(h.records, r)
}

// dropFirst forgets the oldest record.
func (h *history) dropFirst() {
	first := h.records[0]
	h.start = first.entry.Index
	h.startDigest = first.digest
	h.bytes -= len(first.entry.Data)
	h.records[0] = record{}
	h.records = h.records[1:]
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
