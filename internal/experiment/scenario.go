// Package experiment plays scenarios of internal/model: it reads them from INI files, runs
// them with several seeds at a time, compares two ways, and plots what happened.
package experiment

import (
	"os"
	"strconv"
	"strings"
	"time"

	"heatherport/internal/inifile"
	"heatherport/internal/model"
	"heatherport/internal/result"
)

// Change replaces a value of a scenario file.
type Change struct{ Section, Key, Value string }

// String returns the change as it is written on the command line.
func (c Change) String() string { return c.Section + "." + c.Key + "=" + c.Value }

// ParseChange parses SECTION.KEY=VALUE. The section may contain dots.
func ParseChange(s string) (Change, error) {
	name, value, ok := strings.Cut(s, "=")
	section, key, hasKey := cutLast(name, ".")
	if !ok || !hasKey || section == "" || key == "" {
		return Change{}, result.Errorf(result.BadArguments, "%q is not SECTION.KEY=VALUE", s)
	}
	return Change{section, key, value}, nil
}

func cutLast(s, separator string) (before, after string, found bool) {
	i := strings.LastIndex(s, separator)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(separator):], true
}

// Bounds of the values of a scenario.
const (
	maxTime      = time.Hour
	maxObjective = time.Minute
	maxDelay     = 10 * time.Second
	maxBalancers = 10_000
	maxUpstreams = 100_000
	maxSlots     = 1000
	maxRate      = 10_000_000
	maxBytes     = 100 << 20
	maxFactor    = 1000
	maxMbps      = 1_000_000
	maxAttempts  = 100
	maxPriority  = 100
	maxDeviation = 3
	bytesPerMbit = 125_000
)

// Load reads a scenario file with changes.
func Load(path string, changes ...Change) (*model.Scenario, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, result.Wrapf(err, result.BadArguments, "read scenario")
	}
	return Parse(b, changes...)
}

// Parse parses and checks a scenario. The error wraps all faults with their lines.
func Parse(b []byte, changes ...Change) (*model.Scenario, error) {
	ini, err := inifile.NewReader(b)
	if err != nil {
		return nil, err
	}
	for _, c := range changes {
		ini.Set(c.Section, c.Key, c.Value)
	}
	r := &reader{ini}
	s := &model.Scenario{
		Name:  r.Raw("scenario", "name"),
		From:  r.Duration("scenario", "from", 0, 0, maxTime),
		To:    r.Duration("scenario", "to", 0, 0, maxTime),
		Fleet: r.fleet(),
	}
	if s.To <= s.From {
		r.Faultf("scenario", "to", "must be later than from")
	}
	for _, name := range r.Sections("service.") {
		s.Services = append(s.Services, r.service(name))
	}
	for _, name := range r.Sections("route.") {
		s.Routes = append(s.Routes, r.route(name, s))
	}
	for _, name := range r.Sections("load.") {
		s.Loads = append(s.Loads, r.load("load."+name, s))
	}
	for _, name := range r.Sections("fault.") {
		s.Faults = append(s.Faults, r.fault("fault."+name, s))
	}
	if len(s.Routes) == 0 {
		r.Faultf("scenario", "", "no route")
	}
	r.ReportUnknown()
	return s, r.Err()
}

// reader reads the sections of a scenario.
type reader struct{ *inifile.Reader }

func (r *reader) bool(section, key string, def bool) bool {
	return r.Choice(section, key, strconv.FormatBool(def), "true", "false") == "true"
}

