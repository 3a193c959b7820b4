package sheet

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"heatherport/internal/result"
	"heatherport/internal/version"
)

// The keywords of a sheet.
const (
	kindVersion   = "version"
	kindService   = "service"
	kindUpstream  = "upstream"
	wordYes       = "yes"
	wordNo        = "no"
	commentPrefix = '#' // at the start of a line or of the first field
)

// The number of fields of each kind of row.
const (
	versionFields  = 2
	serviceFields  = 7
	upstreamFields = 6
)

var byteOrderMark = []byte("\xef\xbb\xbf")

// Parse reads and validates a sheet. The error for a sheet with faults has the
// code result.BadSheet and wraps Faults; for a sheet over a size limit it has
// the code result.SheetTooLarge.
func Parse(r io.Reader) (*Sheet, error) {
	data, err := io.ReadAll(io.LimitReader(r, MaxBytes+1))
	if err != nil {
		return nil, result.Wrapf(err, result.BadSheet, "read the sheet")
	}
	if len(data) > MaxBytes {
		return nil, result.Errorf(result.SheetTooLarge, "more than %d bytes", MaxBytes)
	}
	p := newParser(bytes.TrimPrefix(data, byteOrderMark))
	if err := p.readAll(); err != nil {
		return nil, err
	}
	p.checkUpstreams()
	return p.finish()
}

// position is the line and column of a field.
type position struct{ line, column int }

func (p position) String() string { return fmt.Sprintf("line %d", p.line) }

// parser accumulates a sheet and its faults.
type parser struct {
	csv               *csv.Reader
	row               []string
	sheet             Sheet
	faults            Faults
	omittedFaults     int
	rows              int
	versionSeen       bool
	servicePositions  map[string]position
	keyPositions      map[version.ServiceKey]position
	upstreamPositions map[string]position
	serviceRefs       []position // of the service name in each upstream row
}

func newParser(data []byte) *parser {
	r := csv.NewReader(bytes.NewReader(data))
	r.Comment = commentPrefix
	r.FieldsPerRecord = -1
	r.TrimLeadingSpace = true
	r.ReuseRecord = true
	return &parser{
		csv:               r,
		servicePositions:  make(map[string]position),
		keyPositions:      make(map[version.ServiceKey]position),
		upstreamPositions: make(map[string]position),
	}
}

func (p *parser) readAll() error {
	for {
		row, err := p.csv.Read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if p.rows++; p.rows > maxRows {
			return result.Errorf(result.SheetTooLarge, "more than %d rows", maxRows)
		}
		if err != nil {
			p.syntaxFault(err)
			continue
		}
		p.row = row
		p.readRow()
		if err := p.checkSize(); err != nil {
			return err
		}
	}
}

func (p *parser) checkSize() error {
	if len(p.sheet.Services) > MaxServices {
		return result.Errorf(result.SheetTooLarge, "more than %d services", MaxServices)
	}
	if len(p.sheet.Upstreams) > MaxUpstreams {
		return result.Errorf(result.SheetTooLarge, "more than %d upstreams", MaxUpstreams)
	}
	return nil
}

func (p *parser) syntaxFault(err error) {
	var syntax *csv.ParseError
	if errors.As(err, &syntax) {
		p.addFault(position{syntax.Line, syntax.Column}, "%v", syntax.Err)
		return
	}
	p.addFault(position{p.rows, 1}, "%v", err)
}

func (p *parser) readRow() {
	p.trimRow()
	if len(p.row) == 0 || strings.HasPrefix(p.field(0), string(commentPrefix)) || !p.checkLengths() {
		return
	}
	kind := p.field(0)
	if !p.versionSeen && kind != kindVersion {
		p.fault(0, "the first row must be %q", "version,N")
		p.versionSeen = true
	}
	switch kind {
	case kindVersion:
		p.readVersion()
	case kindService:
		p.readService()
	case kindUpstream:
		p.readUpstream()
	default:
		p.fault(0, "row kind %q is neither service nor upstream", kind)
	}
}

