package uplink

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	rate = 450_000.0 // bytes per second
	// packet is the size of an opening packet or a reset.
	packet  = 31
	callers = 200
	// retries is the number of times that a refused caller comes again, at once.
	retries = 2
)

// kind is a kind of connections.
type kind struct {
	Attempt
	perSecond float64
	admitted  int
	refused   int
}

// replay offers connections for a time. Each sends its bytes evenly over 50 ms. It
// returns the greatest queue at the link, in bytes.
func replay(kinds []*kind, length time.Duration) (queue float64) {
	const step, spread = time.Millisecond, 50
	random := rand.New(rand.NewPCG(1, 2))
	l := New(rate)
	var pending [spread]float64
	most := 0.0
	for now := time.Duration(0); now < length; now += step {
		sent := pending[0]
		copy(pending[:], pending[1:])
		pending[spread-1] = 0
		for _, k := range kinds {
			if random.Float64() >= k.perSecond*step.Seconds() {
				continue
			}
			k.Caller = random.Uint64N(callers)
			for try := 0; ; try++ {
				if l.Admits(now, k.Attempt) {
					k.admitted++
					for i := range pending {
						pending[i] += k.Bytes / spread
					}
					break
				}
				l.Charge(now, packet)
				sent += packet + FrameOverhead
				if try == retries {
					k.refused++
					break
				}
			}
		}
		l.Sent(now, int(sent)-FrameOverhead)
		queue = max(queue+sent-rate*step.Seconds(), 0)
		most = max(most, queue)
	}
	return most
}

func (k *kind) part() float64 { return float64(k.admitted) / float64(max(k.admitted+k.refused, 1)) }

func crowd(times float64) (status, urgent, dear *kind) {
	status = &kind{Attempt: Attempt{Priority: 2, Bytes: 1000}, perSecond: 205 * times}
	urgent = &kind{Attempt: Attempt{Priority: 1, Bytes: 1800}, perSecond: 58 * times}
	dear = &kind{Attempt: Attempt{Priority: 2, Bytes: 3800}, perSecond: 18 * times}
	return status, urgent, dear
}

// A crowd asks for one and a half of what the link carries: nothing may queue at it for
// longer than a tenth of a second, and it must not stand idle.
func TestCrowdLeavesNoQueueAtTheLink(t *testing.T) {
	status, urgent, dear := crowd(1.7)
	queue := replay([]*kind{status, urgent, dear}, 4*time.Second)
	must.LessEq(t, 0.1*rate, queue)
	carried := 0.0
	for _, k := range []*kind{status, urgent, dear} {
		carried += float64(k.admitted)*k.Bytes + float64(k.refused)*(retries+1)*(packet+FrameOverhead)
	}
	must.GreaterEq(t, 0.85*rate*4, carried)
	must.GreaterEq(t, 0.98, urgent.part())
	must.Greater(t, dear.part(), status.part())
	must.GreaterEq(t, int(4*time.Second/dearTurn), dear.admitted, must.Sprint("one in each turn"))
}

// The callers that are refused are the same for a second, and others after it: of those
// that come again at once, none takes the place of another.
func TestSameCallersAreRefusedForATurn(t *testing.T) {
	l := New(rate)
	l.tokens = 0 // half of the callers are refused
	first, later := 0, 0
	for caller := range uint64(200) {
		a := Attempt{Priority: 2, Caller: caller}
		l.filled = 0
		if l.isShed(0, a) {
			first++
			must.True(t, l.isShed(shedTurn/2, a))
			if !l.isShed(shedTurn, a) {
				later++
			}
		}
	}
	must.Between(t, 70, first, 130)
	must.Between(t, first/4, later, 3*first/4)
}

// What the link can carry is admitted.
func TestLoadThatFitsIsAdmitted(t *testing.T) {
	status, urgent, dear := crowd(1.0)
	replay([]*kind{status, urgent, dear}, 4*time.Second)
	must.Zero(t, status.refused+urgent.refused+dear.refused)
}

func TestUnknownRateAdmitsAll(t *testing.T) {
	l := &Link{}
	for range 1000 {
		must.True(t, l.Admits(0, Attempt{Bytes: 1e6}))
	}
	must.Zero(t, l.Use(time.Second))
}

// Something else fills the link: the delay of openings lowers what is admitted.
func TestDelayLowersWhatIsAdmitted(t *testing.T) {
	admitted := func(delay time.Duration) (n int) {
		l := New(rate)
		l.SetDelay(delay)
		for now := time.Duration(0); now < 4*time.Second; now += time.Millisecond {
			if l.Admits(now, Attempt{Priority: 2, Bytes: 1000}) {
				n++
			}
		}
		return n
	}
	must.Greater(t, admitted(100*time.Millisecond), admitted(0))
	must.GreaterEq(t, int(minUse*4*rate/1000), admitted(time.Second), must.Sprint("never below the minimum"))
}
