package controller

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"heatherport/internal/process/stream"
	"heatherport/internal/result"
	"heatherport/internal/version/directory"
	"heatherport/internal/version/register"
	"heatherport/internal/version/routing"
)

// evacuate gives an order at a VM until it is acknowledged.
func (f *cluster) evacuate(v *vm, domain string, evacuate bool) {
	f.t.Helper()
	f.eventually("the order", func() bool {
		return v.Evacuate(context.Background(), domain, evacuate, "operator") == nil
	})
}

// expectEvacuated reads at a VM until a read succeeds, and checks the domains.
func (f *cluster) expectEvacuated(v *vm, domains ...string) {
	f.t.Helper()
	f.eventually("read of evacuations", func() bool {
		active, err := v.Evacuations(context.Background())
		if err != nil {
			return false
		}
		var got []string
		for _, e := range active {
			got = append(got, e.Domain)
		}
		must.Eq(f.t, domains, got)
		return true
	})
}

func TestEvacuationsAreTakenAtAnyController(t *testing.T) {
	f := newCluster(t)
	domain := f.vms[0].self.Domain
	for i := range 6 {
		f.evacuate(f.vms[i%3], domain, true)
		f.evacuate(f.vms[(i+1)%3], domain, true)
		f.expectEvacuated(f.vms[(i+2)%3], domain)
		f.evacuate(f.vms[(i+2)%3], domain, false)
		f.expectEvacuated(f.vms[i%3])
	}
}

func TestUnknownDomainChangesNothing(t *testing.T) {
	f := newCluster(t)
	f.submit(f.vms[0], 1)
	err := f.vms[0].Evacuate(context.Background(), "nowhere", true, "operator")
	must.Eq(t, result.UnknownDomain, result.CodeOf(err))
	f.expectEvacuated(f.vms[0])
}

// An acknowledged order survives a power failure of all VMs with the loss of one disk
// right after the acknowledgement.
func TestEvacuationSurvivesRestartOfAllAndALostDisk(t *testing.T) {
	f := newCluster(t)
	f.submit(f.vms[0], 1)
	domain := f.vms[1].self.Domain
	f.evacuate(f.vms[0], domain, true)
	for _, v := range f.vms {
		f.stop(v)
	}
	f.vms[2].dir = t.TempDir()
	for _, v := range f.vms {
		f.start(v, false)
	}
	for _, v := range f.vms {
		f.expectEvacuated(v, domain)
	}
	f.expect(f.vms[2], 1)
}

// A controller that stood still may read an order that its operator has since given to
// another controller and taken back.
func TestOrderReadAfterAStallIsRefused(t *testing.T) {
	c := fedController(t, 0)
	c.stall.Tick(time.Second)
	c.clock = func() time.Duration { return time.Second + stallLimit + 1 }
	err := c.Evacuate(context.Background(), c.self.Domain, true, "operator")
	must.Eq(t, result.NotReady, result.CodeOf(err))
}

func TestOrderOfADisconnectedOperatorIsDropped(t *testing.T) {
	f := newCluster(t)
	f.submit(f.vms[0], 1)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	err := f.vms[0].Evacuate(ctx, f.vms[0].self.Domain, true, "operator")
	must.Eq(t, result.OutcomeUnknown, result.CodeOf(err))
	f.expectEvacuated(f.vms[1])
}

// A snapshot must carry the evacuations: the log before it is deleted.
func TestEvacuationSurvivesCompaction(t *testing.T) {
	f := newCluster(t)
	domain := f.vms[1].self.Domain
	f.evacuate(f.vms[0], domain, true)
	for number := range uint64(compactEntries + 10) {
		f.submit(f.vms[0], number+1)
	}
	v := f.vms[2]
	f.stop(v)
	v.dir = t.TempDir()
	f.start(v, false)
	f.expectEvacuated(v, domain)
}

func TestFirstControllerAssignsOwnerOfSlowStart(t *testing.T) {
	c := fedController(t, 0)
	c.table = &routing.Table{SlowStarts: map[string]routing.SlowStart{"permits": {Duration: 2 * time.Second}}}
	near := &subscriber{Subscribe: Subscribe{Name: "near", Domain: "akure"}}
	c.subscribers[discardConn(t)] = near
	cold := func(seq uint64, left time.Duration) directory.Record {
		r := announcement(directory.Serving, seq)
		r.SlowStart = left
		c.assignOwner(&r)
		return r
	}
	first := cold(1, time.Second)
	must.Eq(t, "near", first.Owner)
	// Later announcements keep the owner: two owners would open twice the connections.
	c.directory.Merge(c.now(), first)
	near.Name = "other"
	must.Eq(t, "near", cold(2, time.Second/2).Owner)
	// A warm upstream and a service without a limit need none.
	must.Eq(t, "", cold(3, 0).Owner)
	c.table = &routing.Table{}
	must.Eq(t, "", cold(4, time.Second).Owner)
}

// A balancer that starts long after the end of an evacuation must not treat the
// upstreams of the domain as cold: where each domain was evacuated once, it would refuse
// all connections for the length of a slow start.
func TestStartingBalancerIsNotToldOfOldEnds(t *testing.T) {
	ended := func(ago time.Duration) *register.Evacuations {
		var r register.Register
		for i, o := range []register.Order{{Domain: "akure", Evacuate: true}, {Domain: "akure", After: 1, AtMillis: time.Now().Add(-ago).UnixMilli()}} {
			data, err := o.Encode()
			must.NoError(t, err)
			_, err = r.Apply(uint64(i+1), data)
			must.NoError(t, err)
		}
		return r.Evacuations()
	}
	fed := func(uptime, ago, later time.Duration) map[string]uint64 {
		c := fedController(t, 0)
		c.table.SlowStarts = map[string]routing.SlowStart{"permits": {Duration: 2 * time.Second}}
		c.started = time.Now().Add(-uptime)
		c.evacuated(ended(ago))
		(<-c.events)()
		c.started = c.started.Add(-later)
		c.tick()
		must.Eq(t, 2, c.evacuations.Index)
		return c.evacuations.Ended
	}
	fresh := map[string]uint64{"akure": 2}
	must.Eq(t, fresh, fed(time.Minute, 0, time.Second))
	must.MapEmpty(t, fed(time.Minute, 0, 3*time.Second))
	// The log of a controller that starts holds ends of any age. The clocks of VMs may
	// differ by some seconds.
	must.Eq(t, fresh, fed(0, 8*time.Second, 0))
	must.MapEmpty(t, fed(0, time.Minute, 0))
	// A controller that runs hears of an end when it happens, whatever the clock says.
	must.Eq(t, fresh, fed(time.Minute, time.Minute, 0))
}

func TestFeedCarriesEvacuations(t *testing.T) {
	c := fedController(t, 3)
	c.feedAll()
	c.evacuations = &Evacuations{Index: 7, Domains: []string{"akure"}}
	c.lastFeedTime -= urgentFeedInterval
	c.feedAll()
	must.MapLen(t, 1, c.encoded.frames)
	for _, frame := range c.encoded.frames {
		kind, body, ok := stream.DecodeFrame(frame)
		must.True(t, ok)
		must.Eq(t, KindFeedUpdate, kind)
		var m FeedUpdate
		must.NoError(t, stream.Decode(body, &m))
		must.Eq(t, c.evacuations, m.Evacuations)
	}
}
