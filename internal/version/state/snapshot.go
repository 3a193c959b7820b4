package state

import (
	"bytes"
	"crypto/sha256"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherport/internal/result"
	"heatherport/internal/version"
	"heatherport/internal/version/sheet"
)

// snapshotFormat is the version number of the snapshot encoding.
const snapshotFormat = 1

// snapshot is the encoded form of a Machine.
type snapshot struct {
	_            struct{} `cbor:",toarray"`
	Format       uint8
	Header       headerRecord
	Canonical    []byte
	Services     []serviceRecord
	Upstreams    []upstreamRecord
	Members      []memberRecord
	Incarnations []incarnationRecord
	Digest       uint64
}

type headerRecord struct {
	_          struct{} `cbor:",toarray"`
	Index      uint64
	Number     uint64
	Digest     [32]byte
	Operator   string
	At         int64
	Service    version.ServiceID
	Upstream   version.UpstreamID
	Member     version.MemberID
	Epoch      uint64
	Current    []version.MemberID
	Next       []version.MemberID
	PreparedAt uint64
	Previous   []version.MemberID
}

type serviceRecord struct {
	_           struct{} `cbor:",toarray"`
	ID          version.ServiceID
	Name        string
	Addr        netip.Addr
	Port        uint16
	Protocol    version.Protocol
	IdleTimeout time.Duration
	Idempotent  bool
	Base        []weightRecord
	NextBase    []weightRecord
	PreparedAt  uint64
	Retired     bool
}

type weightRecord struct {
	_        struct{} `cbor:",toarray"`
	Upstream version.UpstreamID
	Weight   uint32
}

type upstreamRecord struct {
	_           struct{} `cbor:",toarray"`
	ID          version.UpstreamID
	Name        string
	Incarnation uint64
	Service     version.ServiceID
	Addr        netip.AddrPort
	State       version.UpstreamState
	Slots       uint32
	Announced   uint32
	ConnLimit   uint32
	Healthy     bool
	Leased      bool
	LoadFactor  uint8
	Ramp        uint8
	Listed      bool
	Probe       netip.AddrPort
}

type memberRecord struct {
	_           struct{} `cbor:",toarray"`
	ID          version.MemberID
	Name        string
	Incarnation uint64
	Domain      string
	Relay       netip.AddrPort
	Link        netip.AddrPort
	API         netip.AddrPort
	Voter       bool
	State       version.MemberState
}

type incarnationRecord struct {
	_    struct{} `cbor:",toarray"`
	Name string
	Last uint64
}

// Snapshot returns the encoded state. Equal states have equal snapshots.
func (m *Machine) Snapshot() []byte {
	s := snapshot{
		Format:    snapshotFormat,
		Header:    m.header(),
		Canonical: m.sheet.Canonical,
		Digest:    m.Digest(),
	}
	for _, v := range m.services {
		s.Services = append(s.Services, newServiceRecord(v))
	}
	for _, u := range m.upstreams {
		s.Upstreams = append(s.Upstreams, newUpstreamRecord(u))
	}
	for _, b := range m.members {
		s.Members = append(s.Members, newMemberRecord(b))
	}
	for name, last := range m.incarnations.last {
		s.Incarnations = append(s.Incarnations, incarnationRecord{Name: name, Last: last})
	}
	slices.SortFunc(s.Incarnations, func(a, b incarnationRecord) int { return strings.Compare(a.Name, b.Name) })
	return encode(s)
}

// Restore replaces the state with an encoded one that is not older. On an error
// the state is unchanged.
func (m *Machine) Restore(data []byte) error {
	var s snapshot
	if err := decoder.Unmarshal(data, &s); err != nil {
		return result.Wrapf(err, result.StorageCorrupt, "decode a snapshot")
	}
	if s.Format != snapshotFormat {
		return result.Errorf(result.StorageCorrupt, "snapshot format %d, want %d", s.Format, snapshotFormat)
	}
	if s.Header.Index < m.index {
		return result.Errorf(result.VersionStale, "snapshot at index %d, index %d is applied", s.Header.Index, m.index)
	}
	fresh := New()
	if err := fresh.load(&s); err != nil {
		return err
	}
	if got := fresh.Digest(); got != s.Digest {
		return result.Errorf(result.StorageCorrupt, "snapshot digest %016x, want %016x", got, s.Digest)
	}
	*m = *fresh
	return nil
}

