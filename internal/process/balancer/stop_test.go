package balancer

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"heatherport/internal/process/controller"
	"heatherport/internal/version/directory"
	"heatherport/internal/version/routing"
)

// Routers notice after a second that a balancer is not ready. What they send until then,
// new connections too, must still be forwarded, and the balancer goes on until nothing
// arrives any more.
func TestPacketsDuringAPlannedStopAreForwarded(t *testing.T) {
	upstream, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	must.NoError(t, err)
	defer upstream.Close()
	fakes := startFakes(t, 1)
	b := startBalancer(t, fakes...)
	b.stopTimeout = waitTimeout
	table, err := routing.New(1, 0, []string{"permits"}, []routing.Route{{Name: "r", Address: serviceAddr, Targets: []routing.Target{{Service: "permits", Weight: 1}}, Timeout: time.Second}})
	must.NoError(t, err)
	delta := table.Diff(nil)
	fakes[0].feed(controller.FeedUpdate{Confirmed: true, Routes: &delta, Upstreams: []directory.Record{{
		ID: "i-7", Handle: 7, Service: "permits", State: directory.Serving, Slots: 1, StartMillis: 1, Seq: 1,
		Address: netip.MustParseAddrPort(upstream.LocalAddr().String()),
	}}})
	eventually(t, "ready", b.Ready)
	caller, err := net.Dial("udp4", b.forwarder.conn.LocalAddr().String())
	must.NoError(t, err)
	defer caller.Close()
	stopped := make(chan error, 1)
	begun := time.Now()
	go func() { stopped <- b.Stop(context.Background()) }()
	eventually(t, "not ready", func() bool { return !b.Ready() })
	buf := make([]byte, 100)
	last := begun
	for port := uint16(1000); time.Since(begun) < minDrainTime+drainIdleTime/2; port++ {
		_, err := caller.Write(testPacket(kindOpening, port, 0))
		must.NoError(t, err)
		must.NoError(t, upstream.SetReadDeadline(time.Now().Add(waitTimeout)))
		_, err = upstream.Read(buf)
		must.NoError(t, err, must.Sprint("after ", time.Since(begun)))
		last = time.Now()
		time.Sleep(50 * time.Millisecond)
	}
	must.NoError(t, <-stopped)
	must.GreaterEq(t, drainIdleTime, time.Since(last))
}
