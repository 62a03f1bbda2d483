package forward

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
)

// admit decides whether a request may be sent to a target that names a rate limit. If
// not, it returns the time after which the caller may return.
func (ts *targetStates) admit(t deployment.Target) (time.Duration, bool) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	s, now := ts.state(t), ts.clock.Now()
	var ok bool
	if s.limit, ok = s.limit.WithRequest(now, rand.Float64()); ok {
		return 0, true
	}
	var retryAfter time.Duration
	s.limit, retryAfter = s.limit.WithRejection(now)
	return retryAfter, false
}

// rejectLimited reports whether a request is rejected because rate limits are reached,
// and the time after which its caller may return: that of the target which has room
// first.
func (ts *targetStates) rejectLimited(candidates []deployment.Target, excluded []string) (time.Duration, bool) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	now := ts.clock.Now()
	coldRate := ts.coldRateOfAll(candidates)
	var first *targetState
	var next sharedLimit
	var retryAfter time.Duration
	for _, t := range candidates {
		s := ts.state(t)
		if slices.Contains(excluded, t.ID) || s.circuitOpen(now) || s.limit.Allows(now) || coldRate > 0 && s.cold.Left(now) > 0 {
			continue
		}
		if l, d := s.limit.WithRejection(now); first == nil || d < retryAfter {
			first, next, retryAfter = s, l, d
		}
	}
	if first == nil {
		return 0, false
	}
	first.limit = next
	return retryAfter, true
}

// setLimits stores the leader's advice on rate limits. Targets that are not listed have
// none. The part is this entry's part of a service's requests.
func (ts *targetStates) setLimits(list []instance.TargetLimit, target func(id string) (deployment.Target, bool), part func(service string) float64) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	now := ts.clock.Now()
	for _, l := range list {
		if t, ok := target(l.Target); ok {
			s := ts.state(t)
			s.limit = s.limit.WithAdvice(l, part(t.Service), now)
		}
	}
	for id, s := range ts.byID {
		if s.limit.advisedAt != now && (s.limit.advisedAt > 0 || s.limit.limited) {
			t, ok := target(id)
			if !ok {
				continue
			}
			s.limit = s.limit.WithAdvice(instance.TargetLimit{}, part(t.Service), now)
		}
	}
}

// rateLimits returns the rate limits that are in force, in requests a second of all
// entries together, by target.
func (ts *targetStates) rateLimits() map[string]float64 {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	now := ts.clock.Now()
	out := make(map[string]float64)
	for id, s := range ts.byID {
		if perSecond, ok := s.limit.PerSecond(now); ok {
			out[id] = perSecond
		}
	}
	return out
}