func (m *Machine) load(s *snapshot) error {
	m.loadHeader(&s.Header)
	if err := m.loadSheet(s.Canonical); err != nil {
		return err
	}
	for i := range s.Services {
		if err := m.loadService(&s.Services[i]); err != nil {
			return err
		}
	}
	for i := range s.Upstreams {
		if err := m.loadUpstream(&s.Upstreams[i]); err != nil {
			return err
		}
	}
	for i := range s.Members {
		if err := m.loadMember(&s.Members[i]); err != nil {
			return err
		}
	}
	for _, r := range s.Incarnations {
		m.incarnations.set(r.Name, r.Last)
	}
	m.refresh()
	return nil
}

func (m *Machine) loadHeader(h *headerRecord) {
	m.index = h.Index
	m.sheet.Ref = version.SheetRef{Number: h.Number, Digest: h.Digest}
	m.sheet.Operator = h.Operator
	m.sheet.At = h.At
	m.lastIDs = idCounters{service: h.Service, upstream: h.Upstream, member: h.Member}
	m.owners = version.Owners{
		Epoch:      h.Epoch,
		Current:    h.Current,
		Next:       h.Next,
		PreparedAt: h.PreparedAt,
		Previous:   h.Previous,
	}
}

func (m *Machine) loadSheet(canonical []byte) error {
	if m.sheet.Ref.Number == 0 {
		return nil
	}
	s, err := sheet.Parse(bytes.NewReader(canonical))
	if err != nil {
		return result.Wrapf(err, result.StorageCorrupt, "sheet in a snapshot")
	}
	m.sheet.Canonical = s.Canonical()
	if s.Number != m.sheet.Ref.Number || sha256.Sum256(m.sheet.Canonical) != m.sheet.Ref.Digest {
		return result.Errorf(result.StorageCorrupt, "the sheet in a snapshot does not match its digest")
	}
	m.setUpstreamRows(s)
	return nil
}

func (m *Machine) loadService(r *serviceRecord) error {
	s := &service{Service: version.Service{
		ID:          r.ID,
		Name:        r.Name,
		Key:         version.ServiceKey{Addr: r.Addr, Port: r.Port, Protocol: r.Protocol},
		IdleTimeout: r.IdleTimeout,
		Idempotent:  r.Idempotent,
		Base:        newRanking(r.Base),
		NextBase:    newRanking(r.NextBase),
		PreparedAt:  r.PreparedAt,
		Retired:     r.Retired,
	}}
	if n := len(m.services); n > 0 && m.services[n-1].ID >= s.ID || s.ID > m.lastIDs.service {
		return result.Errorf(result.StorageCorrupt, "service ID %d out of order", s.ID)
	}
	m.services = append(m.services, s)
	m.servicesByKey[s.Key] = s
	if !s.Retired {
		m.listedServices[s.Name] = s
	}
	m.markServiceDirty(s)
	return nil
}

func (m *Machine) loadUpstream(r *upstreamRecord) error {
	u := &upstream{
		Upstream: version.Upstream{
			ID:          r.ID,
			Name:        r.Name,
			Incarnation: r.Incarnation,
			Service:     r.Service,
			Addr:        r.Addr,
			State:       r.State,
			Slots:       r.Slots,
			ConnLimit:   r.ConnLimit,
			Healthy:     r.Healthy,
			Leased:      r.Leased,
			LoadFactor:  r.LoadFactor,
			Ramp:        r.Ramp,
			Listed:      r.Listed,
			Probe:       r.Probe,
		},
		service:        m.serviceByID(r.Service),
		announcedSlots: r.Announced,
	}
	if u.service == nil {
		return result.Errorf(result.StorageCorrupt, "upstream %q has no service", u.Name)
	}
	if n := len(m.upstreams); n > 0 && m.upstreams[n-1].ID >= u.ID || u.ID > m.lastIDs.upstream {
		return result.Errorf(result.StorageCorrupt, "upstream ID %d out of order", u.ID)
	}
	if m.upstreamsByName[u.Name] != nil || m.upstreamsByAddr[u.Addr] != nil {
		return result.Errorf(result.StorageCorrupt, "duplicate name or address of upstream %q at %s", u.Name, u.Addr)
	}
	m.upstreams = append(m.upstreams, u)
	m.addToIndexes(u)
	m.markUpstreamDirty(u)
	return nil
}

