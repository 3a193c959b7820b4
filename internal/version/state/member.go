package state

import (
	"fmt"
	"net/netip"
	"slices"

	"heatherport/internal/result"
	"heatherport/internal/version"
	"heatherport/internal/version/sheet"
)

func (m *Machine) joinMember(c *JoinMember) Outcome {
	relay, ok := unicastEndpoint(c.Relay)
	if !ok {
		return rejected(result.BadMessage, "relay %s is not a unicast address and port", c.Relay)
	}
	if !sheet.ValidName(c.Name) {
		return rejected(result.BadMessage, "name %q is not valid", c.Name)
	}
	for _, other := range m.members {
		if other.Relay == relay && other.Name != c.Name {
			return rejected(result.AddressInUse, "relay %s belongs to %q", relay, other.Name)
		}
	}
	var o Outcome
	if old := m.membersByName[c.Name]; old != nil {
		if o = checkReplaceMember(old, c, relay); o.Code != result.OK || o.Member != 0 {
			return o
		}
		m.deleteMember(&o, old, CauseReplaced)
	}
	o.Member = m.addMember(&o, c, relay)
	return o
}

// checkReplaceMember returns whether c may replace old, the member of the same
// name. The outcome has the ID of old if c is the same incarnation.
func checkReplaceMember(old *member, c *JoinMember, relay netip.AddrPort) Outcome {
	switch {
	case c.Incarnation < old.Incarnation:
		return rejected(result.IncarnationStale, "incarnation %d of %q is older than the registered one, %d", c.Incarnation, c.Name, old.Incarnation)
	case old.Relay != relay:
		return rejected(result.MemberNameTaken, "%q is registered with relay %s", c.Name, old.Relay)
	case c.Incarnation == old.Incarnation:
		return Outcome{Member: old.ID}
	}
	return Outcome{}
}

func (m *Machine) addMember(o *Outcome, c *JoinMember, relay netip.AddrPort) version.MemberID {
	m.lastIDs.member++
	b := &member{Member: version.Member{
		ID:          m.lastIDs.member,
		Name:        c.Name,
		Incarnation: c.Incarnation,
		Domain:      c.Domain,
		Relay:       relay,
		Link:        c.Link,
		API:         c.API,
		Voter:       c.Voter,
	}}
	m.members = append(m.members, b)
	m.membersByName[b.Name] = b
	m.markMemberDirty(b)
	o.add(Change{Kind: MemberJoined, Subject: b.Name, After: describeMember(&b.Member), Cause: CauseRequested})
	return b.ID
}

func (m *Machine) leaveMember(c *LeaveMember) Outcome {
	b := m.memberByID(c.ID)
	if b == nil {
		return rejected(result.MemberUnknown, "no member has ID %d", c.ID)
	}
	var o Outcome
	m.setMemberState(&o, b, version.MemberLeaving, CauseRequested)
	return o
}

func (m *Machine) setMemberState(o *Outcome, b *member, s version.MemberState, cause Cause) {
	if b.State == s {
		return
	}
	before := describeMember(&b.Member)
	b.State = s
	m.markMemberDirty(b)
	o.add(Change{Kind: MemberChanged, Subject: b.Name, Before: before, After: describeMember(&b.Member), Cause: cause})
}

func (m *Machine) removeMember(c *RemoveMember) Outcome {
	b := m.memberByID(c.ID)
	if b == nil {
		return rejected(result.MemberUnknown, "no member has ID %d", c.ID)
	}
	var o Outcome
	m.deleteMember(&o, b, c.Cause)
	return o
}

// deleteMember removes a balancer. If it is an owner, the owners change at once,
// without preparation.
func (m *Machine) deleteMember(o *Outcome, b *member, cause Cause) {
	b.removed = true
	m.markMemberDirty(b)
	m.members = slices.DeleteFunc(m.members, func(other *member) bool { return other == b })
	delete(m.membersByName, b.Name)
	o.add(Change{Kind: MemberRemoved, Subject: b.Name, Before: describeMember(&b.Member), Cause: cause})
	if slices.Contains(m.owners.Current, b.ID) {
		m.replaceOwners(o, without(m.owners.Current, b.ID), cause)
	}
	if slices.Contains(m.owners.Next, b.ID) {
		m.setNextOwners(o, without(m.owners.Next, b.ID), cause)
	}
}

