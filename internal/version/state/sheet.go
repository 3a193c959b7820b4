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
	o := m.admitSheet(c)
	o.Sheet = m.sheet.Ref
	return o
}

func (m *Machine) admitSheet(c *SubmitSheet) Outcome {
	ref := m.sheet.Ref
	if c.Number < ref.Number {
		return refuse(result.SheetStale, "sheet %d submitted, sheet %d is in force", c.Number, ref.Number)
	}
	if c.Number == ref.Number && ref.Number > 0 {
		if c.Digest == ref.Digest {
			return Outcome{}
		}
		return refuse(result.SheetConflict, "sheet %d is in force with digest %x", ref.Number, ref.Digest)
	}
	s, err := sheet.Parse(bytes.NewReader(c.Canonical))
	if err != nil {
		return refuse(result.CodeOf(err), "%v", err)
	}
	canonical := s.Canonical()
	if s.Number != c.Number || sha256.Sum256(canonical) != c.Digest {
		return refuse(result.BadSheet, "the sheet does not match its number and digest")
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
	m.loadRows(s)
	m.replaceServices(&o, s.Services)
	m.relistUpstreams(&o)
	return o
}

// loadRows indexes the upstream rows of s and forgets the incarnations of
// names that it does not list and that are not registered.
func (m *Machine) loadRows(s *sheet.Sheet) {
	m.rows = make(map[string]sheet.Upstream, len(s.Upstreams))
	for _, row := range s.Upstreams {
		m.rows[row.Name] = row
	}
	for name := range m.incarnations.last {
		if _, ok := m.rows[name]; !ok && m.names[name] == nil {
			m.incarnations.drop(name)
		}
	}
}

// replaceServices makes rows the listed services. A service keeps its ID while
// its name and key stay; one that is no longer listed is retired.
func (m *Machine) replaceServices(o *Outcome, rows []sheet.Service) {
	before := m.listed
	m.listed = make(map[string]*service, len(rows))
	for i := range rows {
		row := &rows[i]
		s := m.keys[row.Key]
		if s != nil && s.Name != row.Name {
			m.dropService(o, s)
			s = nil
		}
		if s == nil {
			s = m.addService(o, row)
		}
		m.updateService(o, s, row)
		m.listed[row.Name] = s
	}
	for _, s := range slices.Clone(m.services) {
		if m.listed[s.Name] != s && before[s.Name] == s {
			m.retireService(o, s)
		}
	}
}

func (m *Machine) addService(o *Outcome, row *sheet.Service) *service {
	m.counters.service++
	s := &service{Service: version.Service{
		ID:          m.counters.service,
		Name:        row.Name,
		Key:         row.Key,
		IdleTimeout: row.IdleTimeout,
		Idempotent:  row.Idempotent,
	}}
	m.services = append(m.services, s)
	m.keys[row.Key] = s
	m.touchService(s)
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
	m.touchService(s)
	o.add(Change{Kind: ServiceChanged, Subject: s.Name, Before: before, After: describeService(s), Cause: CauseSheet})
}

// retireService keeps a service that is no longer listed for the connections
// that its upstreams hold.
func (m *Machine) retireService(o *Outcome, s *service) {
	before := describeService(s)
	s.Retired = true
	m.touchService(s)
	o.add(Change{
		Kind:    ServiceRetired,
		Subject: s.Name,
		Before:  before,
		After:   describeService(s),
		Cause:   CauseSheet,
	})
	m.removeIfEmpty(o, s)
}

// dropService removes a service whose key another service takes.
func (m *Machine) dropService(o *Outcome, s *service) {
	s.Retired = true
	for _, u := range slices.Clone(s.upstreams) {
		m.dropUpstream(o, u, CauseSheet)
	}
	m.removeIfEmpty(o, s)
}

// removeIfEmpty removes a retired service without upstreams.
func (m *Machine) removeIfEmpty(o *Outcome, s *service) {
	if !s.Retired || s.removed || len(s.upstreams) > 0 {
		return
	}
	s.removed = true
	m.touchService(s)
	m.services = slices.DeleteFunc(m.services, func(other *service) bool { return other == s })
	delete(m.keys, s.Key)
	o.add(Change{Kind: ServiceRemoved, Subject: s.Name, Before: describeService(s), Cause: CauseSheet})
}

// relistUpstreams applies the rows of the sheet in force to the upstreams that
// are registered.
func (m *Machine) relistUpstreams(o *Outcome) {
	for _, u := range slices.Clone(m.upstreams) {
		m.relistUpstream(o, u)
	}
}

func (m *Machine) relistUpstream(o *Outcome, u *upstream) {
	before := u.Upstream
	row, ok := m.rows[u.Name]
	u.Listed = ok && m.listed[row.Service] == u.service
	if u.Listed {
		u.applyRow(row)
	} else {
		u.State = version.Leaving
	}
	if u.Listed || u.Leased {
		m.recordUpstream(o, u, before, CauseSheet)
		return
	}
	m.dropUpstream(o, u, CauseSheet)
}

// applyRow takes over what the sheet declares. An upstream that may receive
// new connections again goes through slow start.
func (u *upstream) applyRow(row sheet.Upstream) {
	wasOpen := u.State == version.Active || u.State == version.Joining
	u.State = row.State
	u.Slots = row.Slots
	if u.announced > 0 {
		u.Slots = min(row.Slots, u.announced)
	}
	u.ConnLimit = row.ConnLimit
	if !wasOpen {
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

// refuse returns an outcome that changes nothing.
func refuse(code result.Code, format string, args ...any) Outcome {
	return Outcome{Code: code, Detail: fmt.Sprintf(format, args...)}
}

func (o *Outcome) add(c Change) { o.Changes = append(o.Changes, c) }
