package feed

// Bounds of the entries that a source keeps for replay. They cover more than an
// hour at 13,000 changes a day.
const (
	historyCapacity = 1024     // entries
	historyBytes    = 16 << 20 // of entry data; a single larger entry is kept all the same
)

// record is an entry with the digest of the state after it.
type record struct {
	entry  Entry
	digest uint64
}

// history holds the most recently applied entries.
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

// dropFirst evicts the oldest record.
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