func (m *Machine) loadMember(r *memberRecord) error {
	b := &member{Member: version.Member{
		ID:          r.ID,
		Name:        r.Name,
		Incarnation: r.Incarnation,
		Domain:      r.Domain,
		Relay:       r.Relay,
		Link:        r.Link,
		API:         r.API,
		Voter:       r.Voter,
		State:       r.State,
	}}
	if n := len(m.members); n > 0 && m.members[n-1].ID >= b.ID || b.ID > m.lastIDs.member {
		return result.Errorf(result.StorageCorrupt, "member ID %d out of order", b.ID)
	}
	m.members = append(m.members, b)
	m.membersByName[b.Name] = b
	m.markMemberDirty(b)
	return nil
}

func (m *Machine) header() headerRecord {
	return headerRecord{
		Index:      m.index,
		Number:     m.sheet.Ref.Number,
		Digest:     m.sheet.Ref.Digest,
		Operator:   m.sheet.Operator,
		At:         m.sheet.At,
		Service:    m.lastIDs.service,
		Upstream:   m.lastIDs.upstream,
		Member:     m.lastIDs.member,
		Epoch:      m.owners.Epoch,
		Current:    m.owners.Current,
		Next:       m.owners.Next,
		PreparedAt: m.owners.PreparedAt,
		Previous:   m.owners.Previous,
	}
}

func newServiceRecord(s *service) serviceRecord {
	return serviceRecord{
		ID:          s.ID,
		Name:        s.Name,
		Addr:        s.Key.Addr,
		Port:        s.Key.Port,
		Protocol:    s.Key.Protocol,
		IdleTimeout: s.IdleTimeout,
		Idempotent:  s.Idempotent,
		Base:        newWeightRecords(s.Base),
		NextBase:    newWeightRecords(s.NextBase),
		PreparedAt:  s.PreparedAt,
		Retired:     s.Retired,
	}
}

func newUpstreamRecord(u *upstream) upstreamRecord {
	return upstreamRecord{
		ID:          u.ID,
		Name:        u.Name,
		Incarnation: u.Incarnation,
		Service:     u.Service,
		Addr:        u.Addr,
		State:       u.State,
		Slots:       u.Slots,
		Announced:   u.announcedSlots,
		ConnLimit:   u.ConnLimit,
		Healthy:     u.Healthy,
		Leased:      u.Leased,
		LoadFactor:  u.LoadFactor,
		Ramp:        u.Ramp,
		Listed:      u.Listed,
		Probe:       u.Probe,
	}
}

func newMemberRecord(b *member) memberRecord {
	return memberRecord{
		ID:          b.ID,
		Name:        b.Name,
		Incarnation: b.Incarnation,
		Domain:      b.Domain,
		Relay:       b.Relay,
		Link:        b.Link,
		API:         b.API,
		Voter:       b.Voter,
		State:       b.State,
	}
}

func newWeightRecords(r version.Ranking) []weightRecord {
	if r == nil {
		return nil
	}
	out := make([]weightRecord, len(r))
	for i, w := range r {
		out[i] = weightRecord{Upstream: w.Upstream, Weight: w.Weight}
	}
	return out
}

func newRanking(records []weightRecord) version.Ranking {
	if records == nil {
		return nil
	}
	out := make(version.Ranking, len(records))
	for i, r := range records {
		out[i] = version.WeightedUpstream{Upstream: r.Upstream, Weight: r.Weight}
	}
	return out
}

func hashRecord(record any) uint64 { return xxhash.Sum64(encode(record)) }

// encode encodes a record of this package. It panics on an error, since CBOR can
// encode the types of all fields of these records.
func encode(record any) []byte {
	data, err := encoder.Marshal(record)
	if err != nil {
		panic(err)
	}
	return data
}
