package model

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"heatherport/internal/connection/affinity"
	"heatherport/internal/load/uplink"
	"heatherport/internal/version/directory"
	"heatherport/internal/version/routing"
)

// run is the state of a run.
type run struct {
	*rand.Rand            // of the fabric and the faults
	arrivals   *rand.Rand // of the callers, so that two ways see the same requests
	scenario   *Scenario
	now        time.Duration
	events     events
	routes     *routing.Table
	addresses  map[*Route]netip.AddrPort
	balancers  []*balancer
	upstreams  []*upstream
	records    []affinity.Upstream // as controllers know the upstreams
	byCookie   map[uint32]*upstream
	cut        []bool // by failure domain
	feeds      feeds
	attempts   map[netip.AddrPort]*attempt // whose callers have not given up
	calls      []*call
	ports      int
	refused    int
	suspected  int // suspicions of upstreams
	broken     []Violation
	observe    *observer
}

const (
	// drainTime is the time after the window in which its requests are answered.
	drainTime = 2 * time.Second
	// lifetime is the longest lifetime of a connection.
	lifetime = time.Minute
)

// Run plays a scenario with a seed.
func Run(s *Scenario, seed uint64) (*Outcome, error) {
	r, err := newRun(s, seed)
	if err != nil {
		return nil, err
	}
	end := s.To + drainTime
	for len(r.events.heap) > 0 && r.events.heap[0].at < end {
		e := r.events.pop()
		r.now = e.at
		e.do()
	}
	return r.outcome(), nil
}

func newRun(s *Scenario, seed uint64) (*run, error) {
	r := &run{
		Rand: rand.New(rand.NewPCG(seed, 1)), arrivals: rand.New(rand.NewPCG(seed, 0)), scenario: s, addresses: make(map[*Route]netip.AddrPort), byCookie: make(map[uint32]*upstream),
		cut: make([]bool, len(s.Fleet.Domains)), attempts: make(map[netip.AddrPort]*attempt),
		observe: newObserver(s),
	}
	if err := r.addRoutes(); err != nil {
		return nil, err
	}
	r.addUpstreams()
	r.addBalancers(seed)
	r.startFeeds()
	for i := range s.Faults {
		r.scheduleFault(&s.Faults[i])
	}
	for i := range s.Routes {
		for d := range s.Fleet.Domains {
			r.schedule(&s.Routes[i], d, s.To+time.Second)
		}
	}
	r.every(s.From, observeInterval, r.observeLoad)
	return r, nil
}

func (r *run) after(d time.Duration, do func()) { r.events.push(r.now+d, do) }

func (r *run) every(offset, interval time.Duration, do func()) {
	r.after(offset, func() {
		do()
		r.every(interval, interval, do)
	})
}

func (r *run) addRoutes() error {
	const firstPort = 8000
	var services []string
	for _, s := range r.scenario.Services {
		services = append(services, s.Name)
	}
	var routes []routing.Route
	for i := range r.scenario.Routes {
		x := &r.scenario.Routes[i]
		r.addresses[x] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, 100, 1}), uint16(firstPort+i))
		routes = append(routes, routing.Route{
			Name: x.Name, Address: r.addresses[x], Targets: []routing.Target{{Service: x.Service, Weight: 1}},
			Timeout: x.Timeout, LatencyObjective: x.Objective, Priority: x.Priority,
		})
	}
	table, err := routing.New(1, lifetime, services, routes)
	r.routes = table
	return err
}

func (r *run) addUpstreams() {
	domains := r.scenario.Fleet.Domains
	for s := range r.scenario.Services {
		service := &r.scenario.Services[s]
		for i := range service.Upstreams {
			n := len(r.upstreams)
			d := i % len(domains)
			address := netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)})
			record := directory.Record{
				ID: fmt.Sprintf("i-%05d", n), Handle: uint64(n + 1), Service: service.Name, State: directory.Serving, Slots: service.Slots,
				StartMillis: int64(n + 1), Domain: domains[d], Address: netip.AddrPortFrom(address, 8080),
			}
			u := &upstream{index: n, service: service, domain: d, slowness: 1}
			r.upstreams = append(r.upstreams, u)
			r.records = append(r.records, affinity.Upstream{Record: record, Cookie: record.Tag()})
			r.byCookie[record.Tag()] = u
		}
	}
}

func (r *run) addBalancers(seed uint64) {
	f := &r.scenario.Fleet
	for i := range r.scenario.Balancers() {
		b := &balancer{index: i, domain: i / f.Balancers, late: make(map[netip.AddrPort]*affinity.Packet)}
		b.in.rate, b.out.rate = f.LinkRate, f.LinkRate
		known := &uplink.Link{}
		if f.LinkKnown {
			known = uplink.New(f.LinkRate)
		}
		b.config = affinity.Config{
			Name: fmt.Sprintf("b-%05d", i), Domain: f.Domains[b.domain], Capacity: tableCapacity, Lifetime: lifetime,
			Link: known, Rand: rand.New(rand.NewPCG(seed, uint64(i+2))),
		}
		b.restart()
		r.balancers = append(r.balancers, b)
		r.every(time.Duration(r.Int64N(int64(tick))), tick, func() { r.tick(b) })
	}
}

func (r *run) tick(b *balancer) {
	if b.down {
		return
	}
	r.suspected += len(b.Tick(r.now, b.view))
	r.report(b)
	r.release(b)
}
