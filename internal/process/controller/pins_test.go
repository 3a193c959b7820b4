package controller

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"heatherport/internal/process/stream"
)

func pinOf(n int) Pin {
	return Pin{Caller: linkAt(n), Service: linkAt(200), Cookie: uint32(n), Sequence: uint32(n)}
}

func TestPinTable(t *testing.T) {
	p := newPinTable(time.Minute)
	must.Len(t, 2, p.add(0, []Pin{pinOf(1), pinOf(2)}))
	must.SliceEmpty(t, p.add(0, []Pin{pinOf(2)}))
	// The port is used again for another connection.
	again := pinOf(2)
	again.Sequence = 1 << 30
	must.Len(t, 1, p.add(10*time.Second, []Pin{again}))
	must.Len(t, 3, p.since(20*time.Second, 0))
	must.Eq(t, []Pin{{Caller: again.Caller, Service: again.Service, Cookie: 2, Sequence: 1 << 30, AgeMillis: 10_000}}, p.since(20*time.Second, 2))
	old := pinOf(3)
	old.AgeMillis = 50_000
	must.Len(t, 1, p.add(20*time.Second, []Pin{old}))
	must.Len(t, 2, p.since(time.Minute, 0))
	must.SliceEmpty(t, p.since(2*time.Minute, 0))
	must.MapEmpty(t, p.newest)
	old.AgeMillis = 60_000
	must.SliceEmpty(t, p.add(2*time.Minute, []Pin{old}))
	for i := range maxPins + 10 {
		q := pinOf(1)
		q.Sequence = uint32(i)
		p.add(2*time.Minute, []Pin{q})
	}
	must.Len(t, maxPins, p.held)
	must.MapLen(t, 1, p.newest)
}

// Guards against balancers that do not learn which of several upstreams holds a connection:
// those that run, and those that start later, whichever controllers feed them.
func TestPinsReachAllBalancers(t *testing.T) {
	f := newCluster(t)
	f.submit(f.vms[0], 1)
	reporter, other := f.subscribe(f.vms[0], "balancer-1"), f.subscribe(f.vms[2], "balancer-2")
	for _, b := range []*testSubscriber{reporter, other} {
		b.await("routes", func() bool { return b.table != nil })
	}
	for _, v := range f.vms {
		f.eventually("open links", func() bool { return v.openLinks() == len(f.vms)-1 })
	}
	frame, err := stream.Encode(KindPins, Pins{Pins: []Pin{pinOf(7)}})
	must.NoError(t, err)
	conn := <-reporter.open
	learned := func(b *testSubscriber) {
		t.Helper()
		for deadline := time.After(waitTimeout); ; {
			select {
			case m := <-b.feeds:
				if len(m.Pins) == 1 && m.Pins[0].Cookie == 7 {
					return
				}
			case <-time.After(100 * time.Millisecond):
				must.True(t, conn.Send(frame)) // links may have been set up only now
			case <-deadline:
				t.Fatal("no pin in time")
			}
		}
	}
	learned(other)
	for _, v := range f.vms {
		learned(f.subscribe(v, "balancer-3"))
		learned(f.subscribeWith(v, Subscribe{Name: "balancer-4", Routes: 1, Digests: make([]uint64, 64)}))
	}
}

// What a controller reads after a stall may be of a connection that has ended since.
func TestPinsReadAfterAStallAreNotUsed(t *testing.T) {
	c := fedController(t, 0)
	now := time.Hour
	c.clock = func() time.Duration { return now }
	c.noteStall(0)
	now += time.Minute
	c.handlePins(discardConn(t), Pins{Pins: []Pin{pinOf(1)}})
	must.SliceEmpty(t, c.pins.held)
}
