package deployment

import "time"

// LimitReason is why a target takes fewer requests than its slots allow.
type LimitReason string

// Reasons of limits, the one that hides all others last.
const (
	NoLimit      LimitReason = ""
	LimitNamed   LimitReason = "named"   // the target named a rate in its answers
	LimitResting LimitReason = "resting" // it asked for no requests for a while
	LimitCold    LimitReason = "cold"    // it has not warmed up
	LimitLeaving LimitReason = "leaving" // it said that it is leaving
)

// limitOrder orders the reasons: of two limits that hold at once, the later one is given as
// the reason.
var limitOrder = map[LimitReason]int{NoLimit: 0, LimitNamed: 1, LimitResting: 2, LimitCold: 3, LimitLeaving: 4}

// Limit is what a target takes from all entries together, and why.
type Limit struct {
	Reason    LimitReason
	PerSecond float64       // requests a second; 0 if no rate is known
	Left      time.Duration // until it ends; 0 if that is not known
}

// And returns the limit that holds where both do: the lower rate, and the reason that comes
// later in the order of reasons.
func (l Limit) And(other Limit) Limit {
	out := l
	if limitOrder[other.Reason] > limitOrder[l.Reason] {
		out = other
	}
	out.PerSecond = max(l.PerSecond, other.PerSecond)
	if l.PerSecond > 0 && other.PerSecond > 0 {
		out.PerSecond = min(l.PerSecond, other.PerSecond)
	}
	return out
}

// TakesNone reports whether the target takes no requests at all.
func (l Limit) TakesNone() bool { return l.Reason == LimitResting || l.Reason == LimitLeaving }

// Cold reports whether the announcement says that the target has not warmed up.
func (t Target) Cold() bool { return t.WarmUpMillis > 0 }

// WarmUp returns for how long the target stays cold after the announcement.
func (t Target) WarmUp() time.Duration { return time.Duration(t.WarmUpMillis) * time.Millisecond }

// ColdRateOf returns how many requests a second a cold target of the service takes, or 0 if
// it takes as many as a warm one.
func (cfg Config) ColdRateOf(service string) float64 {
	s, ok := cfg.Service(service)
	if !ok {
		return 0
	}
	return max(0, s.ColdRate)
}
