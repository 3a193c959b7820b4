package logging

import (
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	// limitedPerSecond bounds the lines about single connections, so that they
	// leave room for those about changes. A line has some 400 bytes.
	limitedPerSecond = 60
	limitedBurst     = 120
)

// Limited logs lines about single connections, as many as a rate allows. The
// next line after a gap tells how many were left out. It is for one goroutine;
// Omitted may be called by any.
type RateLimited struct {
	log     hclog.Logger
	bucket  bucket
	gap     int
	omitted atomic.Uint64
}

// NewLimited returns a logger that writes to log.
func NewRateLimited(log hclog.Logger) *RateLimited {
	return &RateLimited{log: log, bucket: newBucket(limitedPerSecond, limitedBurst)}
}

// Omitted returns the number of lines left out.
func (l *RateLimited) Omitted() uint64 { return l.omitted.Load() }

// Allow reports whether a line may be written now, so that its arguments need
// not be made otherwise.
func (l *RateLimited) Allow(now time.Time) bool {
	if l.bucket.take(now) {
		return true
	}
	l.gap++
	l.omitted.Add(1)
	return false
}

// Info writes a line for which Allow returned true.
func (l *RateLimited) Info(message string, args ...any) {
	if l.gap > 0 {
		args = append(args, "omitted", l.gap)
		l.gap = 0
	}
	l.log.Info(message, args...)
}

// bucket is a token bucket.
type bucket struct {
	rate, size, tokens float64
	filled             time.Time
}

func newBucket(rate, size float64) bucket { return bucket{rate: rate, size: size, tokens: size} }

func (b *bucket) take(now time.Time) bool {
	if !b.filled.IsZero() {
		b.tokens = min(b.size, b.tokens+now.Sub(b.filled).Seconds()*b.rate)
	}
	b.filled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
