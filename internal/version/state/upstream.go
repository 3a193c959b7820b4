package state

import (
	"fmt"
	"net/netip"
	"slices"

	"heatherport/internal/result"
	"heatherport/internal/version"
	"heatherport/internal/version/sheet"
)

// CheckRegister returns the outcome that applying c would have now, and changes
// nothing. It keeps announcements that would be rejected out of the log.
func (m *Machine) CheckRegister(c *RegisterUpstream) Outcome {
	_, o := m.planRegister(c)
	return o
}

// registration is the plan for applying a RegisterUpstream.
type registration struct {
	row        sheet.Upstream
	service    *service
	addr       netip.AddrPort
	current    *upstream // the same incarnation, if registered already
	previous   *upstream // upstream of the same name
	addrHolder *upstream // upstream without a lease that loses the address
}

// planRegister accepts or rejects c. The outcome has the ID of the upstream if
// the same incarnation is registered already.
func (m *Machine) planRegister(c *RegisterUpstream) (registration, Outcome) {
	addr, ok := unicastEndpoint(c.Addr)
	if !ok {
		return registration{}, rejected(result.BadAnnouncement, "addr %s is not a unicast address and port", c.Addr)
	}
	r := registration{addr: addr, previous: m.upstreamsByName[c.Name]}
	if u := r.previous; u != nil && !u.Listed && u.announcedAs(c, addr) {
		return r.renewal()
	}
	r.row, ok = m.upstreamRows[c.Name]
	if !ok || r.row.Service != c.Service {
		return r, rejected(result.UpstreamNotInSheet, "sheet %d lists no upstream %q of service %q",
			m.sheet.Ref.Number, c.Name, c.Service)
	}
	r.service = m.listedServices[c.Service]
	if last := m.incarnations.last[c.Name]; c.Incarnation < last {
		return r, rejected(result.IncarnationStale, "incarnation %d of %q is older than the last one, %d", c.Incarnation, c.Name, last)
	}
	if u := r.previous; u != nil && u.Incarnation == c.Incarnation && u.service == r.service {
		if u.Addr != addr {
			return r, rejected(result.IncarnationConflict, "incarnation %d of %q is registered at %s", c.Incarnation, c.Name, u.Addr)
		}
		return r.renewal()
	}
	return m.planAddress(r)
}

// renewal is the plan for an incarnation that is registered already.
func (r registration) renewal() (registration, Outcome) {
	r.current = r.previous
	return r, Outcome{Upstream: r.current.ID}
}

// planAddress accepts a new incarnation unless its address is in use.
func (m *Machine) planAddress(r registration) (registration, Outcome) {
	holder := m.upstreamsByAddr[r.addr]
	if holder == nil || holder == r.previous {
		return r, Outcome{}
	}
	if holder.Leased {
		o := rejected(result.AddressInUse, "%s belongs to %q", r.addr, holder.Name)
		o.Upstream = holder.ID
		return r, o
	}
	r.addrHolder = holder
	return r, Outcome{}
}

// announcedAs reports whether c announces the same incarnation as u, with the
// same service and address.
func (u *upstream) announcedAs(c *RegisterUpstream, addr netip.AddrPort) bool {
	return u.Incarnation == c.Incarnation && u.service.Name == c.Service && u.Addr == addr
}

// unicastEndpoint returns a with an IPv4-mapped address as IPv4, and reports
// whether it is a unicast address with a port.
func unicastEndpoint(a netip.AddrPort) (netip.AddrPort, bool) {
	addr := a.Addr().Unmap()
	ok := addr.IsValid() && addr.Zone() == "" && a.Port() != 0 && !addr.IsUnspecified() && !addr.IsMulticast()
	return netip.AddrPortFrom(addr, a.Port()), ok
}

func (m *Machine) registerUpstream(c *RegisterUpstream) Outcome {
	r, o := m.planRegister(c)
	if o.Code != result.OK {
		return o
	}
	if r.current != nil {
		m.renewUpstream(&o, r.current, c)
		return o
	}
	if r.previous != nil {
		m.deleteUpstream(&o, r.previous, CauseReplaced)
	}
	if r.addrHolder != nil {
		m.deleteUpstream(&o, r.addrHolder, CauseAddressTaken)
	}
	o.Upstream = m.addUpstream(&o, r, c)
	return o
}

// renewUpstream applies a repeated announcement of a registered incarnation.
func (m *Machine) renewUpstream(o *Outcome, u *upstream, c *RegisterUpstream) {
	before := u.Upstream
	if !u.Leased {
		u.Leased = true
		u.Ramp = 1
	}
	u.announcedSlots = c.Slots
	u.Probe = c.Probe
	u.LoadFactor = c.LoadFactor
	if u.Listed {
		u.applyRow(m.upstreamRows[u.Name])
	}
	m.recordUpstream(o, u, before, CauseAnnounced)
}

