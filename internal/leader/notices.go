package leader

import (
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// leavingInterval is the time between two commands that mark the same target as draining.
// A target that says that it is leaving and announces itself as ready is marked again.
const leavingInterval = 5 * time.Second

// targetNotice is what a target said of itself in answers to entries.
type targetNotice struct {
	leaving   bool
	markedAt  timer.Instant // when it was last marked as draining
	restUntil timer.Instant
}

// recordNotice records what an entry heard from a target.
func (m *Model) recordNotice(t deployment.Target, tl instance.TargetLoad) {
	if tl.StartMillis == 0 || tl.StartMillis != t.StartMillis {
		return
	}
	n, ok := m.notices[incarnationOf(t)]
	if !ok {
		n = &targetNotice{}
		m.notices[incarnationOf(t)] = n
	}
	n.leaving = n.leaving || tl.Leaving
	n.restUntil = max(n.restUntil, m.now.Add(tl.Rest))
}

// resting reports whether the target asked for no requests for now, and for how long.
func (m *Model) resting(incarnation deployment.Incarnation) (time.Duration, bool) {
	n, ok := m.notices[incarnation]
	if !ok || m.now >= n.restUntil {
		return 0, false
	}
	return n.restUntil.Sub(m.now), true
}

// nextLeaving returns the announcement as draining of a target that said to entries that
// it is leaving and is not known to drain, and false if there is none. Its own
// announcement may come later, or not at all.
func (m *Model) nextLeaving() (deployment.Target, bool) {
	for incarnation, n := range m.notices {
		t, ok := m.state.Target(incarnation.ID)
		switch {
		case !ok || t.StartMillis != incarnation.StartMillis || t.Status == deployment.Left:
			delete(m.notices, incarnation)
		case n.leaving && t.Usable() && (n.markedAt == 0 || m.now.Sub(n.markedAt) > leavingInterval):
			n.markedAt = m.now
			t.Status = deployment.Draining
			t.Sequence++
			return t, true
		}
	}
	return deployment.Target{}, false
}
