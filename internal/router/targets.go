package router

import (
	"time"

	"github.com/cranberrywind/cranberrywind/internal/config"
	"github.com/cranberrywind/cranberrywind/internal/control"
	"github.com/cranberrywind/cranberrywind/pkg/keyspace"
	"github.com/cranberrywind/cranberrywind/pkg/limit"
	"github.com/cranberrywind/cranberrywind/pkg/timer"
)

// load is what this entry sees of one target. Nothing that the target says of
// itself enters here.
type load struct {
	incarnation string
	inFlight    int
	mean        time.Duration // of the time until an answer, moving
	deviation   time.Duration // mean distance from it, moving
	gap         time.Duration // between two answers while requests wait, moving mean
	answered    timer.Instant // last answer
	limiter     limit.Limiter
	sheds       int           // refusals in a row
	fullUntil   timer.Instant // no request goes there before
	failures    int           // failed attempts since the last answer
	shunned     timer.Instant // no unkeyed request goes there before
}

const (
	shunBase = 100 * time.Millisecond // after the first failure
	shunMax  = 5 * time.Second

	// avoidPenalty ranks a target that just failed the request behind all others.
	avoidPenalty = 1000.0
)

// note takes an attempt's end into account: a target that fails is left alone
// for a time that doubles with each failure in a row.
func (l *load) note(result Result, now timer.Instant) {
	switch result {
	case ResultAbandoned:
		return
	case ResultShed:
		l.sheds++
		l.limiter = l.limiter.WithShed()
		return
	case ResultAnswered:
		l.failures = 0
		l.sheds = 0
		l.limiter = l.limiter.WithAnswer()
		return
	}
	l.failures++
	pause := shunBase << min(l.failures-1, 10)
	l.shunned = now.Add(min(pause, shunMax))
}

// Shares of a new measurement in the moving mean and deviation, and how many
// deviations an answer may take longer than the mean (as TCP's retransmission
// timer, RFC 6298).
const (
	meanShare      = 8
	deviationShare = 4
	deviations     = 4
	// waitSafety is how many times longer than by the pace a wait may become.
	waitSafety = 2
	// maxGap is a gap after which the pace says nothing of a busy target.
	maxGap = time.Second
)

// measure takes the time of an answered attempt into account.
func (l *load) measure(took time.Duration) {
	if l.mean == 0 {
		l.mean, l.deviation = took, took/2
		return
	}
	l.deviation += ((took - l.mean).Abs() - l.deviation) / deviationShare
	l.mean += (took - l.mean) / meanShare
}

// pace takes the time since the last answer into account, if requests waited.
func (l *load) pace(now timer.Instant, waiting bool) {
	gap := now.Sub(l.answered)
	l.answered = now
	switch {
	case !waiting || gap > maxGap:
	case l.gap == 0:
		l.gap = gap
	default:
		l.gap += (gap - l.gap) / meanShare
	}
}

// expected is the time that an answer takes at most, as a rule.
func (l *load) expected() time.Duration { return l.mean + deviations*l.deviation }

// expected returns how long the answer of a request's owner takes at most, or 0
// where any target may answer.
func (r *Router) expected(service config.Service, e Arrived) time.Duration {
	keys, ok := r.view.Tables[service.Name]
	if !ok {
		return 0
	}
	l, ok := r.loads[keys.Lookup(e.Point).Owner.Target]
	if !ok {
		return 0
	}
	return min(l.expected(), service.Deadline/2)
}

// expectedWait returns how long a request will wait for its owner behind those
// that wait for the same one, and be answered then. It is 0 where that can't be
// told, as while the range moves.
func (r *Router) expectedWait(service config.Service, q *queue, e Arrived) time.Duration {
	keys, ok := r.view.Tables[service.Name]
	if !ok {
		return 0
	}
	owned := keys.Lookup(e.Point)
	l, ok := r.loads[owned.Owner.Target]
	if !ok || owned.Phase != keyspace.Active {
		return 0
	}
	ahead := 0
	for _, other := range q.items {
		if keys.Lookup(other.Point).Owner == owned.Owner {
			ahead++
		}
	}
	return waitSafety*time.Duration(ahead)*l.gap + l.expected()
}

