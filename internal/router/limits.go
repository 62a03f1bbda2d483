package router

import (
	"time"

	"github.com/cranberrywind/cranberrywind/internal/control"
	"github.com/cranberrywind/cranberrywind/pkg/limit"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// LimitPolicy returns the limiter with which an entry begins at a target, for a
// number of entries that share it.
type LimitPolicy func(t control.Target, entries int) limit.Limiter

// FixedLimit lets each entry use all slots of a target on its own. It is the
// baseline that other policies are measured against.
func FixedLimit(t control.Target, _ int) limit.Limiter { return limit.Fixed(max(t.Slots, 1)) }

// AdaptiveLimit lets each entry find its share of a target's slots from what
// the target turns down.
func AdaptiveLimit(t control.Target, _ int) limit.Limiter { return limit.NewAdaptive(t.Slots) }

// ShareLimit gives each entry an equal share of a target's slots, at least one.
func ShareLimit(t control.Target, entries int) limit.Limiter {
	return limit.Fixed((t.Slots + entries - 1) / max(entries, 1))
}

// Pauses after a target turned requests down one after the other.
const (
	pauseBase     = 2 * time.Millisecond
	pauseMax      = 16 * time.Millisecond
	pauseDoubling = 3 // times

	// unreachedPause is the mean pause before a target is asked again that could
	// not be reached. Its keys may come back with it or with another owner.
	unreachedPause = 40 * time.Millisecond
)

// pauseAfterShed leaves a full target alone for a time that doubles with each
// refusal in a row, spread so that entries don't return together.
func (r *Router) pauseAfterShed(l *load, now timer.Instant) {
	if r.cfg.NoPause {
		return
	}
	pause := min(pauseBase<<min(l.sheds-1, pauseDoubling), pauseMax)
	l.fullUntil = now.Add(pause/2 + r.jitter(pause))
}
