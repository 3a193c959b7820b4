package balancer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"

	"heatherport/internal/version/directory"
)

// hearingBalancer returns a balancer, not started, that is fed by a controller which hears of
// one upstream of two.
func hearingBalancer() *Balancer {
	b := &Balancer{log: hclog.NewNullLogger()}
	b.directory = directory.New(directory.Config{Retention: time.Minute, Forgotten: b.noteForgotten})
	heard, silent := upstreamRecord(false), upstreamRecord(true)
	silent.ID, silent.Address = "i-2", netip.MustParseAddrPort("192.0.2.2:80")
	b.feeds = []*feed{{source: &source{}, confirmed: true, lapsed: map[string]bool{heard.ID: false, silent.ID: true}, ejected: map[string]bool{silent.ID: false}}}
	b.directory.Merge(0, heard)
	b.directory.Merge(0, silent)
	return b
}

func (b *Balancer) pass(t time.Duration) {
	for now := time.Duration(0); now <= t; now += confirmInterval {
		b.confirmUpstreams(now)
		b.directory.Tick(now)
	}
}

// Upstreams that crash withdraw from nobody: without an end of silence they would be kept for
// good.
func TestSilentUpstreamIsForgotten(t *testing.T) {
	b := hearingBalancer()
	b.pass(time.Minute)
	must.Eq(t, 2, b.directory.Len())
	b.pass(time.Minute + 2*confirmInterval)
	must.NotNil(t, b.directory.Get("i-1"))
	must.Nil(t, b.directory.Get("i-2"))
	must.MapLen(t, 1, b.feeds[0].lapsed)
	must.MapEmpty(t, b.feeds[0].ejected)
}

// Guards against a balancer that loses its upstreams while it is cut off together with
// controllers that hear of none.
func TestCutOffBalancerForgetsNothing(t *testing.T) {
	for _, feeds := range []bool{true, false} {
		b := hearingBalancer()
		b.feeds[0].confirmed = false
		b.feeds[0].lapsed["i-1"] = true
		if !feeds {
			b.feeds = nil
		}
		b.pass(10 * time.Minute)
		must.Eq(t, 2, b.directory.Len())
	}
}

// Guards against a balancer that was paused and goes on using an upstream that has ended for
// longer than the balancer keeps ends.
func TestBalancerThatWasPausedLearnsOfAnOldEnd(t *testing.T) {
	b := hearingBalancer()
	b.started = time.Now()
	ended := upstreamRecord(false)
	ended.State, ended.SilentMillis = directory.Gone, uint32(2*time.Minute.Milliseconds())
	b.applyUpstreams(b.feeds[0], []directory.Record{ended})
	must.Eq(t, directory.Gone, b.directory.Get(ended.ID).State)
	b.pass(time.Minute + 2*confirmInterval)
	must.Nil(t, b.directory.Get(ended.ID))
}
