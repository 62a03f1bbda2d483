package limit

import (
	"time"

	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// Rate is a token bucket that limits requests to a rate. It is immutable. The zero
// value allows no requests.
type Rate struct {
	perSecond float64
	burst     float64 // most tokens
	tokens    float64 // as of at
	at        timer.Instant
}

// NewRate returns a bucket that holds tokens, at most burst, and gains perSecond tokens
// each second.
func NewRate(perSecond, burst, tokens float64, now timer.Instant) Rate {
	return Rate{perSecond: perSecond, burst: burst, tokens: min(tokens, burst), at: now}
}

// WithLimit returns the bucket with another rate and burst, and with the tokens that it
// holds now.
func (r Rate) WithLimit(perSecond, burst float64, now timer.Instant) Rate {
	return NewRate(perSecond, burst, r.available(now), now)
}

// Allows reports whether the bucket holds a token.
func (r Rate) Allows(now timer.Instant) bool { return r.available(now) >= 1 }

// WithRequest returns the bucket after a request took a token, and true, or the same
// bucket and false if it holds none.
func (r Rate) WithRequest(now timer.Instant) (Rate, bool) {
	available := r.available(now)
	if available < 1 {
		return r, false
	}
	return Rate{perSecond: r.perSecond, burst: r.burst, tokens: available - 1, at: now}, true
}

func (r Rate) available(now timer.Instant) float64 {
	elapsed := max(0, now.Sub(r.at))
	return min(r.burst, r.tokens+r.perSecond*elapsed.Seconds())
}

// Interval returns the mean time between two tokens.
func (r Rate) Interval() time.Duration {
	if r.perSecond <= 0 {
		return time.Duration(1<<63 - 1)
	}
	return time.Duration(float64(time.Second) / r.perSecond)
}