func (r *reader) fleet() model.Fleet {
	const s = "fleet"
	f := model.Fleet{
		Balancers:   int(r.Integer(s, "balancers", 1, 1, maxBalancers)),
		LinkRate:    r.Number(s, "link_mbps", 0, 0, maxMbps) * bytesPerMbit,
		LinkKnown:   r.bool(s, "link_known", true),
		CallerDelay: r.Duration(s, "caller_delay", time.Millisecond, 0, maxDelay),
		LocalDelay:  r.Duration(s, "local_delay", 100*time.Microsecond, 0, maxDelay),
		RemoteDelay: r.Duration(s, "remote_delay", time.Millisecond, 0, maxDelay),
		FeedDelay:   r.Duration(s, "feed_delay", 80*time.Millisecond, 0, maxDelay),
		FeedSkew:    r.Duration(s, "feed_skew", 0, 0, maxDelay),
		LapseDelay:  r.Duration(s, "lapse_delay", 3600*time.Millisecond, 0, maxTime),
		Shares:      r.bool(s, "shares", true),
		Lending:     r.bool(s, "lending", true),
		Speeds:      r.bool(s, "speeds", true),
	}
	for _, name := range strings.Split(r.Required(s, "domains"), ",") {
		if name = strings.TrimSpace(name); name != "" {
			r.CheckName(s, "domains", name)
			f.Domains = append(f.Domains, name)
		}
	}
	return f
}

func (r *reader) service(name string) model.Service {
	s := "service." + name
	r.CheckName(s, "", name)
	return model.Service{
		Name:      name,
		Upstreams: int(r.Integer(s, "upstreams", 1, 1, maxUpstreams)),
		Slots:     int(r.Integer(s, "slots", 1, 1, maxSlots)),
		Queue:     int(r.Integer(s, "queue", 0, 0, maxSlots)),
	}
}

func (r *reader) route(name string, s *model.Scenario) model.Route {
	section := "route." + name
	return model.Route{
		Name:      name,
		Service:   r.reference(section, "service", serviceNames(s), true),
		Priority:  int(r.Integer(section, "priority", 1, 0, maxPriority)),
		Objective: r.Duration(section, "objective", time.Second, time.Millisecond, maxObjective),
		Timeout:   r.Duration(section, "timeout", 3*time.Second, time.Millisecond, maxObjective),
		Work:      r.Duration(section, "work", 10*time.Millisecond, time.Microsecond, maxObjective),
		Deviation: r.Number(section, "deviation", 0.5, 0, maxDeviation),
		Rate:      r.Number(section, "rate", 0, 0, maxRate),
		Request:   int(r.Integer(section, "request_bytes", 0, 0, maxBytes)),
		Answer:    int(r.Integer(section, "answer_bytes", 1000, 1, maxBytes)),
		Attempts:  int(r.Integer(section, "attempts", 3, 1, maxAttempts)),
		GivesUp:   r.bool(section, "gives_up", false),
	}
}

func (r *reader) load(section string, s *model.Scenario) model.Load {
	return model.Load{
		At:     r.Duration(section, "at", 0, 0, maxTime),
		For:    r.Duration(section, "for", maxTime, 0, maxTime),
		Factor: r.Number(section, "factor", 1, 0, maxFactor),
		Route:  r.reference(section, "route", routeNames(s), false),
		Domain: r.reference(section, "domain", s.Fleet.Domains, false),
		Period: r.Duration(section, "period", 0, 0, maxTime),
	}
}

func (r *reader) fault(section string, s *model.Scenario) model.Fault {
	kinds := make([]string, len(model.FaultKinds))
	for i, k := range model.FaultKinds {
		kinds[i] = string(k)
	}
	return model.Fault{
		Kind:    model.FaultKind(r.reference(section, "kind", kinds, true)),
		At:      r.Duration(section, "at", 0, 0, maxTime),
		For:     r.Duration(section, "for", maxTime, 0, maxTime),
		Share:   r.Number(section, "share", 1, 0, 1),
		Factor:  r.Number(section, "factor", 1, 0, maxFactor),
		Service: r.reference(section, "service", serviceNames(s), false),
		Domain:  r.reference(section, "domain", s.Fleet.Domains, false),
	}
}

// reference reads the name of something that the scenario has.
func (r *reader) reference(section, key string, names []string, isRequired bool) string {
	if isRequired {
		r.Required(section, key)
	}
	return r.Choice(section, key, "", names...)
}

func serviceNames(s *model.Scenario) (names []string) {
	for i := range s.Services {
		names = append(names, s.Services[i].Name)
	}
	return names
}

func routeNames(s *model.Scenario) (names []string) {
	for i := range s.Routes {
		names = append(names, s.Routes[i].Name)
	}
	return names
}
