package balancer

import (
	"testing"

	"github.com/shoenig/test/must"

	"heatherport/internal/load/share"
	"heatherport/internal/process/controller"
)

// The engine finds its own share by the name under which the list has it.
func TestFleetListsBalancersByKey(t *testing.T) {
	key := controller.BalancerKey
	b := &Balancer{shares: true, feeds: []*feed{
		{fleet: &controller.Fleet{Domains: []controller.FleetDomain{{Domain: "a", Balancers: []uint32{key("b1")}}}}},
		{fleet: &controller.Fleet{Domains: []controller.FleetDomain{{Domain: "a", Balancers: []uint32{key("b1")}}, {Domain: "c", Balancers: []uint32{key("b2")}}}}},
		{},
	}}
	b.updateFleet()
	must.SliceLen(t, 2, b.balancers)
	must.SliceContains(t, b.balancers, share.Balancer{Name: keyName(key("b1")), Domain: "a"})
	must.SliceContains(t, b.balancers, share.Balancer{Name: keyName(key("b2")), Domain: "c"})
	b.feeds = nil
	b.updateFleet()
	must.SliceLen(t, 2, b.balancers, must.Sprint("without a feed the last list stays"))
}
