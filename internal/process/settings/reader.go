package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"heatherport/internal/request/identity"
)

// reader reads typed values from a file and collects its faults.
type reader struct {
	file   *ini.File
	lines  *lineIndex
	known  map[position]bool
	faults Faults
}

func newReader(f *ini.File, x *lineIndex) *reader {
	return &reader{
		file:   f,
		lines:  x,
		known:  make(map[position]bool),
		faults: slices.Clone(x.faults),
	}
}

func (r *reader) faultf(section, key, format string, args ...any) {
	r.faults = append(r.faults, Fault{
		Line:    r.lines.lineOf(section, key),
		Section: section,
		Key:     key,
		Detail:  fmt.Sprintf(format, args...),
	})
}

// raw returns the value of a key and marks the key as known.
func (r *reader) raw(section, key string) string {
	r.known[position{section: section}] = true
	r.known[position{section, key}] = true
	s, err := r.file.GetSection(section)
	if err != nil || !s.HasKey(key) {
		return ""
	}
	return strings.TrimSpace(s.Key(key).Value())
}

// required returns the value of a key and reports a fault if there is none.
func (r *reader) required(section, key string) string {
	v := r.raw(section, key)
	if v == "" {
		r.faultf(section, key, "missing")
	}
	return v
}

// name reads a required name.
func (r *reader) name(section, key string) string {
	v := r.required(section, key)
	if v != "" {
		r.checkName(section, key, v)
	}
	return v
}

func (r *reader) checkName(section, key, v string) {
	if !identity.ValidName(v) {
		r.faultf(section, key, "%q is not a name of lower-case letters, digits and inner hyphens, at most %d long", v, identity.MaxNameLength)
	}
}

// addrPort reads a required IP address and port.
func (r *reader) addrPort(section, key string) netip.AddrPort {
	v := r.required(section, key)
	if v == "" {
		return netip.AddrPort{}
	}
	return r.parseAddrPort(section, key, v)
}

func (r *reader) parseAddrPort(section, key, v string) netip.AddrPort {
	ap, err := netip.ParseAddrPort(v)
	if err != nil {
		r.faultf(section, key, "%q is not IP:PORT", v)
		return netip.AddrPort{}
	}
	if ap.Port() == 0 {
		r.faultf(section, key, "port 0 cannot be used")
		return netip.AddrPort{}
	}
	if ap.Addr().Is4In6() {
		r.faultf(section, key, "%s is an IPv4-mapped IPv6 address; write it as IPv4", ap)
		return netip.AddrPort{}
	}
	return ap
}

// destination reads a required unicast address to which packets can be sent.
func (r *reader) destination(section, key string) netip.AddrPort {
	ap := r.addrPort(section, key)
	r.checkDestination(section, key, ap)
	return ap
}

func (r *reader) checkDestination(section, key string, ap netip.AddrPort) {
	if !ap.IsValid() {
		return
	}
	if ap.Addr().IsUnspecified() || ap.Addr().IsMulticast() {
		r.faultf(section, key, "%s cannot be a destination", ap)
	}
}

// endpoint reads the keys listen and advertise. The default of advertise is
// listen.
func (r *reader) endpoint(section string) Endpoint {
	e := Endpoint{Listen: r.addrPort(section, "listen")}
	if v := r.raw(section, "advertise"); v != "" {
		e.Advertise = r.parseAddrPort(section, "advertise", v)
		r.checkDestination(section, "advertise", e.Advertise)
		return e
	}
	if e.Listen.IsValid() && e.Listen.Addr().IsUnspecified() {
		r.faultf(section, "advertise", "missing; needed because listen is %s", e.Listen)
		return e
	}
	e.Advertise = e.Listen
	return e
}

// integer reads an optional integer within [lo, hi].
func (r *reader) integer(section, key string, def, lo, hi int64) int64 {
	v := r.raw(section, key)
	if v == "" {
		return def
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		r.faultf(section, key, "%q is not a whole number", v)
		return def
	}
	if n < lo || n > hi {
		r.faultf(section, key, "%d is not within %d and %d", n, lo, hi)
		return def
	}
	return n
}

// number reads an optional number within [lo, hi].
func (r *reader) number(section, key string, def, lo, hi float64) float64 {
	v := r.raw(section, key)
	if v == "" {
		return def
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || !(n >= lo && n <= hi) {
		r.faultf(section, key, "%q is not a number within %g and %g", v, lo, hi)
		return def
	}
	return n
}

// duration reads an optional duration within [lo, hi].
func (r *reader) duration(section, key string, def, lo, hi time.Duration) time.Duration {
	v := r.raw(section, key)
	if v == "" {
		return def
	}
	d, err := time.ParseDuration(v)
	if err != nil {
		r.faultf(section, key, "%q is not a duration such as 30s", v)
		return def
	}
	if d < lo || d > hi {
		r.faultf(section, key, "%s is not within %s and %s", d, lo, hi)
		return def
	}
	return d
}

// choice reads an optional value that must be one of values.
func (r *reader) choice(section, key, def string, values ...string) string {
	v := r.raw(section, key)
	if v == "" {
		return def
	}
	if !slices.Contains(values, v) {
		r.faultf(section, key, "%q is none of %s", v, strings.Join(values, ", "))
		return def
	}
	return v
}

// keys returns the keys of a section in file order and marks them as known.
func (r *reader) keys(section string) []string {
	r.known[position{section: section}] = true
	var out []string
	for _, p := range r.lines.keyOrder {
		if p.section == section {
			out = append(out, p.key)
		}
	}
	return out
}

// reportUnknown adds a fault for each section and key that has not been read.
func (r *reader) reportUnknown() {
	for p := range r.lines.byPosition {
		if p.key == "" && !r.known[p] {
			r.faultf(p.section, "", "unknown section")
		}
	}
	for _, p := range r.lines.keyOrder {
		if r.known[position{section: p.section}] && !r.known[p] {
			r.faultf(p.section, p.key, "unknown key")
		}
	}
}

func itoa(n int) string { return strconv.Itoa(n) }
