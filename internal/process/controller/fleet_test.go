package controller

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Balancers take two feeds, so the lists of controllers overlap.
func TestMergeFleets(t *testing.T) {
	a := &Fleet{Domains: []FleetDomain{{"akure", []uint32{1, 5}}}}
	b := &Fleet{Domains: []FleetDomain{{"ibadan", []uint32{9}}, {"akure", []uint32{5, 2}}}}
	must.Eq(t, &Fleet{Domains: []FleetDomain{{"akure", []uint32{1, 2, 5}}, {"ibadan", []uint32{9}}}}, MergeFleets(a, nil, b))
	must.Nil(t, MergeFleets(nil, nil))
}

func TestFleetsOfAllControllersAreFed(t *testing.T) {
	c := fedController(t, 0)
	c.peers.add(Member{ID: "other"})
	c.handleFleet(&Fleet{Controller: "other", Domains: []FleetDomain{{"ibadan", []uint32{9}}}})
	// A controller that is gone no longer speaks for its balancers.
	c.handleFleet(&Fleet{Controller: "gone", Domains: []FleetDomain{{"ibadan", []uint32{10}}}})
	c.refreshFleet(fleetInterval)
	must.Len(t, 2, c.fleets.fed.Domains)
	must.Eq(t, FleetDomain{"ibadan", []uint32{9}}, c.fleets.fed.Domains[1])
	must.Len(t, balancers, c.fleets.fed.Domains[0].Balancers)
	// A restart of many balancers must not change the list with each of them.
	before := c.fleets.fed
	c.subscribers[discardConn(t)] = &subscriber{Subscribe: Subscribe{Name: "new"}}
	c.refreshFleet(fleetInterval + time.Millisecond)
	must.True(t, before == c.fleets.fed)
	c.refreshFleet(2 * fleetInterval)
	must.Len(t, balancers+1, c.fleets.fed.Domains[0].Balancers)
}