// trimRow drops empty fields at the end, with which spreadsheets pad rows to
// the length of the longest one.
func (p *parser) trimRow() {
	for n := len(p.row); n > 0 && p.field(n-1) == ""; n-- {
		p.row = p.row[:n-1]
	}
}

func (p *parser) checkLengths() bool {
	for i := range p.row {
		if len(p.row[i]) > MaxField {
			p.fault(i, "field longer than %d bytes", MaxField)
			return false
		}
	}
	return true
}

func (p *parser) readVersion() {
	if p.versionSeen {
		p.fault(0, "the version row must come first and only once")
		return
	}
	p.versionSeen = true
	if !p.checkCount(versionFields) {
		return
	}
	n, err := strconv.ParseUint(p.field(1), 10, 64)
	if err != nil || n == 0 || n > MaxNumber {
		p.fault(1, "version %q is not a whole number from 1 to %d", p.field(1), MaxNumber)
		return
	}
	p.sheet.Number = n
}

func (p *parser) readService() {
	if !p.checkCount(serviceFields) {
		return
	}
	s := Service{
		Name:        p.name(1, "service name"),
		IdleTimeout: p.idleTimeout(5),
		Idempotent:  p.yesOrNo(6, "idempotent"),
	}
	s.Key.Addr = p.addr(2)
	s.Key.Protocol = p.protocol(3)
	s.Key.Port = uint16(p.number(4, "port", 1<<16-1))
	p.recordUnique(p.servicePositions, s.Name, 1, "service")
	p.recordUniqueKey(s.Key)
	p.sheet.Services = append(p.sheet.Services, s)
}

func (p *parser) readUpstream() {
	if !p.checkCount(upstreamFields) {
		return
	}
	u := Upstream{
		Service:   p.name(1, "service name"),
		Name:      p.name(2, "upstream name"),
		State:     p.state(3),
		Slots:     p.number(4, "slots", MaxSlots),
		ConnLimit: p.number(5, "connection limit", MaxConnLimit),
	}
	p.recordUnique(p.upstreamPositions, u.Name, 2, "upstream")
	p.sheet.Upstreams = append(p.sheet.Upstreams, u)
	p.serviceRefs = append(p.serviceRefs, p.position(1))
}

// checkUpstreams reports upstreams of services that are not listed. It runs
// after all rows are read, since rows may be in any order.
func (p *parser) checkUpstreams() {
	for i := range p.sheet.Upstreams {
		name := p.sheet.Upstreams[i].Service
		if _, ok := p.servicePositions[name]; ok || name == "" {
			continue
		}
		p.addFault(p.serviceRefs[i], "no service is called %q", name)
	}
}

func (p *parser) finish() (*Sheet, error) {
	if !p.versionSeen {
		p.addFault(position{1, 1}, "the first row must be %q", "version,N")
	}
	if len(p.faults) == 0 && len(p.sheet.Services) == 0 {
		p.addFault(position{1, 1}, "the sheet lists no service")
	}
	if len(p.faults) > 0 {
		return nil, p.err()
	}
	p.sheet.sort()
	return &p.sheet, nil
}

