package balancer

import (
	"testing"

	"github.com/shoenig/test/must"

	"heatherport/internal/load/demand"
	"heatherport/internal/process/controller"
	"heatherport/internal/process/stream"
)

// The engine finds the needs of all balancers by the names that the fleet list has.
func TestFedNeedsAreMergedByName(t *testing.T) {
	key := controller.BalancerKey
	of := func(name string, tenths uint32) *controller.Needs {
		return &controller.Needs{Services: []controller.ServiceNeed{{Service: "permits", Hungry: true, Balancers: []uint32{key(name)}, Tenths: []uint32{tenths}}}}
	}
	b := &Balancer{feeds: []*feed{{needs: of("b1", 40)}, {needs: of("b2", 15)}, {}}}
	must.Eq(t, map[string]map[string]float64{"permits": {keyName(key("b1")): 4, keyName(key("b2")): 1.5}}, b.fedNeeds())
	b.feeds = nil
	must.MapEmpty(t, b.fedNeeds(), must.Sprint("without a feed nothing is lent"))
}

// A controller must read what a balancer reports.
func TestNeedsFrameIsDecoded(t *testing.T) {
	b := &Balancer{needs: needs{sent: map[string]demand.Need{"permits": {Slots: 9.61, Hungry: true}, "allocations": {Slots: 0.2}}}}
	var m controller.Needs
	kind, body, ok := stream.DecodeFrame(b.needsFrame())
	must.True(t, ok)
	must.Eq(t, controller.KindNeeds, kind)
	must.NoError(t, stream.Decode(body, &m))
	must.Eq(t, []controller.ServiceNeed{controller.NewServiceNeed("allocations", 0.2, false), controller.NewServiceNeed("permits", 9.61, true)}, m.Services)
	must.Eq(t, 9.7, m.Services[1].Slots(0))
}
