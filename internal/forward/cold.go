package forward

import (
	"errors"
	"slices"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// Reasons why a request is not sent to a cold target.
var (
	errOwnerCold   = errors.New("the key's owner has not warmed up")
	errTargetsCold = errors.New("no target of the service has warmed up")
)

// coldness is for how long a target stays cold, by its last announcement. It is immutable.
type coldness struct {
	sequence uint64        // of the announcement
	left     time.Duration // as of since
	since    timer.Instant // when this entry received the announcement
}

// WithTarget returns the coldness after the target's record was received. A record that is
// older than the last one changes nothing: requests may still hold it.
func (c coldness) WithTarget(t deployment.Target, now timer.Instant) coldness {
	if t.Sequence <= c.sequence {
		return c
	}
	return coldness{sequence: t.Sequence, left: t.WarmUp(), since: now}
}

// Left returns for how long the target stays cold.
func (c coldness) Left(now timer.Instant) time.Duration { return max(0, c.left-now.Sub(c.since)) }

// targetLimits holds what bounds the requests that a target takes from all entries together.
type targetLimits struct {
	limit  sharedLimit
	notice notice
	cold   coldness
}

// inForce returns the limit that is in force, given the rate of cold targets of the service,
// 0 for none.
func (l targetLimits) inForce(now timer.Instant, coldRate float64) deployment.Limit {
	var out deployment.Limit
	if perSecond, limited := l.limit.PerSecond(now); limited {
		out = out.And(deployment.Limit{Reason: deployment.LimitNamed, PerSecond: perSecond})
	}
	if left, ok := l.notice.MaySend(now); !ok && !l.notice.Leaving() {
		out = out.And(deployment.Limit{Reason: deployment.LimitResting, Left: left})
	}
	if left := l.cold.Left(now); left > 0 && coldRate > 0 {
		out = out.And(deployment.Limit{Reason: deployment.LimitCold, PerSecond: coldRate, Left: left})
	}
	if l.notice.Leaving() {
		out = out.And(deployment.Limit{Reason: deployment.LimitLeaving})
	}
	return out
}

// mayChoose reports whether an entry may choose the target by itself. To a cold one only its
// dispatcher may send requests, which counts those of all entries.
func (l targetLimits) mayChoose(now timer.Instant, coldRate float64) bool {
	in := l.inForce(now, coldRate)
	return !in.TakesNone() && in.Reason != deployment.LimitCold && l.limit.Allows(now)
}

// coldRateOf returns how many requests a second a cold target of the service takes, or 0 if
// it takes as many as a warm one.
func (ts *targetStates) coldRateOf(service string) float64 {
	if ts.coldRate == nil {
		return 0
	}
	return ts.coldRate(service)
}

// coldRateOfAll returns coldRateOf of the targets, which are of one service.
func (ts *targetStates) coldRateOfAll(candidates []deployment.Target) float64 {
	if len(candidates) == 0 {
		return 0
	}
	return ts.coldRateOf(candidates[0].Service)
}

// coldLeft returns for how long the target takes only the cold rate of its service; 0 if it
// is warm, or if its service has none.
func (ts *targetStates) coldLeft(t deployment.Target) time.Duration {
	if ts.coldRateOf(t.Service) <= 0 {
		return 0
	}
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return ts.state(t).cold.Left(ts.clock.Now())
}

// coldLimited reports whether the target gets no request without a grant of its dispatcher.
func (ts *targetStates) coldLimited(t deployment.Target) bool { return ts.coldLeft(t) > 0 }

// untilWarm reports whether all targets to which a request may go are cold, and the time
// until the first of them is warm.
func (ts *targetStates) untilWarm(candidates []deployment.Target, excluded []string) (time.Duration, bool) {
	if ts.coldRateOfAll(candidates) <= 0 {
		return 0, false
	}
	ts.mu.Lock()
	defer ts.mu.Unlock()
	now := ts.clock.Now()
	first := time.Duration(0)
	for _, t := range candidates {
		s := ts.state(t)
		if slices.Contains(excluded, t.ID) || s.circuitOpen(now) {
			continue
		}
		left := s.cold.Left(now)
		if left == 0 {
			return 0, false
		}
		if first == 0 || left < first {
			first = left
		}
	}
	return first, first > 0
}

// received notes the records of targets, so that the time for which they stay cold counts
// from now if they are new.
func (ts *targetStates) received(list []deployment.Target) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	for _, t := range list {
		ts.state(t)
	}
}

// noteColdTargets notes the records of the targets whose services have a cold rate.
func (s *Server) noteColdTargets() {
	v := s.cfg.View.View()
	for _, service := range v.Config.Services {
		if service.ColdRate > 0 {
			s.targets.received(v.Usable(service.Name))
		}
	}
}

// mayStillSend reports whether a request that was allowed before may be sent to the target
// now. It looks at the target's newest record, because the target may have turned cold.
func (s *Server) mayStillSend(c *call, t deployment.Target) bool {
	if !s.mayReach(c, t) || !s.targets.mayStillSend(t, s.cfg.TargetDrain) {
		return false
	}
	if newest, ok := s.cfg.View.View().Target(t.ID); ok && newest.StartMillis == t.StartMillis {
		t = newest
	}
	return c.granted || !s.targets.coldLimited(t)
}
