// Package lease implements leases on the monotonic clock. The holder counts the
// duration of a lease from when it sent the request. The granter counts it from when
// it sent the answer, and adds a margin for clock drift. So the lease always expires
// at the holder before it expires at the granter.
package lease

import (
	"errors"
	"time"

	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// ErrExpired reports that a lease has expired.
var ErrExpired = errors.New("lease expired")

// driftDivisor sets the margin that the granter adds to a lease: 1/20 of its duration
// covers clocks that differ in speed by up to 5%.
const driftDivisor = 20

// Held is the holder's side of a lease. The zero value is expired.
type Held struct {
	fence  uint64
	expiry timer.Instant
}

// WithRenewal returns the lease after the granter answered a request sent at sentAt
// and granted it for d. A renewal never shortens the lease or lowers its fence.
func (h Held) WithRenewal(sentAt timer.Instant, d time.Duration, fence uint64) Held {
	if expiry := sentAt.Add(d); expiry > h.expiry {
		h.expiry = expiry
	}
	if fence > h.fence {
		h.fence = fence
	}
	return h
}

// Fence returns the highest fence of all renewals.
func (h Held) Fence() uint64 { return h.fence }

// Expiry returns the instant at which the lease expires.
func (h Held) Expiry() timer.Instant { return h.expiry }

// Check returns ErrExpired unless the lease is valid at now.
func (h Held) Check(now timer.Instant) error {
	if now >= h.expiry {
		return ErrExpired
	}
	return nil
}

// Granted is the granter's side of a lease. The zero value is expired.
type Granted struct {
	expiry timer.Instant
}

// WithGrant returns the lease after the granter granted it for d in an answer sent at
// answeredAt. A grant never shortens the lease.
func (g Granted) WithGrant(answeredAt timer.Instant, d time.Duration) Granted {
	if expiry := answeredAt.Add(GranterDuration(d)); expiry > g.expiry {
		g.expiry = expiry
	}
	return g
}

// Expired reports whether the lease is certainly expired at the holder at now.
func (g Granted) Expired(now timer.Instant) bool { return now >= g.expiry }

// GranterDuration returns how long the granter counts a lease of d as valid: d plus
// the margin for clock drift.
func GranterDuration(d time.Duration) time.Duration { return d + d/driftDivisor }
