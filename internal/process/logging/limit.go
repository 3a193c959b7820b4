package logging

import (
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	// connectionLinesPerSecond limits the lines about single connections. It is
	// below linesPerSecond to leave room for lines about changes. A line has
	// about 400 bytes.
	connectionLinesPerSecond = 60
	connectionLinesBurst     = 120
)

// RateLimited is a logger for lines about single connections, with a rate limit.
// A line that follows omitted ones contains their number. RateLimited is not
// safe for concurrent use, except for the method Omitted.
type RateLimited struct {
	log              hclog.Logger
	bucket           bucket
	omittedSinceLast int
	omitted          atomic.Uint64
}

// NewRateLimited returns a logger that writes to log.
func NewRateLimited(log hclog.Logger) *RateLimited {
	return &RateLimited{log: log, bucket: newBucket(connectionLinesPerSecond, connectionLinesBurst)}
}

// Omitted returns the number of omitted lines.
func (l *RateLimited) Omitted() uint64 { return l.omitted.Load() }

// Allow reports whether a line may be written now. The caller prepares the
// arguments of the line only if it may.
func (l *RateLimited) Allow(now time.Time) bool {
	if l.bucket.take(now) {
		return true
	}
	l.omittedSinceLast++
	l.omitted.Add(1)
	return false
}

// Info writes a line for which Allow has returned true.
func (l *RateLimited) Info(message string, args ...any) {
	if l.omittedSinceLast > 0 {
		args = append(args, "omitted", l.omittedSinceLast)
		l.omittedSinceLast = 0
	}
	l.log.Info(message, args...)
}

// bucket is a token bucket.
type bucket struct {
	rate, burst, tokens float64
	refilled            time.Time
}

func newBucket(rate, burst float64) bucket { return bucket{rate: rate, burst: burst, tokens: burst} }

func (b *bucket) take(now time.Time) bool {
	if !b.refilled.IsZero() {
		b.tokens = min(b.burst, b.tokens+now.Sub(b.refilled).Seconds()*b.rate)
	}
	b.refilled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
