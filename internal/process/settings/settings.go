// Package settings parses and validates the INI files of VMs, balancers and
// controllers. The settings that it returns are fully validated. All faults of a
// file are reported at once.
package settings

import (
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"heatherport/internal/result"
)

// Settings holds the validated settings of one VM.
type Settings struct {
	VM          VM
	Fabric      Fabric
	Relay       Endpoint
	Link        Link
	API         Endpoint
	Metrics     Metrics
	Peers       []Peer // ordered by name; never contains the VM itself
	Voters      Voters
	Keys        Keys
	Connections Connections
	Log         Log
	Audit       Audit
}

// VM describes the VM itself.
type VM struct {
	Name        string
	Domain      string        // failure domain
	Region      string        // empty if there is only one
	DataDir     string        // data folder; a VM that has one can be a voter
	StopTimeout time.Duration // maximum duration of a graceful shutdown
}

// Endpoint is a listening socket and the address at which other VMs reach it.
type Endpoint struct {
	Listen    netip.AddrPort
	Advertise netip.AddrPort
}

// Fabric describes the Foo-over-UDP (FOU) sockets towards the fabric.
type Fabric struct {
	Listen    netip.AddrPort
	Return    netip.AddrPort // FOU endpoint that receives refusals for callers
	Receivers int            // receiving goroutines, each with its own socket
	Batch     int            // packets per system call
}

// Link describes the control links to other VMs.
type Link struct {
	Endpoint
	ByteBudget int // bytes per second sent for coordination
}

// Metrics describes the plain HTTP listener for metrics and health.
type Metrics struct {
	Listen netip.AddrPort
}

// Peer is another VM that the VM knows at its start.
type Peer struct {
	Name string
	Link netip.AddrPort
}

// Voters describes the initial voters of the replicated log.
type Voters struct {
	Initial []string
}

// Contains reports whether name is an initial voter.
func (v Voters) Contains(name string) bool {
	for _, n := range v.Initial {
		if n == name {
			return true
		}
	}
	return false
}

// Keys holds the paths of the certificate and key files.
type Keys struct {
	CA             string
	Certificate    string
	Key            string
	RelayKeys      string
	ReloadInterval time.Duration // interval of checks for changed files
}

// Connections bounds the connection table.
type Connections struct {
	Capacity        int // entries
	ExceptionBudget int // bytes per second of Link.ByteBudget for exceptions
}

// Format is the format of log lines.
type Format string

// The formats of log lines.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// Log describes the log.
type Log struct {
	Level  string // trace, debug, info, warn or error
	Format Format
}

// Audit describes the audit trail. If File is empty, the trail is kept in
// memory only.
type Audit struct {
	File     string
	MaxBytes int64 // size at which the file is rotated
	Keep     int   // number of rotated files kept
}

// The defaults of optional keys.
const (
	DefaultStopTimeout     = 30 * time.Second
	DefaultReceivers       = 2
	DefaultBatch           = 64
	DefaultByteBudget      = 4096
	DefaultReloadInterval  = 30 * time.Second
	DefaultCapacity        = 400_000
	DefaultExceptionBudget = 2048
	DefaultLogLevel        = "info"
	DefaultAuditMaxBytes   = 16 << 20
	DefaultAuditKeep       = 8
)

// The bounds of numeric keys, and the name of the audit file in the data
// folder.
const (
	maxReceivers    = 64
	maxBatch        = 1024
	minByteBudget   = 512
	maxByteBudget   = 100 << 20
	minCapacity     = 1024
	maxCapacity     = 64 << 20
	minAuditBytes   = 4 << 10
	maxAuditBytes   = 4 << 30
	maxAuditKeep    = 1000
	maxVoters       = 7
	minStopTimeout  = time.Second
	maxStopTimeout  = 10 * time.Minute
	minReload       = time.Second
	maxReload       = time.Hour
	defaultAuditLog = "audit.jsonl"
)

// IsVoter reports whether the VM is an initial voter.
func (s *Settings) IsVoter() bool { return s.Voters.Contains(s.VM.Name) }

// Load reads and validates the file at path. Relative file names in it are
// relative to the folder of the file.
func Load(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, result.Wrapf(err, result.BadSettings, "read settings")
	}
	s, err := Parse(b)
	if err != nil {
		return nil, err
	}
	s.resolve(filepath.Dir(path))
	return s, nil
}

// resolve makes relative file names relative to dir.
func (s *Settings) resolve(dir string) {
	names := []*string{
		&s.VM.DataDir,
		&s.Keys.CA, &s.Keys.Certificate, &s.Keys.Key, &s.Keys.RelayKeys,
		&s.Audit.File,
	}
	for _, n := range names {
		if *n != "" && !filepath.IsAbs(*n) {
			*n = filepath.Join(dir, *n)
		}
	}
}
