package slopes

import (
	"fmt"
	"net/netip"
	"strings"

	"heatherport/internal/measure"
	"heatherport/internal/result"
	"heatherport/internal/version"
	"heatherport/internal/version/sheet"
	"heatherport/internal/version/state"
)

// size is the size of a fleet.
type size struct {
	services, upstreams, members int
}

// today and target are the ends of the sweeps; today is also the size of what
// a sweep does not vary.
var (
	today  = size{services: 2, upstreams: 19, members: 8}
	target = size{services: 22_000, upstreams: 38_000, members: 6_600}
)

// upstreamSizes vary the upstreams, and the services in the proportion of the
// target; memberSizes vary the members.
var (
	upstreamSizes = []size{
		{2, 19, 8}, {220, 380, 8}, {2_200, 3_800, 8}, {7_300, 12_700, 8}, {22_000, 38_000, 8},
	}
	memberSizes = []size{
		{2, 19, 8}, {2, 19, 66}, {2, 19, 660}, {2, 19, 2_200}, {2, 19, 6_600},
	}
)

// sweeps returns both sweeps and the target itself.
func sweeps() []size {
	out := append(upstreamSizes[:len(upstreamSizes):len(upstreamSizes)], memberSizes[1:]...)
	return append(out, target)
}

// name returns a figure's name at size s.
func (s size) name(figure string) string {
	return fmt.Sprintf("%s_s%d_u%d_m%d", figure, s.services, s.upstreams, s.members)
}

// figures collects the figures of a run.
type figures []measure.Figure

func (f *figures) add(name string, value float64, unit string) {
	*f = append(*f, measure.Figure{Name: name, Value: value, Unit: unit})
}

// world is a state machine with all upstreams registered and all members
// owning.
type world struct {
	size
	*state.Machine
}

func newWorld(s size) *world {
	w := &world{size: s, Machine: state.New()}
	for i := range s.members {
		w.apply(state.Command{JoinMember: joinMember(i)})
	}
	w.apply(state.Command{PrepareOwners: &state.PrepareOwners{}})
	w.apply(state.Command{ActivateOwners: &state.ActivateOwners{Prepared: w.Index()}})
	w.apply(state.Command{SubmitSheet: w.sheet(1)})
	for i := range s.upstreams {
		w.apply(state.Command{RegisterUpstream: w.register(i, 1)})
	}
	return w
}

// apply applies the next command, which must succeed.
func (w *world) apply(c state.Command) state.Outcome {
	o := w.Apply(w.Index()+1, c)
	if o.Code != result.OK {
		panic(fmt.Sprintf("command refused with %s: %s", o.Code, o.Detail))
	}
	return o
}

const (
	linkPort  = 7001
	relayPort = 7002
	apiPort   = 8443
	fouPort   = 5555
	probePort = 9000
	domains   = 8
)

// address returns the i-th address of a /8.
func address(first byte, i int, port uint16) netip.AddrPort {
	i++
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{first, byte(i >> 16), byte(i >> 8), byte(i)}), port)
}

func memberName(i int) string { return fmt.Sprintf("balancer-%d", i) }

func joinMember(i int) *state.JoinMember {
	return &state.JoinMember{
		Name:        memberName(i),
		Incarnation: 1,
		Domain:      fmt.Sprintf("domain-%d", i%domains),
		Relay:       address(10, i, relayPort),
		Link:        address(10, i, linkPort),
		API:         address(10, i, apiPort),
	}
}

func serviceName(i int) string  { return fmt.Sprintf("service-%d", i) }
func upstreamName(i int) string { return fmt.Sprintf("upstream-%d", i) }

// register announces the i-th upstream.
func (s size) register(i int, incarnation uint64) *state.RegisterUpstream {
	return &state.RegisterUpstream{
		Name:        upstreamName(i),
		Service:     serviceName(i % s.services),
		Addr:        address(11, i, fouPort),
		Probe:       address(11, i, probePort),
		Incarnation: incarnation,
		Slots:       3,
	}
}

// sheet lists all services and upstreams. Upstreams go round the services.
func (s size) sheet(number uint64) *state.SubmitSheet {
	var b strings.Builder
	fmt.Fprintf(&b, "version,%d\n", number)
	for i := range s.services {
		fmt.Fprintf(&b, "service,%s,%s,tcp,443,10m,no\n", serviceName(i), address(12, i, 0).Addr())
	}
	for i := range s.upstreams {
		fmt.Fprintf(&b, "upstream,%s,%s,active,3,2000\n", serviceName(i%s.services), upstreamName(i))
	}
	parsed, err := sheet.Parse(strings.NewReader(b.String()))
	if err != nil {
		panic(err)
	}
	return &state.SubmitSheet{Number: number, Digest: parsed.Digest(), Canonical: parsed.Canonical(), Operator: "planner"}
}

// statusCommand changes the load of one upstream.
func statusCommand(id version.UpstreamID, load uint8) state.Command {
	return state.Command{UpstreamStatus: &state.UpstreamStatus{
		Updates: []state.StatusUpdate{{ID: id, LoadFactor: new(load), Cause: state.CauseLoadReport}},
	}}
}

// commandBytes returns the size of c in the log.
func commandBytes(c state.Command) int {
	data, err := state.EncodeCommand(c)
	if err != nil {
		panic(err)
	}
	return len(data)
}