// prepareOwners sets the next owners to all members that are not leaving.
func (m *Machine) prepareOwners() Outcome {
	var o Outcome
	next := make([]version.MemberID, 0, len(m.members))
	for _, b := range m.members {
		if b.State != version.MemberLeaving {
			next = append(next, b.ID)
		}
	}
	if m.owners.Next == nil || !slices.Equal(next, m.owners.Next) {
		m.setNextOwners(&o, next, CauseNone)
	}
	return o
}

// setNextOwners prepares next. It clears the prepared owners if next is empty or
// equal to the current owners.
func (m *Machine) setNextOwners(o *Outcome, next []version.MemberID, cause Cause) {
	before := m.owners.Next
	m.owners.Next = next
	m.owners.PreparedAt = m.index
	if len(next) == 0 || slices.Equal(next, m.owners.Current) {
		m.owners.Next = nil
		m.owners.PreparedAt = 0
	}
	if before == nil && m.owners.Next == nil {
		return
	}
	o.add(m.ownersChange(OwnersPrepared, before, m.owners.Next, cause))
}

func (m *Machine) activateOwners(c *ActivateOwners) Outcome {
	if m.owners.Next == nil || m.owners.PreparedAt != c.Prepared {
		return rejected(result.NotFound, "no owners were prepared at index %d", c.Prepared)
	}
	var o Outcome
	next := m.owners.Next
	m.owners.Next = nil
	m.owners.PreparedAt = 0
	m.replaceOwners(&o, next, c.Cause)
	for _, id := range next {
		if b := m.memberByID(id); b != nil && b.State == version.MemberJoining {
			m.setMemberState(&o, b, version.MemberActive, c.Cause)
		}
	}
	return o
}

func (m *Machine) replaceOwners(o *Outcome, current []version.MemberID, cause Cause) {
	before := m.owners.Current
	m.owners.Epoch++
	m.owners.Previous = before
	m.owners.Current = current
	o.add(m.ownersChange(OwnersActivated, before, current, cause))
}

// maxListedMembers is the size up to which the audit trail lists a set of owners.
// For a larger set it has the size and the difference.
const maxListedMembers = 16

// ownersChange returns the audit record of a change of the owners.
func (m *Machine) ownersChange(kind ChangeKind, before, after []version.MemberID, cause Cause) Change {
	c := Change{Kind: kind, Subject: "owners", Cause: cause}
	if max(len(before), len(after)) <= maxListedMembers {
		c.Before = m.describeMembers(before)
		c.After = m.describeMembers(after)
		return c
	}
	c.Before = fmt.Sprintf("%d members", len(before))
	c.After = fmt.Sprintf("%d members", len(after))
	if len(before) > 0 && len(after) > 0 {
		c.Before += m.describeMissing(before, after)
		c.After += m.describeMissing(after, before)
	}
	return c
}

// describeMissing lists up to maxListedMembers members of set that are not in
// other. Both are ordered.
func (m *Machine) describeMissing(set, other []version.MemberID) string {
	missing := slices.DeleteFunc(slices.Clone(set), func(id version.MemberID) bool {
		_, found := slices.BinarySearch(other, id)
		return found
	})
	switch n := len(missing); {
	case n == 0:
		return ""
	case n > maxListedMembers:
		return fmt.Sprintf(", among them %s and %d more", m.describeMembers(missing[:maxListedMembers]), n-maxListedMembers)
	}
	return ", among them " + m.describeMembers(missing)
}

// describeMembers lists the names of members for the audit trail, or the ID of a
// member that was removed.
func (m *Machine) describeMembers(ids []version.MemberID) string {
	names := make([]string, len(ids))
	for i, id := range ids {
		names[i] = fmt.Sprint(id)
		if b := m.memberByID(id); b != nil {
			names[i] = b.Name
		}
	}
	return fmt.Sprint(names)
}

// without returns a copy of ids without id.
func without(ids []version.MemberID, id version.MemberID) []version.MemberID {
	return slices.DeleteFunc(slices.Clone(ids), func(other version.MemberID) bool { return other == id })
}

func describeMember(b *version.Member) string {
	return fmt.Sprintf("id %d incarnation %d domain %s relay %s voter %t %s",
		b.ID, b.Incarnation, b.Domain, b.Relay, b.Voter, b.State)
}
