// Package lease keeps time-bound permissions on the monotonic clock. The
// holder counts a lease from the moment it asked; the granter counts it from
// the moment it answered and adds a margin for clock drift. So the holder
// always stops before the granter moves on.
package lease

import (
	"errors"
	"time"

	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// ErrExpired reports that a lease has run out.
var ErrExpired = errors.New("lease expired")

// driftDivisor is the share of a lease that the granter waits longer: 1/20 of
// it covers clocks that differ in speed by up to 5%.
const driftDivisor = 20

// Held is the holder's side of a lease. The zero value is expired.
type Held struct {
	fence  uint64
	expiry timer.Instant
}

// WithRenewal returns the lease after an answer that grants it for d, to a
// request that was sent at asked. A renewal never shortens the lease or lowers
// its fence.
func (h Held) WithRenewal(asked timer.Instant, d time.Duration, fence uint64) Held {
	if expiry := asked.Add(d); expiry > h.expiry {
		h.expiry = expiry
	}
	if fence > h.fence {
		h.fence = fence
	}
	return h
}

// Fence returns the highest fence that came with the lease.
func (h Held) Fence() uint64 { return h.fence }

// Expiry returns the instant at which the lease ends.
func (h Held) Expiry() timer.Instant { return h.expiry }

// Check returns ErrExpired unless the lease is valid at now.
func (h Held) Check(now timer.Instant) error {
	if now >= h.expiry {
		return ErrExpired
	}
	return nil
}

// Granted is the granter's side of a lease.
type Granted struct {
	until timer.Instant
}

// WithGrant returns the lease after it was granted for d by an answer sent at
// answered.
func (g Granted) WithGrant(answered timer.Instant, d time.Duration) Granted {
	if until := answered.Add(Margin(d)); until > g.until {
		g.until = until
	}
	return g
}

// Over reports whether the holder has certainly stopped at now.
func (g Granted) Over(now timer.Instant) bool { return now >= g.until }

// Margin returns how long a granter must wait for a lease of d to be over.
func Margin(d time.Duration) time.Duration { return d + d/driftDivisor }
