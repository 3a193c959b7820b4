// Package state is the replicated state machine: it applies the commands of the
// replicated log and produces versions and audit records. It uses no clock and
// no random numbers, so all replicas that apply the same commands have the same
// state.
//
// A service keeps its ID while its name, address, port and protocol stay the
// same. A sheet that drops or moves a service retires the old one: it receives
// no new connections, and its upstreams keep their IDs and belong to it as long
// as they announce themselves. An upstream belongs to one service at a time; it
// moves to another one with its next incarnation. An operator who moves a
// service therefore first lists it at the new address with new upstreams, and
// later drops the old one.
package state

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"heatherport/internal/result"
	"heatherport/internal/version"
	"heatherport/internal/version/sheet"
)

// Machine is the replicated state. It is not safe for concurrent use; the
// versions that it returns are.
type Machine struct {
	index   uint64
	sheet   SheetRecord
	lastIDs idCounters
	owners  version.Owners

	services  []*service  // ordered by ID
	upstreams []*upstream // ordered by ID
	members   []*member   // ordered by ID

	upstreamRows    map[string]sheet.Upstream // upstream rows of the sheet in force
	listedServices  map[string]*service       // services of the sheet in force by name
	servicesByKey   map[version.ServiceKey]*service
	upstreamsByName map[string]*upstream
	upstreamsByAddr map[netip.AddrPort]*upstream
	membersByName   map[string]*member
	incarnations    incarnations // of upstreams, by name

	hashSum uint64 // sum of the hashes of all entities
	dirty   dirtyEntities
	version *version.Version // last returned by Version; nil before the first
	stale   staleParts
}

// SheetRecord is an accepted sheet with its origin.
type SheetRecord struct {
	Ref       version.SheetRef
	Canonical []byte
	Operator  string
	At        int64 // time of submission, Unix milliseconds
}

// idCounters holds the last IDs assigned.
type idCounters struct {
	service  version.ServiceID
	upstream version.UpstreamID
	member   version.MemberID
}

type service struct {
	version.Service
	upstreams []*upstream // ordered by ID
	hash      uint64
	dirty     bool
	removed   bool
}

type upstream struct {
	version.Upstream
	service        *service
	announcedSlots uint32 // zero if the upstream announced none
	hash           uint64
	dirty          bool
	removed        bool
}

type member struct {
	version.Member
	hash    uint64
	dirty   bool
	removed bool
}

// dirtyEntities lists the entities changed by the current command.
type dirtyEntities struct {
	services  []*service
	upstreams []*upstream
	members   []*member
}

// staleParts records which parts of the last version are out of date.
type staleParts struct {
	services  bool
	upstreams bool
	members   bool
}

// New returns the state before the first command.
func New() *Machine {
	return &Machine{
		upstreamRows:    make(map[string]sheet.Upstream),
		listedServices:  make(map[string]*service),
		servicesByKey:   make(map[version.ServiceKey]*service),
		upstreamsByName: make(map[string]*upstream),
		upstreamsByAddr: make(map[netip.AddrPort]*upstream),
		membersByName:   make(map[string]*member),
		incarnations:    incarnations{last: make(map[string]uint64)},
		stale:           staleParts{true, true, true},
	}
}

// Index returns the index of the last applied command.
func (m *Machine) Index() uint64 { return m.index }

// Sheet returns the sheet in force; its number is zero when there is none.
func (m *Machine) Sheet() SheetRecord { return m.sheet }

// Apply applies the command at index. It changes nothing if a command at that or
// a later index was applied already.
func (m *Machine) Apply(index uint64, c Command) Outcome {
	if index <= m.index {
		return rejected(result.Internal, "index %d is not after the last applied index %d", index, m.index)
	}
	m.index = index
	o := m.dispatch(c)
	o.Index = index
	m.refresh()
	return o
}

func (m *Machine) dispatch(c Command) Outcome {
	if n := c.count(); n > 1 {
		return rejected(result.BadMessage, "%d commands in one entry", n)
	}
	switch {
	case c.SubmitSheet != nil:
		return m.submitSheet(c.SubmitSheet)
	case c.RegisterUpstream != nil:
		return m.registerUpstream(c.RegisterUpstream)
	case c.UpstreamStatus != nil:
		return m.upstreamStatus(c.UpstreamStatus)
	case c.RemoveUpstream != nil:
		return m.removeUpstream(c.RemoveUpstream)
	case c.JoinMember != nil:
		return m.joinMember(c.JoinMember)
	case c.LeaveMember != nil:
		return m.leaveMember(c.LeaveMember)
	case c.RemoveMember != nil:
		return m.removeMember(c.RemoveMember)
	case c.PrepareBase != nil:
		return m.prepareBase(c.PrepareBase)
	case c.AdvanceBase != nil:
		return m.advanceBase(c.AdvanceBase)
	case c.PrepareOwners != nil:
		return m.prepareOwners()
	case c.ActivateOwners != nil:
		return m.activateOwners(c.ActivateOwners)
	}
	return Outcome{}
}

// count returns the number of fields that are set.
func (c *Command) count() int {
	n := 0
	for _, set := range []bool{
		c.SubmitSheet != nil,
		c.RegisterUpstream != nil,
		c.UpstreamStatus != nil,
		c.RemoveUpstream != nil,
		c.JoinMember != nil,
		c.LeaveMember != nil,
		c.RemoveMember != nil,
		c.PrepareBase != nil,
		c.AdvanceBase != nil,
		c.PrepareOwners != nil,
		c.ActivateOwners != nil,
	} {
		if set {
			n++
		}
	}
	return n
}

