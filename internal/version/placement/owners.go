package placement

import "heatherport/internal/version"

// Slots is the number of slots into which connection hashes fall for
// ownership. Its bits are disjoint from those of the bucket.
const Slots = 1 << 12

// Slot returns the ownership slot of a connection hash.
func Slot(hash uint64) uint16 { return uint16(hash>>36) & (Slots - 1) }

// OwnerTable gives the owner and the standby of every slot under one set of
// members. Without its owner, a set gives the slot to the standby.
type OwnerTable struct {
	owner, standby [Slots]version.MemberID
}

// BuildOwners ranks members over all slots.
func NewOwnerTable(members []version.MemberID) *OwnerTable {
	t := new(OwnerTable)
	for slot := range t.owner {
		t.owner[slot], t.standby[slot] = firstTwo(members, slot)
	}
	return t
}

func firstTwo(members []version.MemberID, slot int) (first, second version.MemberID) {
	var high, next uint64
	for _, m := range members {
		h := mix(mix(uint64(m)) ^ uint64(slot))
		switch {
		case first == 0 || h > high:
			second, next = first, high
			first, high = m, h
		case second == 0 || h > next:
			second, next = m, h
		}
	}
	return first, second
}

// Owner returns the owner of slot, or zero when the set is empty.
func (t *OwnerTable) Owner(slot uint16) version.MemberID { return t.owner[slot&(Slots-1)] }

// Standby returns the standby of slot, or zero when the set has one member.
func (t *OwnerTable) Standby(slot uint16) version.MemberID { return t.standby[slot&(Slots-1)] }
