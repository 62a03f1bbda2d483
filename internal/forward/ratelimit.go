package forward

import (
	"time"

	"github.com/cranberrywind/cranberrywind/internal/instance"
	"github.com/cranberrywind/cranberrywind/pkg/limit"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

const (
	// namedFor is for how long a limit that this entry heard itself goes before the
	// advised one, which is older by about two reports.
	namedFor = 2 * time.Second
	// adviceFor is for how long the leader's advice is used. Without it an entry keeps
	// to its part of the rate on its own.
	adviceFor = 2500 * time.Millisecond
	// minPerSecond keeps some requests going to a target with a limit of zero, whose
	// answers tell when the limit ends.
	minPerSecond = 0.1
	// With advice the share of admitted requests keeps all entries together to the
	// limit. The bucket bounds only sudden growth that the advice doesn't know of yet:
	// it allows surgeFactor times this entry's part, and at once what it may get in
	// surgeTime, but not less than minSurge.
	surgeFactor = 1.3
	surgeTime   = 2 * time.Second
	minSurge    = 3.0
	// maxReturnDelay bounds the time after which a rejected caller is told to return.
	// Keys have moved to other targets by then.
	maxReturnDelay = 2 * time.Second
)

// sharedLimit decides which requests an entry sends to a target that names a rate limit
// in its answers. The limit is one for all entries; each keeps to a part of it. It is
// immutable.
type sharedLimit struct {
	named     float64 // requests a second that the last answer named; 0 if it named none
	namedAt   timer.Instant
	heard     bool // an answer told since the last report whether there is a limit
	advised   instance.TargetLimit
	advisedAt timer.Instant // 0 if the leader advised no limit
	part      float64       // this entry's part of the service's requests, from 0 to 1
	bucket    limit.Rate
	limited   bool          // bucket is in use
	returnAt  timer.Instant // when the caller that was rejected last was told to return
}

// WithNamed returns the limit after an answer that named perSecond, or no limit if
// perSecond is 0.
func (l sharedLimit) WithNamed(perSecond float64, now timer.Instant) sharedLimit {
	if perSecond == 0 && l.named == 0 && !l.limited {
		return l
	}
	l.named, l.namedAt, l.heard = perSecond, now, true
	return l.refreshed(now)
}

// WithAdvice returns the limit after the leader's advice. A zero TargetLimit stands for
// no limit. The part is this entry's part of the service's requests.
func (l sharedLimit) WithAdvice(advised instance.TargetLimit, part float64, now timer.Instant) sharedLimit {
	l.advised, l.advisedAt, l.part = advised, now, part
	return l.refreshed(now)
}

// WithReport returns the limit after it was reported to the leader.
func (l sharedLimit) WithReport() sharedLimit {
	l.heard = false
	return l
}

// PerSecond returns the limit of all entries together, and false if there is none.
func (l sharedLimit) PerSecond(now timer.Instant) (float64, bool) {
	switch {
	case l.namedAt > 0 && now.Sub(l.namedAt) < namedFor:
		return max(l.named, minPerSecond), l.named > 0
	case l.hasAdvice(now):
		return max(l.advised.PerSecond, minPerSecond), l.advised.PerSecond > 0
	}
	// Without control the last known limit stays in force until an answer names none.
	last := l.named
	if l.advisedAt > l.namedAt {
		last = l.advised.PerSecond
	}
	return max(last, minPerSecond), last > 0
}

// hasAdvice reports whether the leader's advice is recent.
func (l sharedLimit) hasAdvice(now timer.Instant) bool {
	return l.advisedAt > 0 && now.Sub(l.advisedAt) < adviceFor
}

// refreshed returns the limit with the bucket for what is known now.
func (l sharedLimit) refreshed(now timer.Instant) sharedLimit {
	perSecond, limited := l.PerSecond(now)
	if !limited {
		l.limited, l.returnAt = false, 0
		return l
	}
	own, burst := perSecond*l.part, 1.0
	if l.sharesAdmission(now) {
		own *= surgeFactor
		burst = max(minSurge, surgeTime.Seconds()*perSecond*l.part)
	}
	if !l.limited {
		l.bucket, l.limited = limit.NewRate(own, burst, 1, now), true
		return l
	}
	l.bucket = l.bucket.WithLimit(own, burst, now)
	return l
}

// sharesAdmission reports whether the leader advises the share of requests to admit.
func (l sharedLimit) sharesAdmission(now timer.Instant) bool {
	return l.hasAdvice(now) && l.advised.Admit > 0
}

// Allows reports whether the bucket has room for a request.
func (l sharedLimit) Allows(now timer.Instant) bool {
	l = l.refreshed(now)
	return !l.limited || l.bucket.Allows(now)
}

// WithRequest returns the limit after a request, and whether the request may be sent.
// The random number from 0 to 1 decides which requests are admitted if the target gets
// more than it takes.
func (l sharedLimit) WithRequest(now timer.Instant, random float64) (sharedLimit, bool) {
	l = l.refreshed(now)
	if !l.limited {
		return l, true
	}
	if l.sharesAdmission(now) && random >= l.admitShare(now) {
		return l, false
	}
	next, ok := l.bucket.WithRequest(now)
	l.bucket = next
	return l, ok
}

// admitShare returns the advised share of requests to admit, adjusted if the target has
// named another limit since.
func (l sharedLimit) admitShare(now timer.Instant) float64 {
	perSecond, _ := l.PerSecond(now)
	return l.advised.Admit * min(1, perSecond/max(l.advised.PerSecond, minPerSecond))
}

// WithRejection returns the limit after a request was rejected, and the time after which
// its caller may return. Callers return at the rate at which this entry sends requests.
func (l sharedLimit) WithRejection(now timer.Instant) (sharedLimit, time.Duration) {
	l.returnAt = min(max(l.returnAt, now).Add(l.bucket.Interval()), now.Add(maxReturnDelay))
	return l, l.returnAt.Sub(now)
}