// refresh updates the rankings, hashes and stale parts for the entities that the
// command changed.
func (m *Machine) refresh() {
	for _, s := range m.dirty.services {
		m.refreshService(s)
	}
	for _, u := range m.dirty.upstreams {
		m.refreshUpstream(u)
	}
	for _, b := range m.dirty.members {
		m.refreshMember(b)
	}
	m.dirty.services = m.dirty.services[:0]
	m.dirty.upstreams = m.dirty.upstreams[:0]
	m.dirty.members = m.dirty.members[:0]
}

func (m *Machine) refreshService(s *service) {
	m.stale.services = true
	m.hashSum -= s.hash
	s.hash = 0
	s.dirty = false
	if s.removed {
		return
	}
	s.rank()
	s.hash = hashRecord(newServiceRecord(s))
	m.hashSum += s.hash
}

func (m *Machine) refreshUpstream(u *upstream) {
	m.stale.upstreams = true
	m.hashSum -= u.hash
	u.hash = 0
	u.dirty = false
	if u.removed {
		return
	}
	u.hash = hashRecord(newUpstreamRecord(u))
	m.hashSum += u.hash
}

func (m *Machine) refreshMember(b *member) {
	m.stale.members = true
	m.hashSum -= b.hash
	b.hash = 0
	b.dirty = false
	if b.removed {
		return
	}
	b.hash = hashRecord(newMemberRecord(b))
	m.hashSum += b.hash
}

func (m *Machine) markServiceDirty(s *service) {
	if !s.dirty {
		s.dirty = true
		m.dirty.services = append(m.dirty.services, s)
	}
}

// markUpstreamDirty marks u as changed, and also its service, whose ranking may
// change.
func (m *Machine) markUpstreamDirty(u *upstream) {
	if !u.dirty {
		u.dirty = true
		m.dirty.upstreams = append(m.dirty.upstreams, u)
	}
	m.markServiceDirty(u.service)
}

func (m *Machine) markMemberDirty(b *member) {
	if !b.dirty {
		b.dirty = true
		m.dirty.members = append(m.dirty.members, b)
	}
}

// rank recomputes the current ranking of s. The first non-empty ranking also
// becomes the base, since there are no older connections.
func (s *service) rank() {
	current := make(version.Ranking, 0, len(s.upstreams))
	for _, u := range s.upstreams {
		if u.Eligible() {
			current = append(current, version.WeightedUpstream{Upstream: u.ID, Weight: u.Weight()})
		}
	}
	if !slices.Equal(current, s.Current) {
		s.Current = current
	}
	if len(s.Base) == 0 && len(s.Current) > 0 {
		s.Base = s.Current
	}
}

// Version returns the state as an immutable version. It shares unchanged parts
// with the last one.
func (m *Machine) Version() *version.Version {
	if m.version != nil && m.version.Index == m.index {
		return m.version
	}
	v := &version.Version{
		Index:  m.index,
		Digest: m.Digest(),
		Sheet:  m.sheet.Ref,
		Owners: m.owners,
	}
	if m.version != nil {
		v.Services = m.version.Services
		v.Upstreams = m.version.Upstreams
		v.Members = m.version.Members
	}
	if m.stale.services {
		v.Services = m.copyServices()
	}
	if m.stale.upstreams {
		v.Upstreams = m.copyUpstreams()
	}
	if m.stale.members {
		v.Members = m.copyMembers()
	}
	m.version = v.SealFrom(m.version)
	m.stale = staleParts{}
	return v
}

func (m *Machine) copyServices() []version.Service {
	out := make([]version.Service, len(m.services))
	for i, s := range m.services {
		out[i] = s.Service
	}
	return out
}

func (m *Machine) copyUpstreams() []version.Upstream {
	out := make([]version.Upstream, len(m.upstreams))
	for i, u := range m.upstreams {
		out[i] = u.Upstream
	}
	return out
}

func (m *Machine) copyMembers() []version.Member {
	out := make([]version.Member, len(m.members))
	for i, b := range m.members {
		out[i] = b.Member
	}
	return out
}

// Digest returns a hash of the whole state. Equal states have equal digests.
func (m *Machine) Digest() uint64 {
	return m.hashSum + m.incarnations.hashSum + hashRecord(m.header())
}

func (m *Machine) serviceByID(id version.ServiceID) *service {
	i, ok := slices.BinarySearchFunc(m.services, id, func(s *service, id version.ServiceID) int {
		return cmp.Compare(s.ID, id)
	})
	if !ok {
		return nil
	}
	return m.services[i]
}

func (m *Machine) upstreamByID(id version.UpstreamID) *upstream {
	i, ok := slices.BinarySearchFunc(m.upstreams, id, compareUpstream)
	if !ok {
		return nil
	}
	return m.upstreams[i]
}

func compareUpstream(u *upstream, id version.UpstreamID) int { return cmp.Compare(u.ID, id) }

func (m *Machine) memberByID(id version.MemberID) *member {
	i, ok := slices.BinarySearchFunc(m.members, id, func(b *member, id version.MemberID) int {
		return cmp.Compare(b.ID, id)
	})
	if !ok {
		return nil
	}
	return m.members[i]
}

// incarnations stores the highest incarnation of each name, so that a delayed
// announcement of an older one is rejected even after the newer one was removed.
type incarnations struct {
	last    map[string]uint64
	hashSum uint64 // sum of the hashes of all entries
}

func (i *incarnations) set(name string, n uint64) {
	i.delete(name)
	i.last[name] = n
	i.hashSum += hashIncarnation(name, n)
}

func (i *incarnations) delete(name string) {
	n, ok := i.last[name]
	if !ok {
		return
	}
	i.hashSum -= hashIncarnation(name, n)
	delete(i.last, name)
}

func hashIncarnation(name string, n uint64) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(n)
	_, _ = d.WriteString(name)
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], n)
	_, _ = d.Write(b[:])
	return d.Sum64()
}
