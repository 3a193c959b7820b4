package settings

import (
	"net/netip"
	"os"
	"strings"
	"time"

	"heatherport/internal/result"
)

// Program holds the settings of a balancer or a controller in a fleet without a
// static list of members.
type Program struct {
	VM                  VM
	Packets             netip.AddrPort   // balancer: packets from the routers
	Ready               netip.AddrPort   // balancer: readiness check over HTTP
	API                 netip.AddrPort   // controller: API for operators and upstreams
	Link                Endpoint         // links to other programs; all VMs advertise the same port
	Metrics             netip.AddrPort   // metrics over HTTP
	Seeds               []netip.AddrPort // API addresses of some controllers
	FirstStart          bool             // the seeds bootstrap a new fleet
	ToleratedDiskLosses int              // number of disks that may be lost at the same time
	Heartbeat           time.Duration    // interval of an upstream's announcements
	Lifetime            time.Duration    // maximum lifetime of a connection
	// Domains holds the region of each failure domain; it is empty if the settings
	// list none.
	Domains map[string]string
	// ColdExcess and ColdSlack bound the new connections that an upstream gets in a
	// second of its slow start: rate of the service × ColdExcess + ColdSlack.
	ColdExcess float64
	ColdSlack  float64
	// Shares divides the slots of upstreams among the balancers, which queue what
	// finds no room. Without it each balancer adapts a limit to the answer times.
	Shares bool
	// LinkRate is the rate of the VM's link in bytes per second and direction; zero if
	// it is unknown.
	LinkRate float64
	Log      Log
}

// The defaults and bounds of optional keys of a Program.
const (
	defaultHeartbeat       = 1200 * time.Millisecond
	defaultLifetime        = time.Minute
	maxToleratedDiskLosses = 3
	minHeartbeat           = 100 * time.Millisecond
	maxHeartbeat           = time.Minute
	minLifetime            = time.Second
	maxLifetime            = 24 * time.Hour
	defaultColdExcess      = 1.0
	maxColdExcess          = 100
	maxColdSlack           = 10_000
	maxLinkMbps            = 1_000_000
	bytesPerMegabit        = 1_000_000 / 8
)

// The programs of a fleet.
const (
	Balancer   = "balancer"
	Controller = "controller"
)

// LoadProgram reads and validates the settings of a program at path.
func LoadProgram(path, program string) (*Program, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, result.Wrapf(err, result.BadSettings, "read settings")
	}
	return ParseProgram(b, program)
}

// ParseProgram parses and validates the settings of a program. The error wraps
// all faults of the file; inifile.FaultsOf returns them.
func ParseProgram(b []byte, program string) (*Program, error) {
	r, err := newReader(b)
	if err != nil {
		return nil, err
	}
	p := &Program{
		VM:                  r.vm(),
		Link:                r.endpoint("link"),
		Metrics:             r.AddrPort("metrics", "listen"),
		Seeds:               r.seeds(),
		FirstStart:          r.Choice("controllers", "first_start", "false", "true", "false") == "true",
		ToleratedDiskLosses: int(r.Integer("controllers", "losses_borne", 1, 0, maxToleratedDiskLosses)),
		Heartbeat:           r.Duration("upstreams", "heartbeat", defaultHeartbeat, minHeartbeat, maxHeartbeat),
		Lifetime:            r.Duration("connections", "lifetime", defaultLifetime, minLifetime, maxLifetime),
		Domains:             r.domains(),
		ColdExcess:          r.Number("upstreams", "cold_excess", defaultColdExcess, 1, maxColdExcess),
		ColdSlack:           r.Number("upstreams", "cold_slack", 0, 0, maxColdSlack),
		Shares:              r.Choice("load", "shares", "false", "true", "false") == "true",
		LinkRate:            r.Number("vm", "link_mbps", 0, 0, maxLinkMbps) * bytesPerMegabit,
		Log:                 r.log(),
	}
	switch program {
	case Balancer:
		p.Packets = r.Destination("packets", "listen")
		p.Ready = r.AddrPort("ready", "listen")
	case Controller:
		p.API = r.Destination("api", "listen")
		if p.VM.DataDir == "" {
			r.Faultf("vm", "data_dir", "missing; a controller keeps the log on disk")
		}
	}
	r.ReportUnknown()
	if err := r.Err(); err != nil {
		return nil, err
	}
	return p, nil
}

// domains reads the optional list of failure domains with their regions.
func (r *reader) domains() map[string]string {
	out := make(map[string]string)
	for _, v := range strings.Split(r.Raw("vm", "domains"), ",") {
		if v = strings.TrimSpace(v); v == "" {
			continue
		}
		domain, region, _ := strings.Cut(v, "=")
		r.CheckName("vm", "domains", domain)
		if region != "" {
			r.CheckName("vm", "domains", region)
		}
		out[domain] = region
	}
	return out
}

// seeds reads the required list of seed addresses.
func (r *reader) seeds() []netip.AddrPort {
	var out []netip.AddrPort
	for _, v := range strings.Split(r.Required("controllers", "seeds"), ",") {
		if v = strings.TrimSpace(v); v == "" {
			continue
		}
		out = append(out, r.ParseAddrPort("controllers", "seeds", v))
	}
	return out
}

// LinkAddress returns the address at which the program on another VM accepts
// links.
func (p *Program) LinkAddress(vm netip.Addr) netip.AddrPort {
	return netip.AddrPortFrom(vm, p.Link.Advertise.Port())
}
