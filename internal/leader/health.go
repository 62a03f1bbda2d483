package leader

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

const (
	// healthWindow is the time constant of the exponential decay of a target's
	// counts: failures show within a second or two, and a target that has
	// recovered is soon used again.
	healthWindow = 2 * time.Second
	// A target is failing if its decayed number of failures and their share reach
	// these minima. Fewer failures happen at targets that are merely slow.
	minFailures     = 3.0
	minFailureShare = 0.2
	// maxFailing bounds the failing targets that entries are advised of.
	maxFailing = 64
	// healthExpiryWindows is the number of windows after which the counts have
	// decayed to nearly nothing and are dropped.
	healthExpiryWindows = 8
)

// health counts a target's successes and failures as seen by all entries, with
// exponential decay. A single entry may see too few requests to detect a failing
// target.
type health struct {
	decayedAt           timer.Instant
	successes, failures float64
}

// decayed returns the counts decayed up to now.
func (h health) decayed(now timer.Instant) health {
	factor := math.Exp(-float64(now.Sub(h.decayedAt)) / float64(healthWindow))
	return health{decayedAt: now, successes: h.successes * factor, failures: h.failures * factor}
}

// failureShare returns the share of requests that fail, or 0 below the minima.
func (h health) failureShare() float64 {
	if share := h.failures / (h.successes + h.failures); h.failures >= minFailures && share >= minFailureShare {
		return share
	}
	return 0
}

// recordHealth adds an entry's counts for a target.
func (m *Model) recordHealth(incarnation deployment.Incarnation, tl instance.TargetLoad) {
	h, ok := m.health[incarnation]
	if !ok {
		h.decayedAt = m.now
	}
	h = h.decayed(m.now)
	h.successes += float64(tl.Successes)
	h.failures += float64(tl.Failures)
	m.health[incarnation] = h
}

// failing returns the failing targets, worst first, and drops targets for which
// nothing was reported for healthExpiryWindows.
func (m *Model) failing() []instance.FailingTarget {
	var out []instance.FailingTarget
	for incarnation, h := range m.health {
		if m.now.Sub(h.decayedAt) > healthExpiryWindows*healthWindow {
			delete(m.health, incarnation)
			continue
		}
		if share := h.decayed(m.now).failureShare(); share > 0 {
			out = append(out, instance.FailingTarget{Target: incarnation.ID, FailureShare: share})
		}
	}
	slices.SortFunc(out, func(a, b instance.FailingTarget) int {
		return cmp.Or(cmp.Compare(b.FailureShare, a.FailureShare), cmp.Compare(a.Target, b.Target))
	})
	return out[:min(len(out), maxFailing)]
}
