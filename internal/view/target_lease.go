package view

import (
	"slices"
	"time"

	"github.com/cranberrywind/cranberrywind/internal/deployment"
	"github.com/cranberrywind/cranberrywind/internal/instance"
)

// targetLeaseShare is the part of a target's drain for which a confirmation of targets is valid.
// The rest of the drain is for the delivery of requests: links held one for 445 ms.
const targetLeaseShare = 0.75

// minBreak is the shortest time without a message after which an entry is out of touch. Messages
// come each pingPeriod, and one that is late alone must not let an entry serve on.
const minBreak = 3 * pingPeriod

// targetLease tells whether an entry may send requests by what it knows of targets. Control
// instances confirm which targets have ended. A target may end right after a confirmation, and
// serves for the drain time from then on: so the entry may send to it for a part of that time
// after the last confirmation that left nothing out. It is immutable. All times are those of
// the boot clock.
type targetLease struct {
	// unsupported reports that control instances are of a build that does not confirm targets.
	unsupported bool
	validAt     time.Duration // when the last confirmation was made that left nothing out
	version     uint64        // of the view
	known       uint64        // log index up to which ended and the view are complete
	ended       []endedTarget // after the view
	contact
}

// WithView returns the lease after a view has arrived, which from now on decides on targets that
// ended before it, also on those that are ready again.
func (l targetLease) WithView(version uint64) targetLease {
	l.version, l.known = version, max(l.known, version)
	l.ended = slices.DeleteFunc(slices.Clone(l.ended), func(t endedTarget) bool { return t.index <= version })
	return l
}

// WithConfirmation returns the lease after the answer to a call that was sent at the time
// sentAt, and that was confirmed at the time at.
func (l targetLease) WithConfirmation(c instance.TargetConfirmation, at, sentAt time.Duration) targetLease {
	l.unsupported = false
	if c.To == 0 {
		return l
	}
	later := slices.DeleteFunc(endedIn(c, sentAt, sentAt), func(t endedTarget) bool { return t.index <= l.version })
	l.ended = withEnded(l.ended, later)
	if l.known >= c.From {
		l.known, l.validAt = max(l.known, c.To), max(l.validAt, at)
	}
	return l
}

// WithoutConfirmations returns the lease of an entry whose control instances are of a build that
// does not confirm targets.
func (l targetLease) WithoutConfirmations() targetLease {
	l.unsupported = true
	return l
}

// WithHeard returns the lease after a message of a control instance that knows a leader.
func (l targetLease) WithHeard(at, bound time.Duration) targetLease {
	l.contact = l.contact.With(at, max(bound, 2*minBreak))
	return l
}

// InTouch reports whether control instances have been heard for longer than the bound.
func (l targetLease) InTouch(now, bound time.Duration) bool {
	return l.heardAt > 0 && now-l.heardAt <= max(bound/2, minBreak) && now-l.heardSince > bound
}

// Valid reports whether the entry may send requests by what it knows of targets.
func (l targetLease) Valid(now, bound time.Duration) bool {
	return l.unsupported || bound <= 0 || now-l.validAt <= bound || !l.InTouch(now, bound)
}

// Ended reports whether the target ended after the view, and how long ago: a negative time if
// that is not known.
func (l targetLease) Ended(t deployment.Target, now time.Duration) (time.Duration, bool) {
	age, ended := time.Duration(0), false
	for _, x := range l.ended {
		if x.id != t.ID || t.StartMillis > x.startMillis {
			continue
		}
		since := x.age(now)
		if t.StartMillis != x.startMillis {
			since = -1 // it ended before the later incarnation
		}
		if !ended || since < 0 || age >= 0 && since > age {
			age, ended = since, true
		}
	}
	return age, ended
}
