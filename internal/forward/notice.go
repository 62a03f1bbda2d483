package forward

import (
	"time"

	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// notice is what a target has said of itself in its answers to this entry: that it is
// leaving, or that it wants no requests for a while. It is immutable.
type notice struct {
	leavingSince timer.Instant // first answer that said so; 0 if none did
	// advised reports that the leader advises that the target is leaving, since an unknown
	// time. It holds for the target's record that was last changed at the log index advisedOf.
	advised   bool
	advisedOf uint64
	restUntil timer.Instant
	rested    bool // it has not answered a request since it asked for rest
	probing   bool // a request that tests whether it takes requests again is in flight
}

// leavingShare is the share of the time for which a leaving target still serves, within
// which its keys' requests are sent to it. Their new owner is not known at once.
const leavingShare = 0.5

// WithLeaving returns the notice after an answer that said that the target is leaving.
func (n notice) WithLeaving(now timer.Instant) notice {
	if n.leavingSince == 0 {
		n.leavingSince = max(now, 1)
	}
	return n
}

// WithAdvised returns the notice after advice that the target is leaving, whose record was last
// changed at a log index.
func (n notice) WithAdvised(changed uint64) notice {
	n.advised, n.advisedOf = true, max(n.advisedOf, changed)
	return n
}

// WithRecord returns the notice after a record that was last changed at a log index. A later one
// than the advice was given for may tell that the target is ready again.
func (n notice) WithRecord(changed uint64) notice {
	n.advised = n.advised && changed <= n.advisedOf
	return n
}

// WithRest returns the notice after an answer that asked for no requests for d.
func (n notice) WithRest(d time.Duration, now timer.Instant) notice {
	n.restUntil, n.rested, n.probing = max(n.restUntil, now.Add(d)), true, false
	return n
}

// WithSent returns the notice after a request was sent.
func (n notice) WithSent() notice {
	n.probing = n.probing || n.rested
	return n
}

// WithEnded returns the notice after a request ended. An answer that asked for no rest
// ends the probing.
func (n notice) WithEnded(answered bool) notice {
	n.probing = false
	n.rested = n.rested && !answered
	return n
}

// Leaving reports whether the target is leaving.
func (n notice) Leaving() bool { return n.advised || n.SaidLeaving() }

// SaidLeaving reports whether the target has said that it is leaving.
func (n notice) SaidLeaving() bool { return n.leavingSince > 0 }

// MaySend reports whether a request may be sent. If not, the duration is the time after
// which one may be, or 0 for never.
func (n notice) MaySend(now timer.Instant) (time.Duration, bool) {
	switch {
	case n.Leaving():
		return 0, false
	case now < n.restUntil:
		return n.restUntil.Sub(now), false
	case n.probing:
		return defaultRetryAfter, false
	}
	return 0, true
}

// MaySendToOwner is like MaySend for the owner of a key, for which there is no
// alternative. The owner still serves for drain after it began to leave, if that is known.
func (n notice) MaySendToOwner(now timer.Instant, drain time.Duration) (time.Duration, bool) {
	if n.SaidLeaving() && now.Sub(n.leavingSince) < time.Duration(leavingShare*float64(drain)) {
		n.leavingSince = 0
	}
	return n.MaySend(now)
}

// MayStillSend reports whether a request that was allowed before may be sent now.
func (n notice) MayStillSend(now timer.Instant, drain time.Duration) bool {
	n.probing = false
	_, ok := n.MaySendToOwner(now, drain)
	return ok
}

// RestLeft returns for how long the target wants no requests.
func (n notice) RestLeft(now timer.Instant) time.Duration { return max(0, n.restUntil.Sub(now)) }
