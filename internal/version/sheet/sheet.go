// Package sheet parses sheets. A sheet is the CSV file that operators submit; it
// lists the services and their upstreams. Parsing collects all faults of a sheet
// and rejects the sheet if there are any.
//
// The first row is "version,N". Each later row is one of
//
//	service,NAME,ADDRESS,PROTOCOL,PORT,IDLE_TIMEOUT,IDEMPOTENT
//	upstream,SERVICE_NAME,UPSTREAM_NAME,STATE,SLOTS,CONNECTION_LIMIT
//
// Rows whose first field starts with '#' are comments. Empty fields at the end
// of a row are ignored.
package sheet

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/csv"
	"slices"
	"strconv"
	"time"

	"heatherport/internal/version"
)

// Limits of a sheet.
const (
	MaxBytes       = 32 << 20           // bytes of a sheet
	MaxServices    = 100_000            // service rows
	MaxUpstreams   = 200_000            // upstream rows
	MaxName        = 63                 // bytes of a service or upstream name
	MaxField       = 256                // bytes of any field
	MaxFaults      = 1_000              // faults that one error lists
	MinIdleTimeout = time.Second        // lower bound of IDLE_TIMEOUT
	MaxIdleTimeout = 7 * 24 * time.Hour // upper bound of IDLE_TIMEOUT
	MaxSlots       = 10_000             // upper bound of SLOTS
	MaxConnLimit   = 100_000_000        // upper bound of CONNECTION_LIMIT
	MaxNumber      = uint64(1<<63 - 1)  // upper bound of the version number
	maxRows        = 1 + MaxServices + MaxUpstreams
)

// Sheet is a validated sheet. Services and Upstreams are ordered by name.
type Sheet struct {
	Number    uint64
	Services  []Service
	Upstreams []Upstream
}

// Service is one service row.
type Service struct {
	Name        string
	Key         version.ServiceKey
	IdleTimeout time.Duration
	Idempotent  bool
}

// Upstream is one upstream row. Its name is unique in the sheet.
type Upstream struct {
	Service   string
	Name      string
	State     version.UpstreamState
	Slots     uint32
	ConnLimit uint32
}

// Canonical returns the normalised encoding of s: services, then upstreams,
// each ordered by name, without comments or spaces. Parse accepts it.
func (s *Sheet) Canonical() []byte {
	var b bytes.Buffer
	w := csv.NewWriter(&b)
	rows := make([][]string, 0, 1+len(s.Services)+len(s.Upstreams))
	rows = append(rows, []string{kindVersion, strconv.FormatUint(s.Number, 10)})
	for i := range s.Services {
		rows = append(rows, s.Services[i].row())
	}
	for i := range s.Upstreams {
		rows = append(rows, s.Upstreams[i].row())
	}
	// Writes to a bytes.Buffer never fail.
	_ = w.WriteAll(rows)
	return b.Bytes()
}

// Digest returns the SHA-256 digest of the canonical encoding.
func (s *Sheet) Digest() [32]byte { return sha256.Sum256(s.Canonical()) }

// Ref returns the number and digest of s.
func (s *Sheet) Ref() version.SheetRef {
	return version.SheetRef{Number: s.Number, Digest: s.Digest()}
}

func (s *Sheet) sort() {
	slices.SortFunc(s.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Upstreams, func(a, b Upstream) int { return cmp.Compare(a.Name, b.Name) })
}

func (s *Service) row() []string {
	idempotent := wordNo
	if s.Idempotent {
		idempotent = wordYes
	}
	return []string{
		kindService,
		s.Name,
		s.Key.Addr.String(),
		s.Key.Protocol.String(),
		strconv.FormatUint(uint64(s.Key.Port), 10),
		s.IdleTimeout.String(),
		idempotent,
	}
}

func (u *Upstream) row() []string {
	return []string{
		kindUpstream,
		u.Service,
		u.Name,
		u.State.String(),
		strconv.FormatUint(uint64(u.Slots), 10),
		strconv.FormatUint(uint64(u.ConnLimit), 10),
	}
}
