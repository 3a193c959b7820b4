package api

import (
	"bytes"
	"encoding/json"
	"io"
	"net/netip"
	"strings"

	"heatherport/internal/result"
)

// decodeAnnouncement decodes an announcement. It rejects unknown fields, trailing
// data and values out of bounds.
func decodeAnnouncement(b []byte) (Announcement, error) {
	var a Announcement
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&a); err != nil {
		return a, result.Wrapf(err, result.BadAnnouncement, "not valid JSON")
	}
	if _, err := d.Token(); err != io.EOF {
		return a, result.Errorf(result.BadAnnouncement, "data after the announcement")
	}
	return a, a.Validate()
}

const (
	maxNameLength = 63
	maxSlots      = 1 << 16
)

// Validate returns BadAnnouncement with all invalid fields, or nil.
func (a *Announcement) Validate() error {
	var faults []string
	add := func(bad bool, fault string) {
		if bad {
			faults = append(faults, fault)
		}
	}
	add(a.Name == "" || len(a.Name) > maxNameLength, "name: missing or too long")
	add(a.Service == "" || len(a.Service) > maxNameLength, "service: missing or too long")
	add(!a.Address.IsValid() || a.Address.Port() == 0, "address: missing or not IP:PORT")
	add(a.Address.Addr().IsUnspecified() || a.Address.Addr().IsMulticast(), "address: cannot be a destination")
	add(!isCanonical(a.Address.Addr()) || !isCanonical(a.Probe.Addr()), "address or probe: has a zone or is an IPv4-mapped IPv6 address")
	add(a.Probe.IsValid() && a.Probe.Port() == 0, "probe: no port")
	add(a.Probe.IsValid() && a.Probe.Addr() != a.Address.Addr(), "probe: not on the VM of address")
	add(a.Incarnation == 0, "incarnation: missing or zero")
	add(a.Slots == 0 || a.Slots > maxSlots, "slots: zero or too many")
	add(a.Load != nil && !(*a.Load >= 0 && *a.Load <= 1), "load: not between 0 and 1")
	if len(faults) > 0 {
		return result.Errorf(result.BadAnnouncement, "%s", strings.Join(faults, "; "))
	}
	return nil
}

// isCanonical reports whether a has a single representation, so that two
// upstreams cannot announce the same address in different forms.
func isCanonical(a netip.Addr) bool { return a.Zone() == "" && !a.Is4In6() }

const maxLoadFactor = 255

// LoadFactor returns the load as a number from 1 (idle) to 255 (full), or 0 if
// no load was announced.
func (a *Announcement) LoadFactor() uint8 {
	if a.Load == nil {
		return 0
	}
	return 1 + uint8(*a.Load*(maxLoadFactor-1))
}