func (r *Router) loadOf(t control.Target) *load {
	l, ok := r.loads[t.Name]
	if !ok || l.incarnation != t.Incarnation {
		l = &load{incarnation: t.Incarnation, limiter: r.cfg.Limits(t, r.entries())}
		r.loads[t.Name] = l
	}
	return l
}

// dropLoads forgets targets that are no longer known.
func (r *Router) dropLoads() {
	for name := range r.loads {
		if _, ok := r.view.Targets[name]; !ok {
			delete(r.loads, name)
		}
	}
}

func lost(t control.Target) bool { return t.Status == control.TargetLost }

func (r *Router) hasTarget(service string) bool {
	for _, t := range r.view.Targets {
		if t.Service == service && t.Status == control.TargetLive {
			return true
		}
	}
	return false
}

// route returns where the request may go now.
func (r *Router) route(service config.Service, e Arrived) (Route, bool) {
	if r.view.Suspected[e.Fingerprint] && r.suspectRuns(e.Fingerprint) {
		return Route{}, false
	}
	if service.Keyed() {
		return r.routeKeyed(service, e)
	}
	return r.routeAny(service, e)
}

// suspectRuns reports whether a request of a suspected kind is at a target. One
// runs at a time, so that a second crash tells which of them did it.
func (r *Router) suspectRuns(fingerprint string) bool {
	for _, a := range r.attempts {
		if a.request.Fingerprint == fingerprint {
			return true
		}
	}
	return false
}

// routeKeyed sends to the owner of the key, and nowhere else.
func (r *Router) routeKeyed(service config.Service, e Arrived) (Route, bool) {
	keys, ok := r.view.Tables[service.Name]
	if !ok {
		return Route{}, false
	}
	owned := keys.Lookup(e.Point)
	if owned.Phase != keyspace.Active {
		return Route{}, false
	}
	t, ok := r.view.Targets[owned.Owner.Target]
	if !ok || t.Owner() != owned.Owner || lost(t) || !r.hasRoom(t, e.Now) {
		return Route{}, false
	}
	return r.routeTo(t, owned), true
}

func (r *Router) routeTo(t control.Target, owned keyspace.Range) Route {
	return Route{
		Target:  t,
		Start:   owned.Start,
		Epoch:   owned.Epoch,
		Version: r.view.Version,
		Expiry:  r.lease.Expiry(),
	}
}

// routeAny sends to the target with the smallest share of its room in use.
func (r *Router) routeAny(service config.Service, e Arrived) (Route, bool) {
	var best control.Target
	bestScore := 0.0
	for _, t := range r.view.Targets {
		if t.Service != service.Name || t.Status != control.TargetLive || !r.hasRoom(t, e.Now) {
			continue
		}
		l := r.loadOf(t)
		if l.shunned > e.Now {
			continue
		}
		score := float64(l.inFlight+1) / float64(max(t.Slots, 1))
		if t.Name == e.Avoid {
			score += avoidPenalty
		}
		if best.Name == "" || score < bestScore || (score == bestScore && t.Name < best.Name) {
			best, bestScore = t, score
		}
	}
	if best.Name == "" {
		return Route{}, false
	}
	return r.routeTo(best, keyspace.Range{}), true
}

// hasRoom reports whether this entry may send one more request to the target.
func (r *Router) hasRoom(t control.Target, now timer.Instant) bool {
	l := r.loadOf(t)
	return l.fullUntil <= now && l.inFlight < l.limiter.Limit()
}

func (r *Router) entries() int {
	n := 0
	for _, i := range r.view.Config.Instances {
		if i.Entry {
			n++
		}
	}
	return max(n, 1)
}
