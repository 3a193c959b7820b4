package state

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"slices"

	"heatherport/internal/result"
	"heatherport/internal/version"
	"heatherport/internal/version/sheet"
)

// submitSheet is a compare-and-set on the number of the sheet in force.
func (m *Machine) submitSheet(c *SubmitSheet) Outcome {
	o := m.checkAndAcceptSheet(c)
	o.Sheet = m.sheet.Ref
	return o
}

func (m *Machine) checkAndAcceptSheet(c *SubmitSheet) Outcome {
	ref := m.sheet.Ref
	if c.Number < ref.Number {
		return rejected(result.SheetStale, "sheet %d submitted, sheet %d is in force", c.Number, ref.Number)
	}
	if c.Number == ref.Number && ref.Number > 0 {
		if c.Digest == ref.Digest {
			return Outcome{}
		}
		return rejected(result.SheetConflict, "sheet %d is in force with digest %x", ref.Number, ref.Digest)
	}
	s, err := sheet.Parse(bytes.NewReader(c.Canonical))
	if err != nil {
		return rejected(result.CodeOf(err), "%v", err)
	}
	canonical := s.Canonical()
	if s.Number != c.Number || sha256.Sum256(canonical) != c.Digest {
		return rejected(result.BadSheet, "the sheet does not match its number and digest")
	}
	return m.acceptSheet(c, s, canonical)
}

func (m *Machine) acceptSheet(c *SubmitSheet, s *sheet.Sheet, canonical []byte) Outcome {
	var o Outcome
	o.add(Change{
		Kind:    SheetAccepted,
		Subject: fmt.Sprint(c.Number),
		Before:  fmt.Sprintf("%d %x", m.sheet.Ref.Number, m.sheet.Ref.Digest),
		After:   fmt.Sprintf("%d %x", c.Number, c.Digest),
		Cause:   CauseRequested,
		Actor:   c.Operator,
	})
	m.sheet = SheetRecord{
		Ref:       version.SheetRef{Number: c.Number, Digest: c.Digest},
		Canonical: canonical,
		Operator:  c.Operator,
		At:        c.At,
	}
	m.setUpstreamRows(s)
	m.replaceServices(&o, s.Services)
	m.applyRows(&o)
	return o
}

// setUpstreamRows indexes the upstream rows of s and deletes the stored
// incarnations of names that are neither listed nor registered.
func (m *Machine) setUpstreamRows(s *sheet.Sheet) {
	m.upstreamRows = make(map[string]sheet.Upstream, len(s.Upstreams))
	for _, row := range s.Upstreams {
		m.upstreamRows[row.Name] = row
	}
	for name := range m.incarnations.last {
		if _, ok := m.upstreamRows[name]; !ok && m.upstreamsByName[name] == nil {
			m.incarnations.delete(name)
		}
	}
}

// replaceServices sets the listed services to rows. A service keeps its ID while
// its name and key stay the same; one that is no longer listed is retired.
func (m *Machine) replaceServices(o *Outcome, rows []sheet.Service) {
	before := m.listedServices
	m.listedServices = make(map[string]*service, len(rows))
	for i := range rows {
		row := &rows[i]
		s := m.servicesByKey[row.Key]
		if s != nil && s.Name != row.Name {
			m.deleteService(o, s)
			s = nil
		}
		if s == nil {
			s = m.addService(o, row)
		}
		m.updateService(o, s, row)
		m.listedServices[row.Name] = s
	}
	for _, s := range slices.Clone(m.services) {
		if m.listedServices[s.Name] != s && before[s.Name] == s {
			m.retireService(o, s)
		}
	}
}

func (m *Machine) addService(o *Outcome, row *sheet.Service) *service {
	m.lastIDs.service++
	s := &service{Service: version.Service{
		ID:          m.lastIDs.service,
		Name:        row.Name,
		Key:         row.Key,
		IdleTimeout: row.IdleTimeout,
		Idempotent:  row.Idempotent,
	}}
	m.services = append(m.services, s)
	m.servicesByKey[row.Key] = s
	m.markServiceDirty(s)
	o.add(Change{Kind: ServiceAdded, Subject: s.Name, After: describeService(s), Cause: CauseSheet})
	return s
}

