package settings

import (
	"net/netip"
	"path/filepath"
	"slices"
	"strings"
)

// Parse parses and validates a settings file. The error wraps all faults of the
// file; inifile.FaultsOf returns them.
func Parse(b []byte) (*Settings, error) {
	r, err := newReader(b)
	if err != nil {
		return nil, err
	}
	s := &Settings{
		VM:          r.vm(),
		Fabric:      r.fabric(),
		Relay:       r.endpoint("relay"),
		Link:        r.link(),
		API:         r.endpoint("api"),
		Metrics:     Metrics{Listen: r.AddrPort("metrics", "listen")},
		Peers:       r.peers(),
		Voters:      r.voters(),
		Keys:        r.keyFiles(),
		Connections: r.connections(),
		Log:         r.log(),
	}
	s.Audit = r.audit(s.VM.DataDir)
	r.ReportUnknown()
	r.checkPeers(s)
	r.checkVoters(s)
	r.checkSockets(s)
	if err := r.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func (r *reader) vm() VM {
	v := VM{
		Name:        r.Name("vm", "name"),
		Domain:      r.Name("vm", "domain"),
		Region:      r.Raw("vm", "region"),
		DataDir:     r.Raw("vm", "data_dir"),
		StopTimeout: r.Duration("vm", "stop_timeout", DefaultStopTimeout, minStopTimeout, maxStopTimeout),
	}
	if v.Region != "" {
		r.CheckName("vm", "region", v.Region)
	}
	return v
}

func (r *reader) fabric() Fabric {
	return Fabric{
		Listen:    r.AddrPort("fabric", "listen"),
		Return:    r.Destination("fabric", "return"),
		Receivers: int(r.Integer("fabric", "receivers", DefaultReceivers, 1, maxReceivers)),
		Batch:     int(r.Integer("fabric", "batch", DefaultBatch, 1, maxBatch)),
	}
}

func (r *reader) link() Link {
	return Link{
		Endpoint:   r.endpoint("link"),
		ByteBudget: int(r.Integer("link", "byte_budget", DefaultByteBudget, minByteBudget, maxByteBudget)),
	}
}

func (r *reader) peers() []Peer {
	var out []Peer
	for _, name := range r.Keys("peers") {
		r.CheckName("peers", name, name)
		out = append(out, Peer{Name: name, Link: r.Destination("peers", name)})
	}
	slices.SortFunc(out, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	return out
}

func (r *reader) voters() Voters {
	var v Voters
	list := r.Required("voters", "initial")
	if list == "" {
		return v
	}
	for _, name := range strings.Split(list, ",") {
		v.Initial = append(v.Initial, strings.TrimSpace(name))
	}
	return v
}

func (r *reader) keyFiles() Keys {
	return Keys{
		CA:             r.Required("keys", "ca"),
		Certificate:    r.Required("keys", "certificate"),
		Key:            r.Required("keys", "key"),
		RelayKeys:      r.Required("keys", "relay_keys"),
		ReloadInterval: r.Duration("keys", "reload_interval", DefaultReloadInterval, minReload, maxReload),
	}
}

func (r *reader) connections() Connections {
	return Connections{
		Capacity:        int(r.Integer("connections", "capacity", DefaultCapacity, minCapacity, maxCapacity)),
		ExceptionBudget: int(r.Integer("connections", "exception_budget", DefaultExceptionBudget, 0, maxByteBudget)),
	}
}

func (r *reader) log() Log {
	return Log{
		Level:  r.Choice("log", "level", DefaultLogLevel, "trace", "debug", "info", "warn", "error"),
		Format: Format(r.Choice("log", "format", string(FormatText), string(FormatText), string(FormatJSON))),
	}
}

func (r *reader) audit(dataDir string) Audit {
	a := Audit{
		File:     r.Raw("audit", "file"),
		MaxBytes: r.Integer("audit", "max_bytes", DefaultAuditMaxBytes, minAuditBytes, maxAuditBytes),
		Keep:     int(r.Integer("audit", "keep", DefaultAuditKeep, 1, maxAuditKeep)),
	}
	switch {
	case dataDir == "" && a.File != "":
		r.Faultf("audit", "file", "needs [vm] data_dir")
	case dataDir != "" && a.File == "":
		a.File = filepath.Join(dataDir, defaultAuditLog)
	}
	return a
}

// checkPeers checks the list of peers, which may contain the VM itself so that
// all VMs can share one list, and removes the VM from it.
func (r *reader) checkPeers(s *Settings) {
	seen := make(map[netip.AddrPort]string, len(s.Peers))
	for _, p := range s.Peers {
		if first, ok := seen[p.Link]; ok && p.Link.IsValid() {
			r.Faultf("peers", p.Name, "%s is also the address of %s", p.Link, first)
		}
		seen[p.Link] = p.Name
		if p.Name == s.VM.Name && p.Link.IsValid() && p.Link != s.Link.Advertise {
			r.Faultf("peers", p.Name, "%s differs from [link] advertise %s", p.Link, s.Link.Advertise)
		}
	}
	s.Peers = slices.DeleteFunc(s.Peers, func(p Peer) bool { return p.Name == s.VM.Name })
}

func (r *reader) checkVoters(s *Settings) {
	n := len(s.Voters.Initial)
	if n == 0 {
		return
	}
	if n%2 == 0 || n > maxVoters {
		r.Faultf("voters", "initial", "%d voters; an odd number up to %d is needed", n, maxVoters)
	}
	seen := make(map[string]bool, n)
	for _, name := range s.Voters.Initial {
		switch {
		case seen[name]:
			r.Faultf("voters", "initial", "%q is repeated", name)
		case name != s.VM.Name && !s.hasPeer(name):
			r.Faultf("voters", "initial", "%q is not in [peers]", name)
		}
		seen[name] = true
	}
	if s.IsVoter() && s.VM.DataDir == "" {
		r.Faultf("vm", "data_dir", "missing; needed because %s is an initial voter", s.VM.Name)
	}
}

func (s *Settings) hasPeer(name string) bool {
	return slices.ContainsFunc(s.Peers, func(p Peer) bool { return p.Name == name })
}

// socket is one listening socket of the VM.
type socket struct {
	section string
	listen  netip.AddrPort
}

// checkSockets reports sockets of the same protocol on the same address. It also
// checks that the exception budget is within the byte budget.
func (r *reader) checkSockets(s *Settings) {
	r.checkConflicts([]socket{{"fabric", s.Fabric.Listen}, {"relay", s.Relay.Listen}, {"link", s.Link.Listen}})
	r.checkConflicts([]socket{{"api", s.API.Listen}, {"metrics", s.Metrics.Listen}})
	if s.Connections.ExceptionBudget > s.Link.ByteBudget {
		r.Faultf("connections", "exception_budget", "%d exceeds [link] byte_budget %d", s.Connections.ExceptionBudget, s.Link.ByteBudget)
	}
}

func (r *reader) checkConflicts(sockets []socket) {
	for i, a := range sockets {
		for _, b := range sockets[:i] {
			if conflicts(a.listen, b.listen) {
				r.Faultf(a.section, "listen", "%s clashes with [%s] listen %s", a.listen, b.section, b.listen)
			}
		}
	}
}

func conflicts(a, b netip.AddrPort) bool {
	if !a.IsValid() || !b.IsValid() || a.Port() != b.Port() {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}