func (m *Machine) addUpstream(o *Outcome, r registration, c *RegisterUpstream) version.UpstreamID {
	m.lastIDs.upstream++
	u := &upstream{
		Upstream: version.Upstream{
			ID:          m.lastIDs.upstream,
			Name:        c.Name,
			Incarnation: c.Incarnation,
			Service:     r.service.ID,
			Addr:        r.addr,
			Probe:       c.Probe,
			Healthy:     true,
			Leased:      true,
			LoadFactor:  c.LoadFactor,
			Listed:      true,
		},
		service:        r.service,
		announcedSlots: c.Slots,
	}
	u.applyRow(r.row)
	u.Ramp = 1
	m.upstreams = append(m.upstreams, u)
	m.addToIndexes(u)
	m.incarnations.set(u.Name, u.Incarnation)
	m.markUpstreamDirty(u)
	o.add(Change{Kind: UpstreamRegistered, Subject: u.Name, After: describeUpstream(&u.Upstream), Cause: CauseAnnounced})
	return u.ID
}

func (m *Machine) addToIndexes(u *upstream) {
	u.service.upstreams = append(u.service.upstreams, u)
	m.upstreamsByName[u.Name] = u
	m.upstreamsByAddr[u.Addr] = u
}

// deleteUpstream removes an upstream. Its ID is never reused.
func (m *Machine) deleteUpstream(o *Outcome, u *upstream, cause Cause) {
	u.removed = true
	m.markUpstreamDirty(u)
	if i, ok := slices.BinarySearchFunc(m.upstreams, u.ID, compareUpstream); ok {
		m.upstreams = slices.Delete(m.upstreams, i, i+1)
	}
	if i, ok := slices.BinarySearchFunc(u.service.upstreams, u.ID, compareUpstream); ok {
		u.service.upstreams = slices.Delete(u.service.upstreams, i, i+1)
	}
	delete(m.upstreamsByName, u.Name)
	delete(m.upstreamsByAddr, u.Addr)
	o.add(Change{Kind: UpstreamRemoved, Subject: u.Name, Before: describeUpstream(&u.Upstream), Cause: cause})
	m.deleteIfEmpty(o, u.service)
}

// upstreamStatus applies all updates whose upstream is registered.
func (m *Machine) upstreamStatus(c *UpstreamStatus) Outcome {
	var o Outcome
	known := 0
	for i := range c.Updates {
		if u := m.upstreamByID(c.Updates[i].ID); u != nil {
			m.updateStatus(&o, u, &c.Updates[i])
			known++
		}
	}
	if known == 0 {
		return rejected(result.NotFound, "none of %d upstreams is registered", len(c.Updates))
	}
	return o
}

func (m *Machine) updateStatus(o *Outcome, u *upstream, c *StatusUpdate) {
	before := u.Upstream
	if c.Ramp != nil {
		u.Ramp = min(max(*c.Ramp, 1), version.RampFull)
	}
	if c.LoadFactor != nil {
		u.LoadFactor = *c.LoadFactor
	}
	setFlag(&u.Leased, c.Leased, &u.Ramp)
	if c.Healthy == nil || *c.Healthy || u.belowEjectionLimit() {
		setFlag(&u.Healthy, c.Healthy, &u.Ramp)
	}
	m.recordUpstream(o, u, before, c.Cause)
	if !u.Leased && !u.Listed {
		m.deleteUpstream(o, u, c.Cause)
	}
}

// belowEjectionLimit reports whether the limit on ejections allows marking u as
// unhealthy. The leader checks it too, but the log may still hold commands of an
// earlier leader.
func (u *upstream) belowEjectionLimit() bool {
	if !u.Available() {
		return true
	}
	available, ejected := 0, 0
	for _, other := range u.service.upstreams {
		if !other.Available() {
			continue
		}
		available++
		if !other.Healthy && other != u {
			ejected++
		}
	}
	return version.MayEject(available, ejected)
}

// setFlag sets current to want, if given. An upstream whose flag becomes true
// restarts slow start.
func setFlag(current, want *bool, ramp *uint8) {
	if want == nil {
		return
	}
	if *want && !*current {
		*ramp = 1
	}
	*current = *want
}

// recordUpstream marks u as changed if it differs from before.
func (m *Machine) recordUpstream(o *Outcome, u *upstream, before version.Upstream, cause Cause) {
	if u.Upstream == before {
		return
	}
	m.markUpstreamDirty(u)
	o.add(Change{
		Kind:    UpstreamChanged,
		Subject: u.Name,
		Before:  describeUpstream(&before),
		After:   describeUpstream(&u.Upstream),
		Cause:   cause,
	})
}

func (m *Machine) removeUpstream(c *RemoveUpstream) Outcome {
	u := m.upstreamByID(c.ID)
	if u == nil {
		return rejected(result.NotFound, "no upstream has ID %d", c.ID)
	}
	var o Outcome
	m.deleteUpstream(&o, u, c.Cause)
	return o
}

func describeUpstream(u *version.Upstream) string {
	return fmt.Sprintf("id %d incarnation %d at %s %s slots %d limit %d healthy %t leased %t load %d ramp %d/%d",
		u.ID, u.Incarnation, u.Addr, u.State, u.Slots, u.ConnLimit,
		u.Healthy, u.Leased, u.LoadFactor, u.Ramp, version.RampFull)
}