func (p *parser) err() error {
	slices.SortStableFunc(p.faults, func(a, b Fault) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	n := len(p.faults) + p.omittedFaults
	return result.Wrapf(p.faults, result.BadSheet, "%d faults, %d listed", n, len(p.faults))
}

// field returns field i without surrounding space.
func (p *parser) field(i int) string { return strings.TrimSpace(p.row[i]) }

func (p *parser) position(i int) position {
	line, column := p.csv.FieldPos(i)
	return position{line, column}
}

func (p *parser) fault(i int, format string, args ...any) {
	p.addFault(p.position(i), format, args...)
}

func (p *parser) addFault(at position, format string, args ...any) {
	if len(p.faults) >= MaxFaults {
		p.omittedFaults++
		return
	}
	p.faults = append(p.faults, Fault{at.line, at.column, fmt.Sprintf(format, args...)})
}

func (p *parser) checkCount(want int) bool {
	if len(p.row) == want {
		return true
	}
	last := min(len(p.row), want+1) - 1
	p.fault(last, "%s row has %d fields, want %d", p.field(0), len(p.row), want)
	return false
}

func (p *parser) name(i int, what string) string {
	s := p.field(i)
	if !ValidName(s) {
		p.fault(i, "%s %q is not 1 to %d letters, digits, '-', '_' or '.', starting with a letter or digit", what, s, MaxName)
		return ""
	}
	return s
}

// ValidName reports whether s may name a service, an upstream or a VM.
func ValidName(s string) bool {
	if len(s) == 0 || len(s) > MaxName {
		return false
	}
	for i := range len(s) {
		c := s[i]
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		inner := i > 0 && (c == '-' || c == '_' || c == '.')
		if !letter && !inner {
			return false
		}
	}
	return true
}

func (p *parser) addr(i int) netip.Addr {
	a, err := netip.ParseAddr(p.field(i))
	if err != nil || a.Zone() != "" {
		p.fault(i, "address %q is not an IPv4 or IPv6 address", p.field(i))
		return netip.Addr{}
	}
	a = a.Unmap()
	if a.IsUnspecified() || a.IsMulticast() {
		p.fault(i, "address %q is not a unicast address", p.field(i))
		return netip.Addr{}
	}
	return a
}

func (p *parser) protocol(i int) version.Protocol {
	switch p.field(i) {
	case "tcp":
		return version.TCP
	case "udp":
		return version.UDP
	}
	p.fault(i, "protocol %q is neither tcp nor udp", p.field(i))
	return 0
}

func (p *parser) state(i int) version.UpstreamState {
	for s := version.Active; s <= version.Paused; s++ {
		if p.field(i) == s.String() {
			return s
		}
	}
	p.fault(i, "state %q is none of active, joining, leaving, paused", p.field(i))
	return version.Active
}

func (p *parser) yesOrNo(i int, what string) bool {
	switch p.field(i) {
	case wordYes:
		return true
	case wordNo:
		return false
	}
	p.fault(i, "%s %q is neither yes nor no", what, p.field(i))
	return false
}

func (p *parser) number(i int, what string, maximum uint64) uint32 {
	n, err := strconv.ParseUint(p.field(i), 10, 32)
	if err != nil || n == 0 || n > maximum {
		p.fault(i, "%s %q is not a whole number from 1 to %d", what, p.field(i), maximum)
		return 0
	}
	return uint32(n)
}

func (p *parser) idleTimeout(i int) time.Duration {
	d, err := time.ParseDuration(p.field(i))
	if err != nil || d < MinIdleTimeout || d > MaxIdleTimeout {
		p.fault(i, "idle timeout %q is not a duration from %s to %s", p.field(i), MinIdleTimeout, MaxIdleTimeout)
		return 0
	}
	return d
}

// recordUnique records name, or adds a fault if it was used before.
func (p *parser) recordUnique(used map[string]position, name string, i int, what string) {
	if name == "" {
		return
	}
	if first, ok := used[name]; ok {
		p.fault(i, "%s %q is listed already in %s", what, name, first)
		return
	}
	used[name] = p.position(i)
}

func (p *parser) recordUniqueKey(key version.ServiceKey) {
	if !key.Addr.IsValid() || key.Protocol == 0 || key.Port == 0 {
		return
	}
	if first, ok := p.keyPositions[key]; ok {
		p.fault(2, "address %s port %d/%s is in use already in %s", key.Addr, key.Port, key.Protocol, first)
		return
	}
	p.keyPositions[key] = p.position(2)
}
