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
	// healthSpan is the span of the average of a target's failures: they show
	// within a second or two, and a target that works again is used again soon.
	healthSpan = 2 * time.Second
	// A target counts as failing from this many failures and this share on. Fewer
	// happen to targets that are merely slow.
	leastFailures     = 3.0
	leastFailureShare = 0.2
	// maxFailing bounds how many targets entries are told of.
	maxFailing = 64
	// healthForget is after how many spans nothing is left of an average.
	healthForget = 8
)

// health is what entries together saw of a target's answers. It answers a load in
// which each entry alone sees too few requests to tell a failing target.
type health struct {
	at        timer.Instant
	good, bad float64
}

// since returns the average as it is now.
func (h health) since(now timer.Instant) health {
	keep := math.Exp(-float64(now.Sub(h.at)) / float64(healthSpan))
	return health{at: now, good: h.good * keep, bad: h.bad * keep}
}

// share returns the share of requests that fail, or 0 where that is not sure.
func (h health) share() float64 {
	if share := h.bad / (h.good + h.bad); h.bad >= leastFailures && share >= leastFailureShare {
		return share
	}
	return 0
}

// noteHealth counts a target's answers and failures.
func (m *Model) noteHealth(incarnation deployment.Incarnation, x instance.TargetLoad) {
	h, ok := m.health[incarnation]
	if !ok {
		h.at = m.now
	}
	h = h.since(m.now)
	h.good += float64(x.Answers)
	h.bad += float64(x.Failures)
	m.health[incarnation] = h
}

// failing returns the targets that fail most of their requests, and forgets those
// of which nothing was reported for a long time.
func (m *Model) failing() []instance.Failing {
	var out []instance.Failing
	for incarnation, h := range m.health {
		if m.now.Sub(h.at) > healthForget*healthSpan {
			delete(m.health, incarnation)
			continue
		}
		if share := h.since(m.now).share(); share > 0 {
			out = append(out, instance.Failing{Target: incarnation.ID, Share: share})
		}
	}
	slices.SortFunc(out, func(a, b instance.Failing) int {
		return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(a.Target, b.Target))
	})
	return out[:min(len(out), maxFailing)]
}
