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

// size is the number of services, upstreams and members of a fleet.
type size struct {
	services, upstreams, members int
}

// currentSize is the size of a present deployment, targetSize the one that the
// design must support. The sweeps range from one to the other; a sweep keeps
// what it does not vary at the current size.
var (
	currentSize = size{services: 2, upstreams: 19, members: 8}
	targetSize  = size{services: 22_000, upstreams: 38_000, members: 6_600}
)

// upstreamSizes vary the number of upstreams, with services in the proportion
// of the target size; memberSizes vary the number of members.
var (
	upstreamSizes = []size{
		{2, 19, 8}, {220, 380, 8}, {2_200, 3_800, 8}, {7_300, 12_700, 8}, {22_000, 38_000, 8},
	}
	memberSizes = []size{
		{2, 19, 8}, {2, 19, 66}, {2, 19, 660}, {2, 19, 2_200}, {2, 19, 6_600},
	}
)

// sweeps returns the sizes of both sweeps and the target size.
func sweeps() []size {
	out := append(upstreamSizes[:len(upstreamSizes):len(upstreamSizes)], memberSizes[1:]...)
	return append(out, targetSize)
}

// name returns the name of a figure at size s.
func (s size) name(figure string) string {
	return fmt.Sprintf("%s_s%d_u%d_m%d", figure, s.services, s.upstreams, s.members)
}

// figures collects the figures of a run.
type figures []measure.Figure

func (f *figures) add(name string, value float64, unit string) {
	*f = append(*f, measure.Figure{Name: name, Value: value, Unit: unit})
}

// fixture is a state machine in which all upstreams are registered and all
// members are owners.
type fixture struct {
	size
	*state.Machine
}

func newFixture(s size) *fixture {
	fx := &fixture{size: s, Machine: state.New()}
	for i := range s.members {
		fx.apply(state.Command{JoinMember: joinMember(i)})
	}
	fx.apply(state.Command{PrepareOwners: &state.PrepareOwners{}})
	fx.apply(state.Command{ActivateOwners: &state.ActivateOwners{Prepared: fx.Index()}})
	fx.apply(state.Command{SubmitSheet: fx.sheet(1)})
	for i := range s.upstreams {
		fx.apply(state.Command{RegisterUpstream: fx.register(i, 1)})
	}
	return fx
}

// apply applies the next command, which must succeed.
func (fx *fixture) apply(c state.Command) state.Outcome {
	o := fx.Apply(fx.Index()+1, c)
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

// register returns the command that registers the i-th upstream.
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

// sheet returns the command that submits a sheet with all services and
// upstreams. Upstreams are assigned to services round robin.
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

// statusCommand returns the command that changes the load of one upstream.
func statusCommand(id version.UpstreamID, load uint8) state.Command {
	return state.Command{UpstreamStatus: &state.UpstreamStatus{
		Updates: []state.StatusUpdate{{ID: id, LoadFactor: new(load), Cause: state.CauseLoadReport}},
	}}
}

// encodedCommandSize returns the size in bytes of c in the log.
func encodedCommandSize(c state.Command) int {
	data, err := state.EncodeCommand(c)
	if err != nil {
		panic(err)
	}
	return len(data)
}