func (m *Machine) updateService(o *Outcome, s *service, row *sheet.Service) {
	if s.IdleTimeout == row.IdleTimeout && s.Idempotent == row.Idempotent && !s.Retired {
		return
	}
	before := describeService(s)
	s.IdleTimeout = row.IdleTimeout
	s.Idempotent = row.Idempotent
	s.Retired = false
	m.markServiceDirty(s)
	o.add(Change{Kind: ServiceChanged, Subject: s.Name, Before: before, After: describeService(s), Cause: CauseSheet})
}

// retireService keeps a service that is no longer listed, for the connections
// that its upstreams still have.
func (m *Machine) retireService(o *Outcome, s *service) {
	before := describeService(s)
	s.Retired = true
	m.markServiceDirty(s)
	o.add(Change{
		Kind:    ServiceRetired,
		Subject: s.Name,
		Before:  before,
		After:   describeService(s),
		Cause:   CauseSheet,
	})
	m.deleteIfEmpty(o, s)
}

// deleteService removes a service and its upstreams, since another service has
// taken its key.
func (m *Machine) deleteService(o *Outcome, s *service) {
	s.Retired = true
	for _, u := range slices.Clone(s.upstreams) {
		m.deleteUpstream(o, u, CauseSheet)
	}
	m.deleteIfEmpty(o, s)
}

// deleteIfEmpty removes a retired service without upstreams.
func (m *Machine) deleteIfEmpty(o *Outcome, s *service) {
	if !s.Retired || s.removed || len(s.upstreams) > 0 {
		return
	}
	s.removed = true
	m.markServiceDirty(s)
	m.services = slices.DeleteFunc(m.services, func(other *service) bool { return other == s })
	delete(m.servicesByKey, s.Key)
	o.add(Change{Kind: ServiceRemoved, Subject: s.Name, Before: describeService(s), Cause: CauseSheet})
}

// applyRows applies the rows of the sheet in force to the registered upstreams.
func (m *Machine) applyRows(o *Outcome) {
	for _, u := range slices.Clone(m.upstreams) {
		m.applyRowTo(o, u)
	}
}

func (m *Machine) applyRowTo(o *Outcome, u *upstream) {
	before := u.Upstream
	row, ok := m.upstreamRows[u.Name]
	u.Listed = ok && m.listedServices[row.Service] == u.service
	if u.Listed {
		u.applyRow(row)
	} else {
		u.State = version.Leaving
	}
	if u.Listed || u.Leased {
		m.recordUpstream(o, u, before, CauseSheet)
		return
	}
	m.deleteUpstream(o, u, CauseSheet)
}

// applyRow sets what the sheet declares. An upstream that may receive new
// connections again goes through slow start.
func (u *upstream) applyRow(row sheet.Upstream) {
	wasAvailable := u.State == version.Active || u.State == version.Joining
	u.State = row.State
	u.Slots = row.Slots
	if u.announcedSlots > 0 {
		u.Slots = min(row.Slots, u.announcedSlots)
	}
	u.ConnLimit = row.ConnLimit
	if !wasAvailable {
		u.Ramp = 1
	}
}

func describeService(s *service) string {
	text := fmt.Sprintf("%s port %d/%s idle %s idempotent %t",
		s.Key.Addr, s.Key.Port, s.Key.Protocol, s.IdleTimeout, s.Idempotent)
	if s.Retired {
		return text + " retired"
	}
	return text
}

// rejected returns the outcome of a command that changes nothing because of
// code.
func rejected(code result.Code, format string, args ...any) Outcome {
	return Outcome{Code: code, Detail: fmt.Sprintf(format, args...)}
}

func (o *Outcome) add(c Change) { o.Changes = append(o.Changes, c) }
