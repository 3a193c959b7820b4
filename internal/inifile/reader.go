// Package inifile reads typed values from INI files and reports all faults of a file at
// once, with their lines.
package inifile

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"heatherport/internal/request/identity"
	"heatherport/internal/result"
)

// Reader reads typed values from a file and collects its faults.
type Reader struct {
	file   *ini.File
	lines  *lineIndex
	known  map[position]bool
	faults Faults
}

// NewReader parses a file.
func NewReader(b []byte) (*Reader, error) {
	f, err := loadINI(b)
	if err != nil {
		return nil, result.Wrapf(err, result.BadSettings, "not an INI file")
	}
	x := indexLines(b)
	return &Reader{file: f, lines: x, known: make(map[position]bool), faults: slices.Clone(x.faults)}, nil
}

// Err returns nil if there are no faults, else an error with code BadSettings that wraps
// them.
func (r *Reader) Err() error { return r.faults.err() }

// Set replaces the value of a key, or adds it, as if the file had it.
func (r *Reader) Set(section, key, value string) {
	r.file.Section(section).Key(key).SetValue(value)
	for _, p := range []position{{section: section}, {section, key}} {
		if _, ok := r.lines.byPosition[p]; !ok {
			r.lines.byPosition[p] = r.lines.lastLine
			if p.key != "" {
				r.lines.keyOrder = append(r.lines.keyOrder, p)
			}
		}
	}
}

// Sections returns the sections whose names begin with prefix, in file order, without
// the prefix.
func (r *Reader) Sections(prefix string) (out []string) {
	for _, s := range r.file.Sections() {
		if name, ok := strings.CutPrefix(s.Name(), prefix); ok && s.Name() != ini.DefaultSection {
			out = append(out, name)
		}
	}
	return out
}

// Faultf adds a fault.
func (r *Reader) Faultf(section, key, format string, args ...any) {
	r.faults = append(r.faults, Fault{
		Line:    r.lines.lineOf(section, key),
		Section: section,
		Key:     key,
		Detail:  fmt.Sprintf(format, args...),
	})
}

// Raw returns the value of a key and marks the key as known.
func (r *Reader) Raw(section, key string) string {
	r.known[position{section: section}] = true
	r.known[position{section, key}] = true
	s, err := r.file.GetSection(section)
	if err != nil || !s.HasKey(key) {
		return ""
	}
	return strings.TrimSpace(s.Key(key).Value())
}

// Required returns the value of a key and reports a fault if there is none.
func (r *Reader) Required(section, key string) string {
	v := r.Raw(section, key)
	if v == "" {
		r.Faultf(section, key, "missing")
	}
	return v
}

// Name reads a required name.
func (r *Reader) Name(section, key string) string {
	v := r.Required(section, key)
	if v != "" {
		r.CheckName(section, key, v)
	}
	return v
}

func (r *Reader) CheckName(section, key, v string) {
	if !identity.ValidName(v) {
		r.Faultf(section, key, "%q is not a name of lower-case letters, digits and inner hyphens, at most %d long", v, identity.MaxNameLength)
	}
}

// AddrPort reads a required IP address and port.
func (r *Reader) AddrPort(section, key string) netip.AddrPort {
	v := r.Required(section, key)
	if v == "" {
		return netip.AddrPort{}
	}
	return r.ParseAddrPort(section, key, v)
}

func (r *Reader) ParseAddrPort(section, key, v string) netip.AddrPort {
	ap, err := netip.ParseAddrPort(v)
	if err != nil {
		r.Faultf(section, key, "%q is not IP:PORT", v)
		return netip.AddrPort{}
	}
	if ap.Port() == 0 {
		r.Faultf(section, key, "port 0 cannot be used")
		return netip.AddrPort{}
	}
	if ap.Addr().Is4In6() {
		r.Faultf(section, key, "%s is an IPv4-mapped IPv6 address; write it as IPv4", ap)
		return netip.AddrPort{}
	}
	return ap
}

// Destination reads a required unicast address to which packets can be sent.
func (r *Reader) Destination(section, key string) netip.AddrPort {
	ap := r.AddrPort(section, key)
	r.CheckDestination(section, key, ap)
	return ap
}

func (r *Reader) CheckDestination(section, key string, ap netip.AddrPort) {
	if !ap.IsValid() {
		return
	}
	if ap.Addr().IsUnspecified() || ap.Addr().IsMulticast() {
		r.Faultf(section, key, "%s cannot be a destination", ap)
	}
}

// Integer reads an optional integer within [lo, hi].
func (r *Reader) Integer(section, key string, def, lo, hi int64) int64 {
	v := r.Raw(section, key)
	if v == "" {
		return def
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		r.Faultf(section, key, "%q is not a whole number", v)
		return def
	}
	if n < lo || n > hi {
		r.Faultf(section, key, "%d is not within %d and %d", n, lo, hi)
		return def
	}
	return n
}

// Number reads an optional number within [lo, hi].
func (r *Reader) Number(section, key string, def, lo, hi float64) float64 {
	v := r.Raw(section, key)
	if v == "" {
		return def
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || !(n >= lo && n <= hi) {
		r.Faultf(section, key, "%q is not a number within %g and %g", v, lo, hi)
		return def
	}
	return n
}

// Duration reads an optional duration within [lo, hi].
func (r *Reader) Duration(section, key string, def, lo, hi time.Duration) time.Duration {
	v := r.Raw(section, key)
	if v == "" {
		return def
	}
	d, err := time.ParseDuration(v)
	if err != nil {
		r.Faultf(section, key, "%q is not a duration such as 30s", v)
		return def
	}
	if d < lo || d > hi {
		r.Faultf(section, key, "%s is not within %s and %s", d, lo, hi)
		return def
	}
	return d
}

// Choice reads an optional value that must be one of values.
func (r *Reader) Choice(section, key, def string, values ...string) string {
	v := r.Raw(section, key)
	if v == "" {
		return def
	}
	if !slices.Contains(values, v) {
		r.Faultf(section, key, "%q is none of %s", v, strings.Join(values, ", "))
		return def
	}
	return v
}

// Keys returns the keys of a section in file order and marks them as known.
func (r *Reader) Keys(section string) []string {
	r.known[position{section: section}] = true
	var out []string
	for _, p := range r.lines.keyOrder {
		if p.section == section {
			out = append(out, p.key)
		}
	}
	return out
}

// ReportUnknown adds a fault for each section and key that has not been read.
func (r *Reader) ReportUnknown() {
	for p := range r.lines.byPosition {
		if p.key == "" && !r.known[p] {
			r.Faultf(p.section, "", "unknown section")
		}
	}
	for _, p := range r.lines.keyOrder {
		if r.known[position{section: p.section}] && !r.known[p] {
			r.Faultf(p.section, p.key, "unknown key")
		}
	}
}

func itoa(n int) string { return strconv.Itoa(n) }
