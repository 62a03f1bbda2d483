package router

import (
	"time"

	"github.com/cranberrywind/cranberrywind/internal/control"
	"github.com/cranberrywind/cranberrywind/pkg/limit"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// LimitPolicy returns the initial concurrency limiter of one entry for a target that
// the given number of entries share.
type LimitPolicy func(t control.Target, entries int) limit.Limiter

// FixedLimit allows each entry as many requests in flight as the target has slots. It
// is the baseline for measuring other policies.
func FixedLimit(t control.Target, _ int) limit.Limiter { return limit.Fixed(max(t.Slots, 1)) }

// AdaptiveLimit adapts each entry's limit to its share of the target's slots: it grows
// with answers and shrinks when the target sheds a request.
func AdaptiveLimit(t control.Target, _ int) limit.Limiter { return limit.NewAdaptive(t.Slots) }

// ShareLimit allows each entry an equal share of a target's slots, at least one.
func ShareLimit(t control.Target, entries int) limit.Limiter {
	return limit.Fixed((t.Slots + entries - 1) / max(entries, 1))
}

// Backoff at a target that sheds requests.
const (
	shedBackoffBase      = 2 * time.Millisecond
	shedBackoffMax       = 16 * time.Millisecond
	shedBackoffDoublings = 3 // the backoff doubles at most this many times

	// unreachedBackoff is the mean backoff at a target that could not be reached. Its
	// keys may soon be served again, by the same target or by a new owner.
	unreachedBackoff = 40 * time.Millisecond
)

// backOffAfterShed stops sending to a target that shed a request, for a time that
// doubles with each consecutive shed. Jitter keeps entries from returning together.
func (r *Router) backOffAfterShed(s *targetState, now timer.Instant) {
	if r.cfg.NoShedBackoff {
		return
	}
	backoff := min(shedBackoffBase<<min(s.consecutiveSheds-1, shedBackoffDoublings), shedBackoffMax)
	s.backoffUntil = now.Add(backoff/2 + r.jitter(backoff))
}
