package affinity

import "time"

const (
	// windowCount and windowLength bound the memory of lowestAverage to about eight
	// seconds: longer than most bursts, so that queues of a burst do not become
	// usual, and short enough to follow upstreams that have become slower.
	windowCount  = 8
	windowLength = time.Second
	// windowSamples is the number of samples from which the average of a window
	// counts.
	windowSamples = 8
)

// lowestAverage is the lowest of the averages over the last windows. Queues only
// lengthen response times, so that it approximates the service time without them.
type lowestAverage struct {
	sums    [windowCount]time.Duration
	samples [windowCount]int
	window  int64
	lowest  time.Duration
}

// get returns zero before the first window has enough samples.
func (l *lowestAverage) get() time.Duration { return l.lowest }

// add adds a sample. A window without enough samples goes on until it has them.
func (l *lowestAverage) add(now, d time.Duration) {
	if n := int64(now / windowLength); n != l.window && l.samples[l.window%windowCount] >= windowSamples {
		l.window = n
		l.sums[n%windowCount], l.samples[n%windowCount] = 0, 0
	}
	i := l.window % windowCount
	l.sums[i] += d
	l.samples[i]++
	l.lowest = 0
	for i, n := range l.samples {
		if n < windowSamples {
			continue
		}
		if mean := l.sums[i] / time.Duration(n); l.lowest == 0 || mean < l.lowest {
			l.lowest = mean
		}
	}
}
