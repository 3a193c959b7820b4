package directory

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// DigestBuckets is the number of digests by which two directories are compared.
// With 600 upstreams a bucket holds about ten.
const DigestBuckets = 64

// Digests returns a digest of each bucket of upstreams that have not ended.
// Directories with equal digests hold the same incarnations in the same states.
func (d *Directory) Digests() []uint64 {
	out := make([]uint64, DigestBuckets)
	for _, e := range d.entries {
		if e.State != Gone {
			out[e.bucket()] ^= mix(uint64(e.tag)<<8 | uint64(e.State))
		}
	}
	return out
}

// Differing returns the records of the buckets whose digests differ from other,
// with the numbers of these buckets, and all records that are lapsed, ejected
// or in their slow start, which digests do not cover. If other does not hold DigestBuckets digests, all
// differ.
func (d *Directory) Differing(other []uint64) (records []Record, buckets []int) {
	own := d.Digests()
	differs := make([]bool, DigestBuckets)
	for b := range differs {
		if differs[b] = len(other) != DigestBuckets || own[b] != other[b]; differs[b] {
			buckets = append(buckets, b)
		}
	}
	for _, e := range d.entries {
		if differs[e.bucket()] || e.Lapsed || e.Ejected || e.ColdUntil > d.now {
			records = append(records, d.export(e))
		}
	}
	return records, buckets
}

// Missing returns the identifiers of the upstreams in some buckets that have not
// ended and are not among the records of another directory, which has forgotten
// them.
func (d *Directory) Missing(buckets []int, records []Record) (ids []string) {
	if len(buckets) == 0 {
		return nil
	}
	listed := make(map[string]bool, len(records))
	for _, r := range records {
		listed[r.ID] = true
	}
	for id, e := range d.entries {
		if e.State != Gone && !listed[id] && slices.Contains(buckets, e.bucket()) {
			ids = append(ids, id)
		}
	}
	return ids
}

// bucket depends on the identifier only: all incarnations are in one bucket, so
// that the end of a later one is sent to those that hold an earlier one.
func (e *Entry) bucket() int { return int(xxhash.Sum64String(e.ID) % DigestBuckets) }

// mix is the finalizer of the SplitMix64 generator. Without it the XOR of similar
// values would often be equal.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
